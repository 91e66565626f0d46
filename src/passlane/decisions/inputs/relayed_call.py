"""A request as the relay sees it, whoever's HTTP it came in by."""

import msgspec


class Header(msgspec.Struct, frozen=True):
    """One header that is passed on as it came."""

    name: str
    value: str


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other prompts may begin with too."""

    part_id: str
    tokens: int


class ProgramContext(msgspec.Struct, frozen=True):
    """The program that a request belongs to.

    Attributes
    ----------
    deadline_at
        Local time at which the program should be over; ``None`` if unknown.
    budget_tokens
        Tokens that all turns of the program may generate; ``None`` for no limit.
    """

    program_id: str
    deadline_at: float | None
    budget_tokens: int | None


class RelayedCall(msgspec.Struct, frozen=True):
    """A whole request to be passed on to a back end.

    Attributes
    ----------
    request_id
        The caller's id of this attempt.
    target
        Path with query, unchanged.
    headers
        Headers that are passed on as they came.
    dropped_headers
        Names of headers that the caller must not set and that are not passed on.
    key_digests
        Digests of the API keys that it carries, see ``routes.tenants.digest_of_key``.
    arrived_at, deadline_at
        Local times of the request's arrival and of the caller's deadline.
    most_tokens
        The most tokens that a model may generate.
    previous_turn
        The turn that this one goes on from; ``None`` for a first turn.
    last_event_id
        Where the caller has got to in a stream that it takes up again.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    deadline_at: float
    program: ProgramContext | None = None
    most_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous_turn: str | None = None
    last_event_id: str | None = None
    dropped_headers: tuple[str, ...] = ()
    key_digests: tuple[bytes, ...] = ()

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]
