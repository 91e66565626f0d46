"""Callers that wait for a proposal's result or for a read to be allowed."""

import anyio
import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address, NotLeaderError


class _Waiter(msgspec.Struct):
    """One caller; ``done`` is set when there is a result or an error."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    result: bytes = b""
    error: PasslaneError | None = None


class PendingRequests:
    """Waiting callers by token.

    Parameters
    ----------
    timeout_error
        Raised to a caller that has waited for too long.
    """

    def __init__(self, timeout_error: PasslaneError) -> None:
        self._timeout_error = timeout_error
        self._waiters: dict[int, _Waiter] = {}
        self._last_token = 0

    def add(self) -> int:
        """Return the token of a new waiting caller."""
        self._last_token += 1
        self._waiters[self._last_token] = _Waiter()
        return self._last_token

    async def wait(self, token: int, timeout_s: float) -> bytes:
        """Return the result, or raise the error, that ``token`` gets."""
        waiter = self._waiters[token]
        try:
            with anyio.move_on_after(timeout_s):
                await waiter.done.wait()
        finally:
            self._waiters.pop(token, None)
        if not waiter.done.is_set():
            error = self._timeout_error
            raise PasslaneError(
                error.code,
                error.message,
                verdict=error.verdict,
                retry_after_s=error.retry_after_s,
            )
        if waiter.error is not None:
            raise waiter.error
        return waiter.result

    async def wait_until_done(self, token: int, timeout_s: float) -> None:
        """Return once ``token`` has got its result or error, or the time is over."""
        waiter = self._waiters.get(token)
        if waiter is not None and not waiter.done.is_set():
            with anyio.move_on_after(timeout_s):
                await waiter.done.wait()

    def complete(self, token: int, result: bytes) -> None:
        """Give a caller its result; one that has gone away is ignored."""
        waiter = self._waiters.get(token)
        if waiter is not None:
            waiter.result = result
            waiter.done.set()

    def fail(self, token: int, error: PasslaneError) -> None:
        """Raise ``error`` to a caller."""
        waiter = self._waiters.get(token)
        if waiter is not None:
            waiter.error = error
            waiter.done.set()

    def fail_all(self, code: ErrorCode, message: str, verdict: Verdict) -> None:
        """Raise an error to all callers, as when the replica stops."""
        for token in list(self._waiters):
            self.fail(token, PasslaneError(code, message, verdict=verdict))


def rejection(leader: Address | None, *, may_be_committed: bool) -> PasslaneError:
    """Return the error for a proposal that this replica does not see through."""
    if may_be_committed:
        return PasslaneError(
            ErrorCode.LEASE_LOST,
            "leadership was lost before the command was known to be committed",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return NotLeaderError("this replica does not lead the group", leader)
