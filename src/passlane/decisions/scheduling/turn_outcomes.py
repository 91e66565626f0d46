"""What the scheduler of turns learns from how turns ended at engines.

It answers what an outcome tells of an engine and of its service: pace from answers that came
whole, failures and fullness from the others. It owns which attempts have reported failures, so
that a settlement that is repeated reports none again. It relies on nodes to tell outcomes truly.

Times are local monotonic seconds.
"""

from collections import OrderedDict

from passlane.decisions.backends.engine_table import EngineTable, HeldSlot
from passlane.decisions.inputs.turn_events import TurnEnded
from passlane.decisions.placement.turn_placement import TurnDurations
from passlane.messages.placement import TurnOutcome

MOST_FAILED_ATTEMPTS = 10_000
"""Turns with failures that are remembered; more than fail within the seconds for which a
settlement is repeated. Not measured; chosen."""
FAILURE_WEIGHT = 1.0
"""Weight of one failed attempt in an engine's health: it counts as one failure."""


class TurnOutcomes:
    """Learns from the ends of turns."""

    def __init__(self, engines: EngineTable) -> None:
        self._engines = engines
        self._failed_attempts: OrderedDict[str, None] = OrderedDict()

    def note_failures(self, attempt_id: str, outcome: TurnOutcome, now: float) -> None:
        """Note what failed for a turn, once."""
        has_failed = bool(outcome.failed_at or outcome.full_at)
        if not has_failed or attempt_id in self._failed_attempts:
            return
        self._remember(attempt_id)
        for incarnation in outcome.failed_at:
            engine = self._engines.get(incarnation)
            if engine is not None:
                engine.health.note_failure(now, FAILURE_WEIGHT)
        for incarnation in outcome.full_at:
            engine = self._engines.get(incarnation)
            if engine is not None:
                engine.pause_as_full(now)
        self._engines.look_again()

    def _remember(self, attempt_id: str) -> None:
        self._failed_attempts[attempt_id] = None
        while len(self._failed_attempts) > MOST_FAILED_ATTEMPTS:
            self._failed_attempts.popitem(last=False)


def is_answered_whole(held: HeldSlot, ended: TurnEnded) -> bool:
    """Whether a turn's end teaches the pace of the engine at which it had its slot."""
    outcome = ended.outcome
    if outcome is None or outcome.engine_s <= 0:
        return False
    return ended.served_by == held.engine.incarnation


def learn_pace(held: HeldSlot, outcome: TurnOutcome, durations: TurnDurations, now: float) -> None:
    """Learn an engine's pace and its service's mean from a turn that it answered whole."""
    held.engine.learn(held.turn, outcome, now)
    durations.learn(outcome, held.engine.speed.against_fleet(now))
