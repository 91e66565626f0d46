"""Errors that end a request without a complete answer of a backend; their code is the reason.

Relies on ``relay.end_reasons`` for the reasons.
"""

import msgspec

from passlane.relay.end_reasons import RequestEnd, RequestEndReason


class Refusal(msgspec.Struct, frozen=True):
    """An answer that this node generates.

    Attributes
    ----------
    retry_after_s
        Seconds after which the caller should retry; ``None`` if a retry is pointless.
    """

    end: RequestEnd
    status: int
    retry_after_s: float | None = None

    @classmethod
    def of(
        cls, reason: RequestEndReason, retry_after_s: float | None = None, detail: str = ""
    ) -> "Refusal":
        """Return the refusal for a reason with a fixed status."""
        assert reason.status is not None, reason
        return cls(RequestEnd(reason, detail), reason.status, retry_after_s)


class RequestEndedError(Exception):
    """A request ended without a complete answer of a backend.

    Attributes
    ----------
    code
        The reason.
    end
        The reason with the detail of the case.
    """

    def __init__(self, end: RequestEnd) -> None:
        super().__init__(end.text)
        self.code = end.reason
        self.end = end


class RequestRefusedError(RequestEndedError):
    """The request was refused: no backend ran it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.end)
        self.refusal = refusal


class RequestFailedError(RequestEndedError):
    """The request may have run, and there is no complete answer."""

    def __init__(self, reason: RequestEndReason, detail: str = "") -> None:
        super().__init__(RequestEnd(reason, detail))


class AnswerAbortedError(RequestEndedError):
    """An answer that has begun cannot be completed; its connection must be closed."""
