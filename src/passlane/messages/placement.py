"""What a turn tells of itself so that the store group's leader can order and place it."""

import msgspec

from passlane.messages.base import Message


class TurnDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What decides when and where a turn runs; goes with its reservation, not replicated.

    Attributes
    ----------
    service, route
        Names in the configuration.
    tenant
        On whose behalf it comes; empty without a tenant.
    urgency
        Rank of its requests; 0 goes first.
    zone
        Zone of the node that asks.
    prompt_tokens
        Tokens of the whole prompt, history included; 0 if unknown.
    shared_part, shared_tokens
        The part that its prompt begins with and shares with others; empty without one.
    time_left_s
        Until the request itself is given up.
    program_time_left_s
        Until its program should be over; ``None`` if unknown.
    memory_tokens
        Memory of one engine of the service, in tokens; 0 if unknown.
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


class TurnOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a turn went at engines; goes with its settlement, not replicated.

    Attributes
    ----------
    engine_s
        From its sending to the engine that served it until the end of the answer; 0 if none
        answered whole.
    first_part_s
        The same until the first part of the answer.
    events
        Events of the answer.
    failed_at
        Instances that broke off or gave no answer.
    full_at
        Instances that refused it for want of room.
    """

    engine_s: float = 0.0
    first_part_s: float = 0.0
    events: int = 0
    failed_at: tuple[str, ...] = ()
    full_at: tuple[str, ...] = ()


class TurnRefused(Message, frozen=True, kw_only=True):
    """A program cannot begin now; its turn has not run and nothing is reserved for it.

    ``retry_after_s`` is when room is expected for it, ``waiting`` how many programs are
    before it.
    """

    retry_after_s: float
    waiting: int
    busy_share: float
