"""Removes the records of ended programs some time after their end."""

import anyio

from passlane.identifiers import ProgramId
from passlane.messages.store import RemoveEndedPrograms
from passlane.replication.interfaces import ReplicatedGroup
from passlane.store.machine import StoreStateMachine
from passlane.store.proposals import propose_until_decided

DEFAULT_RETENTION_S = 3_600.0
"""Seconds for which an ended program can still be read and its calls repeated."""

SWEEP_S = 10.0
"""Seconds between two looks at the ended programs."""

MAX_REMOVED_AT_ONCE = 500
"""Most programs that one command removes, to bound the time it takes to apply."""


class RetentionTracker:
    """Knows since when each ended program has been seen as ended; plain logic.

    No clock value is replicated: a new store leader counts from its own first look, so
    a record may stay longer than the retention but never shorter.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._seen_at: dict[ProgramId, float] = {}

    def due(self, removable: list[ProgramId], now: float) -> list[ProgramId]:
        """Return the programs of ``removable`` whose retention has passed."""
        self._seen_at = {program_id: self._seen_at.get(program_id, now) for program_id in removable}
        return [
            program_id
            for program_id in removable
            if now - self._seen_at[program_id] >= self._retention_s
        ]


class RetentionLoop:
    """Runs on the store leader."""

    def __init__(
        self, group: ReplicatedGroup, machine: StoreStateMachine, retention_s: float
    ) -> None:
        self._group = group
        self._machine = machine
        self._tracker = RetentionTracker(retention_s)

    async def run(self) -> None:
        """Remove what is due, again and again, until cancelled."""
        while True:
            due = self._tracker.due(self._removable(), anyio.current_time())
            for start in range(0, len(due), MAX_REMOVED_AT_ONCE):
                batch = tuple(due[start : start + MAX_REMOVED_AT_ONCE])
                await propose_until_decided(self._group, RemoveEndedPrograms(program_ids=batch))
            await anyio.sleep(SWEEP_S)

    def _removable(self) -> list[ProgramId]:
        """Return the ended and settled programs, sub-agents before their parents."""
        ended = [
            program.program_id
            for program in self._machine.programs
            if program.is_ended and program.is_settled
        ]
        ended.reverse()
        return ended
