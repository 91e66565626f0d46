"""The store's state machine: random command streams, duplicates, two leaders and crashes."""

import random
import unittest

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import EngineId, Epoch, Partition, ProgramId, Revision, TenantId
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import Amounts
from passlane.messages.control import ConfigurationDelta, Document
from passlane.messages.store import (
    BeginCallResult,
    CallState,
    EndProgram,
    EndProgramResult,
    EngineHold,
    ListPrograms,
    ProgramList,
    ProgramRecord,
    ProgramResult,
    ReadProgram,
    RecordConfiguration,
    RecordHold,
    RemoveEndedPrograms,
    StoreCommand,
    StoreDone,
    StoreRefusal,
    StoreResult,
)
from passlane.store.machine import StoreStateMachine
from store.command_streams import (
    BUDGET,
    Stream,
    assign,
    begin,
    create,
    finish,
    restore,
    snapshot_of,
)

_results = message_decoder(StoreResult)


def run(machine: StoreStateMachine, command: StoreCommand) -> Message:
    result: Message = _results.decode(machine.apply(1, encode_message(command)))
    return result


def read(machine: StoreStateMachine, program: str) -> ProgramRecord:
    result = machine.query(ReadProgram(program_id=ProgramId(program)))
    assert isinstance(result, ProgramResult)
    return result.record


class RandomStreamTest(unittest.TestCase):
    """Streams with duplicates, stale and unassigned epochs, and a crash with replay."""

    SEEDS = range(40)
    COMMANDS = 1_000

    def test_invariants_hold_and_replay_gives_equal_state(self) -> None:
        turns = 0
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                turns += self._run_stream(seed)
        self.assertGreater(turns, 50 * len(self.SEEDS))

    def _run_stream(self, seed: int) -> int:
        machine = StoreStateMachine()
        stream = Stream(machine, random.Random(seed))
        snapshot_at = stream.random.randrange(self.COMMANDS)
        replica = StoreStateMachine()
        for index in range(self.COMMANDS):
            command = stream.draw()
            result = run(machine, command)
            stream.record_result(command, result)
            self._check_epoch(stream, command, result)
            if index == snapshot_at:
                restore(replica, snapshot_of(machine))
            elif index > snapshot_at:
                self.assertEqual(run(replica, command), result)
        self.assertEqual(snapshot_of(replica), snapshot_of(machine))
        self._check_programs(machine, stream)
        return sum(map(len, stream.histories.values()))

    def _check_epoch(self, stream: Stream, command: StoreCommand, result: Message) -> None:
        partition = getattr(command, "partition", None)
        if partition is not None and command.epoch != stream.epochs[partition]:  # type: ignore[union-attr]
            self.assertIsInstance(result, StoreRefusal)

    def _check_programs(self, machine: StoreStateMachine, stream: Stream) -> None:
        for program in machine.programs:
            record = program.to_record()
            self.assertEqual(list(record.turns), stream.histories.get(record.program_id, []))
            sequences = [call.sequence for call in record.calls]
            self.assertEqual(sequences, list(range(record.next_sequence)))
            unfinished = [call for call in record.calls if call.state is CallState.BEGUN]
            self.assertIn(unfinished, ([], list(record.calls[-1:])))
            if record.parent_id is None:
                self._check_budget(record, stream)

    def _check_budget(self, record: ProgramRecord, stream: Stream) -> None:
        root = record.program_id
        possible = stream.max_spent.get(root, Amounts())
        for (program, _), reserved in stream.running.items():
            if stream.root(program) == root:
                possible = possible.plus(reserved)
        self.assertTrue(possible.fits_within(record.budget))
        self.assertEqual(record.spent.plus(record.reserved), possible)


class RulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = StoreStateMachine()
        run(self.machine, assign(0, 1))
        run(self.machine, create("p"))

    def refusal(self, command: StoreCommand) -> ErrorCode:
        before = snapshot_of(self.machine)
        result = run(self.machine, command)
        assert isinstance(result, StoreRefusal), result
        self.assertEqual(snapshot_of(self.machine), before)
        return result.code

    def test_running_programs_of_a_tenant_are_limited(self) -> None:
        limit = 2  # "p" is one of them.
        run(self.machine, create("q", max_programs=limit))
        self.assertEqual(self.refusal(create("r", max_programs=limit)), ErrorCode.LIMIT_EXCEEDED)
        run(self.machine, create("q", max_programs=limit))
        child = create("c", max_programs=limit, parent_id=ProgramId("q"))
        self.assertIsInstance(run(self.machine, child), ProgramResult)
        other = create("o", max_programs=limit, tenant_id=TenantId("other"))
        self.assertIsInstance(run(self.machine, other), ProgramResult)
        restored = StoreStateMachine()
        restore(restored, snapshot_of(self.machine))
        for machine in (self.machine, restored):
            self.assertIsInstance(
                run(machine, create("r", max_programs=limit)), StoreRefusal, "the count was lost"
            )
            for _ in range(2):
                run(machine, EndProgram(ProgramId("p"), Partition(0), Epoch(1)))
            run(machine, create("r", max_programs=limit))
            self.assertIsInstance(run(machine, create("s", max_programs=limit)), StoreRefusal)

    def test_stale_and_unassigned_epochs_are_refused(self) -> None:
        run(self.machine, assign(0, 2))
        self.assertEqual(self.refusal(begin("p", 0, epoch=1)), ErrorCode.STALE_EPOCH)
        self.assertEqual(self.refusal(begin("p", 0, epoch=3)), ErrorCode.STALE_EPOCH)
        self.assertEqual(self.refusal(create("q", partition=1, epoch=0)), ErrorCode.STALE_EPOCH)
        self.assertIsInstance(run(self.machine, begin("p", 0, epoch=2)), BeginCallResult)

    def test_only_one_of_two_concurrent_assignments_succeeds(self) -> None:
        self.assertIsInstance(run(self.machine, assign(0, 2, "a")), StoreDone)
        self.assertEqual(self.refusal(assign(0, 2, "b")), ErrorCode.STALE_EPOCH)
        self.assertIsInstance(run(self.machine, assign(0, 2, "a")), StoreDone)

    def test_calls_begin_one_at_a_time_and_in_sequence(self) -> None:
        self.assertEqual(self.refusal(begin("p", 1)), ErrorCode.WRONG_SEQUENCE)
        run(self.machine, begin("p", 0))
        self.assertEqual(self.refusal(begin("p", 1)), ErrorCode.WRONG_SEQUENCE)
        run(self.machine, finish("p", 0))
        self.assertIsInstance(run(self.machine, begin("p", 1)), BeginCallResult)

    def test_repeated_request_gets_recorded_call_and_different_request_is_refused(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, finish("p", 0))
        again = run(self.machine, begin("p", 0, want_history=True))
        assert isinstance(again, BeginCallResult)
        self.assertTrue(again.already_recorded)
        assert again.call.outcome is not None
        self.assertEqual(again.call.outcome.body, "p is told 0")
        self.assertEqual([turn.role for turn in again.history], ["user", "assistant"])
        other = begin("p", 0, request_digest="another")
        self.assertEqual(self.refusal(other), ErrorCode.IDEMPOTENCY_MISMATCH)
        foreign = create("p", budget=Amounts(tokens=1))
        self.assertEqual(self.refusal(foreign), ErrorCode.IDEMPOTENCY_MISMATCH)

    def test_first_outcome_is_final(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, finish("p", 0))
        before = snapshot_of(self.machine)
        second = finish("p", 0, spent=Amounts(tokens=9, calls=1))
        changed = msgspec.structs.replace(second.outcome, verdict=Verdict.MAY_HAVE_RUN)
        second = msgspec.structs.replace(second, outcome=changed)
        self.assertIsInstance(run(self.machine, second), StoreDone)
        self.assertEqual(snapshot_of(self.machine), before)

    def test_second_run_under_a_new_leader_is_charged_again(self) -> None:
        run(self.machine, begin("p", 0, reserve=Amounts(tokens=150)))
        run(self.machine, assign(0, 2))
        again = begin("p", 0, epoch=2, reserve=Amounts(tokens=150))
        self.assertIsInstance(run(self.machine, again), BeginCallResult)
        record = read(self.machine, "p")
        self.assertEqual(record.spent.tokens, 150)
        self.assertEqual(record.reserved.tokens, 150)
        run(self.machine, assign(0, 3))
        third = begin("p", 0, epoch=3, reserve=Amounts(tokens=150))
        self.assertEqual(self.refusal(third), ErrorCode.BUDGET_EXCEEDED)

    def test_non_repeatable_call_is_not_begun_again(self) -> None:
        run(self.machine, begin("p", 0, repeatable=False))
        run(self.machine, assign(0, 2))
        result = run(self.machine, begin("p", 0, epoch=2, repeatable=False))
        assert isinstance(result, BeginCallResult)
        self.assertTrue(result.already_recorded)
        self.assertEqual(result.call.epoch, 1)

    def test_sub_agents_are_charged_to_the_budgets_of_their_ancestors(self) -> None:
        run(self.machine, assign(1, 1))
        run(self.machine, create("c", 1, parent_id="p", budget=Amounts()))
        capped = Amounts(tokens=20, calls=9)
        run(self.machine, create("d", 1, parent_id="p", budget=capped))
        large = begin("c", 0, 1, reserve=Amounts(tokens=BUDGET.tokens, calls=1))
        self.assertIsInstance(run(self.machine, large), BeginCallResult)
        self.assertEqual(self.refusal(begin("p", 0)), ErrorCode.BUDGET_EXCEEDED)
        run(self.machine, finish("c", 0, 1))
        over_cap = begin("d", 0, 1, reserve=Amounts(tokens=21))
        self.assertEqual(self.refusal(over_cap), ErrorCode.BUDGET_EXCEEDED)
        self.assertEqual(read(self.machine, "p").spent, Amounts(tokens=5, calls=1))

    def test_parent_and_sub_agent_under_two_leaders_share_one_budget(self) -> None:
        run(self.machine, assign(1, 1, "n2"))
        run(self.machine, create("c", 1, parent_id="p", budget=Amounts()))
        budget_tokens = BUDGET.tokens
        run(self.machine, begin("p", 0, reserve=Amounts(tokens=budget_tokens // 2, calls=1)))
        child = begin("c", 0, 1, reserve=Amounts(tokens=budget_tokens // 2, calls=1))
        self.assertIsInstance(run(self.machine, child), BeginCallResult)
        # Both leaders fail with open reservations, and two others run both calls again.
        run(self.machine, assign(0, 2, "n3"))
        run(self.machine, assign(1, 2, "n4"))
        again = begin("c", 0, 1, epoch=2, reserve=Amounts(tokens=1, calls=1))
        self.assertEqual(self.refusal(again), ErrorCode.BUDGET_EXCEEDED)
        self.assertEqual(self.refusal(finish("c", 0, 1)), ErrorCode.STALE_EPOCH)
        run(self.machine, finish("p", 0, epoch=2))
        self.assertIsInstance(run(self.machine, again), BeginCallResult)
        record = read(self.machine, "p")
        self.assertTrue(record.spent.plus(record.reserved).fits_within(BUDGET))
        # The first run of the child is charged in full, because its cost is unknown.
        self.assertEqual(record.spent.tokens, 5 + budget_tokens // 2)

    def test_repeated_commands_after_a_snapshot_get_the_first_results(self) -> None:
        run(self.machine, begin("p", 0))
        run(self.machine, finish("p", 0))
        run(self.machine, begin("p", 1, repeatable=False))
        restored = StoreStateMachine()
        restore(restored, snapshot_of(self.machine))
        before = snapshot_of(restored)
        commands = [create("p"), begin("p", 0), finish("p", 0), begin("p", 1, repeatable=False)]
        for command in commands:
            self.assertEqual(run(restored, command), run(self.machine, command))
            self.assertNotIsInstance(run(restored, command), StoreRefusal)
        self.assertEqual(snapshot_of(restored), before)

    def test_negative_reservation_or_spending_above_the_reservation_is_refused(self) -> None:
        negative = begin("p", 0, reserve=Amounts(tokens=-1))
        self.assertEqual(self.refusal(negative), ErrorCode.BAD_REQUEST)
        run(self.machine, begin("p", 0))
        too_much = finish("p", 0, spent=Amounts(tokens=11, calls=1))
        self.assertEqual(self.refusal(too_much), ErrorCode.BUDGET_EXCEEDED)

    def test_end_includes_sub_agents_and_unsettled_programs_are_kept(self) -> None:
        run(self.machine, create("c", parent_id="p"))
        run(self.machine, begin("c", 0))
        hold = EngineHold(EngineId("e"), 4)
        names = (ProgramId("c"), Partition(0), Epoch(1))
        run(self.machine, RecordHold(*names, hold))
        ended = run(self.machine, EndProgram(ProgramId("p"), Partition(0), Epoch(1)))
        assert isinstance(ended, EndProgramResult)
        self.assertEqual(ended.ended_children, ("c",))
        self.assertEqual(self.refusal(begin("c", 1)), ErrorCode.PROGRAM_ENDED)
        self.assertEqual(self.refusal(RecordHold(*names, hold)), ErrorCode.PROGRAM_ENDED)
        remove = RemoveEndedPrograms(program_ids=(ProgramId("c"), ProgramId("p")))
        run(self.machine, remove)
        unsettled = self.machine.query(ListPrograms(unsettled_only=True))
        assert isinstance(unsettled, ProgramList)
        self.assertEqual([line.program_id for line in unsettled.programs], ["c"])
        run(self.machine, finish("c", 0))
        self.assertEqual(read(self.machine, "p").spent, Amounts(tokens=5, calls=1))
        again = run(self.machine, EndProgram(*names))
        self.assertEqual(again, EndProgramResult(holds=(hold,)))

    def test_invalid_bytes_change_nothing(self) -> None:
        before = snapshot_of(self.machine)
        refusal = _results.decode(self.machine.apply(2, b"\xff\x00"))
        self.assertIsInstance(refusal, StoreRefusal)
        self.assertEqual(snapshot_of(self.machine), before)
        with self.assertRaises(ValueError):
            restore(self.machine, [b"\x81\xa1a\x01"])
        self.assertEqual(snapshot_of(self.machine), before)


class RegionConfigurationTest(unittest.TestCase):
    def test_configuration_survives_a_snapshot_and_ignores_a_delta_after_a_gap(self) -> None:
        machine = StoreStateMachine()
        document = Document(kind="tenant", name="a", version=1, revision=Revision(1), body="{}")
        first = ConfigurationDelta(Revision(0), Revision(1), Revision(1), (document,))
        run(machine, RecordConfiguration(first))
        gap = ConfigurationDelta(Revision(4), Revision(5), Revision(1), (document,))
        run(machine, RecordConfiguration(gap))
        restored = StoreStateMachine()
        restore(restored, snapshot_of(machine))
        ledger = restored.configuration
        self.assertEqual((ledger.held_revision, ledger.accepted_revision), (1, 1))
        self.assertEqual(ledger.newest("tenant", "a"), document)


if __name__ == "__main__":
    unittest.main()
