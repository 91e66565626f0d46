"""Selects the engine of a turn: the one with the earliest expected end.

Owns the expected durations of a service's turns (``TurnDurations``) and the estimate for one engine
(``EndEstimate``): the wait for a slot, the engine's learned speed, the prefill of tokens that it
has not cached, and the round trip to its zone. Relies on ``engine_slots`` for the running turns,
the speed and the cached shared prefixes of an engine.

Times are in seconds, sizes in tokens.
"""

from collections.abc import Sequence

import msgspec

from passlane.decisions.backends.engine_slots import EngineSlots
from passlane.decisions.inputs.turn_events import TurnRequested
from passlane.decisions.placement.shared_parts import MIN_LARGE_PART_TOKENS
from passlane.messages.placement import TurnDemand, TurnOutcome

PREFILL_TOKENS_PER_S = 70_000.0
"""Prompt tokens per second that an engine computes; close to the slowest engines, which compute 60
tokens in a millisecond, others up to 160."""
PREFILL_DELAY_SHARE = 2.0
"""Delay that a prefill causes for each running turn, as a multiple of the prefill time. It delays
the turn and those that wait for its slot. That it counts matters, its size little: between 0.25 and
4 the share of programs on time hardly changes."""
OTHER_ZONE_S = 0.004
"""Seconds that a round trip to another zone adds to a turn."""
FULL_BATCH_SLOWDOWN_SHARE = 0.1
"""Share by which a turn takes longer at an engine whose slots are all in use, since larger batches
have longer steps: by 0.2 to 0.6% for each turn, and by the prefills between its tokens."""
INITIAL_DURATION_S = 0.15
"""Expected duration of a turn in seconds before any has ended."""
SMOOTHING = 0.02
"""Weight of one turn in the moving average of a service's turn durations."""
MAX_QUEUED_TURNS = 5
"""Maximum number of turns queued in an engine beyond its slots. Only turns whose history or large
shared prefix it has cached are queued, since a short wait costs less than a prefill elsewhere. With
1, fewer programs are on time, and some of two kinds of programs beyond the engines' capacity never
end."""


class TurnDurations:
    """Mean duration of a service's turns at an engine of typical speed.

    Attributes
    ----------
    mean_s
        Moving average of the duration of a turn, in seconds.
    """

    def __init__(self) -> None:
        self.mean_s = INITIAL_DURATION_S
        self._samples = 0

    def learn(self, outcome: TurnOutcome, against_fleet: float) -> None:
        """Update the mean from a completed turn.

        Parameters
        ----------
        against_fleet
            Slowdown of the turn's engine relative to the fleet. The fleet's slowdown must not be
            included: it is learned from this mean, so both would drift without bound.
        """
        self._samples += 1
        weight = max(SMOOTHING, 1.0 / self._samples)
        self.mean_s += weight * (outcome.engine_s / against_fleet - self.mean_s)


class EngineChoice(msgspec.Struct, frozen=True):
    """The engine selected for a turn.

    Attributes
    ----------
    end_s
        Expected time until the turn ends; ``expected_s`` in the log line ``turn_placed``.
    run_s
        Part of ``end_s`` during which the turn runs.
    slowdown
        Slowdown of the engine that ``run_s`` includes.
    """

    engine: EngineSlots
    end_s: float
    run_s: float
    slowdown: float


class EndEstimate(msgspec.Struct, frozen=True, gc=False):
    """Expected end of a turn at an engine and its components, in seconds.

    Attributes
    ----------
    run_s
        Duration of the turn itself, with the current batch.
    with_wait_s
        ``run_s`` plus the wait for a slot.
    read_s
        Prefill of uncached tokens, including the delay that it causes for running turns.
    way_s
        Additional round trip to the engine's zone; 0 within the zone.
    end_s
        Sum of ``with_wait_s``, ``read_s`` and ``way_s``.
    """

    engine: EngineSlots
    run_s: float
    with_wait_s: float
    read_s: float
    way_s: float
    end_s: float


def choose_engine(
    engines: Sequence[EngineSlots], asked: TurnRequested, durations: TurnDurations
) -> EngineChoice | None:
    """Return the engine with the earliest expected end; ``None`` if none has capacity.

    Parameters
    ----------
    engines
        Engines that accept turns now; the first of equal ones is chosen.
    """
    best: EndEstimate | None = None
    for engine in engines:
        estimate = _estimate(engine, asked, durations.mean_s)
        if estimate is not None and (best is None or estimate.end_s < best.end_s):
            best = estimate
    if best is None:
        return None
    return EngineChoice(best.engine, best.end_s, best.run_s, best.engine.slowdown)


def _estimate(engine: EngineSlots, asked: TurnRequested, mean_s: float) -> EndEstimate | None:
    """Return the expected end of a turn at an engine; ``None`` if it lacks a slot or memory.

    An engine of another software version than the one that a turn needs is excluded. A turn may be
    queued beyond the slots if its history or large shared prefix is cached there.
    """
    demand = asked.demand
    if demand.software_version and engine.record.software_version != demand.software_version:
        return None
    running = len(engine.turns)
    returns = engine.incarnation == asked.used_last
    if running >= engine.slots and not _may_queue(engine, demand, running, returns=returns):
        return None
    if not engine.has_memory_for(demand.prompt_tokens + asked.most_tokens, demand.memory_tokens):
        return None
    run_s = _run_s(engine, running, mean_s)
    with_wait_s = run_s * _wait_factor(engine, running)
    read_s = 0.0 if returns else _prefill_s(engine, running, demand)
    way_s = 0.0 if engine.record.zone == demand.zone else OTHER_ZONE_S
    return EndEstimate(engine, run_s, with_wait_s, read_s, way_s, with_wait_s + read_s + way_s)


def _may_queue(engine: EngineSlots, demand: TurnDemand, running: int, *, returns: bool) -> bool:
    """Whether a turn may be queued in a full engine, because its prompt is cached there."""
    if running >= engine.slots + MAX_QUEUED_TURNS:
        return False
    has_large_prefix = demand.shared_tokens >= MIN_LARGE_PART_TOKENS
    return returns or (has_large_prefix and engine.has_shared_part(demand))


def _run_s(engine: EngineSlots, running: int, mean_s: float) -> float:
    """Return the expected duration of a turn with this many others running."""
    batch_factor = 1.0 + FULL_BATCH_SLOWDOWN_SHARE * min(1.0, running / engine.slots)
    return mean_s * engine.slowdown * batch_factor


def _wait_factor(engine: EngineSlots, running: int) -> float:
    """Return the duration with the wait for a slot, as a multiple of the turn's own duration."""
    ahead = max(0, running + 1 - engine.slots)
    return 1.0 + ahead / engine.slots


def _prefill_s(engine: EngineSlots, running: int, demand: TurnDemand) -> float:
    """Return the prefill time without a cached history, including the delay of running turns."""
    cached = demand.shared_tokens if engine.has_shared_part(demand) else 0
    missing = max(0, demand.prompt_tokens - cached)
    return engine.slowdown * missing * (1.0 + PREFILL_DELAY_SHARE * running) / PREFILL_TOKENS_PER_S
