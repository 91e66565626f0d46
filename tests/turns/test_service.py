"""Turns on the store group's leader: places beside reservations, and what becomes of both."""

import functools
import unittest

import anyio
import trio.testing

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.scheduling.turn_scheduler import LEARNING_S, TurnScheduler
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnRefused
from passlane.messages.quotas import QuotaDraw, QuotaLimit, QuotaUse
from passlane.messages.turns import BudgetSpent, ReserveTurn, SettleTurn, TurnReserved
from passlane.transport.router import MessageRouter
from passlane.turns.dispatch import TICK_S, TurnDispatcher
from passlane.turns.service import TurnService
from passlane.turns.state.machine import TurnStateMachine

PROPOSE_S = 0.01
BEFORE = ReserveTurn(program_id="under-way", attempt_id="before", most_tokens=1, budget_tokens=100)
QUOTA = QuotaDraw(
    limit=QuotaLimit(tenant="t", rate_per_s=2.0, burst=10.0, version=1),
    use=QuotaUse.BEGIN_PROGRAM,
    route="r",
)
"""Of a limit of 20 requests in a window."""
ENGINE = BackendRecord("e1", "llm", Address("10.0.0.1", 80), "a", 1, BackendState.READY)


class LoneGroup:
    """A group of one replica that leads while it is told to."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.term = 1
        self.leader_address = None
        self.commands = []

    async def propose(self, command, *, may_be_deferred=False):
        await anyio.sleep(PROPOSE_S)
        if not self.is_leader:
            raise PasslaneError(ErrorCode.LEASE_LOST, "not the leader any more")
        self.commands.append(command)
        return self.machine.apply(len(self.commands), command)


def with_leader(body):
    """Run a test's body with a service that leads and knows one engine of one place."""

    @functools.wraps(body)
    def test(self):
        async def main():
            machine = TurnStateMachine()
            self.group = LoneGroup(machine)
            self.dispatcher = TurnDispatcher(TurnScheduler())
            quotas = QuotaLedger(QuotaRules())
            self.service = TurnService(
                self.group, machine, MessageRouter(), quotas, self.dispatcher
            )
            self.dispatcher.replace_backends([ENGINE])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.service.run)
                # A program under way whose history is at an engine that is gone.
                await self.service.reserve(BEFORE)
                await self.settle(BEFORE.attempt_id, BEFORE.program_id, served_by="e9")
                await anyio.sleep(LEARNING_S)
                await body(self)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    return test


class PlaceTest(unittest.TestCase):
    async def reserve(
        self, attempt: str, program: str = "p", *, most: int = 10, quota: QuotaDraw | None = None
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
    async def test_a_turn_is_told_where_it_has_a_place(self):
        answer = await self.reserve("a")
        self.assertEqual(answer, TurnReserved(engine="e1"))

    @with_leader
    async def test_the_next_turn_waits_until_the_place_is_given_back(self):
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
    async def test_only_reservations_and_settlements_are_replicated(self):
        await self.reserve("a")
        await self.settle("a")
        for command in self.group.commands:
            self.assertNotIn(b"demand", command)
            self.assertNotIn(b"outcome", command)

    @with_leader
    async def test_a_program_that_finds_no_room_reserves_nothing(self):
        await self.reserve("a")
        before = len(self.group.commands)
        answer = await self.reserve("b", "q")
        self.assertIsInstance(answer, TurnRefused)
        self.assertEqual(len(self.group.commands), before)

    @with_leader
    async def test_a_turn_beyond_its_budget_keeps_no_place(self):
        self.assertIsInstance(await self.reserve("a", most=1_000), BudgetSpent)
        self.assertEqual((await self.reserve("b", "q")).engine, "e1")

    @with_leader
    async def test_a_turn_that_nobody_waits_for_keeps_no_place(self):
        await self.reserve("a")
        with anyio.move_on_after(0.1):
            await self.reserve("b", "under-way")
        await self.settle("a")
        self.assertEqual((await self.reserve("c", "q")).engine, "e1")

    @with_leader
    async def test_who_waits_learns_at_once_that_the_leader_has_lost_its_lead(self):
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
    async def test_a_leader_of_another_term_lets_nodes_choose_at_first(self):
        await self.reserve("a")
        self.group.term = 2
        self.assertEqual((await self.reserve("b", "q")).engine, "")
        await anyio.sleep(LEARNING_S)
        self.assertEqual((await self.reserve("c", "r")).engine, "e1")

    @with_leader
    async def test_the_same_attempt_asked_twice_has_one_place(self):
        first = await self.reserve("a")
        self.assertEqual(await self.reserve("a"), first)
        encoded = [c for c in self.group.commands if c == encode_message(
            ReserveTurn(program_id="p", attempt_id="a", most_tokens=10, budget_tokens=100)
        )]  # fmt: skip
        self.assertEqual(len(encoded), 2)
        await self.settle("a")
        self.assertEqual((await self.reserve("b", "q")).engine, "e1")

    async def ask_and_leave(self, attempt: str, program: str, after_s: float, **given) -> None:
        with anyio.move_on_after(after_s):
            await self.reserve(attempt, program, **given)

    @with_leader
    async def test_a_repeated_question_keeps_its_turn_when_the_first_one_ends(self):
        await self.reserve("a")
        answers = []

        async def ask_again():
            await anyio.sleep(0.1)
            answers.append(await self.reserve("b", "under-way"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ask_and_leave, "b", "under-way", 0.2)
            tasks.start_soon(ask_again)
            await anyio.sleep(0.3)
            await self.settle("a")
        self.assertEqual(answers[0].engine, "e1")
        self.assertGreater(answers[0].place_wait_s, 0.29)

    @with_leader
    async def test_a_repeated_question_keeps_its_place_when_the_first_one_ends(self):
        answers = []

        async def ask_again():
            await anyio.sleep(0.001)
            answers.append(await self.reserve("b", "under-way"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ask_and_leave, "b", "under-way", PROPOSE_S / 2)
            tasks.start_soon(ask_again)
        self.assertEqual(answers[0].engine, "e1")
        self.assertEqual(self.dispatcher.scheduler.figures("llm").running, 1)

    @with_leader
    async def test_who_leaves_at_any_moment_keeps_no_place(self):
        for number in range(30):
            await self.ask_and_leave(f"n{number}", f"new{number}", 0.0005 * number)
            await self.ask_and_leave(f"u{number}", "under-way", 0.0005 * number)
            if 0.0005 * number < PROPOSE_S:
                self.assertEqual(self.dispatcher.scheduler.figures("llm").running, 0)
            await self.settle(f"n{number}", f"new{number}")
            await self.settle(f"u{number}", "under-way")
        self.assertEqual(self.dispatcher.scheduler.figures("llm").running, 0)

    @with_leader
    async def test_callers_that_leave_while_they_wait_use_up_no_limit(self):
        await self.reserve("a")
        for number in range(30):
            await self.ask_and_leave(f"b{number}", "under-way", 0.05, quota=QUOTA)
            await self.settle(f"b{number}", "under-way", served_by="")
        await self.settle("a")
        self.assertIsInstance(await self.reserve("c", "under-way", quota=QUOTA), TurnReserved)

    @with_leader
    async def test_a_leader_of_another_term_knows_so_after_the_wait_for_a_limit(self):
        limit = QuotaLimit(tenant="t", rate_per_s=2.0, burst=0.0, version=1)
        quota = QuotaDraw(limit=limit, use=QuotaUse.BEGIN_PROGRAM, route="r")
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
    async def test_a_program_whose_first_turn_was_left_is_new_when_it_comes_back(self):
        await self.reserve("a")
        await self.ask_and_leave("b", "q", 0.05)
        await self.settle("b", "q", served_by="")
        self.assertIsInstance(await self.reserve("c", "q"), TurnRefused)

    @with_leader
    async def test_a_limit_holds_for_turns_that_waited_for_places(self):
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
        for moment in sent:
            self.assertLessEqual(sum(moment <= other < moment + 5.0 for other in sent), 20)

    @with_leader
    async def test_programs_that_find_no_room_use_up_no_limit(self):
        await self.reserve("a", "under-way")
        for number in range(30):
            refused = await self.reserve(f"r{number}", f"q{number}", quota=QUOTA)
            self.assertIsInstance(refused, TurnRefused)
        await self.settle("a", "under-way")
        self.assertIsInstance(await self.reserve("b", "q", quota=QUOTA), TurnReserved)
