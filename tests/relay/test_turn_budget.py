"""All tokens that engines may have generated for a turn count against its program's budget.

Guards against settling a broken answer by the events that its caller received: the engine may have
generated all tokens, so that the program exceeds its budget.
"""

import math
import unittest

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.turns import ReserveTurn, SettleTurn, TurnReserved
from passlane.relay.turn_account import BACKGROUND_SETTLE_TIMEOUT_S
from passlane.turns.client import Reservation
from passlane.turns.state.machine import TurnStateMachine
from relay.fakes import AT_CAPACITY, Reset, Script, ScriptedStore, Unreachable, Unresponsive, head
from relay.test_service import CORNER, EVENT_1, EVENT_2, REFUSED, STREAM, TURNS, WITH_KEY, RelayCase

TOKENS_PER_EVENT = 9
"""As configured for the engine service in these tests."""
MAX_TOKENS = 5 * TOKENS_PER_EVENT
BUDGET = 3 * MAX_TOKENS
EVENTS = tuple(f"id: {number}\ndata: {number}\n\n".encode() for number in range(1, 6))
RESUMABLE = STREAM | {"is_resumable": True, "max_attempts": 2}


class AccountingStore(ScriptedStore):
    """A store group of one replica.

    From the reservation number ``refuses_from`` on, reservations time out; without
    ``answers_settlements``, settlements time out.
    """

    def __init__(self, spent=0, *, refuses_from=math.inf, answers_settlements=True):
        super().__init__()
        self.machine = TurnStateMachine()
        self.refuses_from = refuses_from
        self.answers_settlements = answers_settlements
        if spent:
            before = ReserveTurn(
                program_id="p", attempt_id="before", most_tokens=spent, budget_tokens=BUDGET
            )
            self.machine.execute(before)

    async def reserve(self, request, *, timeout_s):
        self.reserved.append(request)
        if len(self.reserved) >= self.refuses_from:
            raise PasslaneError(ErrorCode.TIMEOUT, "the store group did not answer in time")
        answer = self.machine.execute(request)
        return Reservation(answer, isinstance(answer, TurnReserved))

    async def settle(self, request, *, timeout_s):
        if not self.answers_settlements:
            raise PasslaneError(ErrorCode.TIMEOUT, "no majority")
        self.settled.append(request)
        return self.machine.execute(request)

    @property
    def left(self):
        """Tokens that the program can still reserve."""
        free = 0
        while self._takes(free + 1):
            free += 1
        return free

    def _takes(self, tokens):
        probe = ReserveTurn(
            program_id="p", attempt_id="probe", most_tokens=tokens, budget_tokens=BUDGET
        )
        answer = self.machine.execute(probe)
        if isinstance(answer, TurnReserved):
            settlement = SettleTurn(program_id="p", attempt_id="probe", tokens=0)
            self.machine.execute(settlement)
        return isinstance(answer, TurnReserved)


class TurnBudgetCase(RelayCase):
    def relay_turn(self, scripts, *, store=None, **more):
        """Relay one turn of a program; return the remaining tokens of its budget."""
        changes = {"budget": BUDGET, "max_tokens": MAX_TOKENS}
        self.store = store or AccountingStore()
        self.relay(scripts, call_changes=changes, store=self.store, **(STREAM | more))
        return self.store.left


class OneRunTest(TurnBudgetCase):
    def test_a_completed_turn_counts_the_generated_tokens(self):
        self.assertEqual(self.relay_turn([Script(head(), *EVENTS[:2])]), BUDGET - 18)

    def test_a_run_that_breaks_off_counts_all_tokens_that_it_may_have_generated(self):
        for scripts in (
            [Script(head(), broken=True)],
            [Script(head(), *EVENTS[:2], broken=True)],
            [Reset()],
        ):
            self.assertEqual(self.relay_turn(scripts), BUDGET - MAX_TOKENS)

    def test_a_run_whose_caller_disconnects_counts_all_tokens(self):
        scripts = [Script(head(), *EVENTS, delay_s=0.1)]
        self.assertEqual(self.relay_turn(scripts, stops_after_s=0.25), BUDGET - MAX_TOKENS)

    def test_a_run_that_exceeds_the_routes_timeout_counts_all_tokens(self):
        self.assertEqual(self.relay_turn([Unresponsive()]), BUDGET - MAX_TOKENS)
        scripts = [Script(head(), *EVENTS, delay_s=1.5)]
        self.assertEqual(self.relay_turn(scripts), BUDGET - MAX_TOKENS)

    def test_a_run_with_a_reported_failure_counts_all_tokens(self):
        self.assertEqual(self.relay_turn([Script(head(500), b"sorry")]), BUDGET - MAX_TOKENS)

    def test_a_run_whose_settlement_times_out_counts_all_tokens(self):
        store = AccountingStore(answers_settlements=False)
        scripts = [Script(head(), *EVENTS[:2], broken=True)]
        self.assertEqual(self.relay_turn(scripts, store=store), BUDGET - MAX_TOKENS)
        self.assertLess(self.elapsed_s, BACKGROUND_SETTLE_TIMEOUT_S)

    def test_a_turn_that_certainly_did_not_run_counts_nothing(self):
        self.assertEqual(self.relay_turn([Script(AT_CAPACITY)] * 400), BUDGET)
        self.assertEqual(self.relay_turn([Unreachable()] * 400), BUDGET)
        self.assertEqual(self.relay_turn([Script(head(400), b"unreadable")]), BUDGET)

    def test_a_refusal_before_a_completed_run_counts_nothing(self):
        scripts = [Script(AT_CAPACITY), Script(head(), *EVENTS)]
        self.assertEqual(self.relay_turn(scripts), BUDGET - MAX_TOKENS)


class SeveralRunsTest(TurnBudgetCase):
    def test_each_run_counts_separately(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Script(head(), *EVENTS[1:])]
        left = self.relay_turn(scripts, **RESUMABLE)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"".join(EVENTS)))
        self.assertEqual(left, BUDGET - MAX_TOKENS - (MAX_TOKENS - TOKENS_PER_EVENT))

    def test_a_later_run_that_generates_less_counts_less(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Script(head(), EVENTS[1])]
        left = self.relay_turn(scripts, **RESUMABLE)
        self.assertEqual(left, BUDGET - MAX_TOKENS - TOKENS_PER_EVENT)

    def test_two_runs_that_break_off_both_count(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Reset()]
        left = self.relay_turn(scripts, **RESUMABLE)
        self.assertEqual(left, BUDGET - MAX_TOKENS - (MAX_TOKENS - TOKENS_PER_EVENT))

    def test_a_later_run_that_is_refused_counts_nothing(self):
        scripts = [Script(head(), EVENTS[0], broken=True)] + [Script(AT_CAPACITY)] * 400
        self.assertEqual(self.relay_turn(scripts, **RESUMABLE), BUDGET - MAX_TOKENS)

    def test_no_second_run_if_the_budget_does_not_cover_it(self):
        store = AccountingStore(spent=2 * MAX_TOKENS)
        scripts = [Reset(), Script(head(), *EVENTS)]
        left = self.relay_turn(scripts, store=store, **RESUMABLE)
        self.assertEqual((left, len(self.backends.requested)), (0, 1))
        self.assertEqual(self.writer.status, 502)

    def test_no_second_run_if_its_reservation_times_out(self):
        store = AccountingStore(refuses_from=2)
        scripts = [Reset(), Script(head(), *EVENTS)]
        left = self.relay_turn(scripts, store=store, **RESUMABLE)
        self.assertEqual((left, len(self.backends.requested)), (BUDGET - MAX_TOKENS, 1))
        self.assertEqual(self.writer.status, 502)

    def test_a_stored_turn_that_completes_settles_all_its_runs(self):
        scripts = [Script(head(), EVENT_1, broken=True), Script(head(), EVENT_2)]
        left = self.relay_turn(scripts, **(TURNS | RESUMABLE))
        self.assertEqual(left, BUDGET - MAX_TOKENS - TOKENS_PER_EVENT)
        stored = [settled.turn for settled in self.store.settled if settled.turn is not None]
        self.assertEqual([turn.turn_id for turn in stored], ["r-1"])
        self.assertFalse(self.store.machine._programs["p"].reserved)


class LimitTest(TurnBudgetCase):
    """A further run also counts against its tenant's limit, by the same reservation."""

    def relay_limited_turn(self, store):
        limited = msgspec.structs.replace(CORNER, rate_per_s=1.0, burst=1)
        changes = WITH_KEY | {"budget": BUDGET, "max_tokens": MAX_TOKENS}
        scripts = [Reset(), Script(head(), *EVENTS)]
        self.relay(scripts, call_changes=changes, store=store, tenants=(limited,), **RESUMABLE)

    def test_each_run_draws_on_the_limit_once(self):
        store = AccountingStore()
        self.relay_limited_turn(store)
        self.assertEqual(self.writer.status, 200)
        self.assertEqual([request.quota is not None for request in store.reserved], [True, True])
        self.assertEqual(store.drawn, [])

    def test_no_further_run_if_the_limit_is_exhausted(self):
        store = AccountingStore()
        reserve = store.reserve

        async def refuse_the_second(request, *, timeout_s):
            if store.reserved:
                return Reservation(REFUSED, False)
            return await reserve(request, timeout_s=timeout_s)

        store.reserve = refuse_the_second
        self.relay_limited_turn(store)
        self.assertEqual((self.writer.status, len(self.backends.requested)), (502, 1))


if __name__ == "__main__":
    unittest.main()
