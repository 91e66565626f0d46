"""Status and headers of a back end's response, as parsed by the relay."""

import enum

import msgspec

from passlane.decisions.inputs.relayed_call import Header


class Refusal(enum.StrEnum):
    """Reasons that a back end gives for not running a request."""

    NOT_EXECUTED = "not_executed"
    """The back end is full, or the deadline passed in its queue."""
    WRONG_INSTANCE = "wrong_instance"
    """Another instance now uses the address."""


class BodyFraming(enum.StrEnum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The end of the connection, which a back end that fails may cause as well."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a back end's response.

    Attributes
    ----------
    refusal
        Set if the response proves that the request did not run.
    is_authentic
        Whether the headers identify this as the complete response to this request.
    headers
        Headers that are forwarded to the caller.
    length
        Length of the body in bytes, if it was declared.
    framing
        What marks the end of the body.
    media_type
        Declared type of the body, in lower case and without parameters; empty if none is declared.
    """

    status: int
    headers: tuple[Header, ...]
    refusal: Refusal | None
    is_authentic: bool
    length: int | None
    framing: BodyFraming = BodyFraming.CHUNKS
    media_type: str = ""
