"""Budgets, reservations and histories of turns in the replicated state."""

import unittest

import msgspec

from passlane.messages.base import encode_message, message_decoder
from passlane.messages.number_bounds import MAX_COMPARED_NUMBER, MAX_WHOLE_NUMBER
from passlane.messages.quotas import TenantUsage
from passlane.messages.turns import (
    AdvanceAge,
    BudgetSpent,
    NoteUsage,
    ReserveTurn,
    RetainedTurn,
    SettleTurn,
    TurnReserved,
    TurnUnknown,
)
from passlane.turns.state.machine import RETENTION_MARGIN_S, TurnStateMachine


def reserve(attempt, *, program="p", most=10, budget=30, previous=None):
    return ReserveTurn(
        program_id=program,
        attempt_id=attempt,
        most_tokens=most,
        budget_tokens=budget,
        previous=previous,
        retention_s=60.0,
    )


def settle(attempt, tokens=10, *, program="p", previous=None, content=None):
    turn = None
    if content is not None:
        turn = RetainedTurn(turn_id=attempt, previous=previous, content=content, retention_s=60.0)
    return SettleTurn(program_id=program, attempt_id=attempt, tokens=tokens, turn=turn)


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.machine = TurnStateMachine()

    def test_reserved_and_spent_tokens_count_together(self):
        self.assertIsInstance(self.machine.execute(reserve("a")), TurnReserved)
        self.machine.execute(settle("a", 10))
        self.assertIsInstance(self.machine.execute(reserve("b")), TurnReserved)
        self.assertIsInstance(self.machine.execute(reserve("c")), TurnReserved)
        refusal = self.machine.execute(reserve("d"))
        self.assertEqual(refusal, BudgetSpent(spent_tokens=10, reserved_tokens=20))

    def test_a_turn_that_did_not_run_releases_its_reservation(self):
        for attempt in ("a", "b", "c"):
            self.machine.execute(reserve(attempt))
        self.machine.execute(settle("c", 0))
        self.assertIsInstance(self.machine.execute(reserve("d")), TurnReserved)

    def test_a_repeated_command_counts_once(self):
        for _ in range(5):
            self.assertIsInstance(self.machine.execute(reserve("a")), TurnReserved)
        for _ in range(5):
            self.machine.execute(settle("a", 10))
        self.machine.execute(reserve("b"))
        self.assertIsInstance(self.machine.execute(reserve("c")), TurnReserved)
        self.assertIsInstance(self.machine.execute(reserve("d")), BudgetSpent)

    def test_spending_is_retained_between_turns_of_a_program(self):
        self.machine.execute(reserve("a", most=30))
        self.machine.execute(settle("a", 30))
        self.machine.execute(AdvanceAge(seconds=60.0))
        self.assertIsInstance(self.machine.execute(reserve("b")), BudgetSpent)

    def test_sums_of_the_largest_numbers_are_stored_and_sent(self):
        most = MAX_WHOLE_NUMBER
        for number in range(2_100):
            self.machine.execute(reserve(f"spent-{number}", most=most, budget=None))
            self.machine.execute(settle(f"spent-{number}", most))
            self.machine.execute(reserve(f"reserved-{number}", most=most, budget=None))
        restored = TurnStateMachine()
        for _ in restored.restore_parts(list(self.machine.snapshot_parts())):
            pass
        for machine in (self.machine, restored):
            refusal = machine.execute(reserve("next", most=1, budget=MAX_COMPARED_NUMBER))
            self.assertEqual(refusal, BudgetSpent(MAX_COMPARED_NUMBER, MAX_COMPARED_NUMBER))
            self.assertEqual(message_decoder(BudgetSpent).decode(encode_message(refusal)), refusal)

    def test_numbers_that_an_earlier_build_has_stored_are_read_and_sent(self):
        largest = 2**64 - 1
        part = {
            "age_s": 0.0,
            "programs": {
                "p": {
                    "spent_tokens": largest,
                    "reserved": {"a": largest, "b": largest},
                    "keep_until_s": 60.0,
                }
            },
        }
        for _ in self.machine.restore_parts([msgspec.msgpack.encode(part)]):
            pass
        refusal = self.machine.execute(reserve("next", most=1, budget=MAX_COMPARED_NUMBER))
        self.assertEqual(message_decoder(BudgetSpent).decode(encode_message(refusal)), refusal)
        self.machine.execute(settle("a", largest))
        for _ in TurnStateMachine().restore_parts(list(self.machine.snapshot_parts())):
            pass

    def test_a_reservation_names_the_engine_that_was_used_last(self):
        self.assertEqual(self.machine.execute(reserve("a")), TurnReserved(used_last=""))
        self.machine.execute(msgspec.structs.replace(settle("a"), served_by="i-1"))
        self.machine.execute(reserve("b"))
        # A turn that no engine served doesn't change the engine that the program used last.
        self.machine.execute(settle("b", 0))
        self.assertEqual(self.machine.execute(reserve("c")), TurnReserved(used_last="i-1"))
        self.assertEqual(self.machine.execute(reserve("c")), TurnReserved(used_last="i-1"))

    def test_a_program_without_a_budget_is_never_refused(self):
        for number in range(100):
            self.assertIsInstance(
                self.machine.execute(reserve(str(number), budget=None)), TurnReserved
            )


class HistoryTest(unittest.TestCase):
    def setUp(self):
        self.machine = TurnStateMachine()
        self.store_turn("one", b"1")
        self.store_turn("two", b"2", previous="one")

    def store_turn(self, turn_id, content, previous=None):
        self.machine.execute(reserve(turn_id, budget=None))
        self.machine.execute(settle(turn_id, 1, previous=previous, content=content))

    def test_a_history_starts_with_the_oldest_turn(self):
        self.store_turn("three", b"3", previous="two")
        self.assertEqual(self.machine.history_of("three"), b"123")

    def test_turns_of_any_program_may_branch_from_one_turn(self):
        self.store_turn("left", b"l", previous="two")
        self.store_turn("right", b"r", previous="two")
        self.assertEqual(self.machine.history_of("left"), b"12l")
        self.assertEqual(self.machine.history_of("right"), b"12r")
        other = reserve("x", program="another", previous="left")
        self.assertIsInstance(self.machine.execute(other), TurnReserved)

    def test_an_unknown_turn_reserves_nothing(self):
        answer = self.machine.execute(reserve("x", most=28, previous="never"))
        self.assertEqual(answer, TurnUnknown(turn_id="never"))
        self.assertIsInstance(self.machine.execute(reserve("y", most=28)), TurnReserved)

    def test_a_turn_is_retained_as_long_as_its_successors(self):
        self.machine.execute(AdvanceAge(seconds=50.0))
        self.store_turn("three", b"3", previous="two")
        self.machine.execute(AdvanceAge(seconds=55.0))
        self.assertEqual(self.machine.history_of("three"), b"123")

    def test_an_expired_turn_is_removed(self):
        self.machine.execute(AdvanceAge(seconds=60.0 + RETENTION_MARGIN_S + 1.0))
        answer = self.machine.execute(reserve("x", previous="two"))
        self.assertEqual(answer, TurnUnknown(turn_id="two"))


class SnapshotTest(unittest.TestCase):
    def test_a_restored_state_is_that_of_the_time_of_the_snapshot(self):
        machine = TurnStateMachine()
        for number in range(250):
            turn_id = str(number)
            machine.execute(reserve(turn_id, program=turn_id))
            previous = str(number - 1) if number else None
            machine.execute(
                settle(turn_id, 25, program=turn_id, previous=previous, content=b"%d," % number)
            )
        machine.execute(reserve("open", program="0", most=5))
        parts = machine.snapshot_parts()
        machine.execute(reserve("late", program="249", most=5))
        machine.execute(AdvanceAge(seconds=1000.0))
        restored = TurnStateMachine()
        for _ in restored.restore_parts(parts):
            pass
        self.assertEqual(restored.age_s, 0.0)
        self.assertEqual(restored.history_of("249"), b"".join(b"%d," % n for n in range(250)))
        self.assertIsInstance(restored.execute(reserve("more", program="0", most=5)), BudgetSpent)
        self.assertIsInstance(
            restored.execute(reserve("more", program="249", most=5)), TurnReserved
        )

    def test_apply_decodes_commands(self):
        machine = TurnStateMachine()
        result = machine.apply(1, encode_message(reserve("a")))
        self.assertEqual(result, encode_message(TurnReserved()))


class EarlierFormatTest(unittest.TestCase):
    """Commands and a snapshot in the format that predates tenants."""

    RESERVED = (
        b"\x86\xa4type\xabReserveTurn\xaaprogram_id\xa1p\xaaattempt_id\xa1a\xabmost_tokens\n"
        b"\xadbudget_tokensd\xabretention_s\xcb@N\x00\x00\x00\x00\x00\x00"
    )
    SETTLED = (
        b"\x86\xa4type\xaaSettleTurn\xaaprogram_id\xa1p\xaaattempt_id\xa1a\xa6tokens\t"
        b"\xa4turn\x84\xa7turn_id\xa1a\xa8previous\xc0\xa7content\xc4\x03one"
        b"\xabretention_s\xcb@N\x00\x00\x00\x00\x00\x00\xa9served_by\xa3i-1"
    )
    SNAPSHOT = (
        b"\x83\xa5age_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa8programs\x81\xa1p\x84"
        b"\xacspent_tokens\t\xa8reserved\x80\xa9used_last\xa3i-1"
        b"\xackeep_until_s\xcb@R\xc0\x00\x00\x00\x00\x00\xa5turns\x90",
        b"\x83\xa5age_s\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xa8programs\x80\xa5turns\x91\x82"
        b"\xa4turn\x84\xa7turn_id\xa1a\xa8previous\xc0\xa7content\xc4\x03one"
        b"\xabretention_s\xcb@N\x00\x00\x00\x00\x00\x00"
        b"\xackeep_until_s\xcb@R\xc0\x00\x00\x00\x00\x00",
    )

    def test_a_log_is_read(self):
        machine = TurnStateMachine()
        machine.apply(1, self.RESERVED)
        machine.apply(2, self.SETTLED)
        self.assertEqual(machine.history_of("a"), b"one")
        self.assertTrue(machine.knows_program("p"))

    def test_a_snapshot_is_read(self):
        machine = TurnStateMachine()
        for _ in machine.restore_parts(self.SNAPSHOT):
            pass
        self.assertEqual(machine.history_of("a"), b"one")
        self.assertTrue(machine.knows_program("p"))


class UsageTest(unittest.TestCase):
    def test_replicated_grants_are_forwarded_and_not_stored_in_the_state(self):
        forwarded = []
        machine = TurnStateMachine(lambda usages, group_s: forwarded.append((usages, group_s)))
        before = list(machine.snapshot_parts())
        usages = (TenantUsage("corner", 3),)
        machine.apply(1, encode_message(NoteUsage(usages=usages, group_s=1.5)))
        self.assertEqual(forwarded, [(usages, 1.5)])
        self.assertEqual(list(machine.snapshot_parts()), before)
