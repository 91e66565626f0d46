"""One relayed request from end to end, with scripted back ends and store."""

import math
import random
import unittest
from contextlib import asynccontextmanager

import anyio
import msgspec
import trio.testing

from passlane.decisions.backends.answer_times import UNKNOWN_ANSWER_S
from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.retry_after import (
    LONGEST_OUTAGE_RETRY_S,
    LONGEST_ROOM_RETRY_S,
    ROOM_RETRY_SPREAD,
    SHORTEST_OUTAGE_RETRY_S,
)
from passlane.decisions.inputs.relayed_call import PromptPart
from passlane.decisions.placement.request_placement import NodePlace
from passlane.messages.listing import BackendState
from passlane.messages.placement import TurnRefused
from passlane.messages.quotas import QuotaGranted, QuotaRefused, QuotaUse
from passlane.messages.routes import RouteKind, ServiceShare, Tenant
from passlane.messages.turns import BudgetSpent, TurnReserved, TurnUnknown
from passlane.observability.metrics import Metrics
from passlane.relay.attempts import RequestAttempts
from passlane.relay.delivery import MAX_BUFFERED_BYTES
from passlane.relay.request_errors import (
    AnswerAbortedError,
    Refusal,
    RequestFailedError,
    RequestRefusedError,
)
from passlane.relay.service import START_WAIT_S, RelayService
from passlane.routes.tenants import Identity, digest_of_key
from passlane.simulation.replacement import Replacement, replaced
from relay.fakes import (
    AT_CAPACITY,
    WRONG_INSTANCE,
    Unresponsive,
    RecordingWriter,
    Reset,
    Script,
    ScriptedBackends,
    ScriptedStore,
    Unreachable,
    backend,
    call,
    head,
)
from routes.test_checks import configuration, route

EVENT_1 = b"id: 1\ndata: one\n\n"
EVENT_2 = b"id: 2\ndata: two\n\n"
STREAM = {"kind": RouteKind.STREAM, "timeout_s": 4.0}
TURNS = STREAM | {"keeps_turns": True, "retention_s": 60.0}


class RelayCase(unittest.TestCase):
    admission = None

    def relay(
        self,
        scripts,
        *,
        call_changes=None,
        store=None,
        records=None,
        tenants=(),
        asks_for_places=False,
        stops_after_s=math.inf,
        has_left=False,
        **route_changes,
    ):
        """Relay one call on a virtual clock; return writer, back ends, store and error."""
        self.writer = RecordingWriter()
        self.backends = ScriptedBackends(*scripts)
        self.store = store or ScriptedStore()
        self.error = None

        async def main():
            registry = BackendRegistry()
            made = [backend("i-1"), backend("i-2")] if records is None else records
            registry.update(made, anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodePlace("node-1", "a"),
                    registry,
                    self.backends,
                    self.store,
                    tasks,
                    Metrics(),
                    random.Random(1),
                    self.admission,
                    asks_for_places=asks_for_places,
                )
                held = configuration(route(**route_changes), tenants=tenants)
                service.replace_configuration(held)
                self.started_at = anyio.current_time()
                self.writer.is_abandoned = has_left
                try:
                    with anyio.move_on_after(stops_after_s):
                        await service.handle(call(**(call_changes or {})), self.writer)
                except AnswerAbortedError as error:
                    self.error = error
                self.ended_at = anyio.current_time()
                self.registry = registry

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    @property
    def elapsed_s(self):
        return self.ended_at - self.started_at


class RepeatableTest(RelayCase):
    def test_status_body_and_signature_pass_unchanged(self):
        self.relay([Script(head(201), b"whole ", b"body")])
        self.assertEqual((self.writer.status, self.writer.body), (201, b"whole body"))
        self.assertEqual(self.writer.headers[0].value, "s")
        self.assertTrue(self.writer.is_finished)

    def test_a_full_back_end_is_passed_over(self):
        self.relay([Script(AT_CAPACITY), Script(head(), b"ok")])
        self.assertEqual(self.writer.body, b"ok")
        self.assertEqual(len(set(self.backends.requested)), 2)

    def test_when_all_stay_full_it_waits_while_there_is_time_for_an_answer(self):
        self.relay([Script(AT_CAPACITY)] * 400)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 1.0 - UNKNOWN_ANSWER_S, places=3)
        self.assertLess(len(self.backends.requested), 100)

    def test_whoever_is_refused_after_a_long_wait_is_told_the_longest_time_to_come_back(self):
        self.relay([Script(AT_CAPACITY)] * 400)
        spread = self.writer.retry_after_s / LONGEST_ROOM_RETRY_S
        self.assertTrue(1.0 <= spread <= 1.0 + ROOM_RETRY_SPREAD)

    def test_a_place_that_gets_free_late_still_serves(self):
        self.relay([*[Script(AT_CAPACITY)] * 20, Script(head(), b"ok")])
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertGreater(self.elapsed_s, 0.25 * 0.2)

    def test_plain_back_ends_are_waited_for_by_the_same_rule(self):
        tools = {"shares": (ServiceShare("tools", 1),)}
        records = [backend("i-1", service="tools"), backend("i-2", service="tools")]
        self.relay([*[Script(AT_CAPACITY)] * 20, Script(head(), b"ok")], records=records, **tools)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.relay([Script(AT_CAPACITY)] * 400, records=records, **tools)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 1.0 - UNKNOWN_ANSWER_S, places=3)
        self.assertLess(len(self.backends.requested), 100)

    def test_a_broken_answer_is_asked_for_again_within_the_most_attempts(self):
        self.relay([Script(head(), b"ha", broken=True), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))

    def test_no_more_back_ends_run_it_than_allowed(self):
        self.relay([Reset(), Reset(), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual(self.writer.status, 502)
        self.assertEqual(len(self.backends.requested), 2)

    def test_a_silent_back_end_is_left_for_another_one(self):
        self.relay([Unresponsive(), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertLess(self.elapsed_s, 0.5)

    def test_silence_is_borne_when_no_other_back_end_may_run_it(self):
        self.relay([Unresponsive()], max_attempts=1)
        self.assertEqual(self.writer.status, 504)
        self.assertEqual(len(self.backends.requested), 1)

    def test_silence_ends_with_the_routes_time(self):
        self.relay([Script(head(), b"late", delay_s=60.0)])
        self.assertEqual(self.writer.status, 504)
        self.assertAlmostEqual(self.elapsed_s, 1.0, places=3)

    def test_no_back_end_at_all_is_a_refusal(self):
        self.relay([], records=[backend(state=BackendState.DRAINING)])
        self.assertEqual(self.writer.status, 503)


class BegunAnswerTest(RelayCase):
    """What the caller has got of an answer can't be taken back, nor another put behind it."""

    def test_a_long_answer_that_breaks_off_after_its_first_part_is_not_begun_anew(self):
        long_part = b"x" * (MAX_BUFFERED_BYTES + 1)
        scripts = [Script(head(), long_part, broken=True), Script(head(), b"other")]
        self.relay(scripts, max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, long_part))
        self.assertFalse(self.writer.is_finished)
        self.assertIsNotNone(self.error)
        self.assertEqual(len(self.backends.requested), 1)

    def test_after_its_first_event_a_stream_gets_no_other_head(self):
        for later in (head(500), AT_CAPACITY):
            scripts = [Script(head(), EVENT_1, broken=True)] + [Script(later, b"sorry")] * 200
            self.relay(scripts, is_resumable=True, max_attempts=2, **STREAM)
            self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
            self.assertFalse(self.writer.is_finished)
            self.assertIsNotNone(self.error)


class StoppedTest(RelayCase):
    """The node stops, or the caller leaves, with the request at some step."""

    def test_a_request_that_was_not_sent_is_refused_when_the_node_stops(self):
        limited = ScriptedStore(quota=QuotaGranted(start_after_s=0.5))
        tenants = (msgspec.structs.replace(CORNER, rate_per_s=1.0, burst=1),)
        waiting = {"tenants": tenants, "call_changes": WITH_KEY, "store": limited}
        self.relay([], stops_after_s=0.1, **waiting)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual(self.backends.requested, [])
        self.assertAlmostEqual(self.elapsed_s, 0.1, places=3)

    def test_one_that_was_sent_is_promised_nothing(self):
        self.relay([Unresponsive()], kind=RouteKind.AT_MOST_ONCE, stops_after_s=0.1)
        self.assertEqual(self.writer.status, 0)

    def test_one_whose_refusal_is_read_to_its_end_did_not_run(self):
        scripts = [Script(AT_CAPACITY, close_delay_s=60.0)]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE, stops_after_s=0.1)
        self.assertEqual(self.writer.status, 503)

    def test_an_answer_that_has_begun_is_not_refused(self):
        scripts = [Script(head(), EVENT_1, EVENT_2, delay_s=0.08)]
        self.relay(scripts, stops_after_s=0.1, **STREAM)
        self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
        self.assertFalse(self.writer.is_finished)

    def test_a_caller_that_has_left_is_not_answered(self):
        self.relay([], records=[], stops_after_s=0.01, has_left=True)
        self.assertEqual(self.writer.status, 0)


class WithheldRefusalTest(RelayCase):
    """A refusal is a promise, which is kept back where the attempts don't prove it."""

    def refuse_wrongly(self, scripts, **more):
        run = RequestAttempts.run

        async def run_and_refuse(attempts, limit_at, deliver):
            try:
                await run(attempts, limit_at, deliver)
            except RequestFailedError as error:
                raise RequestRefusedError(Refusal(error.end, 503, 0.1)) from error

        with replaced([Replacement(RequestAttempts, "run", run_and_refuse)]):
            self.relay(scripts, **more)

    def test_a_refusal_after_an_attempt_that_may_have_run_is_withheld(self):
        self.refuse_wrongly([Reset()], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 502)

    def test_a_refusal_after_an_event_has_left_is_withheld(self):
        self.refuse_wrongly([Script(head(), EVENT_1, broken=True)], **STREAM)
        self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
        self.assertIsNotNone(self.error)


class AtMostOnceTest(RelayCase):
    def test_a_refusal_after_an_attempt_that_may_have_run_promises_nothing(self):
        self.relay([Reset()] + [Script(AT_CAPACITY)] * 40, max_attempts=3)
        self.assertEqual(self.writer.status, 502)

    def test_a_refusal_is_proof_though_the_time_ends_before_it_is_left(self):
        self.relay([Script(AT_CAPACITY, close_delay_s=60.0)], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 503)

    def test_silence_is_borne_by_what_may_run_once(self):
        self.relay([Unresponsive()], kind=RouteKind.AT_MOST_ONCE, max_attempts=3)
        self.assertEqual(self.writer.status, 504)
        self.assertEqual(len(self.backends.requested), 1)

    def test_an_answer_that_was_lost_promises_nothing(self):
        self.relay([Reset()], kind=RouteKind.AT_MOST_ONCE, max_attempts=3)
        self.assertEqual(self.writer.status, 502)
        self.assertEqual(len(self.backends.requested), 1)

    def test_a_back_end_without_a_connection_ran_nothing(self):
        scripts = [Unreachable(), Script(head(), b"ok")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.body, b"ok")

    def test_another_instance_at_the_address_ran_nothing(self):
        scripts = [Script(WRONG_INSTANCE), Script(head(), b"ok")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.body, b"ok")
        self.assertEqual(len(self.registry), 1)

    def test_a_promise_of_not_run_needs_proof(self):
        for status in (503, 429, 408, 421):
            self.relay([Script(head(status), b"")], kind=RouteKind.AT_MOST_ONCE)
            self.assertEqual(self.writer.status, 502)

    def test_a_success_without_its_marks_is_no_answer(self):
        scripts = [Script(head(200, is_authentic=False), b"other")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual((self.writer.status, self.writer.body), (502, b""))

    def test_a_failure_of_the_back_end_passes_as_it_is(self):
        self.relay([Script(head(500), b"sorry")], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual((self.writer.status, self.writer.body), (500, b"sorry"))

    def test_out_of_time_after_it_was_sent_is_no_promise(self):
        scripts = [Script(head(), b"late", delay_s=60.0)]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 504)


CORNER = Tenant(name="corner", key_digests=(digest_of_key("key-1"),), priority=3)
# At engines three ranks of routes lie within each rank of tenants.
WITH_KEY = {"key_digests": CORNER.key_digests}


class TenantTest(RelayCase):
    def test_the_back_end_learns_the_tenant_and_its_rank(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], call_changes=WITH_KEY)
        request = self.backends.requests[0]
        self.assertEqual((request.tenant_name, request.engine_priority), ("corner", 9))

    def test_without_a_known_key_a_request_is_refused_at_once(self):
        unknown = {"key_digests": (digest_of_key("key-9"),)}
        for changes in ({}, unknown, {"key_digests": CORNER.key_digests * 2}):
            with self.subTest(changes):
                self.relay([], tenants=[CORNER], call_changes=changes)
                self.assertEqual((self.writer.status, self.elapsed_s), (401, 0.0))

    def test_an_unknown_place_is_not_found_whoever_asks(self):
        self.relay([], tenants=[CORNER], call_changes={"path": "/unknown/"})
        self.assertEqual(self.writer.status, 404)

    def test_a_public_route_is_served_without_a_key(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], is_public=True)
        self.assertEqual(self.writer.status, 200)
        self.assertEqual(self.backends.requests[0].tenant_name, "")

    def test_programs_and_turns_are_kept_by_tenant(self):
        call_changes = WITH_KEY | {"budget": 100, "previous_turn": "r-0"}
        scripts = [Script(head(), EVENT_1)]
        self.relay(scripts, tenants=[CORNER], call_changes=call_changes, **TURNS)
        (reserved,), (settled,) = self.store.reserved, self.store.settled
        self.assertEqual((reserved.program_id, reserved.previous), ("corner\np", "corner\nr-0"))
        self.assertEqual(settled.program_id, "corner\np")
        self.assertEqual(
            (settled.turn.turn_id, settled.turn.previous), ("corner\nr-1", "corner\nr-0")
        )


LIMITED = Tenant(name="corner", key_digests=(digest_of_key("key-1"),), rate_per_s=8.0, burst=4.0)
REFUSED = QuotaRefused(retry_after_s=0.71, used=44.0, capacity=44.0, version=1)


class QuotaTest(RelayCase):
    def test_a_call_beyond_the_limit_is_refused_at_once_with_the_time_to_come_back(self):
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=ScriptedStore(quota=REFUSED))
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (429, 0.71))
        self.assertEqual(self.elapsed_s, 0.0)
        self.assertEqual(self.backends.requested, [])

    def test_a_turn_beyond_the_limit_is_refused_and_leaves_nothing_reserved(self):
        store = ScriptedStore(REFUSED)
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=store, **TURNS)
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (429, 0.71))
        self.assertEqual(store.settled, [])

    def test_a_request_is_sent_at_its_moment(self):
        granted = QuotaGranted(start_after_s=0.3)
        store = ScriptedStore(quota=granted)
        self.relay([Script(head(), b"ok")], tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual(self.writer.body, b"ok")
        self.assertAlmostEqual(self.elapsed_s, 0.3, places=3)

    def test_the_wait_for_its_moment_takes_nothing_of_the_wait_for_room(self):
        store = ScriptedStore(quota=QuotaGranted(start_after_s=0.3))
        scripts = [*[Script(AT_CAPACITY)] * 6, Script(head(), b"ok")]
        self.relay(scripts, tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))

    def test_the_draw_tells_the_limit_and_what_the_request_is_for(self):
        for program, use in ((None, QuotaUse.ALONE), (1_000, QuotaUse.CONTINUE_PROGRAM)):
            changes = WITH_KEY | {"budget": program}
            self.relay([Script(head(), b"ok")], tenants=[LIMITED], call_changes=changes)
            (drawn,) = self.store.drawn
            self.assertEqual((drawn.use, drawn.limit.tenant), (use, "corner"))
            self.assertEqual((drawn.limit.rate_per_s, drawn.limit.burst), (8.0, 4.0))

    def test_a_whole_turn_draws_for_the_calls_that_follow(self):
        self.relay([Script(head(), EVENT_1)], tenants=[LIMITED], call_changes=WITH_KEY, **TURNS)
        (settled,) = self.store.settled
        self.assertIsNone(settled.quota.use)
        self.assertGreater(settled.quota.ahead, 0)

    def test_without_whoever_grants_a_limited_call_is_not_sent(self):
        store = ScriptedStore(is_unavailable=True)
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual(self.backends.requested, [])

    def test_no_limit_no_draw(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], call_changes=WITH_KEY)
        self.assertEqual(self.store.drawn, [])


class RouteTest(RelayCase):
    def test_no_route_is_not_found(self):
        self.relay([], call_changes={"path": "/unknown/"})
        self.assertEqual(self.writer.status, 404)

    def serve_without_configuration(self, *, up_s, comes_after_s=None):
        """Handle a call at a node up for ``up_s``; its configuration comes that much later."""
        self.writer = RecordingWriter()

        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1")], anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodePlace("node-1", "a"),
                    registry,
                    ScriptedBackends(Script(head(), b"ok")),
                    ScriptedStore(),
                    tasks,
                    Metrics(),
                    random.Random(1),
                )
                await anyio.sleep(up_s)
                if comes_after_s is not None:
                    tasks.start_soon(configure_later, service, comes_after_s)
                self.started_at = anyio.current_time()
                await service.handle(call(), self.writer)
                self.ended_at = anyio.current_time()

        async def configure_later(service, seconds):
            await anyio.sleep(seconds)
            service.replace_configuration(configuration(route()))

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    def test_without_a_configuration_nothing_is_said_about_routes(self):
        self.serve_without_configuration(up_s=5.0)
        self.assertEqual(self.writer.status, 503)
        self.assertIsNotNone(self.writer.retry_after_s)

    def test_right_after_the_start_a_request_waits_for_the_configuration(self):
        self.serve_without_configuration(up_s=0.1, comes_after_s=0.4)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertAlmostEqual(self.elapsed_s, 0.4, places=2)

    def test_it_waits_no_longer_than_a_start_may_take(self):
        self.serve_without_configuration(up_s=0.7)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, START_WAIT_S - 0.7, places=2)

    def test_a_node_that_has_long_been_up_refuses_at_once(self):
        self.serve_without_configuration(up_s=5.0, comes_after_s=0.1)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 0.0, places=2)


class SameIdTest(unittest.TestCase):
    def test_an_id_that_is_under_way_is_refused_and_runs_once(self):
        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1")], anyio.current_time())
            backends = ScriptedBackends(Script(head(), b"ok", delay_s=0.2))
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodePlace("node-1", "a"),
                    registry,
                    backends,
                    ScriptedStore(),
                    tasks,
                    Metrics(),
                    random.Random(1),
                )
                service.replace_configuration(configuration(route()))
                first, second = RecordingWriter(), RecordingWriter()
                tasks.start_soon(service.handle, call("r-1"), first)
                await anyio.sleep(0.1)
                await service.handle(call("r-1"), second)
                self.assertEqual(second.status, 409)
                await anyio.sleep(0.2)
            self.assertEqual((first.status, first.body), (200, b"ok"))
            self.assertEqual(len(backends.requested), 1)

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})


class FewPlaces:
    """Back ends of one place each, taken for 50 ms by each call that they run."""

    def __init__(self):
        self.busy = set()
        self.order = []
        self.refusals = 0

    def has_idle_connection(self, record):
        return True

    @asynccontextmanager
    async def exchange(self, record, request):
        await anyio.sleep(0.001)
        if record.instance_id in self.busy:
            self.refusals += 1
            yield Script(AT_CAPACITY)
            return
        self.order.append(request.call.request_id)
        self.busy.add(record.instance_id)
        await anyio.sleep(0.05)
        self.busy.discard(record.instance_id)
        yield Script(head(), b"ok")


class WaitingLineTest(unittest.TestCase):
    def serve(self, count):
        """Send so many calls, 2 ms apart, to one place; the later half is more urgent."""
        tools = (ServiceShare("tools", 1),)
        routes = [
            route(name=name, path_prefix=f"/{name}/", priority=priority, shares=tools)
            for name, priority in (("usual", 2), ("urgent", 0))
        ]
        self.backends = FewPlaces()
        self.writers = [RecordingWriter() for _ in range(count)]

        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1", service="tools", slots=1)], anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodePlace("node-1", "a"),
                    registry,
                    self.backends,
                    ScriptedStore(),
                    tasks,
                    Metrics(),
                    random.Random(1),
                )
                service.replace_configuration(configuration(*routes))
                for number, writer in enumerate(self.writers):
                    name = "urgent" if number >= count // 2 else "usual"
                    one = call(f"{name}-{number}", path=f"/{name}/x")
                    tasks.start_soon(service.handle, one, writer)
                    await anyio.sleep(0.002)

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    def test_the_most_urgent_and_among_them_the_earliest_get_the_places_that_get_free(self):
        self.serve(8)
        self.assertEqual([writer.status for writer in self.writers], [200] * 8)
        waited = self.backends.order[1:]
        self.assertEqual(
            waited, [f"urgent-{n}" for n in (4, 5, 6, 7)] + [f"usual-{n}" for n in (1, 2, 3)]
        )

    def test_those_that_wait_do_not_each_ask_the_full_back_end(self):
        self.serve(8)
        self.assertLess(self.backends.refusals, 40)


class StreamTest(RelayCase):
    def test_each_event_passes_as_it_arrives(self):
        self.relay([Script(head(), EVENT_1, EVENT_2, delay_s=0.1)], **STREAM)
        self.assertEqual(self.writer.body, EVENT_1 + EVENT_2)
        self.assertAlmostEqual(self.writer.times[1] - self.writer.times[0], 0.1, places=3)

    def test_a_stream_waits_for_room_no_longer_than_its_caller_bears_silence(self):
        for target_latency_s, patience_s in ((0.25, 2.0), (0.75, 3.0)):
            changes = STREAM | {"target_latency_s": target_latency_s}
            self.relay([Script(AT_CAPACITY)] * 400, **changes)
            self.assertEqual(self.writer.status, 503)
            self.assertAlmostEqual(self.elapsed_s, patience_s, places=3)

    def test_a_broken_stream_never_looks_whole(self):
        self.relay([Script(head(), EVENT_1, b"id: 2\nda", broken=True)], **STREAM)
        self.assertIsNotNone(self.error)
        self.assertEqual(self.writer.body, EVENT_1)
        self.assertFalse(self.writer.is_finished)

    def test_a_resumable_stream_goes_on_after_the_last_whole_event(self):
        scripts = [
            Script(head(), EVENT_1, b"id: 2\nda", broken=True),
            Script(head(), EVENT_2),
        ]
        self.relay(scripts, **STREAM, is_resumable=True, max_attempts=2)
        self.assertEqual(self.writer.body, EVENT_1 + EVENT_2)
        self.assertTrue(self.writer.is_finished)
        self.assertEqual(self.backends.requests[1].last_event_id, "1")


class TurnTest(RelayCase):
    def setUp(self):
        self.changes = {"budget": 100, "previous_turn": "before"}

    def test_a_turn_runs_with_its_history_and_is_kept_before_its_end_is_told(self):
        store = ScriptedStore(TurnReserved(history=b"old"))
        self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
        self.assertEqual(self.backends.requests[0].body, b"oldnew")
        kept = store.settled[0].turn
        self.assertEqual(kept.content, b"newone\n")
        self.assertEqual((kept.turn_id, kept.previous), ("r-1", "before"))
        self.assertTrue(self.writer.is_finished)

    def test_a_turn_goes_where_its_program_was_and_tells_where_it_is_now(self):
        for used_last in ("i-1", "i-2"):
            store = ScriptedStore(TurnReserved(used_last=used_last))
            self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
            self.assertEqual(self.backends.requested, [used_last])
            self.assertEqual(store.settled[0].served_by, used_last)

    def test_a_turn_that_may_not_last_does_not_end(self):
        store = ScriptedStore(settle_fails=True)
        self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
        self.assertIsNotNone(self.error)
        self.assertFalse(self.writer.is_finished)

    def test_what_a_lost_answer_reserved_is_given_back_when_the_repeat_is_refused(self):
        for refusal in (REFUSED, BudgetSpent(spent_tokens=30, reserved_tokens=0)):
            store = ScriptedStore(refusal, answer_was_lost=True)
            self.relay([], call_changes={"budget": 100}, store=store, **STREAM)
            self.assertIn(self.writer.status, (402, 429))
            self.assertEqual([settlement.tokens for settlement in store.settled], [0])

    def test_a_spent_budget_and_an_unknown_turn_run_nothing(self):
        for answer, status in ((BudgetSpent(90, 0), 402), (TurnUnknown("before"), 404)):
            store = ScriptedStore(answer)
            self.relay([], call_changes=self.changes, store=store, **TURNS)
            self.assertEqual(self.writer.status, status)
            self.assertEqual(store.settled, [])

    def test_without_the_store_nothing_is_said_about_turns_and_the_reservation_is_undone(self):
        store = ScriptedStore(is_unavailable=True)
        self.relay([], call_changes=self.changes, store=store, **TURNS)
        self.assertEqual(self.writer.status, 503)
        self.assertIsNotNone(self.writer.retry_after_s)
        self.assertEqual(store.settled[0].tokens, 0)

    def test_the_longer_the_store_is_lost_the_later_callers_are_told_to_return(self):
        pauses = []
        for outage_s in (0.0, 0.4, 60.0):
            store = ScriptedStore(is_unavailable=True, outage_s=outage_s)
            self.relay([], call_changes=self.changes, store=store, **TURNS)
            pauses.append(self.writer.retry_after_s)
        self.assertEqual(pauses, [SHORTEST_OUTAGE_RETRY_S, 0.4, LONGEST_OUTAGE_RETRY_S])

    def test_a_turn_that_did_not_run_gives_its_reservation_back(self):
        self.relay([Script(AT_CAPACITY)] * 400, call_changes=self.changes, **TURNS)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual([(s.tokens, s.turn) for s in self.store.settled], [(0, None)])

    def test_what_the_client_got_of_a_broken_turn_is_spent(self):
        scripts = [Script(head(), EVENT_1, EVENT_2, broken=True)]
        self.relay(scripts, call_changes=self.changes, **TURNS, shares=(ServiceShare("models", 1),))
        self.assertIsNotNone(self.error)
        self.assertEqual(self.store.settled[0].turn, None)
        self.assertEqual(self.store.settled[0].tokens, 2 * 9)


class PlacedTurnTest(RelayCase):
    def setUp(self):
        self.changes = {"budget": 100, "prompt_parts": (PromptPart("a", 500), PromptPart("b", 70))}

    def place(self, scripts, answer, **changes):
        """Relay a turn that the store's leader answers in this way."""
        store = ScriptedStore(answer)
        self.relay(
            scripts,
            call_changes=self.changes,
            store=store,
            asks_for_places=True,
            **(TURNS | {"keeps_turns": False, "max_attempts": 2} | changes),
        )
        return store

    def test_the_leader_learns_what_decides_about_a_turn(self):
        store = self.place([Script(head(), EVENT_1)], TurnReserved(engine="i-2"), priority=3)
        demand = store.reserved[0].demand
        self.assertEqual((demand.service, demand.urgency, demand.zone), ("models", 3, "a"))
        self.assertEqual((demand.prompt_tokens, demand.shared_part), (570, "a"))
        self.assertAlmostEqual(demand.time_left_s, 4.0)

    def test_a_tenants_rank_goes_before_the_routes_which_decides_within_it(self):
        identities = [Identity(Tenant(name="t", priority=rank)) for rank in (0, 1)]
        orders = [
            (identity.urgency_on(route(priority=priority)), identity.engine_priority_on(
                route(priority=priority)
            ))
            for identity in identities
            for priority in (0, 2)
        ]  # fmt: skip
        self.assertEqual(orders, sorted(set(orders)))

    def test_a_turn_goes_to_the_engine_where_it_has_a_place(self):
        for engine in ("i-1", "i-2"):
            self.place([Script(head(), EVENT_1)], TurnReserved(engine=engine, used_last="i-1"))
            self.assertEqual(self.backends.requested, [engine])

    def test_an_engine_that_refuses_it_after_all_is_told_and_passed_over(self):
        store = self.place([Script(AT_CAPACITY), Script(head(), EVENT_1)], TurnReserved(engine="i-2"))
        self.assertEqual(self.backends.requested, ["i-2", "i-1"])
        outcome = store.settled[0].outcome
        self.assertEqual((outcome.full_at, store.settled[0].served_by), (("i-2",), "i-1"))

    def test_an_engine_that_is_not_listed_here_is_passed_over(self):
        self.place([Script(head(), EVENT_1)], TurnReserved(engine="i-9"))
        self.assertEqual(self.writer.status, 200)

    def test_the_leader_learns_how_a_turn_went(self):
        store = self.place(
            [Script(head(), EVENT_1, EVENT_2, delay_s=0.1)], TurnReserved(engine="i-1")
        )
        outcome = store.settled[0].outcome
        self.assertAlmostEqual(outcome.engine_s, 0.2)
        self.assertEqual((outcome.events, outcome.failed_at), (2, ()))

    def test_a_broken_turn_tells_nothing_of_an_engines_pace(self):
        store = self.place([Script(head(), EVENT_1, broken=True)], TurnReserved(engine="i-1"))
        self.assertEqual(store.settled[0].outcome.engine_s, 0.0)
        self.assertEqual(store.settled[0].outcome.failed_at, ("i-1",))

    def test_a_program_without_room_is_refused_at_once_with_the_time_to_come_back(self):
        refused = TurnRefused(retry_after_s=0.7, waiting=9, busy_share=1.0)
        store = self.place([], refused)
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (503, 0.7))
        self.assertEqual((self.backends.requested, store.settled), ([], []))
        self.assertEqual(self.elapsed_s, 0.0)
