"""The head of a back end's answer, as the relay reads it from the wire."""

import enum

import msgspec

from passlane.decisions.inputs.relayed_call import Header


class Refusal(enum.StrEnum):
    """How a back end says that it did not run a request."""

    NOT_EXECUTED = "not_executed"
    """It is full, or the deadline has passed in its queue."""
    WRONG_INSTANCE = "wrong_instance"
    """Another instance has the address now."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a back end's answer.

    Attributes
    ----------
    refusal
        Set if the answer proves that the request did not run.
    is_authentic
        Whether the answer bears the marks of a whole answer to this very request.
    headers
        Headers that are passed on to the caller.
    length
        Length of the body in bytes, if it was told.
    """

    status: int
    headers: tuple[Header, ...]
    refusal: Refusal | None
    is_authentic: bool
    length: int | None
