"""Reports engines that ended under requests to the leader of the store group.

Owns the ends that the store group does not have yet. Log lines: ``engine_ends_delayed``,
``engine_ends_not_reported``.
"""

from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from passlane.errors import PasslaneError
from passlane.messages.engine_ends import EngineEnd
from passlane.observability.logging import get_logger
from passlane.relay.refused_requests import RefusedRequests
from passlane.turns.client import TurnStoreClient

MAX_UNREPORTED = 5_000
"""Bounds memory while the store group doesn't answer; the oldest give way."""
REPORT_TIMEOUT_S = 3.0
REPORT_RETRY_DELAY_S = 0.1
MAX_REPORT_DELAY_S = 30.0
"""Time after which ends that could not be reported are dropped; this node still counts them."""

_log = get_logger(__name__)


class EndReports:
    """Reports ends until the store group has them.

    Parameters
    ----------
    refused
        Gets the refused requests that come with the answers.
    tasks
        Task group for the reports, which outlive a request.
    """

    def __init__(self, store: TurnStoreClient, refused: RefusedRequests, tasks: TaskGroup) -> None:
        self._store = store
        self._refused = refused
        self._tasks = tasks
        self._unreported: dict[EngineEnd, None] = {}
        self._is_reporting = False
        self._report_ended = anyio.Event()

    def add(self, end: EngineEnd) -> None:
        """Report an end in the background; those that arrive meanwhile follow together."""
        self._unreported[end] = None
        if len(self._unreported) > MAX_UNREPORTED:
            self._drop(1)
        if not self._is_reporting:
            self._is_reporting = True
            self._tasks.start_soon(self._report_all)

    async def wait_until_reported(self, end: EngineEnd) -> None:
        """Return once the store group has an end, or it was dropped."""
        while end in self._unreported:
            await self._report_ended.wait()

    async def _report_all(self) -> None:
        failing_since: float | None = None
        try:
            while self._unreported:
                if await self._report(tuple(self._unreported)):
                    failing_since = None
                    continue
                now = anyio.current_time()
                failing_since = failing_since if failing_since is not None else now
                if now - failing_since > MAX_REPORT_DELAY_S:
                    self._drop(len(self._unreported))
                    return
                await anyio.sleep(REPORT_RETRY_DELAY_S)
        finally:
            self._is_reporting = False

    async def _report(self, ends: tuple[EngineEnd, ...]) -> bool:
        """Report some ends; return whether the store group has them."""
        try:
            found = await self._store.report_engine_ends(ends, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("engine_ends_delayed", count=len(ends), code=error.code.value)
            return False
        self._refused.apply(found)
        self._remove(ends)
        return True

    def _drop(self, count: int) -> None:
        """Drop the oldest ends that could not be reported."""
        dropped = tuple(self._unreported)[:count]
        _log.warning(
            "engine_ends_not_reported",
            count=count,
            first=dropped[0].request_key,
            kept=len(self._unreported) - count,
        )
        self._remove(dropped)

    def _remove(self, ends: Iterable[EngineEnd]) -> None:
        for end in ends:
            self._unreported.pop(end, None)
        self._report_ended.set()
        self._report_ended = anyio.Event()
