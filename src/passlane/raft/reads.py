"""Linearizable reads by read index: a heartbeat round confirms the leadership."""

from passlane.identifiers import ReplicaId
from passlane.raft.instructions import AllowRead, RejectRead
from passlane.raft.membership import is_quorum
from passlane.raft.state import ReplicaState


class ReadRounds:
    """Reads that wait for a majority to confirm the leader, one round at a time.

    A reply confirms a read only if its round began after the read was requested. Reads
    that are requested during a round therefore share the next one.

    Parameters
    ----------
    state
        The replica's shared state.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._waiting: list[int] = []
        self._confirming: list[int] = []
        self._confirmed_by: set[ReplicaId] = set()
        self._read_index = 0
        self.current_round = 0

    def request(self, token: int) -> None:
        """Queue a read."""
        self._waiting.append(token)

    def start_round(self) -> bool:
        """Start a round if reads are waiting and no round is under way.

        Returns
        -------
        bool
            Whether a round was started; the caller then sends heartbeats.
        """
        if self._confirming or not self._waiting:
            return False
        self._confirming = self._waiting
        self._waiting = []
        self._read_index = self._state.commit_index
        self._confirmed_by = {self._state.own_id}
        self.current_round += 1
        return True

    def confirm(self, replica_id: ReplicaId, read_round: int) -> None:
        """Record that a replica acknowledged the leader in a round."""
        if self._confirming and read_round >= self.current_round:
            self._confirmed_by.add(replica_id)

    def allow_confirmed(self) -> None:
        """Allow the reads of the current round if a majority has confirmed it."""
        if not self._confirming or not self._is_confirmed():
            return
        for token in self._confirming:
            self._state.emit(AllowRead(token=token, index=self._read_index))
        self._confirming = []

    def reject_all(self) -> None:
        """Reject all reads because this replica no longer leads."""
        for token in (*self._confirming, *self._waiting):
            self._state.emit(RejectRead(token=token, leader=None))
        self._confirming = []
        self._waiting = []

    def _is_confirmed(self) -> bool:
        return is_quorum(self._state.membership, self._confirmed_by)
