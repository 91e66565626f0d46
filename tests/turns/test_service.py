"""Turns on the store group's leader: slots, reservations and quotas, and their release."""

import functools
import unittest

import anyio
import msgspec
import trio.testing

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.scheduling.turn_scheduler import LEADER_WARMUP_S, TurnScheduler
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnRefused
from passlane.messages.quotas import (
    DrawQuota,
    QuotaGranted,
    QuotaLimit,
    QuotaPurpose,
    QuotaRequest,
)
from passlane.messages.turns import BudgetSpent, ReserveTurn, SettleTurn, TurnReserved
from passlane.transport.router import MessageRouter
from passlane.turns.dispatch import TICK_S, TurnDispatcher
from passlane.turns.service import TurnService
from passlane.turns.state.machine import TurnStateMachine

PROPOSE_S = 0.01
GRANT_TRANSIT_S = 0.004
ANSWER_S = 0.03
EARLIER_TURN = ReserveTurn(
    program_id="under-way", attempt_id="before", most_tokens=1, budget_tokens=100
)
QUOTA = QuotaRequest(
    limit=QuotaLimit(tenant="t", rate_per_s=2.0, burst=10.0, version=1),
    use=QuotaPurpose.BEGIN_PROGRAM,
    route="r",
)
"""A draw on a limit of 20 requests in a window."""
ENGINE = BackendRecord("e1", "llm", Address("10.0.0.1", 80), "a", 1, BackendState.READY)


class SingleReplicaGroup:
    """A group of one replica that leads while ``is_leader`` is set."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.term = 1
        self.leader_address = None
        self.commands = []

    async def read_barrier(self):
        await anyio.sleep(PROPOSE_S)
        if not self.is_leader:
            raise NotLeaderError("not the leader any more", None)

    async def propose(self, command, *, may_be_deferred=False):
        await anyio.sleep(PROPOSE_S)
        if not self.is_leader:
            raise PasslaneError(ErrorCode.LEASE_LOST, "not the leader any more")
        self.commands.append(command)
        return self.machine.apply(len(self.commands), command)


def with_leader(body=None, *, max_stored_bytes=None):
    """Run a test's body with a leading service and one engine with one slot."""
    if body is None:
        return functools.partial(with_leader, max_stored_bytes=max_stored_bytes)

    @functools.wraps(body)
    def test(self):
        async def main():
            machine = TurnStateMachine()
            self.group = SingleReplicaGroup(machine)
            self.dispatcher = TurnDispatcher(TurnScheduler())
            quotas = QuotaLedger(QuotaRules())
            self.service = TurnService(
                self.group, machine, MessageRouter(), quotas, self.dispatcher, max_stored_bytes
            )
            self.dispatcher.replace_backends([ENGINE])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.service.run)
                # A running program whose last engine is no longer listed.
                await self.service.reserve(EARLIER_TURN)
                await self.settle(EARLIER_TURN.attempt_id, EARLIER_TURN.program_id, served_by="e9")
                await anyio.sleep(LEADER_WARMUP_S)
                await body(self)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    return test


class SlotTest(unittest.TestCase):
    async def reserve(
        self, attempt: str, program: str = "p", *, most: int = 10, quota: QuotaRequest | None = None
    ) -> Message:
        demand = TurnDemand(
            service="llm", route="r", urgency=1, zone="a", program_time_left_s=5.0,
            time_left_s=4.0,
        )  # fmt: skip
        request = ReserveTurn(
            program_id=program, attempt_id=attempt, most_tokens=most, budget_tokens=100,
            demand=demand, quota=quota,
        )  # fmt: skip
        return await self.service.reserve(request)

    async def settle(self, attempt: str, program: str = "p", served_by: str = "e1") -> None:
        await self.service.settle(
            SettleTurn(program_id=program, attempt_id=attempt, tokens=1, served_by=served_by)
        )

    @with_leader
    async def test_a_reservation_names_the_engine_of_its_slot(self):
        answer = await self.reserve("a")
        self.assertEqual(answer, TurnReserved(engine="e1"))

    @with_leader
    async def test_the_next_turn_waits_until_the_slot_is_released(self):
        await self.reserve("a")
        await self.settle("a")
        await self.reserve("b")
        answers = []

        async def wait():
            answers.append(await self.reserve("c", "under-way"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0.2)
            self.assertEqual(answers, [])
            await self.settle("b")
        self.assertEqual(answers[0].engine, "e1")
        self.assertGreater(answers[0].place_wait_s, 0.19)

    @with_leader
    async def test_demand_and_outcome_are_not_replicated(self):
        await self.reserve("a")
        await self.settle("a")
        for command in self.group.commands:
            self.assertNotIn(b"demand", command)
            self.assertNotIn(b"outcome", command)

    @with_leader
    async def test_a_program_refused_for_lack_of_capacity_reserves_nothing(self):
        await self.reserve("a")
        before = len(self.group.commands)
        answer = await self.reserve("b", "q")
        self.assertIsInstance(answer, TurnRefused)
        self.assertEqual(len(self.group.commands), before)

    @with_leader
    async def test_a_turn_beyond_its_budget_occupies_no_slot(self):
        self.assertIsInstance(await self.reserve("a", most=1_000), BudgetSpent)
        self.assertEqual((await self.reserve("b", "q")).engine, "e1")

    @with_leader
    async def test_a_cancelled_request_occupies_no_slot(self):
        await self.reserve("a")
        with anyio.move_on_after(0.1):
            await self.reserve("b", "under-way")
        await self.settle("a")
        self.assertEqual((await self.reserve("c", "q")).engine, "e1")

    @with_leader
    async def test_waiting_requests_fail_at_once_when_leadership_is_lost(self):
        await self.reserve("a")

        async def lose():
            await anyio.sleep(0.1)
            self.group.is_leader = False

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lose)
            started = anyio.current_time()
            with self.assertRaises(NotLeaderError):
                await self.reserve("b", "under-way")
            self.assertLess(anyio.current_time() - started, 0.1 + 2 * TICK_S)

    @with_leader
    async def test_a_leader_of_a_new_term_lets_nodes_choose_engines_at_first(self):
        await self.reserve("a")
        self.group.term = 2
        self.assertEqual((await self.reserve("b", "q")).engine, "")
        await anyio.sleep(LEADER_WARMUP_S)
        self.assertEqual((await self.reserve("c", "r")).engine, "e1")

    @with_leader
    async def test_a_repeated_attempt_occupies_one_slot(self):
        first = await self.reserve("a")
        self.assertEqual(await self.reserve("a"), first)
        encoded = [c for c in self.group.commands if c == encode_message(
            ReserveTurn(program_id="p", attempt_id="a", most_tokens=10, budget_tokens=100)
        )]  # fmt: skip
        self.assertEqual(len(encoded), 2)
        await self.settle("a")
        self.assertEqual((await self.reserve("b", "q")).engine, "e1")

    async def reserve_and_cancel(self, attempt: str, program: str, after_s: float, **given) -> None:
        with anyio.move_on_after(after_s):
            await self.reserve(attempt, program, **given)

    @with_leader
    async def test_a_repeated_request_keeps_waiting_when_the_first_is_cancelled(self):
        await self.reserve("a")
        answers = []

        async def reserve_again():
            await anyio.sleep(0.1)
            answers.append(await self.reserve("b", "under-way"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reserve_and_cancel, "b", "under-way", 0.2)
            tasks.start_soon(reserve_again)
            await anyio.sleep(0.3)
            await self.settle("a")
        self.assertEqual(answers[0].engine, "e1")
        self.assertGreater(answers[0].place_wait_s, 0.29)

    @with_leader
    async def test_a_repeated_request_keeps_its_slot_when_the_first_is_cancelled(self):
        answers = []

        async def reserve_again():
            await anyio.sleep(0.001)
            answers.append(await self.reserve("b", "under-way"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.reserve_and_cancel, "b", "under-way", PROPOSE_S / 2)
            tasks.start_soon(reserve_again)
        self.assertEqual(answers[0].engine, "e1")
        self.assertEqual(self.dispatcher.scheduler.stats("llm").running, 1)

    @with_leader
    async def test_a_request_cancelled_at_any_time_occupies_no_slot(self):
        for number in range(30):
            await self.reserve_and_cancel(f"n{number}", f"new{number}", 0.0005 * number)
            await self.reserve_and_cancel(f"u{number}", "under-way", 0.0005 * number)
            if 0.0005 * number < PROPOSE_S:
                self.assertEqual(self.dispatcher.scheduler.stats("llm").running, 0)
            await self.settle(f"n{number}", f"new{number}")
            await self.settle(f"u{number}", "under-way")
        self.assertEqual(self.dispatcher.scheduler.stats("llm").running, 0)

    @with_leader
    async def test_requests_cancelled_while_waiting_use_no_quota(self):
        await self.reserve("a")
        for number in range(30):
            await self.reserve_and_cancel(f"b{number}", "under-way", 0.05, quota=QUOTA)
            await self.settle(f"b{number}", "under-way", served_by="")
        await self.settle("a")
        self.assertIsInstance(await self.reserve("c", "under-way", quota=QUOTA), TurnReserved)

    @with_leader
    async def test_a_new_term_is_detected_after_the_wait_for_quota(self):
        limit = QuotaLimit(tenant="t", rate_per_s=2.0, burst=0.0, version=1)
        quota = QuotaRequest(limit=limit, use=QuotaPurpose.BEGIN_PROGRAM, route="r")
        for number in range(10):
            await self.reserve(f"a{number}", "under-way", quota=quota)
            await self.settle(f"a{number}", "under-way")
        await anyio.sleep(4.6)
        answers = []

        async def wait():
            answers.append(await self.reserve("b", "under-way", quota=quota))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0.02)
            self.group.term = 3
        self.assertGreater(answers[0].limit_wait_s, 0.1)
        self.assertEqual(answers[0].engine, "")

    @with_leader
    async def test_a_program_whose_first_turn_was_cancelled_is_still_new(self):
        await self.reserve("a")
        await self.reserve_and_cancel("b", "q", 0.05)
        await self.settle("b", "q", served_by="")
        self.assertIsInstance(await self.reserve("c", "q"), TurnRefused)

    @with_leader
    async def test_a_limit_holds_for_calls_that_waited_for_a_back_end(self):
        call = msgspec.structs.replace(QUOTA, use=QuotaPurpose.STANDALONE, route="")
        sent = []

        async def make_call(wait_s):
            answer = await self.service.draw_quota(DrawQuota(call))
            if not isinstance(answer, QuotaGranted):
                return
            granted_at = anyio.current_time() + answer.start_after_s + GRANT_TRANSIT_S
            await anyio.sleep(answer.start_after_s + wait_s)
            sent.append(anyio.current_time())
            await anyio.sleep(ANSWER_S)
            sent_after_s = anyio.current_time() - granted_at
            late = msgspec.structs.replace(call, use=None, sent_after_s=sent_after_s)
            await self.service.draw_quota(DrawQuota(late))

        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(make_call, 2.0)
            for _ in range(200):
                tasks.start_soon(make_call, 0.2)
                await anyio.sleep(0.05)
        self.assertGreaterEqual(len(sent), 30)
        for sent_at in sent:
            self.assertLessEqual(sum(sent_at <= other < sent_at + 5.0 for other in sent), 20)

    @with_leader
    async def test_a_limit_holds_for_turns_that_waited_for_slots(self):
        sent = []

        async def run_turn(number):
            answer = await self.reserve(f"b{number}", "under-way", most=1, quota=QUOTA)
            if isinstance(answer, TurnReserved):
                sent.append(anyio.current_time())
            await self.settle(f"b{number}", "under-way", served_by="")

        await self.reserve("a")
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(run_turn, number)
            await anyio.sleep(0.9)
            await self.settle("a")
            await anyio.sleep(4.3)
            for number in range(20, 40):
                tasks.start_soon(run_turn, number)
        self.assertGreaterEqual(len(sent), 20)
        for sent_at in sent:
            self.assertLessEqual(sum(sent_at <= other < sent_at + 5.0 for other in sent), 20)

    @with_leader
    async def test_programs_refused_for_lack_of_capacity_use_no_quota(self):
        await self.reserve("a", "under-way")
        for number in range(30):
            refused = await self.reserve(f"r{number}", f"q{number}", quota=QUOTA)
            self.assertIsInstance(refused, TurnRefused)
        await self.settle("a", "under-way")
        self.assertIsInstance(await self.reserve("b", "q", quota=QUOTA), TurnReserved)
