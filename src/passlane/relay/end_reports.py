"""Reports engines that ended under requests to the leader of the store group.

Owns nothing but its reports (``relay.background_reports``). Log lines: ``engine_ends_delayed``,
``engine_ends_not_reported``.
"""

from anyio.abc import TaskGroup

from passlane.errors import PasslaneError
from passlane.messages.engine_ends import EngineEnd
from passlane.observability.logging import get_logger
from passlane.relay.background_reports import REPORT_TIMEOUT_S, BackgroundReports
from passlane.relay.refused_requests import RefusedRequests
from passlane.turns.client import TurnStoreClient

MAX_UNREPORTED = 5_000
"""Bounds memory while the store group doesn't answer; the oldest give way."""
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
        self._reports = BackgroundReports(self._send, self._log_dropped, MAX_REPORT_DELAY_S, tasks)

    def add(self, end: EngineEnd) -> None:
        """Report an end in the background."""
        self._reports.add(end)
        if len(self._reports) > MAX_UNREPORTED:
            self._reports.drop_oldest()

    async def wait_until_reported(self, end: EngineEnd) -> None:
        """Return once the store group has an end, or it was dropped."""
        await self._reports.wait_until_reported(end)

    async def _send(self, ends: tuple[EngineEnd, ...]) -> bool:
        try:
            found = await self._store.report_engine_ends(ends, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("engine_ends_delayed", count=len(ends), code=error.code.value)
            return False
        self._refused.apply(found)
        return True

    def _log_dropped(self, ends: tuple[EngineEnd, ...]) -> None:
        _log.warning(
            "engine_ends_not_reported",
            count=len(ends),
            first=ends[0].request_key,
            kept=len(self._reports),
        )
