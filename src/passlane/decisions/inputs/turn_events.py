"""What the scheduler of turns is told, and what it decides, as types.

They are for the scheduler, which is a plain state machine: each method takes one event and the
local monotonic time in seconds, does no I/O, reads no clock and draws no random numbers. They
rest on the messages of turns (``messages.placement``), own no state, and are never sent
themselves. ``turns.decision_log`` writes the log lines of the decisions.

Times are in seconds.
"""

import msgspec

from passlane.messages.placement import TurnDemand, TurnOutcome


class TurnAsked(msgspec.Struct, frozen=True, kw_only=True):
    """A turn wants a slot of an engine.

    Attributes
    ----------
    is_first
        Whether its program is new.
    used_last
        The engine that its program used last; empty if unknown.
    most_tokens
        The most tokens that it may generate.
    """

    attempt_id: str
    program_id: str
    is_first: bool
    used_last: str
    most_tokens: int
    demand: TurnDemand


class TurnEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A turn is over or was given up, whether it had a slot or still waited.

    Attributes
    ----------
    served_by
        The engine that answered last; empty if none did.
    outcome
        How it went; ``None`` if nothing is known.
    """

    attempt_id: str
    served_by: str = ""
    outcome: TurnOutcome | None = None


class TurnPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """Send the turn to an engine now; logged as ``turn_placed`` if it waited.

    Attributes
    ----------
    engine
        Empty if the node is to choose one: the leader is new, or no engine is listed.
    waited_s
        Since it asked; told to the node as ``place_wait_s``.
    expected_s
        Until its end, as expected (``turn_placement.EndEstimate``).
    running
        Turns at the engine before it.
    waiting
        Turns of its service that wait still.
    """

    attempt_id: str
    engine: str
    waited_s: float
    expected_s: float = 0.0
    running: int = 0
    waiting: int = 0


class TurnNotPlaced(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse a turn: there is no room for it now; logged as ``program_refused``.

    It is the first of its program, or its program loops. What the figures rest on:
    ``program_admission.ExpectedStart``.

    Attributes
    ----------
    retry_after_s
        Until there is expected to be.
    waiting
        Programs before it, those that were told to retry included.
    busy_share
        Taken share of the slots of its service.
    waited_s
        Since it asked.
    """

    attempt_id: str
    retry_after_s: float
    waiting: int
    busy_share: float
    waited_s: float = 0.0


class TurnWithdrawn(msgspec.Struct, frozen=True):
    """Nobody waits any longer for a turn that had no slot; logged as ``turn_withdrawn``.

    Its node has settled it, or this replica does not lead any more.
    """

    attempt_id: str


TurnDecision = TurnPlaced | TurnNotPlaced | TurnWithdrawn
