"""Updates engine health and speed from the outcomes of turns.

Complete responses update the speed of the engine and the durations of its service; failures and
rejections by full engines update the engine's state. It owns the set of attempts whose failures
were recorded, so that a repeated settlement counts once. Nodes must report outcomes correctly.

Times are local monotonic seconds.
"""

from collections import OrderedDict

from passlane.decisions.backends.engine_table import AssignedSlot, EngineTable
from passlane.decisions.inputs.turn_events import TurnEnded
from passlane.decisions.placement.turn_placement import TurnDurations
from passlane.messages.placement import TurnOutcome

MAX_FAILED_ATTEMPTS = 10_000
"""Attempts with recorded failures that are tracked; more than fail while a settlement may be
repeated."""
FAILURE_WEIGHT = 1.0
"""Weight of one failed attempt in an engine's health."""


class TurnOutcomes:
    """Applies the outcomes of turns to their engines."""

    def __init__(self, engines: EngineTable) -> None:
        self._engines = engines
        self._failed_attempts: OrderedDict[str, None] = OrderedDict()

    def record_failures(self, attempt_id: str, outcome: TurnOutcome, now: float) -> None:
        """Record the failures of an attempt, once."""
        has_failed = bool(outcome.failed_at or outcome.full_at)
        if not has_failed or attempt_id in self._failed_attempts:
            return
        self._record_attempt(attempt_id)
        for incarnation in outcome.failed_at:
            engine = self._engines.get(incarnation)
            if engine is not None:
                engine.health.record_failure(now, FAILURE_WEIGHT)
        for incarnation in outcome.full_at:
            engine = self._engines.get(incarnation)
            if engine is not None:
                engine.back_off_as_full(now)
        self._engines.reevaluate_engines()

    def _record_attempt(self, attempt_id: str) -> None:
        self._failed_attempts[attempt_id] = None
        while len(self._failed_attempts) > MAX_FAILED_ATTEMPTS:
            self._failed_attempts.popitem(last=False)


def is_complete_response(slot: AssignedSlot, ended: TurnEnded) -> bool:
    """Whether the engine of a turn's slot completed the response, so that its time counts."""
    outcome = ended.outcome
    if outcome is None or outcome.engine_s <= 0:
        return False
    return ended.served_by == slot.engine.incarnation


def learn_speed(
    slot: AssignedSlot, outcome: TurnOutcome, durations: TurnDurations, now: float
) -> None:
    """Update an engine's speed and its service's durations from a complete response."""
    slot.engine.learn(slot.turn, outcome, now)
    durations.learn(outcome, slot.engine.speed.against_fleet(now))
