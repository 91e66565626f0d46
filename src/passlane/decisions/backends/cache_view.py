"""What is thought to be in one engine's prefix cache.

Cache events come late and with gaps, so the view is a hint: it decides where a call
goes, never whether it is right. A gap in the numbers marks the view as unsure until a
snapshot has come. Another incarnation of the engine means that its cache is gone.
"""

import enum
from dataclasses import dataclass

from passlane.identifiers import ProgramId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot


class CacheUpdate(enum.Enum):
    """What came of an update."""

    APPLIED = "applied"
    STALE = "stale"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class _Entry:
    tokens: int
    used_at: float


class CacheView:
    """Tokens of each program's prefix that an engine is thought to hold."""

    def __init__(self) -> None:
        self._entries: dict[ProgramId, _Entry] = {}
        self._total = 0
        self._incarnation: int | None = None
        self._last_number: int | None = None
        self._unsure = False

    @property
    def total_tokens(self) -> int:
        """Tokens held for all programs together."""
        return self._total

    @property
    def unsure(self) -> bool:
        """Whether events were missed and no snapshot has come since."""
        return self._unsure

    @property
    def oldest_used_at(self) -> float | None:
        """Local time when the entry was last used that the engine would evict next."""
        first = next(iter(self._entries.values()), None)
        return None if first is None else first.used_at

    def tokens_of(self, program_id: ProgramId) -> int:
        """Return the tokens thought to be held for a program."""
        entry = self._entries.get(program_id)
        return 0 if entry is None else entry.tokens

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs of which something is thought to be held."""
        return tuple(self._entries)

    def record(self, program_id: ProgramId, tokens: int, used_at: float) -> None:
        """Note tokens known from an own call's answer; 0 removes the program."""
        previous = self._entries.pop(program_id, None)
        if previous is not None:
            self._total -= previous.tokens
        if tokens > 0:
            self._entries[program_id] = _Entry(tokens, used_at)
            self._total += tokens

    def see_incarnation(self, incarnation: int) -> bool:
        """Note the engine's incarnation; return whether it is newer than the one known.

        A newer one empties the view, because an engine's cache ends with its process.
        """
        if self._incarnation == incarnation:
            return False
        is_restart = self._incarnation is not None and incarnation > self._incarnation
        if self._incarnation is None or is_restart:
            self._incarnation = incarnation
        if is_restart:
            self._clear()
            self._last_number = 0
            self._unsure = False
        return is_restart

    def apply_events(self, update: CacheEvents, now: float) -> CacheUpdate:
        """Apply published events; say whether some were missed before them."""
        if self._is_old(update.incarnation):
            return CacheUpdate.STALE
        self.see_incarnation(update.incarnation)
        result = CacheUpdate.APPLIED
        for event in update.events:
            if self._last_number is not None and event.number <= self._last_number:
                continue
            expected = 1 if self._last_number is None else self._last_number + 1
            if event.number != expected:
                self._unsure = True
                result = CacheUpdate.GAP
            self._last_number = event.number
            self._apply(event, now)
        return result

    def apply_snapshot(self, snapshot: CacheSnapshot, now: float) -> CacheUpdate:
        """Replace the view by the engine's whole cache."""
        if self._is_old(snapshot.incarnation):
            return CacheUpdate.STALE
        self.see_incarnation(snapshot.incarnation)
        if self._last_number is not None and snapshot.number < self._last_number:
            return CacheUpdate.STALE
        before = dict(self._entries)
        self._clear()
        for entry in snapshot.entries:
            known = before.get(entry.program_id)
            used_at = now if known is None else known.used_at
            self.record(entry.program_id, entry.tokens, used_at)
        self._last_number = snapshot.number
        self._unsure = False
        return CacheUpdate.APPLIED

    def _apply(self, event: CacheEvent, now: float) -> None:
        if event.kind is CacheEventKind.EVICTED:
            self.record(event.program_id, 0, now)
            return
        # The event may be older than the last own call, which made the prefix longer.
        tokens = max(event.tokens, self.tokens_of(event.program_id))
        self.record(event.program_id, tokens, now)

    def _is_old(self, incarnation: int) -> bool:
        return self._incarnation is not None and incarnation < self._incarnation

    def _clear(self) -> None:
        self._entries.clear()
        self._total = 0
