"""Tests of the turn scheduler: order, placement, admission and failures."""

import unittest

import msgspec

from passlane.decisions.admission.program_admission import (
    MAX_ADMISSION_WAIT_AFTER_RETRY_S,
    MAX_ADMISSION_WAIT_S,
    MAX_RETRY_S,
    RETRY_GRACE_S,
)
from passlane.decisions.inputs.turn_events import (
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.order.turn_queue import MAX_OVERDUE_WAIT_S
from passlane.decisions.scheduling.slot_assigner import MIN_SLOT_S
from passlane.decisions.scheduling.turn_admission import MAX_LOOPING_HOLD_S
from passlane.decisions.scheduling.turn_scheduler import LEADER_WARMUP_S, TurnScheduler
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

URGENT, NORMAL = 0, 2


def engine(
    name: str, slots: int = 2, state: BackendState = BackendState.READY, version: str = "v1"
) -> BackendRecord:
    address = Address("10.0.0.1", 80)
    return BackendRecord(name, "llm", address, "a", slots, state, software_version=version)


def slot_request(attempt: str, program: str = "", **given: object) -> TurnRequested:
    """Return a turn's request; it is the first of its program unless ``is_first=False``."""
    demand = {"urgency": NORMAL, "program_time_left_s": 5.0, "tenant": "", "memory_tokens": 0}
    demand["software_version"] = ""
    demand |= {key: given.pop(key) for key in list(given) if key in demand}
    prompt_tokens = given.pop("prompt_tokens", 1_000)
    attributes: dict[str, object] = {"is_first": True, "used_last": "", "most_tokens": 100} | given
    return TurnRequested(
        attempt_id=attempt,
        program_id=program or f"p-{attempt}",
        demand=TurnDemand(
            service="llm", route="r", zone="a", prompt_tokens=prompt_tokens, **demand
        ),
        **attributes,
    )


def ended(attempt: str, at: str = "", took_s: float = 0.1, **outcome: object) -> TurnEnded:
    return TurnEnded(
        attempt_id=attempt,
        served_by=at,
        outcome=TurnOutcome(engine_s=took_s if at else 0.0, events=5, **outcome),
    )


class SchedulerTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = TurnScheduler()
        self.list_engines(engine("e1"), engine("e2"))

    def list_engines(self, *records: BackendRecord) -> None:
        self.scheduler.replace_backends(records, 0.0)

    def place(self, attempt: str, program: str = "", now: float = 0.0, **given: object) -> str:
        """Request a slot that is assigned at once, and return its engine."""
        (decision,) = self.scheduler.request_slot(slot_request(attempt, program, **given), now)
        self.assertIsInstance(decision, TurnPlaced)
        return decision.engine

    def fill(self, count: int = 4) -> None:
        """Take ``count`` slots, by default all, for running programs."""
        for number in range(count):
            self.place(f"full{number}", f"under-way{number}")

    def wait(self, attempt: str, program: str = "", now: float = 0.0, **given: object) -> None:
        """Request a slot for a turn that must wait."""
        self.assertEqual(
            self.scheduler.request_slot(slot_request(attempt, program, **given), now), []
        )

    def placed_after(self, attempt: str, now: float) -> list[str]:
        """End a turn and return the attempts that get a slot by it."""
        decisions = self.scheduler.end(ended(attempt, "e1"), now)
        return [decision.attempt_id for decision in decisions]


class OrderTest(SchedulerTest):
    def test_a_more_urgent_turn_goes_first(self):
        self.fill()
        self.wait("usual", "under-way0", is_first=False)
        self.wait("urgent", "under-way1", urgency=URGENT, is_first=False)
        self.assertEqual(self.placed_after("full0", 0.1), ["urgent"])

    def test_a_more_urgent_turn_goes_first_although_it_arrived_last(self):
        self.fill()
        for number in range(3):
            self.wait(f"usual{number}", f"under-way{number}", is_first=False)
        self.wait("urgent", "under-way3", now=0.05, urgency=URGENT, is_first=False)
        self.assertEqual(self.placed_after("full0", 0.1), ["urgent"])

    def test_an_urgent_new_program_goes_before_less_urgent_running_ones(self):
        self.fill()
        self.wait("usual", "under-way0", is_first=False)
        self.wait("urgent", urgency=URGENT)
        self.assertEqual(self.placed_after("full0", 0.1), ["urgent"])

    def test_running_programs_go_before_new_ones(self):
        self.fill()
        self.wait("new")
        self.wait("next", "under-way0", is_first=False)
        self.assertEqual(self.placed_after("full0", 0.1), ["next"])

    def test_the_program_that_must_start_soonest_goes_first(self):
        self.fill(2)
        self.place("a1", "patient", program_time_left_s=9.0)
        self.place("b1", "pressed", program_time_left_s=1.0)
        self.wait("a2", "patient", is_first=False)
        self.wait("b2", "pressed", is_first=False)
        self.assertEqual(self.placed_after("full0", 0.1), ["b2"])

    def test_an_overdue_program_goes_after_those_that_can_meet_their_deadline(self):
        self.fill(2)
        self.place("a1", "late", program_time_left_s=0.2)
        self.place("b1", "in-time", program_time_left_s=5.0)
        self.wait("a2", "late", now=0.3, is_first=False)
        self.wait("b2", "in-time", now=0.3, is_first=False)
        self.assertEqual(self.placed_after("full0", 0.35), ["b2"])

    def test_an_overdue_program_does_not_starve(self):
        self.fill(2)
        self.place("a1", "late", program_time_left_s=0.2)
        self.place("b1", "in-time", program_time_left_s=5.0)
        self.wait("a2", "late", now=0.3, is_first=False)
        self.wait("b2", "in-time", now=0.3 + MAX_OVERDUE_WAIT_S, is_first=False)
        self.assertEqual(self.placed_after("full0", 0.31 + MAX_OVERDUE_WAIT_S), ["a2"])

    def test_an_urgent_turn_does_not_wait_for_less_urgent_returning_ones(self):
        self.list_engines(engine("e1", 1))
        self.place("first", "cycles0")
        for number in range(1, 4):
            self.place(f"first{number}", f"cycles{number}", is_first=False, used_last="e1")
        self.wait("urgent", "under-way", now=0.1, urgency=URGENT, is_first=False)
        placed_attempts = []
        for number, attempt in enumerate(["first", "first1", "first2", "first3"]):
            now = 0.3 + 0.05 * number
            placed_attempts += self.placed_after(attempt, now)
            returns = slot_request(
                f"back{number}", f"cycles{number}", is_first=False, used_last="e1"
            )
            placed_attempts += [d.attempt_id for d in self.scheduler.request_slot(returns, now)]
        self.assertEqual(placed_attempts[0], "urgent")

    def test_tenants_share_the_slots_of_new_programs(self):
        self.list_engines(engine("e1", 6), engine("e2", 6))
        self.fill(12)
        for number in range(20):
            self.scheduler.request_slot(slot_request(f"many{number}", tenant="many"), 0.0)
        self.wait("few", tenant="few")
        placed_attempts = [
            attempt for full in range(2) for attempt in self.placed_after(f"full{full}", 0.1)
        ]
        self.assertEqual(placed_attempts, ["many0", "few"])

    def test_a_tenant_may_use_all_free_slots(self):
        engines = [self.place(f"many{number}", tenant="many") for number in range(4)]
        self.assertEqual(sorted(engines), ["e1", "e1", "e2", "e2"])

    def test_a_looping_program_has_the_lowest_priority(self):
        for number in range(100):
            self.place(f"loop{number}", "loops", is_first=number == 0)
            self.scheduler.end(ended(f"loop{number}", "e1"), 0.0)
        self.fill()
        self.wait("again", "loops", urgency=URGENT, is_first=False)
        self.wait("new")
        self.assertEqual(self.placed_after("full0", 0.1), ["new"])


class PlacementTest(SchedulerTest):
    def test_turns_spread_over_engines(self):
        engines = [self.place(f"a{number}") for number in range(4)]
        self.assertEqual(sorted(engines), ["e1", "e1", "e2", "e2"])

    def test_a_program_stays_where_its_history_is(self):
        first = self.place("a", "p")
        following = {"is_first": False, "used_last": first, "prompt_tokens": 5_000}
        self.assertEqual(self.place("b", "p", **following), first)

    def test_a_program_waits_at_its_engine_rather_than_prefill_its_history_again(self):
        self.fill()
        engine = self.place("b", "under-way0", is_first=False, used_last="e2", prompt_tokens=9_000)
        self.assertEqual(engine, "e2")

    def test_a_new_program_goes_where_its_shared_prefix_is_cached(self):
        demand = {"prompt_tokens": 13_000}
        first = slot_request("a", **demand)
        turn_with_prefix = TurnRequested(
            attempt_id="a",
            program_id="p",
            is_first=True,
            used_last="",
            most_tokens=100,
            demand=TurnDemand(
                service="llm", route="r", urgency=NORMAL, zone="a", prompt_tokens=13_000,
                shared_part="part", shared_tokens=12_000, memory_tokens=100_000,
                program_time_left_s=5.0,
            ),
        )  # fmt: skip
        self.assertEqual(first.demand.prompt_tokens, turn_with_prefix.demand.prompt_tokens)
        (decision,) = self.scheduler.request_slot(turn_with_prefix, 0.0)
        other = turn_with_prefix.__class__(
            attempt_id="b", program_id="q", is_first=True, used_last="", most_tokens=100,
            demand=turn_with_prefix.demand,
        )  # fmt: skip
        (next_decision,) = self.scheduler.request_slot(other, 0.0)
        self.assertEqual(decision.engine, next_decision.engine)

    def turn_with_prefix(self, attempt: str, tokens: int) -> TurnRequested:
        """Return the first turn of a program whose prompt begins with a shared prefix."""
        turn = slot_request(attempt, prompt_tokens=tokens + 500)
        demand = msgspec.structs.replace(turn.demand, shared_part="part", shared_tokens=tokens)
        return msgspec.structs.replace(turn, demand=demand)

    def engines_of_new_programs(self, shared_tokens: int) -> set[str]:
        """Begin programs with a shared prefix, one more than an engine has slots."""
        placed = [
            decision
            for number in range(3)
            for decision in self.scheduler.request_slot(
                self.turn_with_prefix(f"a{number}", shared_tokens), 0.0
            )
        ]
        return {decision.engine for decision in placed}

    def test_a_new_program_waits_at_an_engine_that_caches_its_large_prefix(self):
        self.assertEqual(len(self.engines_of_new_programs(12_000)), 1)

    def test_a_small_prefix_is_computed_again_rather_than_waited_for(self):
        self.assertEqual(len(self.engines_of_new_programs(500)), 2)

    def test_a_slower_engine_gets_fewer_turns_but_not_none(self):
        self.list_engines(engine("e1", 6), engine("e2", 6))
        placed = {"e1": 0, "e2": 0}
        open_turns: list[tuple[float, str, str]] = []
        for number in range(600):
            now = number * 0.02
            while open_turns and open_turns[0][0] <= now:
                at, attempt, instance = open_turns.pop(0)
                took_s = 0.3 if instance == "e2" else 0.1
                self.scheduler.end(ended(attempt, instance, took_s), at)
            self.scheduler.advance(now)
            (decision,) = self.scheduler.request_slot(slot_request(f"t{number}"), now)
            instance = decision.engine
            placed[instance] += 1
            took_s = 0.3 if instance == "e2" else 0.1
            open_turns.append((now + took_s, f"t{number}", instance))
            open_turns.sort()
        self.assertGreater(placed["e1"], 2 * placed["e2"])
        self.assertGreater(placed["e2"], 10)

    def test_an_engine_gets_no_turn_that_exceeds_its_memory(self):
        self.list_engines(engine("e1", 6))
        self.place("a", prompt_tokens=6_000, memory_tokens=10_000)
        self.wait("b", prompt_tokens=6_000, memory_tokens=10_000)
        self.assertEqual(self.placed_after("a", 0.1), ["b"])

    def test_a_large_turn_is_not_starved_by_small_ones(self):
        self.list_engines(engine("e1", 6))
        self.place("full", prompt_tokens=6_000, memory_tokens=10_000)
        large = {"is_first": False, "prompt_tokens": 8_000, "memory_tokens": 10_000}
        self.wait("large", "under-way", **large)
        running = ["full"]
        placed: list[str] = []
        for number in range(30):
            now = 0.05 * number
            small = slot_request(
                f"s{number}",
                f"q{number}",
                is_first=False,
                prompt_tokens=2_000,
                memory_tokens=10_000,
            )
            placed += [d.attempt_id for d in self.scheduler.request_slot(small, now)]
            running += [attempt for attempt in placed if attempt not in running]
            if len(running) > 1 or number > 10:
                decisions = self.scheduler.end(ended(running.pop(0), "e1"), now)
                placed += [d.attempt_id for d in decisions]
                running += [d.attempt_id for d in decisions]
            if "large" in placed:
                break
        self.assertIn("large", placed)

    def test_memory_is_checked_for_a_turn_preferred_for_its_history(self):
        self.list_engines(engine("e1", 6))
        memory = {"memory_tokens": 10_000, "is_first": False}
        self.place("full", prompt_tokens=9_000, **memory)
        self.place("half", prompt_tokens=500, **memory)
        self.wait("first", "p", prompt_tokens=3_000, **memory)
        self.wait("large", "q", prompt_tokens=9_500, used_last="e1", **memory)
        decisions = self.scheduler.end(ended("full", "e1"), 0.05)
        self.assertEqual([decision.attempt_id for decision in decisions], ["first"])

    def test_a_turn_larger_than_an_engine_gets_an_idle_one(self):
        self.assertIn(self.place("a", prompt_tokens=20_000, memory_tokens=10_000), ("e1", "e2"))

    def test_a_leaving_engine_gets_no_turn(self):
        self.list_engines(engine("e1", state=BackendState.DRAINING), engine("e2"))
        self.assertEqual([self.place("a"), self.place("b")], ["e2", "e2"])

    def test_a_failing_engine_is_ejected_while_others_work(self):
        self.list_engines(engine("e1"), engine("e2"), engine("e3"))
        for number in range(3):
            self.scheduler.end(ended(f"x{number}", failed_at=("e1",)), 0.0)
        engines = {self.place(f"a{number}") for number in range(4)}
        self.assertEqual(engines, {"e2", "e3"})

    def engines_after_long_turns(self, *stalled: str) -> set[str]:
        """Let the slots of turns expire while engines end others; return the engines of new turns.

        The ``stalled`` engines end none.
        """
        self.list_engines(engine("e1", 4), engine("e2", 4), engine("e3", 4))
        engine_of = {f"long{number}": self.place(f"long{number}") for number in range(12)}
        for name in {"e1", "e2", "e3"} - set(stalled):
            attempt = next(attempt for attempt, at in engine_of.items() if at == name)
            self.scheduler.end(ended(attempt, name), MIN_SLOT_S / 2)
        self.scheduler.advance(MIN_SLOT_S + 0.1)
        now = MIN_SLOT_S + 0.1
        return {self.place(f"next{number}", now=now) for number in range(6)}

    def test_an_engine_with_long_turns_is_not_ejected_while_it_ends_others(self):
        self.assertEqual(self.engines_after_long_turns(), {"e1", "e2", "e3"})

    def test_an_engine_that_ends_no_turn_is_ejected(self):
        self.assertEqual(self.engines_after_long_turns("e1"), {"e2", "e3"})

    def test_no_engine_is_ejected_when_most_fail(self):
        for number in range(3):
            self.scheduler.end(ended(f"x{number}", failed_at=("e1", "e2")), 0.0)
        self.assertIn(self.place("a"), ("e1", "e2"))

    def test_an_engine_that_reports_full_is_paused_briefly(self):
        self.scheduler.end(ended("x", full_at=("e1",)), 0.0)
        self.assertEqual([self.place("a"), self.place("b")], ["e2", "e2"])
        self.scheduler.advance(1.0)
        self.assertEqual(self.place("c", now=1.0), "e1")


class AdmissionTest(SchedulerTest):
    def refuse(self, attempt: str, now: float = 0.0, **given: object) -> TurnNotPlaced:
        (decision,) = self.scheduler.request_slot(slot_request(attempt, **given), now)
        self.assertIsInstance(decision, TurnNotPlaced)
        return decision

    def fill_queue(self, now: float = 0.0) -> int:
        """Let new programs wait until the next one is refused; return how many wait."""
        for number in range(1_000):
            if self.scheduler.request_slot(slot_request(f"crowd{number}"), now):
                return number
        raise AssertionError("no program was refused")

    def test_programs_that_can_begin_soon_wait(self):
        self.fill()
        self.wait("a")
        self.assertEqual(self.placed_after("full0", 0.1), ["a"])

    def test_programs_that_cannot_begin_soon_get_increasing_retry_times_at_once(self):
        self.fill()
        self.fill_queue()
        times = [self.refuse(f"r{number}").retry_after_s for number in range(3)]
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[0], MAX_ADMISSION_WAIT_S)
        self.assertLess(times[0], times[2])

    def test_a_running_program_is_never_refused(self):
        self.fill()
        self.fill_queue()
        self.wait("next", "under-way0", is_first=False)
        self.scheduler.advance(2.0)
        self.assertEqual(self.placed_after("full0", 2.0)[:1], [])
        # The slots of turns whose end was not reported had expired by then.

    def test_a_program_at_its_maximum_wait_is_refused(self):
        self.fill()
        self.wait("a")
        decisions = self.scheduler.advance(MAX_ADMISSION_WAIT_S + 0.01)
        self.assertIsInstance(decisions[0], TurnNotPlaced)
        self.assertEqual(decisions[0].attempt_id, "a")

    def test_a_program_that_retries_on_time_goes_before_later_requests(self):
        self.fill()
        waiting = self.fill_queue()
        retry_s = self.refuse("told", program="told").retry_after_s
        for number in range(waiting):
            self.scheduler.end(TurnEnded(attempt_id=f"crowd{number}"), 0.0)
        self.refuse("later", now=retry_s)
        self.wait("back", program="told", now=retry_s)
        self.assertEqual(self.placed_after("full0", retry_s), ["back"])

    def test_a_retrying_program_that_waits_counts_once(self):
        self.fill()
        waiting = self.fill_queue()
        retry_s = self.refuse("told", program="told").retry_after_s
        self.wait("back", program="told", now=retry_s)
        later = self.refuse("later", now=retry_s)
        self.assertEqual(later.waiting, waiting + 2)

    def test_a_program_refused_again_stays_ahead_of_later_requests(self):
        self.fill()
        waiting = self.fill_queue()
        retry_s = self.refuse("told", program="told", now=0.05).retry_after_s
        others = [self.refuse(f"later{number}", now=0.1) for number in range(5)]
        self.assertEqual(others[-1].waiting, waiting + 6)
        self.wait("back", program="told", now=0.05 + retry_s)
        decisions = self.scheduler.advance(0.06 + retry_s + MAX_ADMISSION_WAIT_AFTER_RETRY_S)
        again = next(d for d in decisions if d.attempt_id == "back")
        self.assertLessEqual(again.waiting, waiting + 1)

    def test_programs_that_do_not_retry_stop_counting(self):
        self.fill()
        waiting = self.fill_queue()
        self.refuse("gone")
        self.assertEqual(self.scheduler.stats("llm").told_to_return, 2)
        for number in range(waiting):
            self.scheduler.end(TurnEnded(attempt_id=f"crowd{number}"), 0.1)
        self.scheduler.advance(MAX_RETRY_S + RETRY_GRACE_S + 0.1)
        self.assertEqual(self.scheduler.stats("llm").told_to_return, 0)

    def test_two_first_turns_of_a_program_count_once(self):
        self.list_engines(engine("e1", 6), engine("e2", 6))
        self.fill(12)
        for attempt in ("a1", "a2"):
            self.wait(attempt, program="a")
        self.scheduler.end(TurnEnded(attempt_id="a1"), 0.0)
        waiting = self.fill_queue()
        self.assertEqual(self.refuse("last").waiting, waiting + 2)

    def test_the_request_time_of_a_refused_program_is_its_arrival(self):
        self.fill()
        self.wait("held", program="held")
        self.scheduler.advance(MAX_ADMISSION_WAIT_S + 0.01)
        admission = self.scheduler._services["llm"].admission
        self.assertEqual(admission.first_asked_at("held", 9.0), 0.0)

    def test_a_tenant_is_not_refused_for_the_programs_of_another(self):
        self.list_engines(engine("e1", 6), engine("e2", 6))
        self.fill(12)
        for number in range(20):
            self.scheduler.request_slot(slot_request(f"many{number}", tenant="many"), 0.0)
        self.wait("few", tenant="few")

    def test_an_urgent_program_does_not_wait_for_queued_ones(self):
        self.fill()
        self.fill_queue()
        self.wait("urgent", urgency=URGENT)
        self.assertEqual(self.placed_after("full0", 0.1), ["urgent"])


class FailureTest(SchedulerTest):
    def test_the_slot_of_a_turn_whose_node_failed_expires(self):
        self.fill()
        self.wait("next", "under-way0", is_first=False)
        self.assertEqual(self.scheduler.advance(MIN_SLOT_S - 0.1), [])
        decisions = self.scheduler.advance(MIN_SLOT_S + 0.1)
        self.assertEqual([d.attempt_id for d in decisions], ["next"])

    def test_an_end_after_the_slot_expired_counts_once(self):
        self.fill()
        self.scheduler.advance(MIN_SLOT_S + 0.1)
        for _ in range(3):
            self.scheduler.end(ended("full0", "e1"), MIN_SLOT_S + 0.2)
        self.assertEqual(self.scheduler.stats("llm").running, 0)
        for number in range(4):
            self.place(f"new{number}", now=MIN_SLOT_S + 0.3)
        self.wait("fifth", now=MIN_SLOT_S + 0.3)

    def test_a_repeated_request_has_one_slot(self):
        self.place("a")
        self.place("a", is_first=False)
        self.assertEqual(self.scheduler.stats("llm").running, 1)

    def test_a_turn_abandoned_while_waiting_takes_no_slot(self):
        self.fill()
        self.wait("gone", "under-way0", is_first=False)
        self.assertEqual(
            self.scheduler.end(TurnEnded(attempt_id="gone"), 0.1), [TurnWithdrawn("gone")]
        )
        self.assertEqual(self.placed_after("full0", 0.2), [])

    def test_nodes_choose_during_the_warmup_of_a_new_leader(self):
        self.fill()
        self.wait("waits", "under-way0", is_first=False)
        self.assertEqual(self.scheduler.start_term(1.0), [TurnWithdrawn("waits")])
        self.assertEqual(self.place("a", now=1.1), "")
        self.assertIn(self.place("b", now=1.1 + LEADER_WARMUP_S), ("e1", "e2"))

    def test_a_turn_placed_by_an_earlier_leader_releases_nothing(self):
        self.fill()
        self.scheduler.start_term(1.0)
        self.scheduler.end(ended("full0", "e1"), 1.1)
        self.assertEqual(self.scheduler.stats("llm").running, 0)

    def test_a_removed_engine_loses_its_slots(self):
        self.fill()
        self.wait("next", "under-way0", is_first=False)
        decisions = self.scheduler.replace_backends([engine("e2"), engine("e3")], 0.1)
        self.assertEqual([(d.attempt_id, d.engine) for d in decisions], [("next", "e3")])
        for number in range(4):
            self.scheduler.end(ended(f"full{number}"), 0.2)
        self.assertEqual(self.scheduler.stats("llm").running, 1)

    def test_nodes_choose_for_waiting_turns_when_all_engines_are_removed(self):
        self.fill()
        self.wait("next", "under-way0", is_first=False)
        self.wait("new")
        decisions = self.scheduler.replace_backends([], 0.1)
        self.assertEqual({(d.attempt_id, d.engine) for d in decisions}, {("next", ""), ("new", "")})
        self.assertEqual(self.scheduler.stats("llm").waiting_new, 0)

    def test_a_looping_program_is_refused_at_its_maximum_wait(self):
        self.fill()
        for number in range(100):
            self.scheduler.end(ended(f"full{number}", "e1"), 0.0)
            self.place(f"loop{number}", "loops", is_first=False)
            self.scheduler.end(ended(f"loop{number}", "e1"), 0.0)
        for number in range(4):
            self.place(f"again{number}", f"busy{number}")
        self.wait("loop", "loops", is_first=False)
        (refused,) = self.scheduler.advance(MAX_LOOPING_HOLD_S + 0.01)[:1]
        self.assertEqual(refused.attempt_id, "loop")
        self.assertEqual(self.scheduler.stats("llm").told_to_return, 0)

    def test_without_engines_nodes_choose(self):
        self.list_engines()
        self.assertEqual(self.place("a"), "")


class ResumedStreamTest(SchedulerTest):
    """Turns that resume a stream run only at engines of the version that began it."""

    def setUp(self) -> None:
        self.scheduler = TurnScheduler()
        self.list_engines(engine("e1"), engine("e2", version="v2"))

    def resume(self, attempt: str, **given: object) -> str:
        return self.place(attempt, is_first=False, **given)

    def test_it_gets_a_slot_at_an_engine_of_its_version(self) -> None:
        for version, expected in (("v2", "e2"), ("v1", "e1")):
            placed = self.resume(f"to-{version}", software_version=version, used_last="e1")
            self.assertEqual(placed, expected)

    def test_without_a_free_slot_of_its_version_the_node_chooses_and_nobody_waits(self) -> None:
        for number in range(2):
            self.resume(f"full{number}", software_version="v2")
        self.assertEqual(self.resume("third", software_version="v2"), "")
        self.assertEqual(self.resume("other"), "e1")

    def test_it_does_not_wait_behind_other_turns(self) -> None:
        for number in range(2):
            self.resume(f"full{number}", software_version="v1")
        for number in range(2):
            self.resume(f"busy{number}")
        self.wait("waits", is_first=False)
        self.assertEqual(self.resume("resumed", software_version="v1"), "")

    def test_an_unknown_version_leaves_the_choice_to_the_node(self) -> None:
        self.assertEqual(self.resume("resumed", software_version="v9"), "")
