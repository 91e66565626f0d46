"""Engines that ended under requests, in the replicated state of the store group."""

import unittest

import msgspec

from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES, RETENTION_S
from passlane.messages.base import encode_message
from passlane.messages.engine_ends import EngineEnd
from passlane.messages.turns import AdvanceAge
from passlane.turns.state.machine import RETENTION_MARGIN_S, TurnStateMachine
from turns.state.test_streams import restored


def ends(count=MAX_ENDED_ENGINES, key="one"):
    return tuple(EngineEnd(request_key=key, instance=f"i-{number}") for number in range(count))


def store(machine, *found):
    machine.apply(1, encode_message(AdvanceAge(seconds=0.0, engine_ends=found)))


class StoredEngineEndsTest(unittest.TestCase):
    def setUp(self):
        self.machine = TurnStateMachine()
        self.changes = 0
        self.machine.on_refused(self.count_change)

    def count_change(self):
        self.changes += 1

    def test_ends_of_several_commands_add_up(self):
        for end in ends():
            store(self.machine, end)
        self.assertTrue(self.machine.engine_ends.find("one").is_refused)

    def test_listeners_are_called_once_for_a_request_that_is_refused(self):
        store(self.machine, *ends(MAX_ENDED_ENGINES - 1))
        self.assertEqual((self.changes, self.machine.refused_changes), (0, 0))
        store(self.machine, *ends())
        store(self.machine, *ends(MAX_ENDED_ENGINES + 1))
        self.assertEqual((self.changes, self.machine.refused_changes), (1, 1))

    def test_ends_expire_with_the_age_of_the_state(self):
        store(self.machine, *ends())
        self.machine.execute(AdvanceAge(seconds=RETENTION_S + RETENTION_MARGIN_S))
        self.assertIsNotNone(self.machine.engine_ends.find("one"))
        self.machine.execute(AdvanceAge(seconds=1.0))
        self.assertIsNone(self.machine.engine_ends.find("one"))

    def test_a_snapshot_contains_the_ends_of_its_time(self):
        keys = [str(number) for number in range(250)]
        store(self.machine, *(end for key in keys for end in ends(key=key)))
        parts = self.machine.snapshot_parts()
        store(self.machine, *ends(key="late"))
        machine = restored(parts)
        self.assertEqual(len(machine.engine_ends.refused()), 250)
        self.assertIsNone(machine.engine_ends.find("late"))

    def test_an_older_build_reads_the_part_with_ends_as_one_without_records(self):
        class OlderPart(msgspec.Struct):
            age_s: float
            programs: dict[str, msgspec.Raw] = {}
            turns: tuple[msgspec.Raw, ...] = ()
            streams: tuple[msgspec.Raw, ...] = ()

        store(self.machine, *ends())
        for part in self.machine.snapshot_parts():
            read = msgspec.msgpack.decode(part, type=OlderPart)
            self.assertEqual((read.programs, read.turns, read.streams), ({}, (), ()))

    def test_a_snapshot_of_an_older_build_has_no_ends(self):
        store(self.machine, *ends())
        parts = [msgspec.msgpack.encode({"age_s": 3.0, "programs": {}, "turns": []})]
        for _ in self.machine.restore_parts(parts):
            pass
        self.assertIsNone(self.machine.engine_ends.find("one"))


if __name__ == "__main__":
    unittest.main()
