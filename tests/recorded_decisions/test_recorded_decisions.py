"""Replays the recorded runs of the decision state machines and compares each step.

Guards against refactorings that change decisions.
"""

import unittest

from recorded_decisions.loads import LOADS
from recorded_decisions.recording import compare
from recorded_decisions.scheduler_load import EVENTS


class TestRecordedDecisions(unittest.TestCase):
    """Equal events produce byte-identical instructions."""

    def check(self, machine: str, events: set[str], markers: set[str]) -> None:
        """Replay a run and check that it reached all kinds of events and instructions."""
        reached = compare(machine, LOADS[machine]())
        self.assertEqual(set(reached.events), events)
        self.assertEqual(set(reached.markers), markers)

    def test_turn_scheduler(self) -> None:
        events = {"begin", "advance", "figures", "engines", "asked", "asked again"}
        events |= {"given up", "ended", "ended again"}
        self.check("turn_scheduler", events, {"placed", "not placed", "withdrawn", "figures"})

    def test_quota_ledger(self) -> None:
        events = {"draw begin_program", "draw continue_program", "draw alone", "draw ahead"}
        events |= {"must tell", "sent late", "given back", "tell", "told True", "told False"}
        events |= {"new term", "same term", "look"}
        self.check("quota_ledger", events, {"granted", "refused", "usage"})

    def test_engine_choice(self) -> None:
        events = {"listed", "confirmed", "look", "choose model", "choose plain", "choose again"}
        events |= {"choose none", "first part", "succeeded", "failed", "dropped"}
        self.check("engine_choice", events, {"choice", "judgement"})

    def test_room(self) -> None:
        events = {"listed", "look", "choose", "choose in turn", "sent to engine", "answered"}
        events |= {"refused", "broken off", "joined", "turn", "no turn", "given up"}
        self.check("room", events, {"pauses", "plain choice", "turn"})

    def test_node_load(self) -> None:
        events = {"reading", "ask", "wait stream", "wait at_most_once", "wait repeatable"}
        self.check("node_load", events, {"load change"})

    def test_scheduler(self) -> None:
        markers = {"move cache", "refuse call", "release cache", "request snapshot"}
        markers |= {"start call", "wake at", "watch engines"}
        self.check("scheduler", set(EVENTS.values()), markers)

    def test_program_admission(self) -> None:
        events = {"sweep", "asked", "given up", "told to return", "begun", "no engine", "ended"}
        self.check("program_admission", events, {"engine choice"})
