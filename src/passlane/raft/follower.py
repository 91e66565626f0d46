"""The follower: appends entries and installs snapshots from the leader, and replies."""

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address
from passlane.messages.raft import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)
from passlane.raft.membership import address_of
from passlane.raft.progress import Snapshot
from passlane.raft.snapshot_data import ReceivedSnapshotData, SnapshotData
from passlane.raft.state import ReplicaState


class SnapshotAssembly:
    """Assembles a snapshot from its chunks.

    Parameters
    ----------
    last_index, last_term
        Last entry in the snapshot; a chunk of another snapshot starts a new assembly.
    """

    def __init__(self, last_index: int, last_term: int) -> None:
        self.last_index = last_index
        self.last_term = last_term
        self.data = ReceivedSnapshotData()

    def add(self, request: SnapshotRequest) -> bool:
        """Add the next chunk and return whether the snapshot is complete.

        A chunk at any other offset is ignored.
        """
        if request.offset != len(self.data):
            return False
        self.data.append(request.data)
        return request.is_last


class Follower:
    """The part of a replica that follows the leader of the current term.

    Entries are acknowledged only if they match the leader's log and are durable.

    Parameters
    ----------
    state
        The replica's shared state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._followed_term = 0
        self._matched_index = 0
        self._read_round = 0
        self._assembly: SnapshotAssembly | None = None

    def handle_append(self, request: AppendRequest) -> None:
        """Append entries from the leader, or reject them with a conflict index."""
        self._reset_on_new_term()
        self._read_round = max(self._read_round, request.read_round)
        if not self._matches(request):
            self._reject_append(request)
            return
        end_index = request.previous_index + len(request.entries)
        self._append_missing_entries(request.entries)
        self._matched_index = max(self._matched_index, end_index)
        self._state.commit(min(request.commit_index, self._matched_index))
        if self._should_reply_now(request):
            self._reply_append(request.sender, success=True)

    def handle_snapshot(self, request: SnapshotRequest) -> None:
        """Handle one chunk of a snapshot."""
        self._reset_on_new_term()
        state = self._state
        if self._covers(request):
            self._matched_index = max(self._matched_index, request.last_index)
            state.commit(request.last_index)
            if state.log.synced_index >= request.last_index:
                self._reply_snapshot(request.sender, request.last_index, installed=True)
            return
        assembly = self._assembly_for(request)
        if assembly.add(request):
            self._install(request, assembly.data)
            return
        self._reply_snapshot(request.sender, request.last_index, installed=False)

    def acknowledge_synced(self) -> None:
        """Acknowledge entries that have become durable."""
        self._reset_on_new_term()
        leader_id = self._state.leader_id
        if leader_id is not None and self._matched_index > 0:
            self._reply_append(leader_id, success=True)

    def acknowledge_snapshot(self, last_index: int) -> None:
        """Acknowledge a snapshot that has become durable."""
        self._reset_on_new_term()
        leader_id = self._state.leader_id
        if leader_id is not None and self._matched_index >= last_index:
            self._reply_snapshot(leader_id, last_index, installed=True)

    def reject_stale_leader(self, request: AppendRequest) -> None:
        """Reject the request of a leader of an older term."""
        self._reset_on_new_term()
        self._reply_append(request.sender, success=False, address=request.sender_address)

    def _reject_append(self, request: AppendRequest) -> None:
        """Reject entries whose previous entry does not match."""
        refused_index = request.previous_index
        self._reply_append(
            request.sender,
            success=False,
            refused_index=refused_index,
            conflict_index=self._conflict_index(refused_index),
        )

    def _reset_on_new_term(self) -> None:
        """Reset what was tracked about the previous leader's log if the term has changed."""
        if self._followed_term == self._state.term:
            return
        self._followed_term = self._state.term
        self._matched_index = 0
        self._read_round = 0
        self._assembly = None

    def _matches(self, request: AppendRequest) -> bool:
        log = self._state.log
        if request.previous_index <= log.base_index:
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _conflict_index(self, previous_index: int) -> int:
        """Return the first index that may differ: the start of the conflicting term.

        It is never before the first uncommitted index.
        """
        log = self._state.log
        if previous_index > log.last_index:
            return log.last_index + 1
        first_index = log.first_index_of_term(previous_index)
        return max(first_index, self._state.commit_index + 1)

    def _append_missing_entries(self, entries: tuple[LogEntry, ...]) -> None:
        log = self._state.log
        for position, entry in enumerate(entries):
            is_in_log = entry.index <= log.base_index or log.term_at(entry.index) == entry.term
            if not is_in_log:
                self._state.append_entries(entries[position:])
                return

    def _should_reply_now(self, request: AppendRequest) -> bool:
        """Return whether to reply now; otherwise the reply is sent after the sync."""
        end_index = request.previous_index + len(request.entries)
        return not request.entries or self._state.log.synced_index >= end_index

    def _acknowledged_index(self) -> int:
        """Return the last index that matches the leader's log and is durable."""
        return min(self._state.log.synced_index, self._matched_index)

    def _covers(self, request: SnapshotRequest) -> bool:
        """Return whether the log already contains all entries in the snapshot."""
        state = self._state
        if request.last_index <= state.commit_index:
            return True
        return state.log.term_at(request.last_index) == request.last_term

    def _assembly_for(self, request: SnapshotRequest) -> SnapshotAssembly:
        assembly = self._assembly
        wanted = (request.last_index, request.last_term)
        if assembly is None or (assembly.last_index, assembly.last_term) != wanted:
            assembly = SnapshotAssembly(*wanted)
            self._assembly = assembly
        return assembly

    def _install(self, request: SnapshotRequest, data: SnapshotData) -> None:
        self._assembly = None
        self._matched_index = request.last_index
        snapshot = Snapshot(request.last_index, request.last_term, request.membership, data)
        self._state.install_snapshot(snapshot)

    def _reply_append(
        self,
        receiver: ReplicaId,
        *,
        success: bool,
        refused_index: int = 0,
        conflict_index: int = 0,
        address: Address | None = None,
    ) -> None:
        state = self._state
        address = address or self._address_of(receiver)
        if address is None:
            return
        reply = AppendReply(
            **state.header_to(receiver),
            term=state.term,
            success=success,
            synced_index=self._acknowledged_index(),
            refused_index=refused_index,
            conflict_index=conflict_index,
            read_round=self._read_round,
        )
        state.send(address, reply)

    def _reply_snapshot(self, receiver: ReplicaId, last_index: int, *, installed: bool) -> None:
        state = self._state
        address = self._address_of(receiver)
        if address is None:
            return
        next_offset = len(self._assembly.data) if self._assembly is not None else 0
        reply = SnapshotReply(
            **state.header_to(receiver),
            term=state.term,
            last_index=last_index,
            next_offset=next_offset,
            installed=installed,
        )
        state.send(address, reply)

    def _address_of(self, replica_id: ReplicaId) -> Address | None:
        state = self._state
        if replica_id == state.leader_id:
            return state.leader_address
        return address_of(state.membership, replica_id)
