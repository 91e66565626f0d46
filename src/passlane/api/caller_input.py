"""Parsing and validation of the bodies and headers of callers' requests."""

import math
from collections.abc import Mapping
from typing import TypeVar

import msgspec
import xxhash

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.number_bounds import MAX_COMPARED_NUMBER
from passlane.messages.store import Turn

MAX_IDENTIFIER_LENGTH = 128
MAX_KEY_LENGTH = 255
MAX_TOKENS_LIMIT = 100_000
DEFAULT_MAX_TOKENS = 256
MAX_SEQUENCE = 2**31

PROGRAM_HEADER = "passlane-program"
SEQUENCE_HEADER = "passlane-sequence"
TIMEOUT_HEADER = "passlane-timeout"
KEY_HEADER = "idempotency-key"

BodyType = TypeVar("BodyType")


class TextPart(msgspec.Struct, frozen=True):
    """A part of a message's content; only text is supported."""

    type: str
    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """One message in the chat-completions format."""

    role: str
    content: str | tuple[TextPart, ...] | None = None
    name: str | None = None

    def to_turn(self) -> Turn:
        """Return the message as a turn of the program's history."""
        if isinstance(self.content, tuple):
            content = "".join(part.text for part in self.content)
        else:
            content = self.content or ""
        return Turn(role=self.role, content=content, name=self.name)


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; other fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens to generate, from either of the two fields."""
        requested = self.max_completion_tokens or self.max_tokens
        return DEFAULT_MAX_TOKENS if requested is None else requested


class ProgramBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``; a program without a budget gets its tenant's default."""

    budget: Amounts | None = None
    parent_id: ProgramId | None = None
    deadline_s: float | None = None


def decode_body(body: bytes, body_type: type[BodyType]) -> BodyType:
    """Return the JSON body as ``body_type``; raise ``BAD_REQUEST`` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise bad_request(f"the request body is invalid: {error}") from error
    except RecursionError as error:
        raise bad_request("the body is nested too deeply") from error


def checked_json(body: bytes) -> str:
    """Return a body with any JSON value as text, an empty body as ``{}``.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when the body is not JSON.
    """
    text = body.strip() or b"{}"
    decode_body(text, object)
    return text.decode()


def check_chat(body: ChatBody) -> None:
    """Raise ``BAD_REQUEST`` when a value is out of its range."""
    if not body.messages:
        raise bad_request("messages must not be empty")
    if not 1 <= body.token_limit <= MAX_TOKENS_LIMIT:
        raise bad_request(f"max_tokens must be from 1 to {MAX_TOKENS_LIMIT}")


def check_program(body: ProgramBody) -> None:
    """Raise ``BAD_REQUEST`` when a value is out of its range."""
    deadline_s = body.deadline_s
    if deadline_s is not None and not (0 < deadline_s < math.inf):
        raise bad_request("deadline_s must be a positive number of seconds")
    budget = body.budget
    if budget is not None and not budget.is_within(MAX_COMPARED_NUMBER):
        raise bad_request(f"a budget must be from 0 to {MAX_COMPARED_NUMBER}")


def parse_program_header(headers: Mapping[str, str]) -> ProgramId:
    """Return the program of a call; raise ``BAD_REQUEST`` if it is missing or invalid."""
    value = headers.get(PROGRAM_HEADER, "")
    if not value:
        raise bad_request("the header Passlane-Program is missing")
    return checked_program_id(value)


def checked_program_id(value: str) -> ProgramId:
    """Return ``value`` as a program id; raise ``BAD_REQUEST`` if it is invalid."""
    if len(value) > MAX_IDENTIFIER_LENGTH or not value.isprintable():
        raise bad_request("the program's id is too long or has control characters")
    return ProgramId(value)


def parse_sequence_header(headers: Mapping[str, str]) -> int | None:
    """Return the call's sequence number, if any; raise ``BAD_REQUEST`` if it is invalid."""
    value = headers.get(SEQUENCE_HEADER)
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()) or len(value) > 10 or int(value) > MAX_SEQUENCE:
        raise bad_request("Passlane-Sequence must be a whole number from 0")
    return int(value)


def parse_key_header(headers: Mapping[str, str]) -> str | None:
    """Return the idempotency key, if any; raise ``BAD_REQUEST`` if it is invalid."""
    value = headers.get(KEY_HEADER)
    if value is not None and not 1 <= len(value) <= MAX_KEY_LENGTH:
        raise bad_request(f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters")
    return value


def parse_timeout_header(headers: Mapping[str, str], max_timeout_s: float) -> float:
    """Return the caller's timeout in seconds, at most ``max_timeout_s``.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when the header is not a positive number.
    """
    value = headers.get(TIMEOUT_HEADER)
    if value is None:
        return max_timeout_s
    try:
        seconds = float(value)
    except ValueError as error:
        raise bad_request("Passlane-Timeout must be a number of seconds") from error
    if not 0 < seconds < math.inf:
        raise bad_request("Passlane-Timeout must be a positive number of seconds")
    return min(seconds, max_timeout_s)


def program_id_from_key(tenant_id: TenantId, key: str) -> ProgramId:
    """Return the program id for a tenant's idempotency key; repeats get the same id."""
    digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode((tenant_id, key)))
    return ProgramId(f"p-{digest}")


def bad_request(message: str) -> PasslaneError:
    """Return the ``BAD_REQUEST`` error for invalid input."""
    return PasslaneError(ErrorCode.BAD_REQUEST, message)
