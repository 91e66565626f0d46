"""Slots of one engine, as the turn scheduler assigns them to the turns of all nodes.

Owns the turns that have a slot at the engine, their tokens, and the learned state of the engine:
speed, health and the shared prefixes that it has recently computed. Relies on ``BackendRecord``
for the number of slots and the state, and on ``speed`` and ``health`` for the estimates.

Times are local monotonic seconds; a *slot* is one unit of an engine's concurrency.
"""

import math
from collections import OrderedDict

import msgspec

from passlane.decisions.backends.health import BackendHealth
from passlane.decisions.backends.speed import EngineSpeed, FleetSpeed
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.placement import TurnDemand, TurnOutcome

SPEED_SMOOTHING = 0.03
"""Weight of one turn in the moving average of an engine's speed. At 20 to 40 turns per second the
average covers one to two seconds, which smooths slow periods of less than a second."""
SHARED_PARTS_MEMORY_SHARE = 0.4
"""Estimated share of an engine's cache that shared prefixes occupy; running turns and the histories
of programs use the rest."""
PROBE_AFTER_S = 1.0
"""Seconds after an engine's last failure until it may be probed by one turn at a time that finds
no slot elsewhere. A complete answer clears its failures. Same as ``BreakerConfig.open_s``. Without
probes, up to five times as many turns as there are slots pass until all slots are in use again."""
FULL_BACKOFF_S = 0.05
"""Seconds without new turns after an engine refused one as full; about the time until a slot is
free with six slots and turns of 0.3 s."""


class PlacedTurn(msgspec.Struct):
    """A turn that has a slot.

    Attributes
    ----------
    tokens
        Prompt tokens plus the maximum number of generated tokens.
    placed_at
        Time at which it got the slot.
    expected_s
        Expected duration in seconds, estimated when the slot was assigned.
    expected_slowdown
        Slowdown of the engine that ``expected_s`` includes.
    until
        Time at which the slot is released if the end of the turn is not reported.
    """

    attempt_id: str
    program_id: str
    tokens: int
    placed_at: float
    expected_s: float
    expected_slowdown: float
    until: float


class EngineSlots:
    """Slots and learned state of one engine.

    Parameters
    ----------
    fleet_speed
        Learned speed of all engines of the service together.

    Attributes
    ----------
    slowdown
        Factor on expected durations at this engine, from the last update; 1 is typical.
    slots
        Number of turns that it runs concurrently, at least 1.
    turns
        Turns that have a slot, by attempt; more than ``slots`` if some are queued in the engine.
    tokens
        Tokens of all these turns.
    ended_at
        Time at which it last completed a turn.
    full_until
        Time until which it gets no new turns because it refused one as full.
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
        self.speed = EngineSpeed(fleet_speed, SPEED_SMOOTHING)
        self._shared_parts: OrderedDict[str, int] = OrderedDict()

    def replace_record(self, record: BackendRecord) -> None:
        """Replace the engine's record with the one of a newer list of back ends."""
        self.record = record
        self.slots = max(1, record.slots)

    def is_usable(self, now: float) -> bool:
        """Whether it accepts new turns now."""
        return self.record.state is BackendState.READY and now >= self.full_until

    def may_probe(self, now: float) -> bool:
        """Whether a turn may probe it after it was excluded as failing."""
        is_backing_off = now - self.health.last_failed_at < PROBE_AFTER_S
        return self.is_usable(now) and not self.turns and not is_backing_off

    def has_memory_for(self, tokens: int, memory_tokens: int) -> bool:
        """Whether the engine's memory has capacity for another turn of this many tokens.

        Always true if no turn runs, or if ``memory_tokens`` is 0 (unknown).
        """
        if memory_tokens <= 0 or not self.turns:
            return True
        return self.tokens + tokens <= memory_tokens

    def assign(self, turn: PlacedTurn) -> None:
        """Assign a slot to a turn."""
        self.turns[turn.attempt_id] = turn
        self.tokens += turn.tokens

    def release(self, attempt_id: str) -> PlacedTurn | None:
        """Release a turn's slot and return the turn; ``None`` if it has no slot here."""
        turn = self.turns.pop(attempt_id, None)
        if turn is not None:
            self.tokens -= turn.tokens
        return turn

    def has_shared_part(self, demand: TurnDemand) -> bool:
        """Whether the shared prefix of a prompt is estimated to be cached."""
        return demand.shared_part in self._shared_parts

    def record_shared_part(self, demand: TurnDemand) -> None:
        """Record that the shared prefix of a prompt is computed here, and drop the oldest ones."""
        if not demand.shared_part:
            return
        self._shared_parts[demand.shared_part] = demand.shared_tokens
        self._shared_parts.move_to_end(demand.shared_part)
        max_tokens = SHARED_PARTS_MEMORY_SHARE * demand.memory_tokens
        while len(self._shared_parts) > 1 and sum(self._shared_parts.values()) > max_tokens > 0:
            self._shared_parts.popitem(last=False)

    def back_off_as_full(self, now: float) -> None:
        """Stop placing turns here for ``FULL_BACKOFF_S``, since it refused one as full."""
        self.full_until = now + FULL_BACKOFF_S

    def learn(self, turn: PlacedTurn, outcome: TurnOutcome, now: float) -> None:
        """Update the engine's speed and health from a turn that it completed."""
        self.ended_at = now
        self.health.record_success(now)
        if turn.placed_at - self.health.last_failed_at >= PROBE_AFTER_S:
            self.health.clear_failures()
        self.speed.learn(outcome.engine_s, turn.expected_s, turn.expected_slowdown, now)
        self.slowdown = self.speed.slowdown(now)
