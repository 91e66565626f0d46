"""Reports the events that this node forwards of turns that are to be stored.

A caller may resume such a turn at any node, and the turn is stored with all its events. Owns the
events that the store group does not have yet. Nothing waits for a report but a turn that is resumed
at this node. Log lines: ``forwarded_events_delayed``, ``forwarded_events_not_reported``.
"""

from collections.abc import Iterable, Iterator, Sequence

import anyio
from anyio.abc import TaskGroup

from passlane.errors import PasslaneError
from passlane.messages.turn_outputs import ForwardedEvents
from passlane.observability.logging import get_logger
from passlane.relay.background_reports import REPORT_TIMEOUT_S, BackgroundReports
from passlane.turns.client import TurnStoreClient

MAX_UNREPORTED_BYTES = 4_000_000
"""Data of events that wait to be reported; the oldest give way, and their streams can't be resumed
then."""
MAX_REPORT_BYTES = 500_000
"""Data of events in one report; a larger event has a report of its own."""
MAX_REPORT_DELAY_S = 10.0
"""Seconds after which events that could not be reported are dropped; callers have resumed their
streams, or given up, long before."""
RESUMED_REPORT_TIMEOUT_S = 0.3
"""Seconds that a turn which is resumed at this node waits until its earlier events are reported."""

_log = get_logger(__name__)


class ForwardedOutputs:
    """Reports forwarded events in the background.

    Parameters
    ----------
    tasks
        Task group for the reports, which outlive a request.
    """

    def __init__(self, store: TurnStoreClient, tasks: TaskGroup) -> None:
        self._store = store
        self._unreported_bytes = 0
        self._newest: dict[str, ForwardedEvents] = {}
        self._reports = BackgroundReports(
            self._send, self._log_dropped, MAX_REPORT_DELAY_S, tasks, self._note_removed
        )

    def record(self, forwarded: ForwardedEvents) -> None:
        """Report some events in the background."""
        if not self._reports.add(forwarded):
            return
        self._unreported_bytes += forwarded.size_bytes
        self._newest[forwarded.request_key] = forwarded
        while self._unreported_bytes > MAX_UNREPORTED_BYTES:
            self._reports.drop_oldest()

    async def wait_until_reported(self, request_key: str) -> None:
        """Wait for a short time until the store group has all events of a request."""
        newest = self._newest.get(request_key)
        if newest is None:
            return
        with anyio.move_on_after(RESUMED_REPORT_TIMEOUT_S):
            await self._reports.wait_until_reported(newest)

    async def _send(self, reports: tuple[ForwardedEvents, ...]) -> bool:
        """Report events in their order; return whether the store group has them."""
        try:
            for batch in _batches(reports):
                await self._store.report_forwarded(batch, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("forwarded_events_delayed", reports=len(reports), code=error.code.value)
            return False
        return True

    def _note_removed(self, forwarded: ForwardedEvents) -> None:
        self._unreported_bytes -= forwarded.size_bytes
        if self._newest.get(forwarded.request_key) is forwarded:
            del self._newest[forwarded.request_key]

    @staticmethod
    def _log_dropped(reports: Sequence[ForwardedEvents]) -> None:
        _log.warning(
            "forwarded_events_not_reported",
            reports=len(reports),
            first=reports[0].attempt_id,
            bytes=sum(forwarded.size_bytes for forwarded in reports),
            retried_s=MAX_REPORT_DELAY_S,
        )


def _batches(reports: Iterable[ForwardedEvents]) -> Iterator[tuple[ForwardedEvents, ...]]:
    """Group reports up to the size of one message."""
    batch: list[ForwardedEvents] = []
    batch_bytes = 0
    for forwarded in reports:
        if batch and batch_bytes + forwarded.size_bytes > MAX_REPORT_BYTES:
            yield tuple(batch)
            batch, batch_bytes = [], 0
        batch.append(forwarded)
        batch_bytes += forwarded.size_bytes
    if batch:
        yield tuple(batch)
