"""Nodes that operators have marked as leaving, by documents of kind ``drain``."""

import msgspec

from passlane.configuration.documents import DocumentKind, DrainBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.identifiers import NodeId
from passlane.messages.control import NO_REVISION, Document

NODE_TARGET = "node"
"""``target_kind`` of a drain that names a node."""

_decoder = msgspec.json.Decoder(DrainBody)


class DrainedNodes:
    """The nodes that accepted drain documents name, worked out once for each revision."""

    def __init__(self, configuration: ConfigurationLedger) -> None:
        self._configuration = configuration
        self._nodes: frozenset[NodeId] = frozenset()
        self._as_of = (NO_REVISION, NO_REVISION)

    def nodes(self) -> frozenset[NodeId]:
        """Return the nodes to be drained according to the accepted configuration."""
        held = self._configuration
        as_of = (held.held_revision, held.accepted_revision)
        if as_of != self._as_of:
            self._as_of = as_of
            accepted, _ = held.dump()
            self._nodes = frozenset(
                NodeId(body.target)
                for body in map(_drain_of, accepted)
                if body is not None and body.target_kind == NODE_TARGET
            )
        return self._nodes


def _drain_of(document: Document) -> DrainBody | None:
    if document.kind != DocumentKind.DRAIN or document.body is None:
        return None
    try:
        return _decoder.decode(document.body)
    except msgspec.DecodeError:
        # The control group checks documents; one it let through must not stop the loop.
        return None
