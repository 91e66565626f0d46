"""What engines may have generated for a turn counts against its program's budget.

What happens: a program of 135 tokens had 162 generated for it. Its turns are 54 tokens each, and it
takes each twice at the same time.

Why: a turn was settled by the events that its caller had got. An answer that broke off had given
its caller nothing, though its engine had generated all of it, so it was settled with 0 tokens and
its reservation was free for another turn.

What showed it, from soaks with seeds 13 and 23: ``request_ended`` of ``long-13-162-0b.0`` has
``status`` 200, ``reason`` "the answer broke off: ReadError('')", ``events`` 0, ``verdict``
"may_have_run"; its engine went on to 54 tokens. ``0b.1`` and ``0a.0`` then ran whole: 3 x 54 = 162.
"""

import math
import unittest

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.turns import ReserveTurn, SettleTurn, TurnReserved
from passlane.relay.turn_account import BACKGROUND_SETTLE_S
from passlane.turns.client import Reservation
from passlane.turns.state.machine import TurnStateMachine
from relay.fakes import FULL, Mute, Reset, Script, ScriptedStore, Unreachable, head
from relay.test_service import CORNER, EVENT_1, EVENT_2, REFUSED, STREAM, TURNS, WITH_KEY, RelayCase

TOKENS_PER_EVENT = 9
"""Of the service of engines in these tests' configuration."""
MOST = 5 * TOKENS_PER_EVENT
BUDGET = 3 * MOST
EVENTS = tuple(f"id: {number}\ndata: {number}\n\n".encode() for number in range(1, 6))
RESUMABLE = STREAM | {"is_resumable": True, "max_attempts": 2}


class AccountingStore(ScriptedStore):
    """A store group of one replica.

    ``refuses_from`` is the number of the reservation from which on nobody answers; without
    ``answers_settlements`` none is carried out.
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
    def take_turn(self, scripts, *, store=None, **more):
        """Relay one turn of a program; return what its budget still holds after it."""
        changes = {"budget": BUDGET, "most": MOST}
        self.store = store or AccountingStore()
        self.relay(scripts, call_changes=changes, store=self.store, **(STREAM | more))
        return self.store.left


class OneRunTest(TurnBudgetCase):
    def test_a_whole_turn_counts_what_was_generated(self):
        self.assertEqual(self.take_turn([Script(head(), *EVENTS[:2])]), BUDGET - 18)

    def test_a_run_that_breaks_off_counts_all_that_it_may_have_generated(self):
        for scripts in (
            [Script(head(), broken=True)],
            [Script(head(), *EVENTS[:2], broken=True)],
            [Reset()],
        ):
            self.assertEqual(self.take_turn(scripts), BUDGET - MOST)

    def test_so_does_one_that_its_caller_leaves(self):
        scripts = [Script(head(), *EVENTS, delay_s=0.1)]
        self.assertEqual(self.take_turn(scripts, stops_after_s=0.25), BUDGET - MOST)

    def test_so_does_one_that_the_routes_time_ends(self):
        self.assertEqual(self.take_turn([Mute()]), BUDGET - MOST)
        scripts = [Script(head(), *EVENTS, delay_s=1.5)]
        self.assertEqual(self.take_turn(scripts), BUDGET - MOST)

    def test_so_does_a_failure_that_its_engine_tells(self):
        self.assertEqual(self.take_turn([Script(head(500), b"sorry")]), BUDGET - MOST)

    def test_so_does_one_whose_settlement_nobody_took(self):
        store = AccountingStore(answers_settlements=False)
        scripts = [Script(head(), *EVENTS[:2], broken=True)]
        self.assertEqual(self.take_turn(scripts, store=store), BUDGET - MOST)
        self.assertLess(self.elapsed_s, BACKGROUND_SETTLE_S)

    def test_what_certainly_did_not_run_counts_nothing(self):
        self.assertEqual(self.take_turn([Script(FULL)] * 400), BUDGET)
        self.assertEqual(self.take_turn([Unreachable()] * 400), BUDGET)
        self.assertEqual(self.take_turn([Script(head(400), b"unreadable")]), BUDGET)

    def test_a_refusal_before_a_whole_run_counts_nothing(self):
        scripts = [Script(FULL), Script(head(), *EVENTS)]
        self.assertEqual(self.take_turn(scripts), BUDGET - MOST)


class SeveralRunsTest(TurnBudgetCase):
    def test_each_run_counts_for_itself(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Script(head(), *EVENTS[1:])]
        left = self.take_turn(scripts, **RESUMABLE)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"".join(EVENTS)))
        self.assertEqual(left, BUDGET - MOST - (MOST - TOKENS_PER_EVENT))

    def test_a_later_run_that_generates_less_counts_less(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Script(head(), EVENTS[1])]
        left = self.take_turn(scripts, **RESUMABLE)
        self.assertEqual(left, BUDGET - MOST - TOKENS_PER_EVENT)

    def test_two_runs_that_break_off_count_both(self):
        scripts = [Script(head(), *EVENTS[:1], broken=True), Reset()]
        left = self.take_turn(scripts, **RESUMABLE)
        self.assertEqual(left, BUDGET - MOST - (MOST - TOKENS_PER_EVENT))

    def test_a_later_run_that_is_refused_counts_nothing(self):
        scripts = [Script(head(), EVENTS[0], broken=True)] + [Script(FULL)] * 400
        self.assertEqual(self.take_turn(scripts, **RESUMABLE), BUDGET - MOST)

    def test_no_second_run_without_the_tokens_for_it(self):
        store = AccountingStore(spent=2 * MOST)
        scripts = [Reset(), Script(head(), *EVENTS)]
        left = self.take_turn(scripts, store=store, **RESUMABLE)
        self.assertEqual((left, len(self.backends.asked)), (0, 1))
        self.assertEqual(self.writer.status, 502)

    def test_no_second_run_while_nobody_answers_for_the_tokens(self):
        store = AccountingStore(refuses_from=2)
        scripts = [Reset(), Script(head(), *EVENTS)]
        left = self.take_turn(scripts, store=store, **RESUMABLE)
        self.assertEqual((left, len(self.backends.asked)), (BUDGET - MOST, 1))
        self.assertEqual(self.writer.status, 502)

    def test_a_kept_turn_that_ends_whole_settles_all_its_runs(self):
        scripts = [Script(head(), EVENT_1, broken=True), Script(head(), EVENT_2)]
        left = self.take_turn(scripts, **(TURNS | RESUMABLE))
        self.assertEqual(left, BUDGET - MOST - TOKENS_PER_EVENT)
        kept = [settled.turn for settled in self.store.settled if settled.turn is not None]
        self.assertEqual([turn.turn_id for turn in kept], ["r-1"])
        self.assertFalse(self.store.machine._programs["p"].reserved)


class LimitTest(TurnBudgetCase):
    """A further run counts against its tenant's limit too, by the same reservation."""

    def take_limited_turn(self, store):
        limited = msgspec.structs.replace(CORNER, rate_per_s=1.0, burst=1)
        changes = WITH_KEY | {"budget": BUDGET, "most": MOST}
        scripts = [Reset(), Script(head(), *EVENTS)]
        self.relay(scripts, call_changes=changes, store=store, tenants=(limited,), **RESUMABLE)

    def test_each_run_draws_on_it_once(self):
        store = AccountingStore()
        self.take_limited_turn(store)
        self.assertEqual(self.writer.status, 200)
        self.assertEqual([request.quota is not None for request in store.reserved], [True, True])
        self.assertEqual(store.drawn, [])

    def test_without_room_in_it_there_is_no_further_run(self):
        store = AccountingStore()
        reserve = store.reserve

        async def refuse_the_second(request, *, timeout_s):
            if store.reserved:
                return Reservation(REFUSED, False)
            return await reserve(request, timeout_s=timeout_s)

        store.reserve = refuse_the_second
        self.take_limited_turn(store)
        self.assertEqual((self.writer.status, len(self.backends.asked)), (502, 1))


if __name__ == "__main__":
    unittest.main()
