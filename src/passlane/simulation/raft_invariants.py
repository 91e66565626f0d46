"""What must hold in every run of a Raft group, checked as the run goes on.

Checks look at what replicas append, apply and tell their callers, across all replicas.
Each broken promise raises ``InvariantViolationError``.
"""

import bisect
from dataclasses import dataclass

from passlane.identifiers import ReplicaId
from passlane.messages.raft import EntryKind, LogEntry
from passlane.raft.log_view import RaftLog


class InvariantViolationError(Exception):
    """A promise was broken; ``name`` says which."""

    def __init__(self, name: str, details: str) -> None:
        super().__init__(f"{name}: {details}")
        self.name = name


@dataclass(frozen=True, slots=True)
class CommittedEntry:
    """An entry that some replica has applied.

    ``known_term`` is the lowest term in which a replica was seen to apply it;
    ``state_digest`` is that of the state right after it.
    """

    entry: LogEntry
    known_term: int
    state_digest: int


class RaftInvariants:
    """All that was seen in a run, and the checks on it."""

    def __init__(self) -> None:
        self.committed: list[CommittedEntry] = []
        self.acknowledged: dict[bytes, int] = {}
        self._leaders: dict[int, ReplicaId] = {}
        self._appended: dict[tuple[int, int], tuple[bytes, int]] = {}
        self._positions: dict[bytes, int] = {}
        self._refused: set[bytes] = set()
        # Times with the highest index a read that starts later has to show.
        self._visible_times: list[float] = []
        self._visible_indexes: list[int] = []

    def note_leader(self, term: int, replica_id: ReplicaId, log: RaftLog) -> None:
        """One leader a term, and its log holds all that was committed before."""
        former = self._leaders.setdefault(term, replica_id)
        if former != replica_id:
            raise InvariantViolationError(
                "one leader a term", f"{former} and {replica_id} both lead term {term}"
            )
        for committed in self.committed[log.base_index :]:
            entry = committed.entry
            if committed.known_term < term and log.term_at(entry.index) != entry.term:
                raise InvariantViolationError(
                    "committed entries stay",
                    f"{replica_id} leads term {term} without entry {entry.index} "
                    f"of term {entry.term}",
                )

    def note_appended(self, entries: tuple[LogEntry, ...], previous_term: int | None) -> None:
        """Two logs with an entry of equal index and term are equal up to it."""
        for entry in entries:
            key = (entry.index, entry.term)
            content = (entry.data, -1 if previous_term is None else previous_term)
            if self._appended.setdefault(key, content) != content:
                raise InvariantViolationError(
                    "logs match", f"entry {entry.index} of term {entry.term} differs"
                )
            previous_term = entry.term

    def note_applied(
        self, replica_id: ReplicaId, term: int, entry: LogEntry, state_digest: int
    ) -> None:
        """Committed entries and the states they lead to are the same everywhere."""
        if entry.index <= len(self.committed):
            known = self.committed[entry.index - 1]
            if known.entry != entry:
                raise InvariantViolationError(
                    "committed entries stay",
                    f"{replica_id} applied another entry {entry.index}: term {entry.term}, "
                    f"known with term {known.entry.term}",
                )
            self._check_digest(replica_id, entry.index, state_digest)
            return
        if entry.index != len(self.committed) + 1:
            raise InvariantViolationError(
                "entries apply in order", f"{replica_id} applied {entry.index} too early"
            )
        self.committed.append(CommittedEntry(entry, term, state_digest))
        if entry.kind is EntryKind.COMMAND:
            self._positions.setdefault(entry.data, entry.index)
            if entry.data in self._refused:
                raise InvariantViolationError(
                    "not run means not run", f"refused command {entry.data!r} was committed"
                )

    def note_restored(self, replica_id: ReplicaId, index: int, state_digest: int) -> None:
        """A snapshot holds the state that the entries up to it lead to."""
        self._check_digest(replica_id, index, state_digest)

    def note_acknowledged(self, command: bytes, now: float) -> None:
        """A client was told that its command is committed."""
        position = self._positions.get(command)
        if position is None:
            raise InvariantViolationError(
                "acknowledged means committed", f"{command!r} was never applied"
            )
        self.acknowledged.setdefault(command, position)
        self._note_visible(position, now)

    def note_refused(self, command: bytes) -> None:
        """A client gave up a command because each attempt was said not to have run."""
        self._refused.add(command)
        if command in self._positions:
            raise InvariantViolationError(
                "not run means not run", f"command {command!r} had been committed"
            )

    def note_read(self, invoked_at: float, applied_index: int, now: float) -> None:
        """A read shows all that was acknowledged or read before it started."""
        count = bisect.bisect_right(self._visible_times, invoked_at)
        if count and self._visible_indexes[count - 1] > applied_index:
            raise InvariantViolationError(
                "reads are linearizable",
                f"a read at entry {applied_index} misses entry {self._visible_indexes[count - 1]}",
            )
        self._note_visible(applied_index, now)

    def note_promotion(self, learner: ReplicaId, durable_index: int, commit_index: int) -> None:
        """A learner becomes a voter only when it holds durably all that is committed."""
        if durable_index < commit_index:
            raise InvariantViolationError(
                "voters have caught up",
                f"{learner} votes with {durable_index} of {commit_index} entries",
            )

    def note_voters(self, count: int, places: int | None) -> None:
        """At most one voter beyond the places, while a released one has yet to leave."""
        if places is not None and count > places + 1:
            raise InvariantViolationError(
                "the number of voters is bounded", f"{count} voters for {places} places"
            )

    def check_final_state(self, replica_id: ReplicaId, commands: set[bytes]) -> None:
        """In the end each acknowledged command is in each replica's state."""
        missing = self.acknowledged.keys() - commands
        if missing:
            raise InvariantViolationError(
                "acknowledged commands are never lost",
                f"{replica_id} lacks {len(missing)}, such as {min(missing)!r}",
            )

    def _note_visible(self, index: int, now: float) -> None:
        if self._visible_indexes:
            index = max(index, self._visible_indexes[-1])
        self._visible_times.append(now)
        self._visible_indexes.append(index)

    def _check_digest(self, replica_id: ReplicaId, index: int, state_digest: int) -> None:
        if self.committed[index - 1].state_digest != state_digest:
            raise InvariantViolationError(
                "states agree", f"{replica_id} has another state at entry {index}"
            )
