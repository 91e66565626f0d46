"""A node's client of the store group while the leader changes, is silent, or is unavailable."""

import functools
import random
import unittest

import anyio
import trio.testing

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.turns import (
    BudgetSpent,
    FindTurnStore,
    ReserveTurn,
    TurnReserved,
    TurnStoreFound,
)
from passlane.turns.client import TurnStoreClient

STORES = [Address(f"10.2.0.{number}", 7000) for number in range(1, 5)]


def reservation(attempt_id="a"):
    return ReserveTurn(program_id="p", attempt_id=attempt_id, most_tokens=10, budget_tokens=100)


class ScriptedStores:
    """Store replicas of which one leads; silent ones receive requests and never answer."""

    def __init__(self, leader):
        self.leader = leader
        self.term = 1
        self.silent = set()
        self.known = list(STORES)
        self.delay_s = 0.003
        self.calls = []
        self.answers = []

    def elect(self, leader):
        self.leader = leader
        self.term += 1

    async def call(self, address, request, reply, *, timeout_s):
        self.calls.append((anyio.current_time(), address, request))
        with anyio.move_on_after(timeout_s):
            if address in self.silent:
                await anyio.sleep_forever()
            await anyio.sleep(self.delay_s)
            if address != self.leader:
                raise NotLeaderError("not the leader", None)
            if isinstance(request, FindTurnStore):
                return TurnStoreFound(term=self.term)
            answer = self.answers.pop(0) if self.answers else TurnReserved()
            if isinstance(answer, PasslaneError):
                raise answer
            return answer
        raise PasslaneError(ErrorCode.TIMEOUT, "no answer")

    def sent_to(self, address, kind=ReserveTurn):
        return [at for at, to, request in self.calls if to == address and isinstance(request, kind)]


def on_virtual_clock(leader=STORES[0]):
    """Run a test's body on a virtual clock, with a client of scripted stores."""

    def decorate(body):
        @functools.wraps(body)
        def test(self):
            async def main():
                stores = ScriptedStores(leader)
                client = TurnStoreClient(stores, lambda: stores.known, random.Random(1))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(client.run)
                    await body(self, client, stores)
                    tasks.cancel_scope.cancel()

            clock = trio.testing.MockClock(autojump_threshold=0)
            anyio.run(main, backend="trio", backend_options={"clock": clock})

        return test

    return decorate


class TurnStoreClientTest(unittest.TestCase):
    @on_virtual_clock()
    async def test_requests_go_only_to_the_known_leader(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.calls.clear()
        await client.reserve(reservation("b"), timeout_s=1.0)
        self.assertEqual([address for _, address, _ in stores.calls], [STORES[0]])

    @on_virtual_clock()
    async def test_a_refusal_reports_a_possible_reservation_of_an_earlier_attempt(
        self, client, stores
    ):
        refusal = BudgetSpent(spent_tokens=30, reserved_tokens=0)
        await client.reserve(reservation(), timeout_s=1.0)
        stores.answers = [refusal]
        known = await client.reserve(reservation("b"), timeout_s=1.0)
        self.assertEqual((known.answer, known.may_be_reserved), (refusal, False))
        lost = PasslaneError(ErrorCode.CONNECTION_LOST, "reset", verdict=Verdict.MAY_HAVE_RUN)
        stores.answers = [lost, refusal]
        doubtful = await client.reserve(reservation("c"), timeout_s=1.0)
        self.assertEqual((doubtful.answer, doubtful.may_be_reserved), (refusal, True))
        stores.silent.add(STORES[0])
        stores.elect(STORES[1])
        stores.answers = [refusal]
        moved = await client.reserve(reservation("e"), timeout_s=1.5)
        self.assertEqual((moved.answer, moved.may_be_reserved), (refusal, True))
        not_sent = PasslaneError(ErrorCode.UNAVAILABLE, "no connection")
        stores.answers = [not_sent, refusal]
        unsent = await client.reserve(reservation("d"), timeout_s=1.0)
        self.assertFalse(unsent.may_be_reserved)

    @on_virtual_clock()
    async def test_the_leader_is_found_before_the_first_request(self, client, stores):
        stores.known.clear()
        await anyio.sleep(0.6)
        stores.known.extend(STORES)
        await anyio.sleep(0.1)
        stores.calls.clear()
        await client.reserve(reservation(), timeout_s=1.0)
        self.assertEqual([address for _, address, _ in stores.calls], [STORES[0]])

    @on_virtual_clock()
    async def test_a_request_moves_from_a_silent_leader_to_the_new_one(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.silent.add(STORES[0])
        stores.elect(STORES[1])
        started = anyio.current_time()
        await client.reserve(reservation("b"), timeout_s=1.5)
        self.assertLess(anyio.current_time() - started, 0.35)

    @on_virtual_clock()
    async def test_a_late_failure_of_the_former_leader_has_no_effect(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.silent.add(STORES[0])
        stores.elect(STORES[1])
        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(
                    functools.partial(client.reserve, reservation(f"early-{number}"), timeout_s=1.5)
                )
                await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        stores.calls.clear()
        await client.reserve(reservation("late"), timeout_s=1.0)
        self.assertEqual([address for _, address, _ in stores.calls], [STORES[1]])
        self.assertFalse(client.is_unavailable)

    @on_virtual_clock()
    async def test_waiting_requests_share_one_search(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.silent.update(STORES)
        stores.calls.clear()

        async def fail(number):
            with self.assertRaises(PasslaneError):
                await client.reserve(reservation(f"r-{number}"), timeout_s=1.0)

        async with anyio.create_task_group() as tasks:
            for number in range(20):
                tasks.start_soon(fail, number)
        probes = [request for _, _, request in stores.calls if isinstance(request, FindTurnStore)]
        self.assertLessEqual(len(probes), 10 * len(STORES))

    @on_virtual_clock()
    async def test_a_silent_group_becomes_unavailable_and_recovers(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.silent.update(STORES)
        with self.assertRaises(PasslaneError):
            await client.reserve(reservation("b"), timeout_s=1.5)
        self.assertTrue(client.is_unavailable)
        started = anyio.current_time()
        with self.assertRaises(PasslaneError):
            await client.reserve(reservation("c"), timeout_s=1.5)
        self.assertLess(anyio.current_time() - started, 0.5)
        stores.silent.clear()
        stores.elect(STORES[2])
        await anyio.sleep(0.5)
        self.assertFalse(client.is_unavailable)
        await client.reserve(reservation("d"), timeout_s=0.1)

    @on_virtual_clock()
    async def test_a_slow_leader_is_kept_while_no_other_leads(self, client, stores):
        await client.reserve(reservation(), timeout_s=1.0)
        stores.delay_s = 0.4
        stores.calls.clear()
        await client.reserve(reservation("b"), timeout_s=1.5)
        self.assertEqual(len(stores.sent_to(STORES[0])), 1)

    @on_virtual_clock()
    async def test_a_leader_of_an_older_term_is_not_accepted(self, client, stores):
        stores.elect(STORES[1])
        await client.reserve(reservation(), timeout_s=1.0)
        stores.silent.add(STORES[1])
        stores.leader = STORES[0]
        stores.term = 1
        with self.assertRaises(PasslaneError):
            await client.reserve(reservation("b"), timeout_s=1.0)
        self.assertEqual(stores.sent_to(STORES[0]), [])
