"""Turns that cannot be stored or served again are refused before they run.

Guards against chains that are stored and never served, because they do not fit an answer of the
store group, and against stored turns that need more than a storage machine's memory.
"""

import unittest

import anyio

from passlane.decisions.limits.turn_storage import (
    MAX_CHAIN_BYTES,
    MAX_INPUT_BYTES,
    PENDING_TIMEOUT_S,
    TURN_OVERHEAD_BYTES,
    TurnStorage,
    max_stored_bytes,
)
from passlane.messages.base import encode_message
from passlane.messages.common import NotLeaderError
from passlane.messages.placement import TurnRefused, TurnsFull, TurnTooLarge
from passlane.messages.raft import AppendRequest, EntryKind, LogEntry
from passlane.messages.turns import (
    ReserveTurn,
    RetainedTurn,
    SettleTurn,
    TurnReserved,
    TurnUnknown,
)
from passlane.replication.replica_host import MAX_COMMAND_BYTES
from passlane.turns.state.machine import RETENTION_MARGIN_S
from turns.test_service import with_leader

OLDER_FRAME_BYTES = 16_000_000
"""Largest frame that older builds accept."""
LARGE_BYTES = 3_300_000
RETENTION_S = 60.0
MEMORY_MB = 320.0
"""Memory of a storage machine of the smallest sites."""


class ChainTest(unittest.TestCase):
    async def reserve(self, attempt, input_bytes, previous=None):
        request = ReserveTurn(
            program_id="p", attempt_id=attempt, most_tokens=1, budget_tokens=None,
            previous=previous, retention_s=RETENTION_S, input_bytes=input_bytes,
        )  # fmt: skip
        return await self.service.reserve(request)

    async def settle(self, attempt_id, program_id, *, served_by):
        """The set-up of ``with_leader`` settles a turn; it has no effect here."""

    async def settle_turn(self, attempt, size_bytes=None, previous=None):
        turn = None
        if size_bytes is not None:
            turn = RetainedTurn(
                turn_id=attempt, previous=previous, content=bytes(size_bytes),
                retention_s=RETENTION_S,
            )  # fmt: skip
        await self.service.settle(
            SettleTurn(program_id="p", attempt_id=attempt, tokens=0, turn=turn)
        )

    @with_leader
    async def test_each_stored_chain_is_served_again(self):
        previous = None
        for number in range(10):
            answer = await self.reserve(f"t{number}", LARGE_BYTES, previous)
            if isinstance(answer, TurnRefused):
                break
            await self.settle_turn(f"t{number}", LARGE_BYTES, previous)
            previous = f"t{number}"
        self.assertEqual(
            answer.too_large, TurnTooLarge(4 * LARGE_BYTES, LARGE_BYTES, MAX_INPUT_BYTES)
        )
        answer = await self.reserve("next", 100, previous)
        self.assertEqual(len(answer.history), 4 * LARGE_BYTES)
        self.assertLess(len(encode_message(answer)), OLDER_FRAME_BYTES)

    @with_leader
    async def test_a_refused_turn_reserves_nothing(self):
        before = len(self.group.commands)
        answer = await self.reserve("t", MAX_INPUT_BYTES + 1)
        self.assertEqual(answer.too_large, TurnTooLarge(0, MAX_INPUT_BYTES + 1, MAX_INPUT_BYTES))
        self.assertEqual(len(self.group.commands), before)

    @with_leader
    async def test_an_unknown_turn_is_told_as_such(self):
        self.assertEqual(await self.reserve("t", 10, "never"), TurnUnknown("never"))

    @with_leader
    async def test_the_size_of_the_input_is_not_replicated(self):
        await self.reserve("t", 10)
        self.assertNotIn(b"input_bytes", b"".join(self.group.commands))

    @with_leader(max_stored_bytes=5 * LARGE_BYTES)
    async def test_stored_and_admitted_turns_count_together(self):
        await self.reserve("t0", LARGE_BYTES)
        await self.settle_turn("t0", LARGE_BYTES)
        for number in range(1, 4):
            self.assertIsInstance(await self.reserve(f"t{number}", LARGE_BYTES), TurnReserved)
        answer = await self.reserve("t4", LARGE_BYTES)
        self.assertIsInstance(answer.full, TurnsFull)
        await self.settle_turn("t1")
        self.assertIsInstance(await self.reserve("t4", LARGE_BYTES), TurnReserved)

    @with_leader(max_stored_bytes=3 * LARGE_BYTES)
    async def test_a_refused_turn_is_told_when_turns_have_expired(self):
        for number in range(2):
            await self.reserve(f"t{number}", LARGE_BYTES)
            await self.settle_turn(f"t{number}", LARGE_BYTES)
            await anyio.sleep(10.0)
        answer = await self.reserve("next", LARGE_BYTES)
        expected_s = RETENTION_S + RETENTION_MARGIN_S - 20.0
        self.assertAlmostEqual(answer.retry_after_s, expected_s, delta=2.5)
        await anyio.sleep(answer.retry_after_s + 2.0)
        self.assertIsInstance(await self.reserve("next", LARGE_BYTES), TurnReserved)

    @with_leader(max_stored_bytes=3 * LARGE_BYTES)
    async def test_small_turns_are_admitted_beside_large_ones_until_the_bound(self):
        for number in range(2):
            await self.reserve(f"t{number}", LARGE_BYTES)
            await self.settle_turn(f"t{number}", LARGE_BYTES)
        self.assertIsInstance(await self.reserve("small", 100, "t0"), TurnReserved)

    @with_leader(max_stored_bytes=3 * LARGE_BYTES)
    async def test_only_the_leader_answers(self):
        self.group.is_leader = False
        with self.assertRaises(NotLeaderError):
            await self.reserve("t", LARGE_BYTES)
        self.group.is_leader = True

    @with_leader(max_stored_bytes=3 * LARGE_BYTES)
    async def test_an_older_node_tells_no_size_and_is_admitted(self):
        for number in range(5):
            answer = await self.reserve(f"t{number}", None)
            self.assertIsInstance(answer, TurnReserved)


class TurnStorageTest(unittest.TestCase):
    def test_a_turn_that_is_never_settled_is_forgotten(self):
        storage = TurnStorage(10_000)
        storage.admit("a", 5_000, 0.0)
        self.assertGreater(storage.missing_bytes("b", 5_000, 0), 0)
        storage.admit("c", 0, PENDING_TIMEOUT_S + 1.0)
        self.assertEqual(storage.pending_bytes, TURN_OVERHEAD_BYTES)

    def test_a_repeated_request_counts_once(self):
        storage = TurnStorage(10_000)
        for _ in range(3):
            self.assertEqual(storage.missing_bytes("a", 8_000, 0), 0)
            storage.admit("a", 8_000, 0.0)
        self.assertEqual(storage.pending_bytes, 8_000 + TURN_OVERHEAD_BYTES)

    def test_without_a_known_memory_there_is_no_bound(self):
        storage = TurnStorage(max_stored_bytes(None))
        self.assertEqual(storage.missing_bytes("a", 10**9, 10**9), 0)

    def test_the_smallest_sites_store_twenty_large_turns(self):
        self.assertGreater(max_stored_bytes(MEMORY_MB), 20 * (LARGE_BYTES + TURN_OVERHEAD_BYTES))


class MessageSizeTest(unittest.TestCase):
    """What is accepted in one place fits the next one."""

    def test_the_largest_turn_fits_a_command(self):
        turn = RetainedTurn(
            turn_id="t" * 200, previous="p" * 200, content=bytes(MAX_CHAIN_BYTES), retention_s=1.0
        )
        command = SettleTurn(program_id="p" * 200, attempt_id="t" * 200, tokens=1, turn=turn)
        self.assertLess(len(encode_message(command)), MAX_COMMAND_BYTES)

    def test_the_largest_command_fits_a_frame_of_older_builds(self):
        entry = LogEntry(
            index=2**40, term=2**40, kind=EntryKind.COMMAND, data=bytes(MAX_COMMAND_BYTES)
        )
        request = AppendRequest(
            group="g" * 100, sender="s" * 100, receiver="r" * 100, term=2**40,
            previous_index=2**40, previous_term=2**40, commit_index=2**40, entries=(entry,),
            read_round=2**40,
        )  # fmt: skip
        self.assertLess(len(encode_message(request)), OLDER_FRAME_BYTES)

    def test_the_largest_chain_fits_a_frame_of_older_builds(self):
        answer = TurnReserved(history=bytes(MAX_CHAIN_BYTES), used_last="e" * 200)
        self.assertLess(len(encode_message(answer)), OLDER_FRAME_BYTES)


if __name__ == "__main__":
    unittest.main()
