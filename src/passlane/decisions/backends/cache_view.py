"""Estimated content of one engine's prefix cache.

Cache events arrive with delay and may be lost, so the view is only a hint for placement.
A gap in the event numbers marks the view as incomplete until a snapshot is applied. A new
incarnation of the engine starts with an empty cache.
"""

import enum
from dataclasses import dataclass

from passlane.identifiers import ProgramId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot


class CacheUpdate(enum.Enum):
    """Result of applying an update."""

    APPLIED = "applied"
    STALE = "stale"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class _Entry:
    tokens: int
    used_at: float


class CacheView:
    """Estimated number of cached tokens of each program's prefix at an engine."""

    def __init__(self) -> None:
        self._entries: dict[ProgramId, _Entry] = {}
        self._total = 0
        self._incarnation: int | None = None
        self._last_number: int | None = None
        self._has_missed_events = False

    @property
    def total_tokens(self) -> int:
        """Cached tokens of all programs together."""
        return self._total

    @property
    def has_missed_events(self) -> bool:
        """Whether events were missed and no snapshot has come since."""
        return self._has_missed_events

    @property
    def oldest_used_at(self) -> float | None:
        """Local time of the last use of the entry to be evicted next; ``None`` if empty."""
        first = next(iter(self._entries.values()), None)
        return None if first is None else first.used_at

    def tokens_of(self, program_id: ProgramId) -> int:
        """Return the estimated number of cached tokens of a program."""
        entry = self._entries.get(program_id)
        return 0 if entry is None else entry.tokens

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs that are estimated to have cached tokens."""
        return tuple(self._entries)

    def record(self, program_id: ProgramId, tokens: int, used_at: float) -> None:
        """Set a program's cached tokens, as reported by an answer; 0 removes the program."""
        previous = self._entries.pop(program_id, None)
        if previous is not None:
            self._total -= previous.tokens
        if tokens > 0:
            self._entries[program_id] = _Entry(tokens, used_at)
            self._total += tokens

    def observe_incarnation(self, incarnation: int) -> bool:
        """Record the engine's incarnation; return whether the engine has restarted.

        A restart clears the view, because the cache does not outlive the engine's process.
        """
        if self._incarnation == incarnation:
            return False
        is_restart = self._incarnation is not None and incarnation > self._incarnation
        if self._incarnation is None or is_restart:
            self._incarnation = incarnation
        if is_restart:
            self._clear()
            self._last_number = 0
            self._has_missed_events = False
        return is_restart

    def apply_events(self, update: CacheEvents, now: float) -> CacheUpdate:
        """Apply published events; return ``GAP`` if events before them were missed."""
        if self._is_stale(update.incarnation):
            return CacheUpdate.STALE
        self.observe_incarnation(update.incarnation)
        result = CacheUpdate.APPLIED
        for event in update.events:
            if self._last_number is not None and event.number <= self._last_number:
                continue
            expected = 1 if self._last_number is None else self._last_number + 1
            if event.number != expected:
                self._has_missed_events = True
                result = CacheUpdate.GAP
            self._last_number = event.number
            self._apply(event, now)
        return result

    def apply_snapshot(self, snapshot: CacheSnapshot, now: float) -> CacheUpdate:
        """Replace the view with a snapshot of the engine's cache."""
        if self._is_stale(snapshot.incarnation):
            return CacheUpdate.STALE
        self.observe_incarnation(snapshot.incarnation)
        if self._last_number is not None and snapshot.number < self._last_number:
            return CacheUpdate.STALE
        old_entries = dict(self._entries)
        self._clear()
        for entry in snapshot.entries:
            old_entry = old_entries.get(entry.program_id)
            used_at = now if old_entry is None else old_entry.used_at
            self.record(entry.program_id, entry.tokens, used_at)
        self._last_number = snapshot.number
        self._has_missed_events = False
        return CacheUpdate.APPLIED

    def _apply(self, event: CacheEvent, now: float) -> None:
        if event.kind is CacheEventKind.EVICTED:
            self.record(event.program_id, 0, now)
            return
        # The event may predate this node's last call, which extended the prefix.
        tokens = max(event.tokens, self.tokens_of(event.program_id))
        self.record(event.program_id, tokens, now)

    def _is_stale(self, incarnation: int) -> bool:
        return self._incarnation is not None and incarnation < self._incarnation

    def _clear(self) -> None:
        self._entries.clear()
        self._total = 0
