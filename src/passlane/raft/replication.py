"""Log replication by the leader: heartbeats, pipelined batches, snapshots, commit."""

from passlane.identifiers import ReplicaId
from passlane.messages.raft import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)
from passlane.raft.instructions import SendSnapshotChunk
from passlane.raft.membership import is_quorum, voters_of
from passlane.raft.progress import FollowerProgress, ReplicationMode, SnapshotTransfer
from passlane.raft.state import ReplicaState


class Replicator:
    """Replicates the leader's log to all other members.

    Parameters
    ----------
    state
        The replica's shared state.
    now
        Local time at which the election was won.
    """

    def __init__(self, state: ReplicaState, now: float) -> None:
        self._state = state
        self.followers: dict[ReplicaId, FollowerProgress] = {}
        self.update_members(now)

    def update_members(self, now: float) -> None:
        """Update the tracked followers to the newest membership."""
        state = self._state
        followers: dict[ReplicaId, FollowerProgress] = {}
        for member in state.membership.members:
            if member.replica_id == state.own_id:
                continue
            progress = self.followers.get(member.replica_id)
            if progress is None:
                progress = FollowerProgress(
                    address=member.address,
                    next_index=state.log.last_index + 1,
                    last_heard=now,
                )
            progress.address = member.address
            followers[member.replica_id] = progress
        self.followers = followers

    def send_heartbeats(self, read_round: int, now: float) -> None:
        """Send each member a heartbeat; a rejected one reveals lost entries."""
        for replica_id, progress in self.followers.items():
            self._send_empty_append(replica_id, progress, read_round)
            self._resend_chunk(replica_id, progress, now)
            self.send_entries(replica_id, read_round, now)

    def send_entries_to_all(self, read_round: int, now: float) -> None:
        """Send new entries to each member whose window is not full."""
        for replica_id in self.followers:
            self.send_entries(replica_id, read_round, now)

    def send_entries(self, replica_id: ReplicaId, read_round: int, now: float) -> None:
        """Send batches to a follower until its window is full, or start a snapshot."""
        progress = self.followers[replica_id]
        if progress.mode is ReplicationMode.SNAPSHOT:
            return
        if progress.next_index <= self._state.log.base_index:
            self._start_snapshot(replica_id, progress, now)
            return
        config = self._state.config
        while self._can_send_entries(progress):
            entries = self._state.log.batch_from(progress.next_index, config.max_batch_bytes)
            previous_index = progress.next_index - 1
            request = self._append_request(replica_id, previous_index, read_round, entries)
            self._state.send(progress.address, request)
            progress.record_sent(entries[-1].index)

    def handle_append_reply(self, reply: AppendReply, read_round: int, now: float) -> None:
        """Record a follower's acknowledgement, or probe for its matching index."""
        progress = self.followers[reply.sender]
        if reply.success:
            progress.acknowledge(reply.synced_index)
        elif progress.reject(reply.refused_index, reply.conflict_index):
            self._probe(reply.sender, progress, read_round, now)
        self.send_entries(reply.sender, read_round, now)

    def handle_snapshot_reply(self, reply: SnapshotReply, read_round: int, now: float) -> None:
        """Send the next chunk, or continue with entries once the snapshot is durable."""
        progress = self.followers[reply.sender]
        if reply.installed:
            progress.acknowledge(reply.last_index)
            self.send_entries(reply.sender, read_round, now)
            return
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.last_index != reply.last_index:
            return
        if reply.next_offset != transfer.next_offset:
            transfer.next_offset = min(reply.next_offset, len(transfer.snapshot.data))
            self._send_chunk(reply.sender, progress, transfer, now)

    def advance_commit(self) -> bool:
        """Commit entries that are durable on a majority; return whether the index advanced.

        Only an entry of the leader's own term is committed by counting replicas. Entries of
        older terms are committed together with it; otherwise a later leader could still
        overwrite them (section 5.4.2 of the Raft paper).
        """
        state = self._state
        index = self._majority_index()
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return False
        state.commit(index)
        return True

    def is_quorum_active(self, now: float) -> bool:
        """Return whether a majority of voters responded within an election timeout."""
        horizon = now - self._state.config.election_timeout_s
        active = {name for name, f in self.followers.items() if f.last_heard >= horizon}
        active.add(self._state.own_id)
        return is_quorum(self._state.membership, active)

    def most_advanced_voter(self, now: float) -> ReplicaId | None:
        """Return the responsive voter, other than the leader, with the highest durable index."""
        horizon = now - self._state.config.election_timeout_s
        candidates = [
            (self.followers[voter].synced_index, voter)
            for voter in voters_of(self._state.membership)
            if voter in self.followers and self.followers[voter].last_heard >= horizon
        ]
        return max(candidates)[1] if candidates else None

    def is_follower_ahead(self, now: float) -> bool:
        """Return whether a responsive voter has a higher durable index than the leader."""
        voter = self.most_advanced_voter(now)
        return (
            voter is not None and self.followers[voter].synced_index > self._state.log.synced_index
        )

    def _majority_index(self) -> int:
        state = self._state
        synced = [self._synced_index_of(voter) for voter in voters_of(state.membership)]
        synced.sort(reverse=True)
        return synced[len(synced) // 2] if synced else 0

    def _synced_index_of(self, voter: ReplicaId) -> int:
        if voter == self._state.own_id:
            return self._state.log.synced_index
        return self.followers[voter].synced_index

    def _can_send_entries(self, progress: FollowerProgress) -> bool:
        return (
            progress.mode is ReplicationMode.PIPELINE
            and progress.next_index <= self._state.log.last_index
            and len(progress.in_flight) < self._state.config.max_in_flight_batches
        )

    def _probe(
        self, replica_id: ReplicaId, progress: FollowerProgress, read_round: int, now: float
    ) -> None:
        if progress.next_index <= self._state.log.base_index:
            self._start_snapshot(replica_id, progress, now)
        else:
            self._send_empty_append(replica_id, progress, read_round)

    def _send_empty_append(
        self, replica_id: ReplicaId, progress: FollowerProgress, read_round: int
    ) -> None:
        # During a snapshot transfer the matching index is unknown. An empty request at
        # previous index 0 always matches and still serves as a heartbeat.
        is_snapshot = progress.mode is ReplicationMode.SNAPSHOT
        previous_index = 0 if is_snapshot else progress.next_index - 1
        if self._state.log.term_at(previous_index) is None:
            previous_index = 0
        request = self._append_request(replica_id, previous_index, read_round)
        self._state.send(progress.address, request)

    def _append_request(
        self,
        replica_id: ReplicaId,
        previous_index: int,
        read_round: int,
        entries: tuple[LogEntry, ...] = (),
    ) -> AppendRequest:
        state = self._state
        previous_term = state.log.term_at(previous_index) if previous_index > 0 else 0
        assert previous_term is not None
        return AppendRequest(
            **state.header_to(replica_id),
            term=state.term,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=state.commit_index,
            entries=entries,
            read_round=read_round,
        )

    def _start_snapshot(
        self, replica_id: ReplicaId, progress: FollowerProgress, now: float
    ) -> None:
        snapshot = self._state.snapshot
        assert snapshot is not None, "the log was compacted without a snapshot"
        transfer = progress.start_snapshot(snapshot, now)
        self._send_chunk(replica_id, progress, transfer, now)

    def _resend_chunk(self, replica_id: ReplicaId, progress: FollowerProgress, now: float) -> None:
        transfer = progress.transfer
        if transfer is None:
            return
        if now - transfer.sent_at >= self._state.config.election_timeout_s:
            self._send_chunk(replica_id, progress, transfer, now)

    def _send_chunk(
        self,
        replica_id: ReplicaId,
        progress: FollowerProgress,
        transfer: SnapshotTransfer,
        now: float,
    ) -> None:
        state = self._state
        snapshot = transfer.snapshot
        end = transfer.next_offset + state.config.snapshot_chunk_bytes
        transfer.sent_at = now
        request = SnapshotRequest(
            **state.header_to(replica_id),
            term=state.term,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership,
            offset=transfer.next_offset,
            data=b"",
            is_last=end >= len(snapshot.data),
        )
        state.emit(SendSnapshotChunk(progress.address, request, snapshot.data, end))
