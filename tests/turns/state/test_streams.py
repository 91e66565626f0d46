"""Where streams began, in the replicated state of the store group."""

import unittest

import msgspec

from passlane.messages.base import encode_message
from passlane.messages.streams import StreamOrigin
from passlane.messages.turns import AdvanceAge
from passlane.turns.state.machine import (
    RETENTION_MARGIN_S,
    STREAM_RETENTION_S,
    TurnStateMachine,
)


def origin(stream_id="one", version="v1"):
    return StreamOrigin(
        stream_id=stream_id, service="models", instance="i-1", software_version=version
    )


def store(machine, *origins):
    machine.apply(1, encode_message(AdvanceAge(seconds=0.0, begun_streams=origins)))


def restored(parts):
    machine = TurnStateMachine()
    for _ in machine.restore_parts(parts):
        pass
    return machine


class StoredStreamTest(unittest.TestCase):
    def setUp(self):
        self.machine = TurnStateMachine()

    def test_a_stored_stream_is_found(self):
        store(self.machine, origin(), origin("two", "v2"))
        self.assertEqual(self.machine.stream_origin("two"), origin("two", "v2"))
        self.assertIsNone(self.machine.stream_origin("three"))

    def test_the_first_report_of_a_stream_applies(self):
        store(self.machine, origin(version="v1"))
        store(self.machine, origin(version="v2"))
        self.assertEqual(self.machine.stream_origin("one").software_version, "v1")

    def test_a_stream_expires_after_its_retention(self):
        store(self.machine, origin())
        self.machine.execute(AdvanceAge(seconds=STREAM_RETENTION_S + RETENTION_MARGIN_S))
        self.assertIsNotNone(self.machine.stream_origin("one"))
        self.machine.execute(AdvanceAge(seconds=1.0))
        self.assertIsNone(self.machine.stream_origin("one"))

    def test_a_report_does_not_advance_the_age(self):
        store(self.machine, origin())
        self.assertEqual(self.machine.age_s, 0.0)

    def test_a_snapshot_contains_the_streams_of_its_time(self):
        names = [str(number) for number in range(250)]
        store(self.machine, *map(origin, names))
        parts = self.machine.snapshot_parts()
        store(self.machine, origin("late"))
        machine = restored(parts)
        self.assertTrue(all(machine.stream_origin(name) for name in names))
        self.assertIsNone(machine.stream_origin("late"))

    def test_an_older_build_reads_the_part_with_streams_as_one_without_records(self):
        class OlderPart(msgspec.Struct):
            age_s: float
            programs: dict[str, msgspec.Raw] = {}
            turns: tuple[msgspec.Raw, ...] = ()

        store(self.machine, origin())
        for part in self.machine.snapshot_parts():
            read = msgspec.msgpack.decode(part, type=OlderPart)
            self.assertEqual((read.programs, read.turns), ({}, ()))

    def test_a_snapshot_of_an_older_build_has_no_streams(self):
        parts = [msgspec.msgpack.encode({"age_s": 3.0, "programs": {}, "turns": []})]
        store(self.machine, origin())
        for _ in self.machine.restore_parts(parts):
            pass
        self.assertIsNone(self.machine.stream_origin("one"))


if __name__ == "__main__":
    unittest.main()
