"""Documents that an earlier build recorded, whose numbers are beyond the bounds of today."""

import unittest

import msgspec

from passlane.control.state.machine import ControlStateMachine
from passlane.messages.control import Document, PutDocument, PutResult, Revision

NO_LIMIT = 2**63 - 1
RECORDED = msgspec.json.encode({"service": "desk", "max_calls_in_flight": NO_LIMIT}).decode()


def put(kind: str, name: str, body: str) -> PutDocument:
    return PutDocument(
        kind=kind, name=name, body=body, expected_version=0, idempotency_key=f"{kind}/{name}"
    )


class DocumentsOfEarlierBuildsTest(unittest.TestCase):
    """An acknowledged document stays recorded when the replica starts with a newer build."""

    def test_a_snapshot_with_an_unbounded_limit_is_restored(self) -> None:
        machine = ControlStateMachine()
        machine.execute(put("service", "desk", "{}"))
        document = Document(
            kind="tenant", name="shop", version=2, revision=Revision(2), body=RECORDED
        )
        machine.ledger.append(document)
        restored = ControlStateMachine()
        restored.restore_snapshot(machine.take_snapshot())
        self.assertEqual(restored.ledger.newest("tenant", "shop"), document)

    def test_a_logged_change_with_an_unbounded_limit_is_applied_as_it_was_acknowledged(
        self,
    ) -> None:
        machine = ControlStateMachine()
        machine.execute(put("service", "desk", "{}"))
        self.assertIsInstance(machine.execute(put("tenant", "shop", RECORDED)), PutResult)


if __name__ == "__main__":
    unittest.main()
