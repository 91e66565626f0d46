"""What the tests of recorded traces share: each outcome comes true, its opposite does not."""

import unittest
from dataclasses import replace
from pathlib import Path

from msgspec.structs import replace as changed

from passlane.emulator.trace_files import NumberedOutcome, Trace, read_trace
from passlane.errors import Verdict
from passlane.messages.traces import (
    CallOutcomeStated,
    EngineQuietStated,
    HistoryStated,
    LedgerStated,
    MemoryStated,
    SpentStated,
    TraceOutcome,
)
from passlane.simulation.trace_replay import group_traces, replay_group

TRACES = Path(__file__).resolve().parents[2] / "traces"
WRONG_LINES_FROM = 10_000


def read_all() -> list[Trace]:
    """Return all recorded traces."""
    return [read_trace(path) for path in sorted(TRACES.glob("*.jsonl"))]


def groups_of_one(deployment: str) -> list[list[Trace]]:
    """Return the traces of a deployment that have a fleet of their own."""
    return [group for group in _groups(deployment) if len(group) == 1]


def groups_of_several(deployment: str) -> list[list[Trace]]:
    """Return the groups of a deployment's traces that share a fleet."""
    return [group for group in _groups(deployment) if len(group) > 1]


def _groups(deployment: str) -> list[list[Trace]]:
    traces = [trace for trace in read_all() if trace.start.deployment == deployment]
    return group_traces(traces)


class TraceTestCase(unittest.TestCase):
    def check_groups(self, groups: list[list[Trace]]) -> None:
        """Replay groups; outcomes must come true, and wrong ones beside them must not."""
        self.assertTrue(groups)
        for group in groups:
            found = replay_group([with_wrong_outcomes(trace) for trace in group])
            for trace in group:
                with self.subTest(trace=trace.path.name):
                    self.check_lines(trace, {m.line: m.message for m in found[trace.path]})

    def check_lines(self, trace: Trace, failed: dict[int, str]) -> None:
        """Check that just the wrong lines did not come true."""
        wrong = {numbered.number for numbered in wrong_outcomes(trace)}
        self.assertEqual({n: failed[n] for n in failed if n not in wrong}, {})
        self.assertEqual(wrong - set(failed), set())


def with_wrong_outcomes(trace: Trace) -> Trace:
    """Return the trace with a wrong copy of each outcome added."""
    return replace(trace, outcomes=trace.outcomes + tuple(wrong_outcomes(trace)))


def wrong_outcomes(trace: Trace) -> list[NumberedOutcome]:
    """Return a wrong copy of each outcome, with line numbers that tell them apart.

    What engines hold is left out: a wrong number is only found by waiting for long, and
    ``tests/emulator/test_replay_outcomes.py`` does it.
    """
    return [
        NumberedOutcome(WRONG_LINES_FROM + numbered.number, _wrong(numbered.outcome))
        for numbered in trace.outcomes
        if not isinstance(numbered.outcome, MemoryStated)
    ]


def _wrong(outcome: TraceOutcome) -> TraceOutcome:
    match outcome:
        case CallOutcomeStated(verdict=Verdict.RAN):
            return changed(outcome, verdict=Verdict.NOT_RUN)
        case CallOutcomeStated():
            return changed(outcome, verdict=Verdict.RAN, error_code=None)
        case LedgerStated(runs=runs):
            return changed(outcome, runs=runs + 1)
        case HistoryStated(roles=roles):
            return changed(outcome, roles=(*roles, "tool"))
        case SpentStated(calls=calls):
            return changed(outcome, calls=calls + 1)
        case EngineQuietStated():
            return changed(outcome, within_s=-3_600.0)
    raise AssertionError(f"no wrong copy of {outcome}")
