"""The prefix cache of an emulated engine: whole programs, least recently used goes first."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from passlane.identifiers import ProgramId
from passlane.messages.backends import CacheEventKind

CacheListener = Callable[[CacheEventKind, ProgramId, int, float], None]
"""Told of ``(kind, program, tokens, now)`` whenever an entry is stored or evicted."""


@dataclass(slots=True)
class _Entry:
    """Memory of one program: ``tokens`` are valid, ``allocated`` are set aside."""

    tokens: int = 0
    allocated: int = 0
    users: int = 0
    pinned_until: float = 0.0


class PrefixCache:
    """Memory for running requests and for the prefixes that are kept afterwards.

    Parameters
    ----------
    capacity
        Size in tokens.
    listener
        Told of each change that other processes may want to know.
    """

    def __init__(self, capacity: int, listener: CacheListener) -> None:
        self._capacity = capacity
        self._listener = listener
        self._entries: OrderedDict[ProgramId, _Entry] = OrderedDict()
        self._allocated = 0

    @property
    def allocated_tokens(self) -> int:
        """Tokens of memory in use, by running requests and kept prefixes."""
        return self._allocated

    def tokens_by_program(self) -> Mapping[ProgramId, int]:
        """Return the valid tokens held for each program."""
        return {program: entry.tokens for program, entry in self._entries.items()}

    def tokens_of(self, program_id: ProgramId) -> int:
        """Return the valid tokens held for a program; 0 if there are none."""
        entry = self._entries.get(program_id)
        return entry.tokens if entry is not None else 0

    def held_programs(self) -> int:
        """Return for how many programs memory is held."""
        return len(self._entries)

    def begin_use(self, program_id: ProgramId, needed: int, now: float) -> bool:
        """Set ``needed`` tokens aside for a request; return whether there was room."""
        entry = self._entries.get(program_id)
        allocated = entry.allocated if entry is not None else 0
        extra = max(0, needed - allocated)
        if not self._make_room(extra, program_id, now):
            return False
        if entry is None:
            entry = self._entries[program_id] = _Entry()
        self._resize(entry, allocated + extra)
        entry.users += 1
        self._entries.move_to_end(program_id)
        return True

    def end_use(self, program_id: ProgramId, tokens: int, now: float) -> None:
        """A request ended with ``tokens`` computed, which are kept as the prefix."""
        entry = self._entries.get(program_id)
        if entry is None:
            return
        entry.users -= 1
        entry.tokens = max(entry.tokens, min(tokens, entry.allocated))
        if entry.users == 0:
            self._resize(entry, entry.tokens)
        self._entries.move_to_end(program_id)
        self._listener(CacheEventKind.STORED, program_id, entry.tokens, now)

    def store(self, program_id: ProgramId, tokens: int, now: float) -> bool:
        """Keep an imported prefix; return whether there was room."""
        if not self.begin_use(program_id, tokens, now):
            return False
        self.end_use(program_id, tokens, now)
        return True

    def pin(self, program_id: ProgramId, until: float) -> None:
        """Keep a program's entry from eviction until a time."""
        entry = self._entries.get(program_id)
        if entry is not None:
            entry.pinned_until = max(entry.pinned_until, until)

    def release(self, program_id: ProgramId, now: float) -> None:
        """Drop all that is held for a program."""
        entry = self._entries.pop(program_id, None)
        if entry is None:
            return
        self._resize(entry, 0)
        self._listener(CacheEventKind.EVICTED, program_id, entry.tokens, now)

    def _make_room(self, extra: int, keep: ProgramId, now: float) -> bool:
        """Evict least recently used entries until ``extra`` tokens fit."""
        if self._allocated + extra <= self._capacity:
            return True
        victims = self._victims(self._allocated + extra - self._capacity, keep, now)
        for program_id in victims:
            self.release(program_id, now)
        return bool(victims)

    def _victims(self, missing: int, keep: ProgramId, now: float) -> list[ProgramId]:
        """Return the entries to evict for ``missing`` tokens; none if they don't suffice."""
        victims: list[ProgramId] = []
        for program_id, entry in self._entries.items():
            if missing <= 0:
                break
            if entry.users or entry.pinned_until > now or program_id == keep:
                continue
            victims.append(program_id)
            missing -= entry.allocated
        return victims if missing <= 0 else []

    def _resize(self, entry: _Entry, allocated: int) -> None:
        """Change what an entry has set aside."""
        self._allocated += allocated - entry.allocated
        entry.allocated = allocated
