"""Drain documents: which nodes they drain, also next to invalid documents."""

import unittest

from passlane.configuration.documents import DocumentKind, DrainBody, DrainKind
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.identifiers import Revision
from passlane.messages.control import Document
from passlane.store.drains import DrainedNodes


class DrainedNodesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ConfigurationLedger()
        self.drained = DrainedNodes(self.ledger)

    def put(self, name: str, body: str | None, kind: str = DocumentKind.DRAIN) -> None:
        """Append and accept a change."""
        revision = Revision(self.ledger.held_revision + 1)
        change = Document(kind=kind, name=name, version=1, revision=revision, body=body)
        self.ledger.append(change)
        self.ledger.accept(revision)

    def put_drain(self, target_kind: DrainKind, target: str) -> None:
        body = DrainBody(target_kind=target_kind, target=target)
        self.put(f"{target_kind}-{target}", encode_body(body))

    def test_only_drains_of_nodes_apply_until_deleted(self) -> None:
        self.put_drain("node", "n1")
        self.put_drain("engine", "e1")
        self.assertEqual(self.drained.nodes(), {"n1"})
        self.put("node-n1", None)
        self.assertEqual(self.drained.nodes(), frozenset())

    def test_invalid_document_does_not_hide_others(self) -> None:
        self.put("broken", '{"target_kind": "moon"}')
        self.put("unknown", "{}", kind="no-such-kind")
        self.put_drain("node", "n1")
        self.assertEqual(self.drained.nodes(), {"n1"})


if __name__ == "__main__":
    unittest.main()
