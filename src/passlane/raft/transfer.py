"""Handing leadership over to another voter."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.raft import TimeoutNow
from passlane.raft.replication import Replicator
from passlane.raft.state import ReplicaState


class _TransferUnderWay(msgspec.Struct):
    target: ReplicaId
    deadline: float
    is_asked: bool = False


class LeadershipTransfer:
    """A leader's attempts to hand over; one is under way at a time.

    The most advanced voter is asked to stand for election as soon as it durably holds
    all that the leader's log holds. An attempt is given up after one election timeout.

    Parameters
    ----------
    state
        The replica's shared state.
    replicator
        Knows how far each follower is.
    """

    def __init__(self, state: ReplicaState, replicator: Replicator) -> None:
        self._state = state
        self._replicator = replicator
        self._under_way: _TransferUnderWay | None = None

    @property
    def is_under_way(self) -> bool:
        """Whether leadership is being handed over, so that no commands are taken."""
        return self._under_way is not None

    def request(self, now: float) -> None:
        """Start to hand leadership to the most advanced voter, unless that is under way."""
        target = self._replicator.most_advanced_voter(now)
        if self._under_way is not None or target is None:
            return
        deadline = now + self._state.config.election_timeout_s
        self._under_way = _TransferUnderWay(target=target, deadline=deadline)
        self.advance()

    def give_up_if_overdue(self, now: float) -> None:
        """Lead on if the target has not taken over in time."""
        if self._under_way is not None and now >= self._under_way.deadline:
            self._under_way = None

    def advance(self) -> None:
        """Ask the target to stand for election once it holds the whole log."""
        transfer = self._under_way
        if transfer is None or transfer.is_asked:
            return
        progress = self._replicator.followers.get(transfer.target)
        if progress is None or progress.synced_index < self._state.log.last_index:
            return
        transfer.is_asked = True
        self._send_timeout_now(transfer.target)

    def ask_at_once(self, now: float) -> None:
        """Ask the most advanced voter to stand for election, whatever it holds."""
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
