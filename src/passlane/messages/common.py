"""Value types and the error reply that several message modules share."""

import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import Message


class Address(msgspec.Struct, frozen=True, order=True):
    """A host (an IP address) and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address given as ``host:port``; raise ``ValueError`` for other text."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"expected host:port, got {text!r}")
        return cls(host=host, port=int(port))


class NotLeaderError(PasslaneError):
    """The receiver does not lead; ``leader`` is the leader's address, ``None`` if unknown.

    ``verdict`` differs from ``not_run`` when the receiver lost its leadership while it
    processed the request.
    """

    def __init__(
        self, message: str, leader: Address | None, *, verdict: Verdict = Verdict.NOT_RUN
    ) -> None:
        super().__init__(ErrorCode.NOT_LEADER, message, verdict=verdict)
        self.leader = leader


def error_with_verdict(error: PasslaneError, verdict: Verdict) -> PasslaneError:
    """Return ``error`` with ``verdict`` in place of ``not_run``.

    An error with another verdict than ``not_run`` is returned unchanged.
    """
    if error.verdict is not Verdict.NOT_RUN or verdict is Verdict.NOT_RUN:
        return error
    if isinstance(error, NotLeaderError):
        return NotLeaderError(error.message, error.leader, verdict=verdict)
    return PasslaneError(
        error.code, error.message, verdict=verdict, retry_after_s=error.retry_after_s
    )


class ErrorReply(Message, frozen=True):
    """A ``PasslaneError`` as it is sent between processes."""

    code: ErrorCode
    message: str
    verdict: Verdict
    retry_after_s: float | None = None
    leader_hint: Address | None = None

    def to_exception(self) -> PasslaneError:
        """Return the exception that this reply describes."""
        if self.code is ErrorCode.NOT_LEADER:
            return NotLeaderError(self.message, self.leader_hint, verdict=self.verdict)
        return PasslaneError(
            self.code,
            self.message,
            verdict=self.verdict,
            retry_after_s=self.retry_after_s,
        )

    @classmethod
    def from_exception(cls, error: PasslaneError) -> "ErrorReply":
        """Return the reply that describes ``error``."""
        return cls(
            code=error.code,
            message=error.message,
            verdict=error.verdict,
            retry_after_s=error.retry_after_s,
            leader_hint=error.leader if isinstance(error, NotLeaderError) else None,
        )


class Amounts(msgspec.Struct, frozen=True, gc=False):
    """Amounts of the resources that a program's budget limits.

    Attributes
    ----------
    tokens
        Prompt and generated tokens.
    calls
        Calls to engines and applications.
    money_micros
        Money in millionths of the tenant's currency unit.
    """

    tokens: int = 0
    calls: int = 0
    money_micros: int = 0

    def plus(self, other: "Amounts") -> "Amounts":
        """Return the sum of both amounts, part by part."""
        return Amounts(
            tokens=self.tokens + other.tokens,
            calls=self.calls + other.calls,
            money_micros=self.money_micros + other.money_micros,
        )

    def minus(self, other: "Amounts") -> "Amounts":
        """Return the difference to ``other``, part by part; a part may be negative."""
        return Amounts(
            tokens=self.tokens - other.tokens,
            calls=self.calls - other.calls,
            money_micros=self.money_micros - other.money_micros,
        )

    def is_within(self, most: int) -> bool:
        """Return whether each part is from 0 to ``most``."""
        return all(0 <= part <= most for part in (self.tokens, self.calls, self.money_micros))

    def fits_within(self, limit: "Amounts") -> bool:
        """Return whether no part exceeds the same part of ``limit``."""
        return (
            self.tokens <= limit.tokens
            and self.calls <= limit.calls
            and self.money_micros <= limit.money_micros
        )
