"""What a node reports of a turn so that the store group's leader can order and place it."""

import msgspec

from passlane.messages.base import Message
from passlane.messages.engine_ends import EnginesEnded
from passlane.messages.turn_outputs import OutputUnknown


class TurnDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs to the ordering and placement of a turn.

    Sent with the turn's reservation; not replicated.

    Attributes
    ----------
    service, route
        Names in the configuration.
    tenant
        Tenant of the request; empty without one.
    urgency
        Priority of its requests; 0 is the most urgent.
    zone
        Zone of the requesting node.
    prompt_tokens
        Tokens of the whole prompt, history included; 0 if unknown.
    shared_part, shared_tokens
        Identifier and length of the prefix that its prompt shares with other prompts; empty
        and 0 without one.
    time_left_s
        Time until the request itself times out.
    program_time_left_s
        Time until its program's deadline; ``None`` if unknown.
    memory_tokens
        Memory of one engine of the service, in tokens; 0 if unknown.
    software_version
        The only software version whose engines may serve the turn, because it resumes a stream;
        empty for any.
    """

    service: str
    route: str
    urgency: int
    zone: str
    tenant: str = ""
    prompt_tokens: int = 0
    shared_part: str = ""
    shared_tokens: int = 0
    time_left_s: float = 0.0
    program_time_left_s: float | None = None
    memory_tokens: int = 0
    software_version: str = ""


class TurnOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a turn's attempts at engines.

    Sent with the turn's settlement; not replicated.

    Attributes
    ----------
    engine_s
        Time from sending the turn to the engine that served it until the end of the answer;
        0 if no engine gave a complete answer.
    first_part_s
        Time from the same start until the first part of the answer.
    events
        Number of events of the answer.
    failed_at
        Instances that broke off or gave no answer.
    full_at
        Instances that refused the turn because they had no free slot.
    """

    engine_s: float = 0.0
    first_part_s: float = 0.0
    events: int = 0
    failed_at: tuple[str, ...] = ()
    full_at: tuple[str, ...] = ()


class TurnTooLarge(msgspec.Struct, frozen=True):
    """A turn's chain would be too large to be served again.

    ``history_bytes`` and ``input_bytes`` together exceed ``max_bytes``.
    """

    history_bytes: int
    input_bytes: int
    max_bytes: int


class TurnsFull(msgspec.Struct, frozen=True):
    """The stored turns leave no memory for another one.

    ``stored_bytes`` and ``pending_bytes``, those of admitted turns that are not stored yet, are
    bounded by ``max_bytes`` together.
    """

    stored_bytes: int
    pending_bytes: int
    max_bytes: int


class HistoriesFull(msgspec.Struct, frozen=True):
    """A turn's history of ``history_bytes`` can't be sent now.

    ``under_way_bytes`` of others are bounded by ``max_bytes``.
    """

    history_bytes: int
    under_way_bytes: int
    max_bytes: int


class TurnRefused(Message, frozen=True, kw_only=True):
    """A turn cannot start now; it has not run and nothing is reserved for it.

    Older builds take each refusal for one of a program without capacity at engines.

    Attributes
    ----------
    retry_after_s
        Time until capacity for it is expected.
    waiting
        Number of programs that wait ahead of it.
    busy_share
        Share of the service's slots that are in use.
    too_large
        Set if the turn is too large at any time.
    full
        Set if there is no memory to store the turn.
    engines_ended
        Set if too many engines ended under its request, or may have.
    histories_full
        Set if its history can't be sent now.
    output_unknown
        Set if it resumes a stream whose earlier events are not known.
    """

    retry_after_s: float
    waiting: int
    busy_share: float
    too_large: TurnTooLarge | None = None
    full: TurnsFull | None = None
    engines_ended: EnginesEnded | None = None
    histories_full: HistoriesFull | None = None
    output_unknown: OutputUnknown | None = None
