"""Answers to which engine a turn goes: the one at which it is expected to end first.

It is for turns of services whose engines differ by two or three times in speed, told nowhere,
and have spells of slowness. It owns the expected durations of a service's turns
(``TurnDurations``) and the estimate for one engine (``EndEstimate``): the wait for a slot there,
the engine's pace, what it would have to read anew, and the way to its zone. It relies on
``engine_slots`` for what runs at an engine, its pace, and the shared parts that it holds.

Times are in seconds, sizes in tokens.
"""

from collections.abc import Sequence

import msgspec

from passlane.decisions.backends.engine_slots import EngineSlots
from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.placement.shared_parts import MIN_LARGE_PART_TOKENS
from passlane.messages.placement import TurnDemand, TurnOutcome

READ_TOKENS_PER_S = 70_000.0
"""Prompt tokens that an engine reads in a second. Engines read 60 to 160 in a millisecond, for
one of them 12,600 in 77 ms (docs/measurements/further-deployment.md). Near the slowest; chosen."""
NEIGHBOUR_SHARE = 2.0
"""Delay by a prompt that is read, for each turn that runs there, as a share of the time that
reading takes: it holds up the turn, and with it those that wait for its slot.

Measured with two kinds of programs beyond what the engines hold
(tests/decisions/scheduling/turn_load.py, mean of two seeds): 83.8, 84.2, 84.2 and
84.6% of the programs were over in time with 0.25, 1, 2 and 4, so it tells only that reading must
count, not how much."""
OTHER_ZONE_S = 0.004
"""Seconds of a way to another zone and back, with its share of a turn's pauses between events.
Not measured; chosen."""
CROWDING_SHARE = 0.1
"""Share by which a turn takes longer at an engine whose slots are all taken: a step grows by
0.2 to 0.6% for each turn in the batch, the rest are prompts that are read between its tokens.
Not measured; chosen."""
DURATION_AT_FIRST_S = 0.15
"""Seconds that a turn is taken to run before any has ended. Not measured; chosen."""
SMOOTHING = 0.02
"""Weight of one turn in a service's mean; with some hundred turns a second it is that of the
last second. Not measured; chosen."""
RETURN_SLOTS = 5
"""Turns beyond its slots that an engine gets if it holds their history or large shared part.
Reading it anew elsewhere costs the engines more than a short wait costs the turn, and turns that
wait there follow without a pause for the way (10 ms of 200).

Measured with two kinds of programs beyond what the engines hold
(tests/decisions/scheduling/turn_load.py, mean of two seeds): 76.9, 82.7 and 84.2% of
the programs were over in time with 1, 3 and 5, and 1.5, 0.1 and 0.1% never ended."""


class TurnDurations:
    """How long turns of a service take at an engine of usual speed.

    Attributes
    ----------
    mean_s
        Seconds that a turn runs, over the last turns.
    """

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
        Until the turn's end there, as expected; ``expected_s`` in the log line ``turn_placed``.
    run_s
        The part of it that the turn runs.
    slowdown
        The engine's pace that was counted in.
    """

    engine: EngineSlots
    end_s: float
    run_s: float
    slowdown: float


class EndEstimate(msgspec.Struct, frozen=True, gc=False):
    """When a turn would end at an engine, by what that is made of; seconds.

    Attributes
    ----------
    run_s
        It runs so long beside the others.
    with_wait_s
        The same with its wait for a slot there.
    read_s
        What the engine would read anew takes so long, with the delay to the turns that run.
    way_s
        To the engine's zone and back, beyond a way within the zone.
    end_s
        All of it.
    """

    engine: EngineSlots
    run_s: float
    with_wait_s: float
    read_s: float
    way_s: float
    end_s: float


def choose_engine(
    engines: Sequence[EngineSlots], asked: TurnAsked, durations: TurnDurations
) -> EngineChoice | None:
    """Return the engine with room at which a turn ends first; ``None`` if none has room.

    Parameters
    ----------
    engines
        Those that take turns at this moment; of two that are equal the first is taken.
    """
    best: EndEstimate | None = None
    for engine in engines:
        estimate = _estimate(engine, asked, durations.mean_s)
        if estimate is not None and (best is None or estimate.end_s < best.end_s):
            best = estimate
    if best is None:
        return None
    return EngineChoice(best.engine, best.end_s, best.run_s, best.engine.slowdown)


def _estimate(engine: EngineSlots, asked: TurnAsked, mean_s: float) -> EndEstimate | None:
    """Return when a turn would end at an engine; ``None`` if it has no slot or no memory for it.

    An engine that holds its history, or its large shared part, lets it wait beyond the slots.
    """
    demand = asked.demand
    running = len(engine.turns)
    returns = engine.incarnation == asked.used_last
    if running >= engine.slots and not _may_wait_there(engine, demand, running, returns=returns):
        return None
    if not engine.has_memory_for(demand.prompt_tokens + asked.most_tokens, demand.memory_tokens):
        return None
    run_s = _run_s(engine, running, mean_s)
    with_wait_s = run_s * _wait_factor(engine, running)
    read_s = 0.0 if returns else _read_s(engine, running, demand)
    way_s = 0.0 if engine.record.zone == demand.zone else OTHER_ZONE_S
    return EndEstimate(engine, run_s, with_wait_s, read_s, way_s, with_wait_s + read_s + way_s)


def _may_wait_there(
    engine: EngineSlots, demand: TurnDemand, running: int, *, returns: bool
) -> bool:
    """Whether a turn may wait in an engine whose slots are taken, since it holds its prompt."""
    if running >= engine.slots + RETURN_SLOTS:
        return False
    has_large_part = demand.shared_tokens >= MIN_LARGE_PART_TOKENS
    return returns or (has_large_part and engine.has_shared_part(demand))


def _run_s(engine: EngineSlots, running: int, mean_s: float) -> float:
    """Return how long a turn runs beside so many others."""
    crowding = 1.0 + CROWDING_SHARE * min(1.0, running / engine.slots)
    return mean_s * engine.slowdown * crowding


def _wait_factor(engine: EngineSlots, running: int) -> float:
    """Return how many times its own length a turn takes with its wait for a slot."""
    ahead = max(0, running + 1 - engine.slots)
    return 1.0 + ahead / engine.slots


def _read_s(engine: EngineSlots, running: int, demand: TurnDemand) -> float:
    """Return how long an engine without a turn's history reads, with what that delays there."""
    held = demand.shared_tokens if engine.has_shared_part(demand) else 0
    to_read = max(0, demand.prompt_tokens - held)
    return engine.slowdown * to_read * (1.0 + NEIGHBOUR_SHARE * running) / READ_TOKENS_PER_S
