"""Callers that wait for the result of a proposal or for a read."""

import anyio
import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address, NotLeaderError

MIN_CHECK_INTERVAL_S = 0.05
"""Minimum interval between two checks for overdue callers."""


class _Waiter(msgspec.Struct):
    """A waiting caller; ``done`` is set once there is a result or an error."""

    deadline: float
    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    result: bytes = b""
    error: PasslaneError | None = None


class PendingRequests:
    """Waiting callers by token.

    ``run`` fails overdue callers. One timer serves all callers, because a timer for each
    would cost considerable processor time.

    Parameters
    ----------
    timeout_error
        Raised to a caller whose deadline has passed.
    timeout_s
        Seconds until a caller times out.
    """

    def __init__(self, timeout_error: PasslaneError, timeout_s: float) -> None:
        self._timeout_error = timeout_error
        self._timeout_s = timeout_s
        self._waiters: dict[int, _Waiter] = {}
        self._last_token = 0
        self._has_waiters = anyio.Event()

    async def run(self) -> None:
        """Fail overdue callers until cancelled."""
        while True:
            await self._has_waiters.wait()
            while self._waiters:
                # Callers are in the order of their deadlines.
                first = next(iter(self._waiters.values()))
                next_check_at = max(first.deadline, anyio.current_time() + MIN_CHECK_INTERVAL_S)
                await anyio.sleep_until(next_check_at)
                self._fail_overdue(anyio.current_time())
            self._has_waiters = anyio.Event()

    def _fail_overdue(self, now: float) -> None:
        for token, waiter in list(self._waiters.items()):
            if waiter.deadline > now:
                return
            self.fail(token, self._new_timeout_error())
            del self._waiters[token]

    def _new_timeout_error(self) -> PasslaneError:
        error = self._timeout_error
        return PasslaneError(
            error.code, error.message, verdict=error.verdict, retry_after_s=error.retry_after_s
        )

    def add(self) -> int:
        """Add a caller, whose timeout starts now, and return its token."""
        self._last_token += 1
        self._waiters[self._last_token] = _Waiter(anyio.current_time() + self._timeout_s)
        self._has_waiters.set()
        return self._last_token

    async def wait(self, token: int) -> bytes:
        """Return the result of ``token``, or raise its error."""
        waiter = self._waiters[token]
        try:
            await waiter.done.wait()
        finally:
            self._waiters.pop(token, None)
        if waiter.error is not None:
            raise waiter.error
        return waiter.result

    async def wait_until_done(self, token: int, timeout_s: float) -> None:
        """Return once ``token`` has a result or an error, or after ``timeout_s``."""
        waiter = self._waiters.get(token)
        if waiter is not None and not waiter.done.is_set():
            with anyio.move_on_after(timeout_s):
                await waiter.done.wait()

    def complete(self, token: int, result: bytes) -> None:
        """Set the result of a caller; a caller that no longer waits is ignored."""
        waiter = self._waiters.get(token)
        if waiter is not None and not waiter.done.is_set():
            waiter.result = result
            waiter.done.set()

    def fail(self, token: int, error: PasslaneError) -> None:
        """Set the error of a caller; a caller that no longer waits is ignored."""
        waiter = self._waiters.get(token)
        if waiter is not None and not waiter.done.is_set():
            waiter.error = error
            waiter.done.set()

    def fail_all(self, code: ErrorCode, message: str, verdict: Verdict) -> None:
        """Fail all callers, for example when the replica stops."""
        for token in list(self._waiters):
            self.fail(token, PasslaneError(code, message, verdict=verdict))


def rejection(leader: Address | None, *, may_be_committed: bool) -> PasslaneError:
    """Return the error for a proposal or read that this replica rejects."""
    if may_be_committed:
        return PasslaneError(
            ErrorCode.LEASE_LOST,
            "leadership was lost before the command was known to be committed",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return NotLeaderError("this replica does not lead the group", leader)
