"""Where resumable streams began, as one node knows it.

Owns the origins of the streams that this node has begun to forward recently, and their reports to
the leader of the store group, where any node looks them up: callers resume a stream at another
node. Which engines may continue it is decided in ``decisions.placement.stream_versions``.
"""

from collections import OrderedDict

from anyio.abc import TaskGroup

from passlane.errors import PasslaneError
from passlane.messages.streams import StreamOrigin
from passlane.messages.turns import TurnStoreFound
from passlane.observability.logging import get_logger
from passlane.relay.background_reports import REPORT_TIMEOUT_S, BackgroundReports
from passlane.turns.client import TurnStoreClient

MAX_ORIGINS = 1_000
"""Streams that a node remembers; the oldest give way."""
MAX_REPORT_DELAY_S = 10.0
"""Seconds after which origins that could not be reported are dropped; callers have resumed their
streams, or given up, long before."""

_log = get_logger(__name__)


class BegunStreams:
    """Remembers, reports and looks up where streams began.

    Parameters
    ----------
    tasks
        Task group for the reports, which outlive a request.
    """

    def __init__(self, store: TurnStoreClient, tasks: TaskGroup) -> None:
        self._store = store
        self._origins: OrderedDict[str, StreamOrigin] = OrderedDict()
        self._reports = BackgroundReports(self._send, self._log_dropped, MAX_REPORT_DELAY_S, tasks)

    def record(self, origin: StreamOrigin) -> None:
        """Record a stream that is about to begin, and report it in the background."""
        if origin.stream_id in self._origins:
            return
        self._origins[origin.stream_id] = origin
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)
        self._reports.add(origin)

    def find_own(self, stream_id: str) -> StreamOrigin | None:
        """Return where a stream began, if it began at this node."""
        return self._origins.get(stream_id)

    async def find_at_store(
        self, stream_id: str, address: str, *, timeout_s: float
    ) -> TurnStoreFound:
        """Return where a stream began, and the versions at which streams of its route may have.

        Both as the store group's leader knows them.

        Raises
        ------
        PasslaneError
            When the store group did not answer in time.
        """
        return await self._store.find_stream(stream_id, address, timeout_s=timeout_s)

    async def _send(self, origins: tuple[StreamOrigin, ...]) -> bool:
        """Report some origins; return whether the leader has them."""
        try:
            await self._store.report_streams(origins, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("stream_reports_delayed", count=len(origins), code=error.code.value)
            return False
        return True

    @staticmethod
    def _log_dropped(origins: tuple[StreamOrigin, ...]) -> None:
        _log.warning(
            "stream_origins_not_reported",
            count=len(origins),
            first=origins[0].stream_id,
            retried_s=MAX_REPORT_DELAY_S,
        )
