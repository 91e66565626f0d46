"""Reads the platform's list of engines and applications, page by page."""

from urllib.parse import quote

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.platform import names
from passlane.platform.list_format import ListPage, UnreadableEntry, decode_page
from passlane.runtime.interfaces import HttpClient, HttpConnectionError, HttpRequest

OK = 200
TOO_MANY_REQUESTS = 429
MAX_PAGES = 200
MAX_REASONS_LOGGED = 5
"""Maximum number of invalid entries per read whose reason is logged; all are counted."""

_log = get_logger(__name__)


class InstanceList:
    """Reads the list; implements ``relay.backends.BackendList``.

    Parameters
    ----------
    metrics
        Registry for the counter of invalid entries; ``None`` for no counter.
    """

    def __init__(
        self, http_client: HttpClient, address: Address, metrics: Metrics | None = None
    ) -> None:
        self._http_client = http_client
        self._address = address
        self._unreadable: list[UnreadableEntry] = []
        self._unreadable_count = 0
        if metrics is not None:
            metrics.define_when_exposed(self._define_metrics)

    async def read(self) -> tuple[BackendRecord, ...]:
        """Return the backends of all pages; invalid entries are skipped.

        Raises
        ------
        PasslaneError
            ``PROTOCOL_ERROR`` when a page is invalid or the list exceeds ``MAX_PAGES``;
            ``UNAVAILABLE`` when the list can't be fetched; ``LIMIT_EXCEEDED`` when the platform's
            rate limit is exceeded.
        """
        records: list[BackendRecord] = []
        unreadable: list[UnreadableEntry] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            records += page.records
            unreadable += page.unreadable
            token = page.next_token
            if token is None:
                self._report_unreadable(unreadable)
                return tuple(records)
        raise PasslaneError(
            ErrorCode.PROTOCOL_ERROR, "the list of engines has more pages than the maximum"
        )

    def _report_unreadable(self, entries: list[UnreadableEntry]) -> None:
        """Count the invalid entries, and log them if they differ from those of the last read."""
        self._unreadable_count += len(entries)
        if entries != self._unreadable:
            _log.warning(
                "backend_entries_unreadable",
                entries=len(entries),
                reasons=[entry.reason for entry in entries[:MAX_REASONS_LOGGED]],
            )
        self._unreadable = entries

    def _define_metrics(self, metrics: Metrics) -> None:
        counter = metrics.counter(
            "unreadable_backend_entries", "Entries of the platform's list that could not be read"
        )
        reported = 0

        def report() -> None:
            nonlocal reported
            counter.inc(self._unreadable_count - reported)
            reported = self._unreadable_count

        metrics.call_before_exposure(report)

    async def _read_page(self, token: str | None) -> ListPage:
        path = names.INSTANCES_PATH
        if token is not None:
            path += f"?page_token={quote(token, safe='')}"
        try:
            async with self._http_client.exchange(
                HttpRequest("GET", self._address, path)
            ) as response:
                body = b"".join([chunk async for chunk in response.chunks()])
        except HttpConnectionError as error:
            raise PasslaneError(ErrorCode.UNAVAILABLE, str(error)) from error
        if response.status == TOO_MANY_REQUESTS:
            raise PasslaneError(
                ErrorCode.LIMIT_EXCEEDED, "list of engines: the rate limit is exceeded"
            )
        if response.status != OK:
            raise PasslaneError(ErrorCode.UNAVAILABLE, f"list of engines: status {response.status}")
        return await decode_page(body)
