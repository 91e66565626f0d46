"""One relayed request from end to end, with scripted backends and a scripted store."""

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
    MAX_CAPACITY_RETRY_S,
    MAX_OUTAGE_RETRY_S,
    MIN_OUTAGE_RETRY_S,
    ROOM_RETRY_SPREAD,
)
from passlane.decisions.inputs.relayed_call import PromptPart
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.messages.listing import BackendState
from passlane.messages.placement import TurnRefused
from passlane.messages.quotas import QuotaGranted, QuotaPurpose, QuotaRefused
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
from passlane.relay.service import FIRST_CONFIGURATION_TIMEOUT_S, RelayService
from passlane.routes.tenants import Identity, digest_of_key
from passlane.runtime.reach import BackendReach
from passlane.simulation.replacement import Replacement, replaced
from relay.fakes import (
    AT_CAPACITY,
    WRONG_INSTANCE,
    RecordingWriter,
    Reset,
    Script,
    ScriptedBackends,
    ScriptedStore,
    Unreachable,
    Unresponsive,
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
        requests_placement=False,
        stops_after_s=math.inf,
        has_disconnected=False,
        reach=BackendReach.ACCEPTED,
        **route_changes,
    ):
        """Relay one call on a virtual clock; sets the writer, backends, store and error."""
        self.writer = RecordingWriter()
        self.backends = ScriptedBackends(*scripts)
        self.backends.reach = reach
        self.store = store or ScriptedStore()
        self.error = None

        async def main():
            registry = BackendRegistry()
            made = [backend("i-1"), backend("i-2")] if records is None else records
            registry.update(made, anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodeLocation("node-1", "a"),
                    registry,
                    self.backends,
                    self.store,
                    tasks,
                    Metrics(),
                    random.Random(1),
                    self.admission,
                    requests_placement=requests_placement,
                )
                configured = configuration(route(**route_changes), tenants=tenants)
                service.replace_configuration(configured)
                self.started_at = anyio.current_time()
                self.writer.is_abandoned = has_disconnected
                async with anyio.create_task_group() as background:
                    background.start_soon(service.run)
                    try:
                        with anyio.move_on_after(stops_after_s):
                            await service.handle(call(**(call_changes or {})), self.writer)
                    except AnswerAbortedError as error:
                        self.error = error
                    background.cancel_scope.cancel()
                self.ended_at = anyio.current_time()
                self.registry = registry

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    @property
    def elapsed_s(self):
        return self.ended_at - self.started_at


class RepeatableTest(RelayCase):
    def test_status_body_and_signature_are_forwarded_unchanged(self):
        self.relay([Script(head(201), b"whole ", b"body")])
        self.assertEqual((self.writer.status, self.writer.body), (201, b"whole body"))
        self.assertEqual(self.writer.headers[0].value, "s")
        self.assertTrue(self.writer.is_finished)

    def test_a_full_backend_is_skipped(self):
        self.relay([Script(AT_CAPACITY), Script(head(), b"ok")])
        self.assertEqual(self.writer.body, b"ok")
        self.assertEqual(len(set(self.backends.requested)), 2)

    def test_while_all_are_full_it_waits_as_long_as_there_is_time_for_an_answer(self):
        self.relay([Script(AT_CAPACITY)] * 400)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 1.0 - UNKNOWN_ANSWER_S, places=3)
        self.assertLess(len(self.backends.requested), 100)

    def test_a_refusal_after_a_long_wait_has_the_maximum_retry_after(self):
        self.relay([Script(AT_CAPACITY)] * 400)
        spread = self.writer.retry_after_s / MAX_CAPACITY_RETRY_S
        self.assertTrue(1.0 <= spread <= 1.0 + ROOM_RETRY_SPREAD)

    def test_a_slot_that_is_freed_after_many_attempts_is_used(self):
        self.relay([*[Script(AT_CAPACITY)] * 20, Script(head(), b"ok")])
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertGreater(self.elapsed_s, 0.25 * 0.2)

    def test_the_same_wait_applies_to_plain_backends(self):
        tools = {"shares": (ServiceShare("tools", 1),)}
        records = [backend("i-1", service="tools"), backend("i-2", service="tools")]
        self.relay([*[Script(AT_CAPACITY)] * 20, Script(head(), b"ok")], records=records, **tools)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.relay([Script(AT_CAPACITY)] * 400, records=records, **tools)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 1.0 - UNKNOWN_ANSWER_S, places=3)
        self.assertLess(len(self.backends.requested), 100)

    def test_a_broken_answer_is_requested_again_within_max_attempts(self):
        self.relay([Script(head(), b"ha", broken=True), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))

    def test_no_more_backends_run_it_than_allowed(self):
        self.relay([Reset(), Reset(), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual(self.writer.status, 502)
        self.assertEqual(len(self.backends.requested), 2)

    def test_an_unresponsive_backend_is_abandoned_for_another(self):
        self.relay([Unresponsive(), Script(head(), b"ok")], max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertLess(self.elapsed_s, 0.5)

    def test_an_unresponsive_backend_is_awaited_if_no_other_may_run_it(self):
        self.relay([Unresponsive()], max_attempts=1)
        self.assertEqual(self.writer.status, 504)
        self.assertEqual(len(self.backends.requested), 1)

    def test_the_wait_for_a_body_ends_at_the_routes_timeout(self):
        self.relay([Script(head(), b"late", delay_s=60.0)])
        self.assertEqual(self.writer.status, 504)
        self.assertAlmostEqual(self.elapsed_s, 1.0, places=3)

    def test_without_any_backend_it_is_refused(self):
        self.relay([], records=[backend(state=BackendState.DRAINING)])
        self.assertEqual(self.writer.status, 503)


class StartedAnswerTest(RelayCase):
    """Once the caller has received a part of an answer, no other answer may follow it."""

    def test_a_long_answer_that_breaks_off_after_its_first_part_is_not_retried(self):
        long_part = b"x" * (MAX_BUFFERED_BYTES + 1)
        scripts = [Script(head(), long_part, broken=True), Script(head(), b"other")]
        self.relay(scripts, max_attempts=2)
        self.assertEqual((self.writer.status, self.writer.body), (200, long_part))
        self.assertFalse(self.writer.is_finished)
        self.assertIsNotNone(self.error)
        self.assertEqual(len(self.backends.requested), 1)

    def test_after_its_first_event_a_stream_does_not_get_another_head(self):
        for later in (head(500), AT_CAPACITY):
            scripts = [Script(head(), EVENT_1, broken=True)] + [Script(later, b"sorry")] * 200
            self.relay(scripts, is_resumable=True, max_attempts=2, **STREAM)
            self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
            self.assertFalse(self.writer.is_finished)
            self.assertIsNotNone(self.error)


class StoppedTest(RelayCase):
    """The node stops, or the caller disconnects, while a request is in progress."""

    def test_a_request_that_was_not_sent_is_refused_when_the_node_stops(self):
        limited = ScriptedStore(quota=QuotaGranted(start_after_s=0.5))
        tenants = (msgspec.structs.replace(CORNER, rate_per_s=1.0, burst=1),)
        changes = {"tenants": tenants, "call_changes": WITH_KEY, "store": limited}
        self.relay([], stops_after_s=0.1, **changes)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual(self.backends.requested, [])
        self.assertAlmostEqual(self.elapsed_s, 0.1, places=3)

    def test_a_request_that_was_sent_is_not_refused_when_the_node_stops(self):
        self.relay([Unresponsive()], kind=RouteKind.AT_MOST_ONCE, stops_after_s=0.1)
        self.assertEqual(self.writer.status, 0)

    def test_a_request_whose_refusal_is_still_being_read_is_refused(self):
        scripts = [Script(AT_CAPACITY, close_delay_s=60.0)]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE, stops_after_s=0.1)
        self.assertEqual(self.writer.status, 503)

    def test_a_request_whose_answer_has_begun_is_not_refused(self):
        scripts = [Script(head(), EVENT_1, EVENT_2, delay_s=0.08)]
        self.relay(scripts, stops_after_s=0.1, **STREAM)
        self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
        self.assertFalse(self.writer.is_finished)

    def test_a_caller_that_has_disconnected_is_not_answered(self):
        self.relay([], records=[], stops_after_s=0.01, has_disconnected=True)
        self.assertEqual(self.writer.status, 0)


class UnprovenRefusalTest(RelayCase):
    """A refusal that the attempts do not prove is replaced by a status without a promise."""

    def refuse_without_proof(self, scripts, **more):
        run = RequestAttempts.run

        async def run_and_refuse(attempts, limit_at, deliver):
            try:
                await run(attempts, limit_at, deliver)
            except RequestFailedError as error:
                raise RequestRefusedError(Refusal(error.end, 503, 0.1)) from error

        with replaced([Replacement(RequestAttempts, "run", run_and_refuse)]):
            self.relay(scripts, **more)

    def test_a_refusal_after_an_attempt_that_may_have_run_is_replaced(self):
        self.refuse_without_proof([Reset()], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 502)

    def test_a_refusal_after_an_event_was_sent_closes_the_connection(self):
        self.refuse_without_proof([Script(head(), EVENT_1, broken=True)], **STREAM)
        self.assertEqual((self.writer.status, self.writer.body), (200, EVENT_1))
        self.assertIsNotNone(self.error)


class AtMostOnceTest(RelayCase):
    def test_a_refusal_after_an_attempt_that_may_have_run_is_no_proof_for_the_request(self):
        self.relay([Reset()] + [Script(AT_CAPACITY)] * 40, max_attempts=3)
        self.assertEqual(self.writer.status, 502)

    def test_a_refusal_is_proof_even_if_the_timeout_passes_while_it_is_closed(self):
        self.relay([Script(AT_CAPACITY, close_delay_s=60.0)], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 503)

    def test_an_unresponsive_backend_is_awaited_if_the_request_may_run_only_once(self):
        self.relay([Unresponsive()], kind=RouteKind.AT_MOST_ONCE, max_attempts=3)
        self.assertEqual(self.writer.status, 504)
        self.assertEqual(len(self.backends.requested), 1)

    def test_a_lost_answer_is_not_reported_as_not_run(self):
        self.relay([Reset()], kind=RouteKind.AT_MOST_ONCE, max_attempts=3)
        self.assertEqual(self.writer.status, 502)
        self.assertEqual(len(self.backends.requested), 1)

    def test_a_backend_without_a_connection_did_not_run_it(self):
        scripts = [Unreachable(), Script(head(), b"ok")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.body, b"ok")

    def test_another_instance_at_the_address_did_not_run_it(self):
        scripts = [Script(WRONG_INSTANCE), Script(head(), b"ok")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.body, b"ok")
        self.assertEqual(len(self.registry), 1)

    def test_a_status_that_promises_not_run_needs_proof(self):
        for status in (503, 429, 408, 421):
            self.relay([Script(head(status), b"")], kind=RouteKind.AT_MOST_ONCE)
            self.assertEqual(self.writer.status, 502)

    def test_an_unauthenticated_success_is_not_forwarded(self):
        scripts = [Script(head(200, is_authentic=False), b"other")]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual((self.writer.status, self.writer.body), (502, b""))

    def test_a_failure_of_the_backend_is_forwarded_unchanged(self):
        self.relay([Script(head(500), b"sorry")], kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual((self.writer.status, self.writer.body), (500, b"sorry"))

    def test_a_timeout_after_it_was_sent_is_not_reported_as_not_run(self):
        scripts = [Script(head(), b"late", delay_s=60.0)]
        self.relay(scripts, kind=RouteKind.AT_MOST_ONCE)
        self.assertEqual(self.writer.status, 504)


CORNER = Tenant(name="corner", key_digests=(digest_of_key("key-1"),), priority=3)
# Engines distinguish three route priorities within each tenant priority.
WITH_KEY = {"key_digests": CORNER.key_digests}


class TenantTest(RelayCase):
    def test_the_backend_receives_the_tenant_and_its_priority(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], call_changes=WITH_KEY)
        request = self.backends.requests[0]
        self.assertEqual((request.tenant_name, request.engine_priority), ("corner", 9))

    def test_without_a_valid_key_a_request_is_refused_at_once(self):
        unknown = {"key_digests": (digest_of_key("key-9"),)}
        for changes in ({}, unknown, {"key_digests": CORNER.key_digests * 2}):
            with self.subTest(changes):
                self.relay([], tenants=[CORNER], call_changes=changes)
                self.assertEqual((self.writer.status, self.elapsed_s), (401, 0.0))

    def test_an_unknown_path_is_not_found_with_or_without_a_key(self):
        self.relay([], tenants=[CORNER], call_changes={"path": "/unknown/"})
        self.assertEqual(self.writer.status, 404)

    def test_a_public_route_is_served_without_a_key(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], is_public=True)
        self.assertEqual(self.writer.status, 200)
        self.assertEqual(self.backends.requests[0].tenant_name, "")

    def test_ids_of_programs_and_turns_are_scoped_by_tenant(self):
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
    def test_a_call_above_the_limit_is_refused_at_once_with_retry_after(self):
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=ScriptedStore(quota=REFUSED))
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (429, 0.71))
        self.assertEqual(self.elapsed_s, 0.0)
        self.assertEqual(self.backends.requested, [])

    def test_a_turn_above_the_limit_is_refused_and_leaves_no_reservation(self):
        store = ScriptedStore(REFUSED)
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=store, **TURNS)
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (429, 0.71))
        self.assertEqual(store.settled, [])

    def test_a_request_is_sent_at_its_start_time(self):
        granted = QuotaGranted(start_after_s=0.3)
        store = ScriptedStore(quota=granted)
        self.relay([Script(head(), b"ok")], tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual(self.writer.body, b"ok")
        self.assertAlmostEqual(self.elapsed_s, 0.3, places=3)

    def test_a_request_that_waited_for_a_back_end_is_reported_as_sent_late(self):
        scripts = [*[Script(AT_CAPACITY)] * 20, Script(head(), b"ok")]
        self.relay(scripts, tenants=[LIMITED], call_changes=WITH_KEY)
        self.assertEqual(self.writer.body, b"ok")
        drawn, late = self.store.drawn
        self.assertIsNotNone(drawn.use)
        self.assertIsNone(late.use)
        self.assertAlmostEqual(late.sent_after_s, self.elapsed_s, places=3)

    def test_a_request_that_is_sent_at_once_or_at_its_start_time_is_not_reported_again(self):
        for granted in (QuotaGranted(), QuotaGranted(start_after_s=0.3)):
            store = ScriptedStore(quota=granted)
            answer = [Script(head(), b"ok")]
            self.relay(answer, tenants=[LIMITED], call_changes=WITH_KEY, store=store)
            self.assertEqual(len(store.drawn), 1)

    def test_the_wait_for_its_start_time_does_not_shorten_the_wait_for_capacity(self):
        store = ScriptedStore(quota=QuotaGranted(start_after_s=0.3))
        scripts = [*[Script(AT_CAPACITY)] * 6, Script(head(), b"ok")]
        self.relay(scripts, tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))

    def test_the_draw_has_the_limit_and_the_use_of_the_request(self):
        for program, use in (
            (None, QuotaPurpose.STANDALONE),
            (1_000, QuotaPurpose.CONTINUE_PROGRAM),
        ):
            changes = WITH_KEY | {"budget": program}
            self.relay([Script(head(), b"ok")], tenants=[LIMITED], call_changes=changes)
            (drawn,) = self.store.drawn
            self.assertEqual((drawn.use, drawn.limit.tenant), (use, "corner"))
            self.assertEqual((drawn.limit.rate_per_s, drawn.limit.burst), (8.0, 4.0))

    def test_a_completed_turn_draws_for_the_calls_that_follow(self):
        self.relay([Script(head(), EVENT_1)], tenants=[LIMITED], call_changes=WITH_KEY, **TURNS)
        (settled,) = self.store.settled
        self.assertIsNone(settled.quota.use)
        self.assertGreater(settled.quota.ahead, 0)

    def test_a_limited_call_is_not_sent_while_the_store_is_unavailable(self):
        store = ScriptedStore(is_unavailable=True)
        self.relay([], tenants=[LIMITED], call_changes=WITH_KEY, store=store)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual(self.backends.requested, [])

    def test_without_a_limit_nothing_is_drawn(self):
        self.relay([Script(head(), b"ok")], tenants=[CORNER], call_changes=WITH_KEY)
        self.assertEqual(self.store.drawn, [])


class RouteTest(RelayCase):
    def test_a_path_without_a_route_is_not_found(self):
        self.relay([], call_changes={"path": "/unknown/"})
        self.assertEqual(self.writer.status, 404)

    def serve_without_configuration(self, *, up_s, configured_after_s=None):
        """Handle a call ``up_s`` after the start, and configure the node during the call."""
        self.writer = RecordingWriter()

        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1")], anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodeLocation("node-1", "a"),
                    registry,
                    ScriptedBackends(Script(head(), b"ok")),
                    ScriptedStore(),
                    tasks,
                    Metrics(),
                    random.Random(1),
                )
                await anyio.sleep(up_s)
                if configured_after_s is not None:
                    tasks.start_soon(configure_later, service, configured_after_s)
                self.started_at = anyio.current_time()
                await service.handle(call(), self.writer)
                self.ended_at = anyio.current_time()

        async def configure_later(service, seconds):
            await anyio.sleep(seconds)
            service.replace_configuration(configuration(route()))

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    def test_without_a_configuration_a_request_is_refused_as_unavailable(self):
        self.serve_without_configuration(up_s=5.0)
        self.assertEqual(self.writer.status, 503)
        self.assertIsNotNone(self.writer.retry_after_s)

    def test_right_after_the_start_a_request_waits_for_the_configuration(self):
        self.serve_without_configuration(up_s=0.1, configured_after_s=0.4)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertAlmostEqual(self.elapsed_s, 0.4, places=2)

    def test_it_waits_no_longer_than_the_timeout_after_the_start(self):
        self.serve_without_configuration(up_s=0.7)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, FIRST_CONFIGURATION_TIMEOUT_S - 0.7, places=2)

    def test_after_the_timeout_a_node_without_configuration_refuses_at_once(self):
        self.serve_without_configuration(up_s=5.0, configured_after_s=0.1)
        self.assertEqual(self.writer.status, 503)
        self.assertAlmostEqual(self.elapsed_s, 0.0, places=2)


class SameIdTest(unittest.TestCase):
    def test_an_id_that_is_in_flight_is_refused_and_runs_once(self):
        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1")], anyio.current_time())
            backends = ScriptedBackends(Script(head(), b"ok", delay_s=0.2))
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodeLocation("node-1", "a"),
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


class SingleSlotBackends:
    """Backends with one slot each, which each call occupies for 50 ms."""

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


class CapacityQueueTest(unittest.TestCase):
    def serve(self, count):
        """Send ``count`` calls, 2 ms apart, to one slot; the second half is more urgent."""
        tools = (ServiceShare("tools", 1),)
        routes = [
            route(name=name, path_prefix=f"/{name}/", priority=priority, shares=tools)
            for name, priority in (("usual", 2), ("urgent", 0))
        ]
        self.backends = SingleSlotBackends()
        self.writers = [RecordingWriter() for _ in range(count)]

        async def main():
            registry = BackendRegistry()
            registry.update([backend("i-1", service="tools", slots=1)], anyio.current_time())
            async with anyio.create_task_group() as tasks:
                service = RelayService(
                    NodeLocation("node-1", "a"),
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

    def test_free_slots_go_to_the_most_urgent_and_among_them_to_the_earliest(self):
        self.serve(8)
        self.assertEqual([writer.status for writer in self.writers], [200] * 8)
        waited = self.backends.order[1:]
        self.assertEqual(
            waited, [f"urgent-{n}" for n in (4, 5, 6, 7)] + [f"usual-{n}" for n in (1, 2, 3)]
        )

    def test_waiting_requests_do_not_each_try_the_full_backend(self):
        self.serve(8)
        self.assertLess(self.backends.refusals, 40)


class StreamTest(RelayCase):
    def test_each_event_is_forwarded_as_it_arrives(self):
        self.relay([Script(head(), EVENT_1, EVENT_2, delay_s=0.1)], **STREAM)
        self.assertEqual(self.writer.body, EVENT_1 + EVENT_2)
        self.assertAlmostEqual(self.writer.times[1] - self.writer.times[0], 0.1, places=3)

    def test_a_stream_waits_for_capacity_no_longer_than_its_client_timeout(self):
        for target_latency_s, timeout_s in ((0.25, 2.0), (0.75, 3.0)):
            changes = STREAM | {"target_latency_s": target_latency_s}
            self.relay([Script(AT_CAPACITY)] * 400, **changes)
            self.assertEqual(self.writer.status, 503)
            self.assertAlmostEqual(self.elapsed_s, timeout_s, places=3)

    def test_a_broken_stream_is_never_finished(self):
        self.relay([Script(head(), EVENT_1, b"id: 2\nda", broken=True)], **STREAM)
        self.assertIsNotNone(self.error)
        self.assertEqual(self.writer.body, EVENT_1)
        self.assertFalse(self.writer.is_finished)

    def test_a_resumable_stream_resumes_after_the_last_complete_event(self):
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

    def test_a_turn_runs_with_its_history_and_is_stored_before_its_end_is_sent(self):
        store = ScriptedStore(TurnReserved(history=b"old"))
        self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
        self.assertEqual(self.backends.requests[0].body, b"oldnew")
        stored = store.settled[0].turn
        self.assertEqual(stored.content, b"newone\n")
        self.assertEqual((stored.turn_id, stored.previous), ("r-1", "before"))
        self.assertTrue(self.writer.is_finished)

    def test_a_turn_goes_to_its_programs_last_engine_and_reports_its_own(self):
        for used_last in ("i-1", "i-2"):
            store = ScriptedStore(TurnReserved(used_last=used_last))
            self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
            self.assertEqual(self.backends.requested, [used_last])
            self.assertEqual(store.settled[0].served_by, used_last)

    def test_a_turn_that_may_not_be_durable_is_not_finished(self):
        store = ScriptedStore(settle_fails=True)
        self.relay([Script(head(), EVENT_1)], call_changes=self.changes, store=store, **TURNS)
        self.assertIsNotNone(self.error)
        self.assertFalse(self.writer.is_finished)

    def test_the_reservation_of_a_lost_answer_is_released_if_the_retry_is_refused(self):
        for refusal in (REFUSED, BudgetSpent(spent_tokens=30, reserved_tokens=0)):
            store = ScriptedStore(refusal, answer_was_lost=True)
            self.relay([], call_changes={"budget": 100}, store=store, **STREAM)
            self.assertIn(self.writer.status, (402, 429))
            self.assertEqual([settlement.tokens for settlement in store.settled], [0])

    def test_a_turn_with_a_spent_budget_or_an_unknown_predecessor_does_not_run(self):
        for answer, status in ((BudgetSpent(90, 0), 402), (TurnUnknown("before"), 404)):
            store = ScriptedStore(answer)
            self.relay([], call_changes=self.changes, store=store, **TURNS)
            self.assertEqual(self.writer.status, status)
            self.assertEqual(store.settled, [])

    def test_without_the_store_a_turn_is_refused_and_its_reservation_is_released(self):
        store = ScriptedStore(is_unavailable=True)
        self.relay([], call_changes=self.changes, store=store, **TURNS)
        self.assertEqual(self.writer.status, 503)
        self.assertIsNotNone(self.writer.retry_after_s)
        self.assertEqual(store.settled[0].tokens, 0)

    def test_retry_after_grows_with_the_outage_of_the_store(self):
        delays = []
        for outage_s in (0.0, 0.4, 60.0):
            store = ScriptedStore(is_unavailable=True, outage_s=outage_s)
            self.relay([], call_changes=self.changes, store=store, **TURNS)
            delays.append(self.writer.retry_after_s)
        self.assertEqual(delays, [MIN_OUTAGE_RETRY_S, 0.4, MAX_OUTAGE_RETRY_S])

    def test_a_turn_that_did_not_run_releases_its_reservation(self):
        self.relay([Script(AT_CAPACITY)] * 400, call_changes=self.changes, **TURNS)
        self.assertEqual(self.writer.status, 503)
        self.assertEqual([(s.tokens, s.turn) for s in self.store.settled], [(0, None)])

    def test_the_tokens_received_of_a_broken_turn_are_counted(self):
        scripts = [Script(head(), EVENT_1, EVENT_2, broken=True)]
        self.relay(scripts, call_changes=self.changes, **TURNS, shares=(ServiceShare("models", 1),))
        self.assertIsNotNone(self.error)
        self.assertEqual(self.store.settled[0].turn, None)
        self.assertEqual(self.store.settled[0].tokens, 2 * 9)


class PlacedTurnTest(RelayCase):
    def setUp(self):
        self.changes = {"budget": 100, "prompt_parts": (PromptPart("a", 500), PromptPart("b", 70))}

    def relay_placed(self, scripts, answer, **changes):
        """Relay a turn whose reservation gets the given answer."""
        store = ScriptedStore(answer)
        self.relay(
            scripts,
            call_changes=self.changes,
            store=store,
            requests_placement=True,
            **(TURNS | {"keeps_turns": False, "max_attempts": 2} | changes),
        )
        return store

    def test_a_reservation_has_the_demand_of_its_turn(self):
        store = self.relay_placed([Script(head(), EVENT_1)], TurnReserved(engine="i-2"), priority=3)
        demand = store.reserved[0].demand
        self.assertEqual((demand.service, demand.urgency, demand.zone), ("models", 3, "a"))
        self.assertEqual((demand.prompt_tokens, demand.shared_part), (570, "a"))
        self.assertAlmostEqual(demand.time_left_s, 4.0)

    def test_requests_are_ordered_by_the_tenants_priority_and_then_by_the_routes(self):
        identities = [Identity(Tenant(name="t", priority=rank)) for rank in (0, 1)]
        orders = [
            (identity.queue_rank_on(route(priority=priority)), identity.engine_priority_on(
                route(priority=priority)
            ))
            for identity in identities
            for priority in (0, 2)
        ]  # fmt: skip
        self.assertEqual(orders, sorted(set(orders)))

    def test_a_turn_goes_to_the_engine_that_it_is_assigned_to(self):
        for engine in ("i-1", "i-2"):
            self.relay_placed(
                [Script(head(), EVENT_1)], TurnReserved(engine=engine, used_last="i-1")
            )
            self.assertEqual(self.backends.requested, [engine])

    def test_an_assigned_engine_that_refuses_is_reported_and_skipped(self):
        store = self.relay_placed(
            [Script(AT_CAPACITY), Script(head(), EVENT_1)], TurnReserved(engine="i-2")
        )
        self.assertEqual(self.backends.requested, ["i-2", "i-1"])
        outcome = store.settled[0].outcome
        self.assertEqual((outcome.full_at, store.settled[0].served_by), (("i-2",), "i-1"))

    def test_an_assigned_engine_that_is_not_listed_is_skipped(self):
        self.relay_placed([Script(head(), EVENT_1)], TurnReserved(engine="i-9"))
        self.assertEqual(self.writer.status, 200)

    def test_a_settlement_has_the_outcome_of_its_turn(self):
        store = self.relay_placed(
            [Script(head(), EVENT_1, EVENT_2, delay_s=0.1)], TurnReserved(engine="i-1")
        )
        outcome = store.settled[0].outcome
        self.assertAlmostEqual(outcome.engine_s, 0.2)
        self.assertEqual((outcome.events, outcome.failed_at), (2, ()))

    def test_a_broken_turn_does_not_report_an_engine_time(self):
        store = self.relay_placed(
            [Script(head(), EVENT_1, broken=True)], TurnReserved(engine="i-1")
        )
        self.assertEqual(store.settled[0].outcome.engine_s, 0.0)
        self.assertEqual(store.settled[0].outcome.failed_at, ("i-1",))

    def test_a_program_without_capacity_is_refused_at_once_with_retry_after(self):
        refused = TurnRefused(retry_after_s=0.7, waiting=9, busy_share=1.0)
        store = self.relay_placed([], refused)
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (503, 0.7))
        self.assertEqual((self.backends.requested, store.settled), ([], []))
        self.assertEqual(self.elapsed_s, 0.0)
