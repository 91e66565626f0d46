"""Monitors the answer bytes that callers leave unread, and closes connections that have stalled.

Owns the last sample of each connection. ``decisions.admission.reader_buffers`` decides what to do.
Log lines: ``answer_ended_unread``, ``more_answers_ended``.
"""

from collections import Counter
from collections.abc import Hashable

import msgspec

from passlane.decisions.admission.reader_buffers import (
    Ending,
    Instruction,
    ReaderBufferBounds,
    ReaderBuffers,
)
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import WatchedConnection

MAX_LOGGED_ENDINGS = 20
"""Maximum number of log lines for the connections that one poll closes; one more line has the count
of the others."""

MAX_POLL_GAP_S = 1.0
"""Seconds. After a longer gap between two polls this process itself was suspended, so the gap does
not count as a stall of the callers."""

_log = get_logger(__name__)


class _Watched(msgspec.Struct):
    """State of a connection at the last poll."""

    connection: WatchedConnection
    written: int = 0
    unread: int = 0
    is_held: bool = False


class SlowReaderMonitor:
    """Monitors connections of callers; implements ``runtime.interfaces.ConnectionWatch``.

    Attributes
    ----------
    ended
        Number of connections that were closed, by reason.
    """

    def __init__(self, bounds: ReaderBufferBounds) -> None:
        self._buffered = ReaderBuffers(bounds)
        self._watched: dict[Hashable, _Watched] = {}
        self._polled_at: float | None = None
        self.ended: Counter[str] = Counter()

    @property
    def buffered_bytes(self) -> int:
        """Unread bytes of all callers at the last poll."""
        return self._buffered.total

    def replace_bounds(self, bounds: ReaderBufferBounds) -> None:
        """Use other bounds from the next poll on."""
        self._buffered.replace_bounds(bounds)

    def opened(self, connection: WatchedConnection) -> None:
        """Start monitoring a connection."""
        self._watched[id(connection)] = _Watched(connection)

    def closed(self, connection: WatchedConnection) -> None:
        """Stop monitoring a connection."""
        self._watched.pop(id(connection), None)
        self._buffered.closed(id(connection))

    def poll(self, now: float) -> None:
        """Poll all connections once and apply the decisions."""
        if self._polled_at is not None and now - self._polled_at > MAX_POLL_GAP_S:
            self._buffered.skip(now - self._polled_at)
        self._polled_at = now
        for key, watched in self._watched.items():
            self._poll_connection(key, watched, now)
        endings = self._buffered.check(now)
        for ending in endings[:MAX_LOGGED_ENDINGS]:
            self._log_ending(ending)
        if len(endings) > MAX_LOGGED_ENDINGS:
            _log.warning("more_answers_ended", count=len(endings) - MAX_LOGGED_ENDINGS)
        for ending in endings:
            self._end(ending)

    def _poll_connection(self, key: Hashable, watched: _Watched, now: float) -> None:
        written = watched.connection.written_bytes
        unread = watched.connection.unread_bytes
        if unread == 0 and watched.unread == 0:
            watched.written = written
            return
        queued = written - watched.written
        flushed = watched.unread + queued - unread
        instruction = self._buffered.record_buffered(key, queued, now)
        if flushed > 0:
            instruction = self._buffered.record_forwarded(key, flushed, now)
        watched.written = written
        watched.unread = unread
        self._apply(instruction, watched)

    @staticmethod
    def _apply(instruction: Instruction, watched: _Watched) -> None:
        must_wait = instruction is Instruction.WAIT
        if must_wait != watched.is_held:
            watched.is_held = must_wait
            watched.connection.hold_writers(is_held=must_wait)

    def _log_ending(self, ending: Ending) -> None:
        watched = self._watched.get(ending.reader)
        _log.warning(
            "answer_ended_unread",
            reason=ending.reason.value,
            caller=watched.connection.peer if watched is not None else "",
            unread_bytes=ending.held_bytes,
            stalled_s=round(ending.stalled_s, 3),
            unread_bytes_of_all=self._buffered.total,
        )

    def _end(self, ending: Ending) -> None:
        self.ended[ending.reason.value] += 1
        watched = self._watched.pop(ending.reader, None)
        if watched is not None:
            watched.connection.end(ending.reason.value)
