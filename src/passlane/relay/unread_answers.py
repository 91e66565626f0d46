"""Watches what a node's callers leave unread, and ends the connections of those that stopped.

Owns what was seen of each connection. ``decisions.admission.held_bytes`` decides; the line
``answer_ended_unread`` tells.
"""

from collections import Counter
from collections.abc import Hashable

import msgspec

from passlane.decisions.admission.held_bytes import Ending, HeldBytes, HeldBytesBounds, Instruction
from passlane.observability.logging import get_logger
from passlane.runtime.interfaces import WatchedConnection

MOST_LOGGED_ENDINGS = 20
"""Lines for the endings of one look; a line tells how many there were beyond. Not measured;
chosen."""

LONGEST_GAP_S = 1.0
"""Seconds. After a longer time between two looks, this process was held up, not its callers. Not
measured; chosen."""

_log = get_logger(__name__)


class _Watched(msgspec.Struct):
    """What was seen of a connection at the last look."""

    connection: WatchedConnection
    written: int = 0
    unread: int = 0
    is_held: bool = False


class UnreadAnswers:
    """Implements ``runtime.interfaces.ConnectionWatch``.

    Attributes
    ----------
    ended
        Connections that were ended, by reason.
    """

    def __init__(self, bounds: HeldBytesBounds) -> None:
        self._held = HeldBytes(bounds)
        self._watched: dict[Hashable, _Watched] = {}
        self._looked_at: float | None = None
        self.ended: Counter[str] = Counter()

    @property
    def held_bytes(self) -> int:
        """Bytes that all callers have left unread, by the last look."""
        return self._held.total

    def replace_bounds(self, bounds: HeldBytesBounds) -> None:
        """Decide by other bounds from the next look on."""
        self._held.replace_bounds(bounds)

    def opened(self, connection: WatchedConnection) -> None:
        """Watch a connection."""
        self._watched[id(connection)] = _Watched(connection)

    def closed(self, connection: WatchedConnection) -> None:
        """Watch a connection no longer."""
        self._watched.pop(id(connection), None)
        self._held.closed(id(connection))

    def look(self, now: float) -> None:
        """Look at all connections once, and do what is decided."""
        if self._looked_at is not None and now - self._looked_at > LONGEST_GAP_S:
            self._held.skip(now - self._looked_at)
        self._looked_at = now
        for key, watched in self._watched.items():
            self._look_at(key, watched, now)
        endings = self._held.check(now)
        for ending in endings[:MOST_LOGGED_ENDINGS]:
            self._log_ending(ending)
        if len(endings) > MOST_LOGGED_ENDINGS:
            _log.warning("more_answers_ended", count=len(endings) - MOST_LOGGED_ENDINGS)
        for ending in endings:
            self._end(ending)

    def _look_at(self, key: Hashable, watched: _Watched, now: float) -> None:
        written = watched.connection.written_bytes
        unread = watched.connection.unread_bytes
        if unread == 0 and watched.unread == 0:
            watched.written = written
            return
        taken = written - watched.written
        passed_on = watched.unread + taken - unread
        instruction = self._held.taken(key, taken, now)
        if passed_on > 0:
            instruction = self._held.passed_on(key, passed_on, now)
        watched.written = written
        watched.unread = unread
        self._obey(instruction, watched)

    @staticmethod
    def _obey(instruction: Instruction, watched: _Watched) -> None:
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
            unread_bytes_of_all=self._held.total,
        )

    def _end(self, ending: Ending) -> None:
        self.ended[ending.reason.value] += 1
        watched = self._watched.pop(ending.reader, None)
        if watched is not None:
            watched.connection.end(ending.reason.value)
