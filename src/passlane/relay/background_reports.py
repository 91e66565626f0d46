"""Reports facts to the store group in the background until it has them.

Owns the facts that the store group does not have yet. What a report sends, and what is logged when
it fails or is given up, is up to the caller.
"""

from collections.abc import Awaitable, Callable, Hashable
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from passlane.supervision.contained import run_contained

REPORT_TIMEOUT_S = 3.0
REPORT_RETRY_DELAY_S = 0.1

Fact = TypeVar("Fact", bound=Hashable)


class BackgroundReports(Generic[Fact]):
    """Reports facts together; those that arrive during a report follow with the next one.

    Parameters
    ----------
    send
        Sends facts; returns whether the store group has them.
    on_dropped
        Called with the facts that are given up.
    max_delay_s
        Time without a successful report after which all unreported facts are dropped.
    tasks
        Task group for the reports, which outlive a request.
    on_removed
        Called with each fact that was reported or given up.
    """

    def __init__(
        self,
        send: Callable[[tuple[Fact, ...]], Awaitable[bool]],
        on_dropped: Callable[[tuple[Fact, ...]], None],
        max_delay_s: float,
        tasks: TaskGroup,
        on_removed: Callable[[Fact], None] | None = None,
    ) -> None:
        self._on_removed = on_removed
        self._send = send
        self._on_dropped = on_dropped
        self._max_delay_s = max_delay_s
        self._tasks = tasks
        self._unreported: dict[Fact, None] = {}
        self._is_reporting = False
        self._report_ended = anyio.Event()

    def __len__(self) -> int:
        return len(self._unreported)

    def add(self, fact: Fact) -> bool:
        """Report a fact in the background; return whether it was not waiting already."""
        is_new = fact not in self._unreported
        self._unreported[fact] = None
        if not self._is_reporting:
            self._is_reporting = True
            self._tasks.start_soon(run_contained, self._report_all)
        return is_new

    def drop_oldest(self) -> None:
        """Give up the fact that has waited for longest."""
        self._drop((next(iter(self._unreported)),))

    async def wait_until_reported(self, fact: Fact) -> None:
        """Return once the store group has a fact, or it was dropped."""
        while fact in self._unreported:
            await self._report_ended.wait()

    async def _report_all(self) -> None:
        failing_since: float | None = None
        try:
            while self._unreported:
                facts = tuple(self._unreported)
                if await self._send(facts):
                    failing_since = None
                    self._remove(facts)
                    continue
                now = anyio.current_time()
                failing_since = failing_since if failing_since is not None else now
                if now - failing_since > self._max_delay_s:
                    self._drop(tuple(self._unreported))
                    return
                await anyio.sleep(REPORT_RETRY_DELAY_S)
        finally:
            self._is_reporting = False

    def _drop(self, facts: tuple[Fact, ...]) -> None:
        self._remove(facts)
        self._on_dropped(facts)

    def _remove(self, facts: tuple[Fact, ...]) -> None:
        for fact in facts:
            if fact not in self._unreported:
                continue
            del self._unreported[fact]
            if self._on_removed is not None:
                self._on_removed(fact)
        self._report_ended.set()
        self._report_ended = anyio.Event()
