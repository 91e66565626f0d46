"""Streams of one request that break off while engines of two software versions serve."""

import unittest

import msgspec

from passlane.relay.end_reasons import RequestEndReason
from relay.fakes import AT_CAPACITY, WRONG_INSTANCE, Script, Unreachable, backend, head
from relay.test_service import EVENT_1, EVENT_2, STREAM, RelayCase

RESUMABLE = STREAM | {"is_resumable": True, "max_attempts": 2}


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


if __name__ == "__main__":
    unittest.main()
