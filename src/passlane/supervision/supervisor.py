"""A supervisor runs children, restarts those that fail, and fails when that does not help.

Supervisors nest: a supervisor's ``run`` may be the ``start`` of a child of another, so
that a fault is first met near its cause and goes up only when it persists.
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
"""Told the name of a child that failed for good."""

_log = get_logger("supervision")


class TooManyRestartsError(PasslaneError):
    """A child failed more often than its specification allows."""

    def __init__(self, supervisor: str, child: str) -> None:
        super().__init__(
            ErrorCode.INTERNAL,
            f"{supervisor}: child {child} failed too often",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        self.child = child


class RestartHistory:
    """Counts the restarts of one child within a window of time."""

    def __init__(self, max_restarts: int, window_s: float) -> None:
        self._max_restarts = max_restarts
        self._window_s = window_s
        self._times: deque[float] = deque()

    def record(self, now: float) -> int:
        """Note a restart and return how many lie within the window."""
        self._times.append(now)
        while self._times[0] < now - self._window_s:
            self._times.popleft()
        return len(self._times)

    def is_exceeded(self) -> bool:
        """Whether there were more restarts than allowed."""
        return len(self._times) > self._max_restarts


class Supervisor:
    """Runs children side by side and restarts each by its own rule.

    Parameters
    ----------
    name
        Shown in logs and errors.
    children
        Started together, in this order.
    on_failure
        Told when a child failed too often, before the supervisor itself fails.
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
        """Run the children until all have ended for good, or until cancelled.

        Raises
        ------
        TooManyRestartsError
            When a child failed more often than allowed; the other children are
            cancelled first.
        """
        failures: list[TooManyRestartsError] = []
        async with anyio.create_task_group() as tasks:
            for child in self._children:
                tasks.start_soon(self._keep, child, failures, tasks.cancel_scope)
        if failures:
            raise failures[0]

    async def _keep(
        self,
        child: ChildSpecification,
        failures: list[TooManyRestartsError],
        scope: anyio.CancelScope,
    ) -> None:
        history = RestartHistory(child.max_restarts, child.window_s)
        while await self._run_once(child):
            restarts = history.record(anyio.current_time())
            if history.is_exceeded():
                await self._give_up(child)
                failures.append(TooManyRestartsError(self._name, child.name))
                scope.cancel()
                return
            delay_s = min(MAX_RESTART_DELAY_S, FIRST_RESTART_DELAY_S * 2 ** (restarts - 1))
            await anyio.sleep(delay_s)

    async def _run_once(self, child: ChildSpecification) -> bool:
        """Run the child once; return whether it should be started again."""
        try:
            await child.start()
        except Exception:
            _log.exception("child_failed", supervisor=self._name, child=child.name)
            return child.restart is not RestartRule.TEMPORARY
        _log.info("child_ended", supervisor=self._name, child=child.name)
        return child.restart is RestartRule.PERMANENT

    async def _give_up(self, child: ChildSpecification) -> None:
        _log.error("child_given_up", supervisor=self._name, child=child.name)
        if self._on_failure is not None:
            await self._on_failure(child.name)
