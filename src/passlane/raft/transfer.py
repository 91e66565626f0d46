"""Leadership transfer to another voter."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.raft import TimeoutNow
from passlane.raft.replication import Replicator
from passlane.raft.state import ReplicaState


class _PendingTransfer(msgspec.Struct):
    target: ReplicaId
    deadline: float
    is_asked: bool = False


class LeadershipTransfer:
    """Leadership transfers of one leader; one is under way at a time.

    The target is the most advanced voter. It gets ``TimeoutNow`` as soon as all entries of
    the leader's log are durable on it. A transfer is aborted after one election timeout.

    Parameters
    ----------
    state
        The replica's shared state.
    replicator
        Tracks the progress of each follower.
    """

    def __init__(self, state: ReplicaState, replicator: Replicator) -> None:
        self._state = state
        self._replicator = replicator
        self._pending: _PendingTransfer | None = None

    @property
    def is_under_way(self) -> bool:
        """Whether a transfer is under way; commands are rejected meanwhile."""
        return self._pending is not None

    def request(self, now: float) -> None:
        """Start a transfer to the most advanced voter, unless one is under way."""
        target = self._replicator.most_advanced_voter(now)
        if self._pending is not None or target is None:
            return
        deadline = now + self._state.config.election_timeout_s
        self._pending = _PendingTransfer(target=target, deadline=deadline)
        self.advance()

    def abort_if_overdue(self, now: float) -> None:
        """Abort the transfer if its deadline has passed, and continue to lead."""
        if self._pending is not None and now >= self._pending.deadline:
            self._pending = None

    def advance(self) -> None:
        """Send ``TimeoutNow`` once the whole log is durable on the target."""
        transfer = self._pending
        if transfer is None or transfer.is_asked:
            return
        progress = self._replicator.followers.get(transfer.target)
        if progress is None or progress.synced_index < self._state.log.last_index:
            return
        transfer.is_asked = True
        self._send_timeout_now(transfer.target)

    def transfer_now(self, now: float) -> None:
        """Send ``TimeoutNow`` to the most advanced voter without waiting for its log."""
        target = self._replicator.most_advanced_voter(now)
        if target is not None:
            self._send_timeout_now(target)

    def _send_timeout_now(self, target: ReplicaId) -> None:
        state = self._state
        message = TimeoutNow(
            **state.header_to(target),
            term=state.term,
        )
        state.send(self._replicator.followers[target].address, message)
