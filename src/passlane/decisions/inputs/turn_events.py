"""Events and decisions of the turn scheduler.

The scheduler is a plain state machine: each method takes one event and the local monotonic time in
seconds, does no I/O, reads no clock and uses no random numbers. The types use the messages of turns
(``messages.placement``) and are never sent themselves. ``turns.decision_log`` logs the decisions.

Times are in seconds.
"""

import msgspec

from passlane.messages.placement import TurnDemand, TurnOutcome


class TurnRequested(msgspec.Struct, frozen=True, kw_only=True):
    """A turn requests a slot of an engine.

    Attributes
    ----------
    is_first
        Whether it is the first turn of its program.
    used_last
        The engine that its program used last; empty if unknown.
    most_tokens
        Maximum tokens that it may generate.
    """

    attempt_id: str
    program_id: str
    is_first: bool
    used_last: str
    most_tokens: int
    demand: TurnDemand


class TurnEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A turn ended or was abandoned, whether it had a slot or was waiting.

    Attributes
    ----------
    served_by
        The engine that responded last; empty if none did.
    outcome
        Durations and failures; ``None`` if unknown.
    """

    attempt_id: str
    served_by: str = ""
    outcome: TurnOutcome | None = None


class TurnPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """Send the turn to an engine now; logged as ``turn_placed`` if it waited.

    Attributes
    ----------
    engine
        Empty if the node must choose one: the leader is new, no engine is listed, or none of the
        software version of a resumed stream has a free slot.
    waited_s
        Time since the request; reported to the node as ``place_wait_s``.
    expected_s
        Expected time until its end (``turn_placement.EndEstimate``).
    running
        Turns that were running at the engine before.
    waiting
        Turns of its service that are still waiting.
    """

    attempt_id: str
    engine: str
    waited_s: float
    expected_s: float = 0.0
    running: int = 0
    waiting: int = 0


class TurnNotPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse a turn because of missing capacity; logged as ``program_refused``.

    Only the first turn of a program and turns of looping programs are refused. The values come
    from ``program_admission.ExpectedStart``.

    Attributes
    ----------
    retry_after_s
        Time until capacity is expected.
    waiting
        Programs ahead of it, including those that were refused and are to retry.
    busy_share
        Share of the service's slots that are in use.
    waited_s
        Time since the request.
    """

    attempt_id: str
    retry_after_s: float
    waiting: int
    busy_share: float
    waited_s: float = 0.0


class TurnWithdrawn(msgspec.Struct, frozen=True):
    """A waiting turn left the queue without a slot; logged as ``turn_withdrawn``.

    Its node has settled it, its caller disconnected, its reservation was refused, or this replica
    lost the leadership or starts another term.
    """

    attempt_id: str


TurnDecision = TurnPlaced | TurnNotPlaced | TurnWithdrawn
