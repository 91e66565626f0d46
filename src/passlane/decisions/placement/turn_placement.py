"""Answers to which engine a turn goes: the one at which it is expected to end first.

It is for turns of services whose engines differ by two or three times in speed, told nowhere,
and have spells of slowness. It owns the expected durations of a service's turns
(``TurnDurations``) and the estimate for one engine (``EndEstimate``): the wait for a slot there,
the engine's pace, what it would have to read anew, and the way to its zone. It relies on
``engine_slots`` for what runs at an engine, its pace, and the shared parts that it holds.

Times are in seconds, sizes in tokens.
"""

from collections.abc import Iterator, Sequence
from operator import attrgetter

import msgspec

from passlane.decisions.backends.engine_slots import EngineSlots
from passlane.decisions.inputs.turn_events import TurnAsked
from passlane.decisions.placement.shared_parts import SMALLEST_LARGE_TOKENS
from passlane.messages.placement import TurnDemand, TurnOutcome

READ_TOKENS_PER_S = 70_000.0
"""Prompt tokens that an engine reads in a second; engines read 60 to 160 in a millisecond."""
NEIGHBOUR_SHARE = 2.0
"""Delay by a prompt that is read, for each turn that runs there, as a share of the time that
reading takes: it holds up the turn, and with it those that wait for its slot."""
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
wait there follow without a pause for the way (10 ms of 200)."""


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
    run_with_wait_s
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
    run_with_wait_s: float
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
    estimates = _estimates(engines, asked, durations)
    best = min(estimates, key=attrgetter("end_s"), default=None)
    if best is None:
        return None
    return EngineChoice(best.engine, best.end_s, best.run_s, best.engine.slowdown)


def _estimates(
    engines: Sequence[EngineSlots], asked: TurnAsked, durations: TurnDurations
) -> Iterator[EndEstimate]:
    """Yield an estimate for each engine that has room for a turn."""
    demand = asked.demand
    tokens = demand.prompt_tokens + asked.most_tokens
    has_large_part = demand.shared_tokens >= SMALLEST_LARGE_TOKENS
    for engine in engines:
        returns = engine.instance_id == asked.used_last
        is_held_there = returns or (has_large_part and engine.holds_part(demand))
        if not _has_slot(engine, is_held_there=is_held_there):
            continue
        if engine.has_memory_for(tokens, demand.memory_tokens):
            yield _estimate(engine, demand, durations, returns=returns)


def _has_slot(engine: EngineSlots, *, is_held_there: bool) -> bool:
    """Whether an engine has a slot for a turn, or lets it wait since it holds its prompt."""
    return len(engine.turns) < engine.slots + (RETURN_SLOTS if is_held_there else 0)


def _estimate(
    engine: EngineSlots, demand: TurnDemand, durations: TurnDurations, *, returns: bool
) -> EndEstimate:
    """Return when a turn would end at an engine; one that returns has its history there."""
    running = len(engine.turns)
    run_s = _run_s(engine, running, durations)
    run_with_wait_s = run_s * _wait_factor(engine, running)
    read_s = 0.0 if returns else _read_s(engine, running, demand)
    way_s = 0.0 if engine.record.zone == demand.zone else OTHER_ZONE_S
    end_s = run_with_wait_s + read_s + way_s
    return EndEstimate(engine, run_s, run_with_wait_s, read_s, way_s, end_s)


def _run_s(engine: EngineSlots, running: int, durations: TurnDurations) -> float:
    """Return how long a turn runs beside so many others."""
    crowding = 1.0 + CROWDING_SHARE * min(1.0, running / engine.slots)
    return durations.mean_s * engine.slowdown * crowding


def _wait_factor(engine: EngineSlots, running: int) -> float:
    """Return how many times its own length a turn takes with its wait for a slot."""
    ahead = max(0, running + 1 - engine.slots)
    return 1.0 + ahead / engine.slots


def _read_s(engine: EngineSlots, running: int, demand: TurnDemand) -> float:
    """Return how long reading a prompt without a held history takes, with what it delays."""
    to_read = _tokens_to_read(engine, demand)
    return engine.slowdown * to_read * (1.0 + NEIGHBOUR_SHARE * running) / READ_TOKENS_PER_S


def _tokens_to_read(engine: EngineSlots, demand: TurnDemand) -> int:
    """Return the tokens of a prompt that an engine reads anew if it holds no history of it."""
    held = demand.shared_tokens if engine.holds_part(demand) else 0
    return max(0, demand.prompt_tokens - held)
