"""A supervisor runs children, restarts those that fail, and fails when restarts do not help.

Supervisors nest: a supervisor's ``run`` may be the ``start`` of another supervisor's child,
so that a fault is handled near its cause and escalates only when it persists.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.observability.logging import get_logger
from passlane.supervision.specification import ChildSpecification, RestartRule

FIRST_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 2.0

FailureListener = Callable[[str], Awaitable[None]]
"""Called with the name of a child that exceeded its restart limit."""

_log = get_logger("supervision")


class TooManyRestartsError(PasslaneError):
    """A child exceeded the restart limit of its specification."""

    def __init__(self, supervisor: str, child: str) -> None:
        super().__init__(
            ErrorCode.INTERNAL,
            f"{supervisor}: child {child} exceeded its restart limit",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        self.child = child


class RestartHistory:
    """Counts the restarts of one child within a sliding window."""

    def __init__(self, max_restarts: int | None, window_s: float) -> None:
        self._max_restarts = max_restarts
        self._window_s = window_s
        self._times: deque[float] = deque()

    def record(self, now: float) -> int:
        """Record a restart and return the number of restarts within the window."""
        self._times.append(now)
        while self._times[0] < now - self._window_s:
            self._times.popleft()
        return len(self._times)

    def is_exceeded(self) -> bool:
        """Return whether the window holds more restarts than allowed."""
        return self._max_restarts is not None and len(self._times) > self._max_restarts


class Supervisor:
    """Runs children concurrently and restarts each by its own rule.

    Parameters
    ----------
    name
        Name of the supervisor in logs and errors.
    children
        Started together, in this order.
    on_failure
        Called when a child exceeded its restart limit, before the supervisor fails.
    """

    def __init__(
        self,
        name: str,
        children: Sequence[ChildSpecification],
        *,
        on_failure: FailureListener | None = None,
    ) -> None:
        self._name = name
        self._children = tuple(children)
        self._on_failure = on_failure

    async def run(self) -> None:
        """Run the children until all have ended without a restart, or until cancelled.

        Raises
        ------
        TooManyRestartsError
            When a child exceeded its restart limit; the other children are
            cancelled first.
        """
        failures: list[TooManyRestartsError] = []
        async with anyio.create_task_group() as tasks:
            for child in self._children:
                tasks.start_soon(self._run_with_restarts, child, failures, tasks.cancel_scope)
        if failures:
            raise failures[0]

    async def _run_with_restarts(
        self,
        child: ChildSpecification,
        failures: list[TooManyRestartsError],
        scope: anyio.CancelScope,
    ) -> None:
        history = RestartHistory(child.max_restarts, child.window_s)
        while await self._run_once(child):
            restarts = history.record(anyio.current_time())
            if history.is_exceeded():
                await self._report_failure(child)
                failures.append(TooManyRestartsError(self._name, child.name))
                scope.cancel()
                return
            delay_s = min(MAX_RESTART_DELAY_S, FIRST_RESTART_DELAY_S * 2 ** (restarts - 1))
            await anyio.sleep(delay_s)

    async def _run_once(self, child: ChildSpecification) -> bool:
        """Run the child once; return whether it should be restarted."""
        try:
            await child.start()
        except Exception:
            _log.exception("child_failed", supervisor=self._name, child=child.name)
            return child.restart is not RestartRule.TEMPORARY
        _log.info("child_ended", supervisor=self._name, child=child.name)
        return child.restart is RestartRule.PERMANENT

    async def _report_failure(self, child: ChildSpecification) -> None:
        _log.error("child_given_up", supervisor=self._name, child=child.name)
        if self._on_failure is not None:
            await self._on_failure(child.name)
