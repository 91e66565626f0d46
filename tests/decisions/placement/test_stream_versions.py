"""Engines at which a stream that broke off may go on."""

import unittest

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.placement.stream_versions import (
    may_continue,
    origin_at,
    restrict_to_origin,
)
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState


def record(instance_id="i-1", version="v1", *, service="models", born_ms=None):
    address = Address("10.0.0.1", 80)
    state = BackendState.READY
    return BackendRecord(instance_id, service, address, "a", 4, state, born_ms, version)


class ContinuationTest(unittest.TestCase):
    def setUp(self):
        self.origin = origin_at(record(), "one")

    def test_any_engine_of_the_same_version_of_the_service_may_continue(self):
        self.assertTrue(may_continue(self.origin, record("i-2")))

    def test_an_engine_of_another_version_may_not(self):
        self.assertFalse(may_continue(self.origin, record("i-2", "v1.1")))

    def test_an_engine_of_another_service_may_not(self):
        self.assertFalse(may_continue(self.origin, record("i-2", service="others")))

    def test_an_unknown_version_equals_no_other(self):
        unknown = origin_at(record(version=""), "one")
        self.assertFalse(may_continue(unknown, record("i-2", "")))
        self.assertFalse(may_continue(unknown, record("i-2", "v1")))
        self.assertFalse(may_continue(self.origin, record("i-2", "")))

    def test_an_engine_of_unknown_version_continues_its_own_stream_only_in_the_same_life(self):
        unknown = origin_at(record(version="", born_ms=1), "one")
        self.assertTrue(may_continue(unknown, record(version="", born_ms=1)))
        self.assertFalse(may_continue(unknown, record(version="", born_ms=2)))

    def test_a_stream_that_has_not_begun_is_not_restricted(self):
        registry = BackendRegistry()
        registry.update([record("i-1"), record("i-2", "v2")], 0.0)
        health = registry.evaluate_health("models", 0.0)
        self.assertEqual(len(restrict_to_origin(health, None).loads), 2)
        (load,) = restrict_to_origin(health, self.origin).loads
        self.assertEqual(load.record.instance_id, "i-1")


if __name__ == "__main__":
    unittest.main()
