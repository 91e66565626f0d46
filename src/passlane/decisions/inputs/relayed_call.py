"""A request as the relay handles it, independent of the HTTP format of its caller."""

import msgspec


class Header(msgspec.Struct, frozen=True):
    """One header that is forwarded unchanged."""

    name: str
    value: str


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other prompts may share as a prefix."""

    part_id: str
    tokens: int


class ProgramContext(msgspec.Struct, frozen=True):
    """The program that a request belongs to.

    Attributes
    ----------
    deadline_at
        Local time by which the program should end; ``None`` if unknown.
    budget_tokens
        Maximum tokens that all turns of the program may generate; ``None`` for no limit.
    session_id
        The line of turns that the request belongs to; empty if it is not named.
    """

    program_id: str
    deadline_at: float | None
    budget_tokens: int | None
    session_id: str = ""


class RelayedCall(msgspec.Struct, frozen=True):
    """A complete request to be forwarded to a back end.

    Attributes
    ----------
    request_id
        The caller's id of this attempt.
    target
        Path with query, unchanged.
    headers
        Headers that are forwarded unchanged.
    dropped_headers
        Names of headers that callers must not set and that are not forwarded.
    key_digests
        Digests of the API keys in the request, see ``routes.tenants.digest_of_key``.
    content_headers
        Values of those forwarded headers that are part of the request's content and don't differ
        between its attempts.
    caller_host
        Host that the connection comes from; empty if unknown.
    arrived_at, deadline_at
        Local times of the request's arrival and of the caller's deadline.
    most_tokens
        Maximum tokens that the model may generate.
    previous_turn
        The turn that this one continues; ``None`` for a first turn.
    last_event_id
        Last event that the caller received of a stream that it resumes.
    resumes
        The attempt that brought the caller the first event of that stream; ``None`` if it is not
        named.
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
    resumes: str | None = None
    dropped_headers: tuple[str, ...] = ()
    key_digests: tuple[bytes, ...] = ()
    content_headers: tuple[str, ...] = ()
    caller_host: str = ""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]
