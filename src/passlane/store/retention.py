"""Removes the records of ended programs after the retention time.

Runs on every replica, so that a change of leader starts no retention time anew; only the leader
removes records. The times at which programs ended are not replicated.
"""

import anyio

from passlane.identifiers import ProgramId
from passlane.messages.store import RemoveEndedPrograms
from passlane.replication.interfaces import ReplicatedGroup
from passlane.store.machine import StoreStateMachine
from passlane.store.proposals import propose_until_decided

DEFAULT_RETENTION_S = 3_600.0
"""Time for which an ended program can still be read and its calls repeated."""

CHECK_INTERVAL_S = 10.0
"""Interval between two checks for programs to remove."""

MAX_REMOVALS_PER_COMMAND = 500
"""Maximum number of programs that one command removes, to bound its execution time."""


class RetentionTracker:
    """Tracks how long each ended program has been removable.

    No timestamps are replicated. Each replica counts from its own first check after a start, so
    a record may be kept for longer than the retention time but never for less.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._first_seen_at: dict[ProgramId, float] = {}

    def due(self, removable: list[ProgramId], now: float) -> list[ProgramId]:
        """Return the programs of ``removable`` whose retention time has passed."""
        self._first_seen_at = {
            program_id: self._first_seen_at.get(program_id, now) for program_id in removable
        }
        return [
            program_id
            for program_id in removable
            if now - self._first_seen_at[program_id] >= self._retention_s
        ]


class RetentionLoop:
    """Tracks ended programs, and removes due ones while this replica leads."""

    def __init__(
        self, group: ReplicatedGroup, machine: StoreStateMachine, retention_s: float
    ) -> None:
        self._group = group
        self._machine = machine
        self._tracker = RetentionTracker(retention_s)

    async def run(self) -> None:
        """Check for due programs periodically until cancelled."""
        while True:
            due = self._tracker.due(self._removable(), anyio.current_time())
            for start in range(0, len(due), MAX_REMOVALS_PER_COMMAND):
                batch = tuple(due[start : start + MAX_REMOVALS_PER_COMMAND])
                await propose_until_decided(self._group, RemoveEndedPrograms(program_ids=batch))
            await anyio.sleep(CHECK_INTERVAL_S)

    def _removable(self) -> list[ProgramId]:
        """Return the ended and settled programs, with sub-agents before their parents."""
        ended = [
            program.program_id
            for program in self._machine.programs
            if program.is_ended and program.is_settled
        ]
        ended.reverse()
        return ended
