"""Streams of one request that break off while engines of two software versions serve."""

import unittest

import anyio
import msgspec
import trio.testing

from passlane.decisions.backends.registry import BackendRegistry
from passlane.messages.routes import Route, RouteKind, ServiceShare
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.relay.announced_versions import (
    ANNOUNCE_INTERVAL_S,
    ANNOUNCE_TIMEOUT_S,
    COUNTED_ON_S,
    RENEWED_AFTER_S,
    AnnouncedVersions,
)
from passlane.relay.end_reasons import RequestEndReason
from relay.fakes import (
    AT_CAPACITY,
    WRONG_INSTANCE,
    Script,
    ScriptedStore,
    Unreachable,
    backend,
    head,
)
from relay.test_service import EVENT_1, EVENT_2, STREAM, RelayCase

RESUMED = {"last_event_id": "1", "resumes": "first"}
RESUMABLE = STREAM | {"is_resumable": True, "max_attempts": 2}


def run_on_virtual_clock(main):
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})


def engine(instance_id, software_version):
    return msgspec.structs.replace(backend(instance_id), software_version=software_version)


class BrokenStreamTest(RelayCase):
    def resume(self, *records):
        """Relay a stream whose first engine breaks it off; return the versions of the engines."""
        scripts = [Script(head(), EVENT_1, broken=True), Script(head(), EVENT_2)]
        return self.versions_of(scripts, records)

    def versions_of(self, scripts, records):
        """Relay a stream; return the versions of the engines to which it was sent."""
        self.relay(scripts, records=list(records), **RESUMABLE)
        versions = {record.instance_id: record.software_version for record in records}
        return [versions[name] for name in self.backends.requested]

    def test_a_broken_stream_does_not_go_on_at_another_software_version(self):
        scripts = [Script(head(), EVENT_1, broken=True), *[Unreachable()] * 200]
        versions = self.versions_of(scripts, (engine("i-1", "v1"), engine("i-2", "v2")))
        self.assertEqual(len(set(versions)), 1)
        self.assertEqual(self.writer.body, EVENT_1)
        self.assertFalse(self.writer.is_finished)

    def test_a_broken_stream_goes_on_at_the_software_version_that_began_it(self):
        names = ("i-1", "i-2", "i-3", "i-4")
        for order in (("v1", "v1", "v2", "v2"), ("v2", "v1", "v2", "v1"), ("v1", "v2", "v2", "v1")):
            records = map(engine, names, order)
            first, second = self.resume(*records)
            self.assertEqual(first, second)
            self.assertEqual(self.writer.body, EVENT_1 + EVENT_2)
            self.assertTrue(self.writer.is_finished)

    def test_an_engine_that_is_full_before_the_stream_begins_does_not_bind_it(self):
        scripts = [Script(AT_CAPACITY), Script(head(), EVENT_1)]
        versions = self.versions_of(scripts, (engine("i-1", "v1"), engine("i-2", "v2")))
        self.assertEqual(len(set(versions)), 2)
        self.assertTrue(self.writer.is_finished)

    def test_a_stream_whose_version_is_unknown_goes_on_only_at_its_own_engine(self):
        self.resume(engine("i-1", ""), engine("i-2", ""))
        self.assertEqual(len(set(self.backends.requested)), 1)
        self.assertTrue(self.writer.is_finished)

    def test_a_stream_ends_at_once_when_the_last_engine_of_its_version_is_gone(self):
        scripts = [Script(head(), EVENT_1, broken=True), Script(WRONG_INSTANCE)]
        self.versions_of(scripts, (engine("i-1", "v1"), engine("i-2", "v2")))
        self.assertEqual(self.writer.body, EVENT_1)
        self.assertEqual(self.error.code, RequestEndReason.NO_FURTHER_ENGINE_OF_VERSION)
        self.assertLess(self.elapsed_s, 0.5)


class ResumedStreamTest(RelayCase):
    """A request that resumes a stream of an earlier attempt."""

    RECORDS = (engine("i-1", "v1"), engine("i-2", "v2"))

    def resume(self, store, *, scripts=None, records=RECORDS, **route_changes):
        self.relay(
            scripts or [Script(head(), EVENT_2)],
            call_changes=RESUMED,
            store=store,
            records=list(records),
            **(RESUMABLE | route_changes),
        )

    def store_with(self, version, service="models"):
        store = ScriptedStore()
        origin = StreamOrigin(stream_id="first", service=service, software_version=version)
        store.streams["first"] = origin
        return store

    def test_it_goes_to_the_version_that_began_the_stream(self):
        for version, instance in (("v1", "i-1"), ("v2", "i-2")):
            self.resume(self.store_with(version))
            self.assertEqual(self.backends.requested, [instance])
            self.assertEqual(self.backends.requests[0].last_event_id, "1")
            self.assertTrue(self.writer.is_finished)

    def test_a_second_engine_is_of_that_version_too(self):
        records = (*self.RECORDS, engine("i-3", "v2"))
        scripts = [Script(head(), b"id: 2\nda", broken=True), Script(head(), EVENT_2)]
        self.resume(self.store_with("v2"), scripts=scripts, records=records)
        self.assertEqual(set(self.backends.requested), {"i-2", "i-3"})
        self.assertEqual(self.writer.body, EVENT_2)

    def test_its_stream_stays_known_by_the_attempt_that_began_it(self):
        store = self.store_with("v2")
        self.resume(store)
        self.assertEqual(set(store.streams), {"first"})

    def test_an_unknown_stream_reaches_no_engine_while_two_versions_serve(self):
        self.resume(ScriptedStore())
        self.assertEqual((self.writer.status, self.backends.requested), (503, []))
        self.assertIsNone(self.writer.retry_after_s)

    def test_an_unknown_stream_goes_on_where_there_is_one_version(self):
        store = ScriptedStore()
        store.versions.add(
            ServedVersion(address="one.example/first/", service="models", software_version="v1")
        )
        self.resume(store, records=[engine("i-1", "v1"), engine("i-2", "v1")])
        self.assertTrue(self.writer.is_finished)

    def test_without_the_store_it_is_refused_with_the_time_of_the_outage(self):
        self.resume(ScriptedStore(is_unavailable=True, outage_s=0.4))
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (503, 0.4))
        self.assertEqual(self.backends.requested, [])

    def test_a_stream_whose_service_left_the_route_is_refused(self):
        self.resume(self.store_with("v1", service="tools"))
        self.assertEqual((self.writer.status, self.backends.requested), (503, []))

    def test_it_goes_to_the_service_that_began_the_stream(self):
        shares = (ServiceShare("models", 1), ServiceShare("tools", 99))
        for _ in range(5):
            self.resume(self.store_with("v1"), shares=shares)
            self.assertEqual(self.backends.requested, ["i-1"])

    def test_the_leader_is_told_the_version_that_the_turn_needs(self):
        store = self.store_with("v2")
        self.relay(
            [Script(head(), EVENT_2)],
            call_changes=RESUMED | {"budget": 100},
            store=store,
            records=list(self.RECORDS),
            requests_placement=True,
            **RESUMABLE,
        )
        self.assertEqual(store.reserved[0].demand.software_version, "v2")

    def test_on_a_route_that_is_not_resumable_nothing_is_looked_up(self):
        self.resume(ScriptedStore(is_unavailable=True), is_resumable=False)
        self.assertTrue(self.writer.is_finished)


class BegunStreamTest(RelayCase):
    def test_a_stream_is_reported_with_its_engine(self):
        self.relay([Script(head(), EVENT_1)], records=[engine("i-1", "v1")], **RESUMABLE)
        origin = self.store.streams["r-1"]
        self.assertEqual((origin.software_version, origin.instance), ("v1", "i-1"))

    def test_streams_that_are_not_resumable_are_not_reported(self):
        self.relay([Script(head(), EVENT_1)], records=[engine("i-1", "v1")], **STREAM)
        self.assertEqual(self.store.streams, {})

    def test_the_failure_of_a_report_fails_no_request(self):
        store = ScriptedStore()
        store.reports_fail = True
        self.relay([Script(head(), EVENT_1)], store=store, **RESUMABLE)
        self.assertTrue(self.writer.is_finished)


class AnnouncedVersionTest(RelayCase):
    """A stream begins only at a version that the store group has recorded for its route."""

    RECORDS = (engine("i-1", "v1"), engine("i-2", "v2"))
    ROUTE = Route(
        name="first",
        host="one.example",
        path_prefix="/first/",
        kind=RouteKind.STREAM,
        timeout_s=4.0,
        target_latency_s=1.0,
        priority=1,
        shares=(ServiceShare("models", 1),),
        max_attempts=1,
        is_resumable=True,
    )

    def test_versions_are_announced_before_a_stream_begins(self):
        self.relay([Script(head(), EVENT_1)], records=list(self.RECORDS), **RESUMABLE)
        announced = {(v.address, v.service, v.software_version) for v in self.store.versions}
        address = "one.example/first/"
        self.assertEqual(announced, {(address, "models", "v1"), (address, "models", "v2")})

    def test_a_stream_is_refused_at_once_where_no_version_could_be_recorded(self):
        store = ScriptedStore(is_unavailable=True, outage_s=0.4)
        self.relay([], store=store, records=list(self.RECORDS), **RESUMABLE)
        self.assertEqual((self.writer.status, self.writer.retry_after_s), (503, 0.4))
        self.assertEqual(self.backends.requested, [])
        self.assertLess(self.elapsed_s, 0.1)

    def test_a_store_that_does_not_answer_holds_a_stream_up_for_a_short_time(self):
        class SilentStore(ScriptedStore):
            async def announce_versions(self, versions, *, timeout_s):
                await anyio.sleep_forever()

        self.relay([], store=SilentStore(), records=list(self.RECORDS), **RESUMABLE)
        self.assertEqual((self.writer.status, self.backends.requested), (503, []))
        self.assertLess(self.elapsed_s, ANNOUNCE_TIMEOUT_S + 0.1)

    def test_a_version_that_was_announced_long_ago_is_announced_again_first(self):
        async def main():
            versions, store = await self.announced_at_first()
            await anyio.sleep(COUNTED_ON_S - 0.1)
            self.assertEqual(len(self.allowed(versions)), 2)
            await anyio.sleep(0.2)
            self.assertEqual(self.allowed(versions), [])
            store.versions.clear()
            await versions.announce(self.ROUTE, "models")
            self.assertEqual(len(store.versions), 2)
            self.assertEqual(len(self.allowed(versions)), 2)

        run_on_virtual_clock(main)

    def test_the_version_of_a_stream_that_goes_on_is_renewed_when_it_has_left_the_list(self):
        async def main():
            versions, store = await self.announced_at_first()
            self.registry.update([self.RECORDS[1]], anyio.current_time())
            origin = StreamOrigin(stream_id="s", service="models", software_version="v1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(versions.run, lambda: [self.ROUTE])
                with versions.under_way(self.ROUTE, origin):
                    self.assertEqual(await self.renewed(store), {"v1", "v2"})
                self.assertEqual(await self.renewed(store), {"v2"})
                tasks.cancel_scope.cancel()

        run_on_virtual_clock(main)

    async def announced_at_first(self):
        """Return versions that were announced just now, and the store that has them."""
        store = ScriptedStore()
        self.registry = BackendRegistry()
        self.registry.update(self.RECORDS, anyio.current_time())
        versions = AnnouncedVersions(self.registry, store)
        await versions.announce(self.ROUTE, "models")
        return versions, store

    def allowed(self, versions):
        health = self.registry.evaluate_health("models", anyio.current_time())
        return versions.restrict(health, self.ROUTE).loads

    async def renewed(self, store):
        """Return the versions that are announced within the time of a renewal."""
        store.versions.clear()
        await anyio.sleep(RENEWED_AFTER_S + 2 * ANNOUNCE_INTERVAL_S)
        return {version.software_version for version in store.versions}

    def test_other_routes_wait_for_no_record(self):
        store = ScriptedStore(is_unavailable=True)
        self.relay([Script(head(), EVENT_1)], store=store, records=list(self.RECORDS), **STREAM)
        self.assertTrue(self.writer.is_finished)


if __name__ == "__main__":
    unittest.main()
