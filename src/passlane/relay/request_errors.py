"""The errors that end a request without a back end's answer, each with its reason as code.

Relies on ``relay.end_reasons`` for the reasons.
"""

import msgspec

from passlane.relay.end_reasons import RequestEnd, RequestEndReason


class Refusal(msgspec.Struct, frozen=True):
    """An answer of this system's own.

    Attributes
    ----------
    retry_after_s
        Seconds after which the caller is to come back; ``None`` if that makes no sense.
    """

    end: RequestEnd
    status: int
    retry_after_s: float | None = None

    @classmethod
    def of(
        cls, reason: RequestEndReason, retry_after_s: float | None = None, detail: str = ""
    ) -> "Refusal":
        """Return the refusal for a reason that has a status of its own."""
        assert reason.status is not None, reason
        return cls(RequestEnd(reason, detail), reason.status, retry_after_s)


class RequestEndedError(Exception):
    """A request ended without a back end's whole answer.

    Attributes
    ----------
    code
        Why.
    end
        The same with what only this case tells.
    """

    def __init__(self, end: RequestEnd) -> None:
        super().__init__(end.text)
        self.code = end.reason
        self.end = end


class RequestRefusedError(RequestEndedError):
    """The request is refused: no back end has run it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.end)
        self.refusal = refusal


class RequestFailedError(RequestEndedError):
    """The request may have run, and no whole answer came of it."""

    def __init__(self, reason: RequestEndReason, detail: str = "") -> None:
        super().__init__(RequestEnd(reason, detail))


class AnswerAbortedError(RequestEndedError):
    """An answer that had begun cannot be ended; its connection must be closed."""
