"""Where a turn goes: the engine at which it is expected to end first.

The load that it answers: engines that differ by two or three times in speed, told nowhere, and
have spells of slowness. What counts is the wait for a place there, the engine's pace, what it
would have to read anew, and the way to its zone.
"""

import math
from collections.abc import Sequence

import msgspec

from passlane.decisions.backends.engine_places import EnginePlaces
from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.placement.shared_parts import SMALLEST_LARGE_TOKENS
from passlane.messages.placement import TurnDemand, TurnOutcome

READ_TOKENS_PER_S = 70_000.0
"""Engines read 60 to 160 prompt tokens in a millisecond."""
NEIGHBOUR_SHARE = 2.0
"""Reading holds up each turn that runs there for as long, and with it those that wait for its
place. Two kinds at 2.5 times the usual got 0.940, 0.944, 0.948 and 0.946 of their worth with
0.25, 1, 2 and 4 (``turn_load``, mean of two seeds)."""
OTHER_ZONE_S = 0.004
"""A way to another zone and back, with its share of a turn's pauses between events."""
CROWDING_SHARE = 0.1
"""A turn takes up to so much longer at an engine whose places are all taken: a step grows by
0.2 to 0.6% for each turn in the batch, the rest are prompts that are read between its tokens."""
DURATION_AT_FIRST_S = 0.15
SMOOTHING = 0.02
"""Weight of one turn in a service's mean; with some hundred turns a second it is that of the
last second."""
RETURN_PLACES = 5
"""Places beyond its slots that an engine gives to turns whose history, or whose large shared part,
it holds. To read that
history anew elsewhere costs the engines more than a short wait costs the turn, and turns that
wait there follow without a pause for the way. Two kinds at 2.5 times the usual got 0.870,
0.929 and 0.948 of their worth with 1, 3 and 5 (``turn_load``, mean of two seeds)."""


class TurnDurations:
    """How long turns of a service take at an engine of usual speed."""

    def __init__(self) -> None:
        self.mean_s = DURATION_AT_FIRST_S
        self._samples = 0

    def learn(self, outcome: TurnOutcome, against_fleet: float) -> None:
        """Take in a turn that was answered whole.

        Parameters
        ----------
        against_fleet
            Pace of its engine against all. The pace of all together is learnt from this mean,
            so the mean must not rest on it: both would move on without bound.
        """
        self._samples += 1
        weight = max(SMOOTHING, 1.0 / self._samples)
        self.mean_s += weight * (outcome.engine_s / against_fleet - self.mean_s)


class EngineChoice(msgspec.Struct, frozen=True):
    """An engine for a turn.

    Attributes
    ----------
    end_s
        Until the turn's end there, as expected.
    run_s
        The part of it that the turn runs.
    slowdown
        The engine's pace that was counted in.
    """

    engine: EnginePlaces
    end_s: float
    run_s: float
    slowdown: float


def choose_engine(
    engines: Sequence[EnginePlaces], asked: TurnAsked, durations: TurnDurations
) -> EngineChoice | None:
    """Return the engine with room at which a turn ends first; ``None`` if none has room.

    Parameters
    ----------
    engines
        Those that take turns at this moment.
    """
    demand = asked.demand
    tokens = demand.prompt_tokens + asked.most_tokens
    has_large_part = demand.shared_tokens >= SMALLEST_LARGE_TOKENS
    best: EnginePlaces | None = None
    best_end_s = math.inf
    for engine in engines:
        running = len(engine.turns)
        returns = engine.instance_id == asked.used_last
        holds = returns or (has_large_part and engine.holds_part(demand))
        if running >= engine.slots + (RETURN_PLACES if holds else 0):
            continue
        if not engine.has_memory_for(tokens, demand.memory_tokens):
            continue
        to_read = 0 if returns else _tokens_to_read(engine, demand)
        end_s = _run_s(engine, running, durations) * _wait_factor(engine, running)
        end_s += engine.slowdown * to_read * (1.0 + NEIGHBOUR_SHARE * running) / READ_TOKENS_PER_S
        end_s += 0.0 if engine.record.zone == demand.zone else OTHER_ZONE_S
        if end_s < best_end_s:
            best, best_end_s = engine, end_s
    if best is None:
        return None
    run_s = _run_s(best, len(best.turns), durations)
    return EngineChoice(best, best_end_s, run_s, best.slowdown)


def _run_s(engine: EnginePlaces, running: int, durations: TurnDurations) -> float:
    """Return how long a turn runs beside so many others."""
    crowding = 1.0 + CROWDING_SHARE * min(1.0, running / engine.slots)
    return durations.mean_s * engine.slowdown * crowding


def _wait_factor(engine: EnginePlaces, running: int) -> float:
    """Return how many times its own length a turn takes with its wait for a place."""
    ahead = max(0, running + 1 - engine.slots)
    return 1.0 + ahead / engine.slots


def _tokens_to_read(engine: EnginePlaces, demand: TurnDemand) -> int:
    """Return the tokens of a prompt that an engine reads anew if it holds no history of it."""
    held = demand.shared_tokens if engine.holds_part(demand) else 0
    return max(0, demand.prompt_tokens - held)
