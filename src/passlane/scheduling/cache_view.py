"""What is thought to be in one engine's prefix cache.

Cache events come late and with gaps, so the view is a hint: it decides where a call
goes, never whether it is right. A gap in the numbers marks the view as unsure until a
snapshot has come. Another incarnation of the engine means that its cache is gone.
"""

import enum

from passlane.identifiers import ProgramId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot


class CacheUpdate(enum.Enum):
    """What came of an update."""

    APPLIED = "applied"
    STALE = "stale"
    GAP = "gap"


class CacheView:
    """Tokens of each program's prefix that an engine is thought to hold."""

    def __init__(self) -> None:
        self._tokens: dict[ProgramId, int] = {}
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
    def incarnation(self) -> int | None:
        """Incarnation that the view is of; ``None`` until one was seen."""
        return self._incarnation

    def tokens_of(self, program_id: ProgramId) -> int:
        """Return the tokens thought to be held for a program."""
        return self._tokens.get(program_id, 0)

    def programs(self) -> tuple[ProgramId, ...]:
        """Return the programs of which something is thought to be held."""
        return tuple(self._tokens)

    def record(self, program_id: ProgramId, tokens: int) -> None:
        """Note tokens known from an own call's answer; 0 removes the program."""
        previous = self._tokens.pop(program_id, 0)
        self._total -= previous
        if tokens > 0:
            self._tokens[program_id] = tokens
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

    def apply_events(self, update: CacheEvents) -> CacheUpdate:
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
            self._apply(event)
        return result

    def apply_snapshot(self, snapshot: CacheSnapshot) -> CacheUpdate:
        """Replace the view by the engine's whole cache."""
        if self._is_old(snapshot.incarnation):
            return CacheUpdate.STALE
        self.see_incarnation(snapshot.incarnation)
        if self._last_number is not None and snapshot.number < self._last_number:
            return CacheUpdate.STALE
        self._clear()
        for entry in snapshot.entries:
            self.record(entry.program_id, entry.tokens)
        self._last_number = snapshot.number
        self._unsure = False
        return CacheUpdate.APPLIED

    def _apply(self, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.EVICTED:
            self.record(event.program_id, 0)
            return
        # The event may be older than the last own call, which made the prefix longer.
        self.record(event.program_id, max(event.tokens, self.tokens_of(event.program_id)))

    def _is_old(self, incarnation: int) -> bool:
        return self._incarnation is not None and incarnation < self._incarnation

    def _clear(self) -> None:
        self._tokens.clear()
        self._total = 0
