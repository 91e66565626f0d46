"""What all nodes together have under way at one engine: slots, tokens, pace, shared parts.

It is for the scheduler of turns, which is the only one that gives slots of a service's engines.
It owns the turns that have a slot at the engine, their tokens, and what is learnt of the engine:
pace, health, and the shared parts that it lately read. It relies on ``BackendRecord`` for the
number of slots and the state, and on ``speed`` and ``health`` for what is learnt.

Times are local monotonic seconds; a *slot* is room for one turn in an engine's batch.
"""

import math
from collections import OrderedDict

import msgspec

from passlane.decisions.backends.health import BackendHealth
from passlane.decisions.backends.speed import EngineSpeed, FleetSpeed
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

PACE_SMOOTHING = 0.03
"""Weight of one turn in an engine's pace; no unit. An engine of six slots ends 20 to 40 turns a
second, so that its pace is that of the last second or two: a spell of 0.6 s moves it by less than
half, and a lasting change shows within two seconds. Not measured against others; chosen."""
SHARED_PARTS_SHARE = 0.4
"""Share of an engine's memory in which shared parts are taken to be kept; the rest is for the
turns that run and for programs' own histories. Not measured; chosen."""
TRIAL_AFTER_S = 1.0
"""Seconds from an engine's last failure until a turn that finds no slot elsewhere may try it, one
at a time; a whole answer to such a turn ends the judgement. As for callers of one node
(``BreakerConfig.open_s``). With it all slots are used from the second full set on, after up to 29
failures of an engine; without, up to five sets are needed
(tests/decisions/scheduling/test_failing_engines.py). Other times were not measured; chosen."""
FULL_PAUSE_S = 0.05
"""An engine that refused a turn as full gets none for so many seconds: about the time in which
one of six turns of 0.3 s ends. Not measured; chosen."""


class PlacedTurn(msgspec.Struct):
    """A turn that has a slot.

    Attributes
    ----------
    tokens
        Of its prompt and the most that it may generate.
    placed_at
        When it got the slot.
    expected_s
        How long it was expected to run.
    expected_slowdown
        The engine's slowdown that is counted in ``expected_s``.
    until
        When the slot is given back although nobody has told the turn's end.
    """

    attempt_id: str
    program_id: str
    tokens: int
    placed_at: float
    expected_s: float
    expected_slowdown: float
    until: float


class EngineSlots:
    """One engine as the scheduler of turns sees it.

    Parameters
    ----------
    fleet_speed
        What is learnt of the pace of all engines of its service.

    Attributes
    ----------
    slowdown
        How much slower than others it is, as learnt and as of the last look; 1 is usual.
    slots
        Turns that it runs at once; one at least.
    turns
        Those that have a slot, by attempt; beyond ``slots`` where they wait in the engine.
    tokens
        Of all these turns.
    ended_at
        When it has last ended a turn whole.
    full_until
        Local time until which it refuses turns.
    """

    def __init__(self, record: BackendRecord, fleet_speed: FleetSpeed) -> None:
        self.replace_record(record)
        self.incarnation = record.incarnation
        self.slowdown = 1.0
        self.health = BackendHealth()
        self.turns: dict[str, PlacedTurn] = {}
        self.tokens = 0
        self.full_until = 0.0
        self.ended_at = -math.inf
        self.speed = EngineSpeed(fleet_speed, PACE_SMOOTHING)
        self._shared_parts: OrderedDict[str, int] = OrderedDict()

    def replace_record(self, record: BackendRecord) -> None:
        """Take over what the list of back ends says of it."""
        self.record = record
        self.slots = max(1, record.slots)

    def is_usable(self, now: float) -> bool:
        """Whether it takes new turns at this moment."""
        return self.record.state is BackendState.READY and now >= self.full_until

    def may_try(self, now: float) -> bool:
        """Whether a turn may show if it serves again, after it has failed more than others."""
        rests = now - self.health.last_failed_at < TRIAL_AFTER_S
        return self.is_usable(now) and not self.turns and not rests

    def has_memory_for(self, tokens: int, memory_tokens: int) -> bool:
        """Whether the turns that run leave room for one of so many tokens.

        One turn is let in whatever its size, and any if ``memory_tokens`` is 0: unknown.
        """
        if memory_tokens <= 0 or not self.turns:
            return True
        return self.tokens + tokens <= memory_tokens

    def take(self, turn: PlacedTurn) -> None:
        """Give a turn a slot."""
        self.turns[turn.attempt_id] = turn
        self.tokens += turn.tokens

    def give_back(self, attempt_id: str) -> PlacedTurn | None:
        """Take a turn's slot back; ``None`` if it has none here."""
        turn = self.turns.pop(attempt_id, None)
        if turn is not None:
            self.tokens -= turn.tokens
        return turn

    def holds_part(self, demand: TurnDemand) -> bool:
        """Whether it has lately read the part that a prompt begins with."""
        return demand.shared_part in self._shared_parts

    def note_part(self, demand: TurnDemand) -> None:
        """Note that it reads the part that a prompt begins with."""
        if not demand.shared_part:
            return
        self._shared_parts[demand.shared_part] = demand.shared_tokens
        self._shared_parts.move_to_end(demand.shared_part)
        room = SHARED_PARTS_SHARE * demand.memory_tokens
        while len(self._shared_parts) > 1 and sum(self._shared_parts.values()) > room > 0:
            self._shared_parts.popitem(last=False)

    def pause_as_full(self, now: float) -> None:
        """Give it no turns for a moment: it has refused one for want of room."""
        self.full_until = now + FULL_PAUSE_S

    def learn(self, turn: PlacedTurn, outcome: TurnOutcome, now: float) -> None:
        """Learn the engine's pace from a turn that it answered whole."""
        self.ended_at = now
        self.health.note_success(now)
        if turn.placed_at - self.health.last_failed_at >= TRIAL_AFTER_S:
            self.health.forgive()
        self.speed.learn(outcome.engine_s, turn.expected_s, turn.expected_slowdown, now)
        self.slowdown = self.speed.slowdown(now)
