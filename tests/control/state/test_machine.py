"""The control group's state: conflicts, resends, withdrawals, and receivers that lag behind."""

import random
import unittest

from passlane.configuration.documents import PolicyBody
from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import encode_body
from passlane.configuration.view import ConfigurationView
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import ErrorCode
from passlane.identifiers import Revision
from passlane.messages.control import (
    AcceptRevision,
    ControlRefusal,
    ControlResult,
    Document,
    PutDocument,
    PutResult,
    SetRegions,
    VersionConflict,
    WithdrawChange,
)

# The last three restored deleted documents when parts of different snapshots were mixed.
SEEDS = (*range(60), 850, 1082, 1862)
STEPS = 120


def policy(source: str) -> str:
    return encode_body(PolicyBody(source=source))


def put(name: str, body: str | None, expected: int, key: str) -> PutDocument:
    return PutDocument("policy", name, body, expected, key)


def restored_copy(machine: ControlStateMachine) -> ControlStateMachine:
    copy = ControlStateMachine()
    copy.restore_snapshot(machine.take_snapshot())
    return copy


def written(result: ControlResult) -> Document:
    assert isinstance(result, PutResult), result
    return result.document


class OperatorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = ControlStateMachine()
        self.machine.execute(SetRegions(("r",)))

    def test_conflicting_change_is_refused_with_the_current_document(
        self,
    ) -> None:
        written(self.machine.execute(put("p", policy("0"), 0, "k0")))
        winner = written(self.machine.execute(put("p", policy("1"), 1, "k1")))
        loser = self.machine.execute(put("p", policy("2"), 1, "k2"))
        self.assertEqual(loser, VersionConflict("policy", "p", 2, winner))
        self.assertEqual(self.machine.ledger.newest("policy", "p"), winner)

    def test_resend_gets_first_result_also_after_a_snapshot_and_changes_nothing(self) -> None:
        first = self.machine.execute(put("p", policy("1"), 0, "k1"))
        self.machine.execute(put("p", policy("2"), 1, "k2"))
        copy = restored_copy(self.machine)
        for machine in (self.machine, copy):
            self.assertEqual(machine.execute(put("p", policy("1"), 0, "k1")), first)
            self.assertEqual(machine.ledger.held_revision, 2)
        self.assertEqual(copy.take_snapshot(), self.machine.take_snapshot())

    def test_refused_change_stays_refused_when_a_resend_would_match(self) -> None:
        self.machine.execute(put("p", policy("1"), 0, "k1"))
        refused = self.machine.execute(put("p", policy("2"), 0, "k2"))
        self.machine.execute(put("p", None, 1, "k3"))
        again = restored_copy(self.machine).execute(put("p", policy("2"), 0, "k2"))
        self.assertIsInstance(refused, VersionConflict)
        self.assertEqual(again, VersionConflict("policy", "p", 1, None))

    def test_versions_increase_after_a_deletion_marker_was_dropped(self) -> None:
        self.machine.ledger = ConfigurationLedger(max_tombstones=0)
        self.machine.execute(put("p", policy("1"), 0, "k1"))
        self.machine.execute(put("p", policy("2"), 1, "k2"))
        self.machine.execute(put("p", None, 2, "k3"))
        self.machine.execute(AcceptRevision(Revision(3)))
        self.assertIsNone(self.machine.ledger.newest("policy", "p"))
        for machine in (self.machine, restored_copy(self.machine)):
            again = written(machine.execute(put("p", policy("3"), 0, "k4")))
            self.assertGreater(again.version, 3)
            stale = machine.execute(put("p", policy("4"), 1, "k5"))
            self.assertIsInstance(stale, VersionConflict)

    def test_key_of_another_change_is_refused(self) -> None:
        self.machine.execute(put("p", policy("1"), 0, "k1"))
        result = self.machine.execute(put("q", policy("1"), 0, "k1"))
        assert isinstance(result, ControlRefusal)
        self.assertEqual(result.code, ErrorCode.IDEMPOTENCY_MISMATCH)

    def test_references_must_exist_and_referenced_documents_cannot_be_deleted(self) -> None:
        service = PutDocument("service", "s", '{"policy":"p"}', 0, "k1")
        refused = self.machine.execute(service)
        assert isinstance(refused, ControlRefusal)
        self.assertIn("policy 'p'", refused.message)
        self.machine.execute(put("p", policy("1"), 0, "k2"))
        service = PutDocument("service", "s", '{"policy":"p"}', 0, "k3")
        self.assertIsInstance(self.machine.execute(service), PutResult)
        for machine in (self.machine, restored_copy(self.machine)):
            self.assertIsInstance(machine.execute(put("p", None, 1, "k4")), ControlRefusal)


class WithdrawalTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = ControlStateMachine()
        self.machine.execute(SetRegions(("r",)))
        self.machine.execute(put("p", policy("good"), 0, "k1"))
        self.machine.execute(AcceptRevision(Revision(1)))
        self.machine.execute(put("p", policy("bad"), 1, "k2"))

    def test_withdrawn_change_is_never_accepted_alone(self) -> None:
        self.machine.execute(put("q", policy("other"), 0, "k3"))
        restored = written(self.machine.execute(WithdrawChange(Revision(2), "k4")))
        self.assertEqual((restored.revision, restored.body), (4, policy("good")))
        machine = restored_copy(self.machine)
        machine.execute(AcceptRevision(Revision(3)))
        self.assertEqual(machine.ledger.accepted_revision, 1)
        machine.execute(AcceptRevision(Revision(4)))
        self.assertEqual(machine.ledger.accepted_revision, 4)

    def test_accepted_change_cannot_be_withdrawn(self) -> None:
        self.machine.execute(AcceptRevision(Revision(2)))
        result = self.machine.execute(WithdrawChange(Revision(2), "k3"))
        assert isinstance(result, ControlRefusal)
        self.assertEqual(result.code, ErrorCode.VERSION_CONFLICT)

    def test_later_changes_must_be_withdrawn_before_earlier_ones(self) -> None:
        self.machine.execute(put("p", policy("worse"), 2, "k3"))
        early = self.machine.execute(WithdrawChange(Revision(2), "k4"))
        self.assertIsInstance(early, ControlRefusal)
        self.assertEqual(
            written(self.machine.execute(WithdrawChange(Revision(3), "k5"))).body, policy("bad")
        )
        self.assertEqual(
            written(self.machine.execute(WithdrawChange(Revision(2), "k6"))).body, policy("good")
        )


class Operator:
    """Makes random changes and keeps an independent history of them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.machine = ControlStateMachine()
        self.machine.ledger = ConfigurationLedger(max_tombstones=2)
        self.history: list[Document] = []
        self.withdrawn: set[int] = set()
        self.keys = 0

    def step(self) -> None:
        self.keys += 1
        choice = self.random.random()
        if choice < 0.6:
            self.change()
        elif choice < 0.75:
            self.withdraw()
        else:
            prepared = self.random.randint(0, len(self.history))
            self.machine.execute(AcceptRevision(Revision(prepared)))

    def change(self) -> None:
        name = f"p{self.random.randrange(8)}"
        newest = self.machine.ledger.newest("policy", name)
        exists = newest is not None and newest.body is not None
        delete = exists and self.random.random() < 0.4
        body = None if delete else policy(f"# {self.keys}")
        expected = newest.version if newest is not None and exists else 0
        command = put(name, body, expected, f"k{self.keys}")
        self.history.append(written(self.machine.execute(command)))

    def withdraw(self) -> None:
        if not self.history:
            return
        revision = Revision(self.random.randint(1, len(self.history)))
        result = self.machine.execute(WithdrawChange(revision, f"k{self.keys}"))
        if isinstance(result, PutResult):
            self.history.append(result.document)
            self.withdrawn.add(revision)

    def policies_at(self, revision: int) -> dict[str, str]:
        policies: dict[str, str] = {}
        for document in self.history[:revision]:
            policies.pop(document.name, None)
            if document.body is not None:
                policies[document.name] = document.body
        return policies


class ReceiversTest(unittest.TestCase):
    """Receivers that get changes in parts, with delays and out of order."""

    def check(self, operator: Operator, before: ConfigurationView, view: ConfigurationView) -> None:
        self.assertGreaterEqual(view.revision_in_force, before.revision_in_force)
        self.assertLessEqual(view.revision_in_force, operator.machine.ledger.accepted_revision)
        in_force = {name: encode_body(body) for name, body in view.policies.items()}
        self.assertEqual(in_force, operator.policies_at(view.revision_in_force))
        for withdrawn in operator.withdrawn:
            self.assertNotIn(operator.history[withdrawn - 1].body, [*in_force.values()])

    def run_seed(self, seed: int) -> int:
        operator = Operator(seed)
        relay = ConfigurationLedger(max_tombstones=2)
        views = [ConfigurationView() for _ in range(3)]
        sent = [relay.delta_since(Revision(0))]
        restarts_from_snapshot = 0
        for _ in range(STEPS):
            operator.step()
            ledger = operator.machine.ledger
            if operator.random.random() < 0.3:
                delta = ledger.delta_since(relay.held_revision, relay.floor_revision, 300)
                relay.apply_delta(delta)
            index = operator.random.randrange(len(views))
            before = views[index]
            source = operator.random.choice([relay, ledger])
            delta = source.delta_since(before.held_revision, before.floor_revision, 300)
            restarts_from_snapshot += delta.is_snapshot
            sent.append(delta)
            arrived = operator.random.choice([delta, delta, operator.random.choice(sent)])
            views[index] = before.apply_delta(arrived)
            self.check(operator, before, views[index])
            if operator.random.random() < 0.03:
                views[index] = ConfigurationView()
        self.catch_up(operator, views[0])
        return restarts_from_snapshot

    def catch_up(self, operator: Operator, view: ConfigurationView) -> None:
        ledger = operator.machine.ledger
        for _ in range(STEPS):
            delta = ledger.delta_since(view.held_revision, view.floor_revision, 300)
            view = view.apply_delta(delta)
        self.assertEqual(view.revision_in_force, ledger.accepted_revision)
        self.check(operator, ConfigurationView(), view)

    def test_parts_of_different_snapshots_are_never_mixed(self) -> None:
        source = ConfigurationLedger(max_tombstones=1)
        for revision in range(1, 4):
            source.append(Document("policy", f"p{revision}", 1, Revision(revision), policy("1")))
        source.accept(Revision(3))
        stale_part = source.delta_since(Revision(0), max_bytes=1)
        lagging = ConfigurationLedger()
        lagging.apply_delta(stale_part)
        for revision, name in ((4, "p1"), (5, "p2"), (6, "p4")):
            body = policy("2") if name == "p4" else None
            source.append(Document("policy", name, 2, Revision(revision), body))
        source.accept(Revision(6))
        self.assertEqual(source.floor_revision, 4)
        first_part = source.delta_since(Revision(1), max_bytes=1)
        for receiver in (ConfigurationLedger(), ConfigurationView()):
            with self.subTest(receiver=type(receiver).__name__):
                receiver = receiver.apply_delta(first_part) or receiver
                held = receiver.held_revision
                self.assertEqual(first_part.floor_revision, receiver.floor_revision)
                self.assertLess(held, receiver.floor_revision)
                behind = lagging.delta_since(Revision(0), receiver.floor_revision)
                self.assertEqual((behind.documents, behind.to_revision), ((), 0))
                for old in (stale_part, behind):
                    receiver = receiver.apply_delta(old) or receiver
                    self.assertEqual(receiver.held_revision, held)

    def test_view_equals_the_state_at_an_accepted_revision_that_never_decreases(self) -> None:
        restarts = sum(self.run_seed(seed) for seed in SEEDS)
        self.assertGreater(restarts, 0, "no receiver ever fell below the floor")


if __name__ == "__main__":
    unittest.main()
