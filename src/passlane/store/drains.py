"""Nodes that operators drain with documents of kind ``drain``.

Derived from the region's accepted configuration.
"""

from passlane.configuration.documents import DocumentKind, DrainBody, DrainKind
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import parse_recorded
from passlane.identifiers import NodeId
from passlane.messages.control import NO_REVISION


class DrainedNodes:
    """The nodes named by accepted drain documents, computed once per revision."""

    def __init__(self, configuration: ConfigurationLedger) -> None:
        self._configuration = configuration
        self._nodes: frozenset[NodeId] = frozenset()
        self._as_of = (NO_REVISION, NO_REVISION)

    def nodes(self) -> frozenset[NodeId]:
        """Return the nodes to drain according to the accepted configuration."""
        ledger = self._configuration
        as_of = (ledger.held_revision, ledger.accepted_revision)
        if as_of != self._as_of:
            self._as_of = as_of
            drains = ledger.accepted_documents(DocumentKind.DRAIN)
            self._nodes = frozenset(
                NodeId(body.target)
                for body in map(parse_recorded, drains)
                if isinstance(body, DrainBody) and body.target_kind is DrainKind.NODE
            )
        return self._nodes
