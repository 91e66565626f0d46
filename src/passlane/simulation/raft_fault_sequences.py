"""Sequences of faults for the simulated Raft group, each aimed at one rule of Raft.

Random single faults seldom meet in the order and within the milliseconds that a missing
rule needs to do harm. Each sequence brings that about often.
"""

from passlane.raft.membership import voters_of
from passlane.simulation.raft_fault_actions import FaultActions
from passlane.simulation.raft_faults import RANDOM_FAULTS, Fault
from passlane.simulation.raft_host import SimulatedReplicaHost

_QUICK_RESTART_S = 0.02
_PAUSE_S = 1.5
_WATCH_S = 1.0
_HEAVY_LOSS = 0.3
_ELECTION_TIMEOUTS = 3.0
_APPEND_S = 0.1
_OTHERS = 2


def _other_voters(actions: FaultActions, host: SimulatedReplicaHost) -> list[SimulatedReplicaHost]:
    """Return the voters that are up, other than a host, in random order."""
    voters = voters_of(actions.cluster.committed_membership())
    others = [
        other
        for other in actions.cluster.hosts
        if other is not host and other.replica is not None and other.disk.replica_id in voters
    ]
    actions.random.shuffle(others)
    return others


def freeze_isolated_leader(actions: FaultActions) -> None:
    """Let the leader stand still in silence while another one is elected.

    It wakes up with the reads that its clients sent meanwhile.
    """
    leader = actions.leader()
    if leader is None:
        return
    shortest_s = _ELECTION_TIMEOUTS * actions.cluster.options.election_timeout_s
    actions.freeze(leader, shortest_s)
    actions.isolate(leader, 2 * _PAUSE_S)


def crash_after_vote(actions: FaultActions) -> None:
    """Crash a replica that has voted but not synced its vote, and cut off its candidate."""
    leader = actions.leader()
    if leader is None:
        return
    voters = _other_voters(actions, leader)
    actions.lose_messages(_HEAVY_LOSS, _WATCH_S)
    actions.crash(leader, _PAUSE_S)
    for voter in voters:
        actions.slow_disk(voter, _WATCH_S)

    def has_voted(voter: SimulatedReplicaHost) -> bool:
        return voter.disk.unsynced_vote not in (None, voter.disk.replica_id)

    def crash_voter() -> None:
        for voter in voters:
            if voter.replica is not None and has_voted(voter):
                candidate = voter.disk.unsynced_vote
                actions.crash(voter, _QUICK_RESTART_S)
                for other in voters:
                    if other.disk.replica_id == candidate:
                        actions.isolate(other, _PAUSE_S)
                return

    actions.when(lambda: any(map(has_voted, voters)), crash_voter, within_s=_WATCH_S)


def lose_leader_with_one_follower(actions: FaultActions) -> None:
    """Crash a leader whose disk is slow together with the only follower it reaches."""
    leader = actions.leader()
    if leader is None:
        return
    followers = _other_voters(actions, leader)
    if not followers:
        return
    reached, silent = followers[0], followers[1:]
    actions.slow_disk(leader, _PAUSE_S)
    actions.split([leader, reached], silent, _PAUSE_S)

    def crash_both() -> None:
        actions.crash(leader, _QUICK_RESTART_S)
        actions.crash(reached, _PAUSE_S)
        actions.cluster.heal()

    actions.later(0.2, crash_both)


def grow_minority(actions: FaultActions) -> None:
    """Ask a leader that is cut off from the other voters to add all spare hosts."""
    cluster = actions.cluster
    leader = actions.leader()
    spare = [host for host in cluster.hosts if not actions.is_in_use(host)]
    if leader is None or not spare or not cluster.is_repaired():
        return
    others = [host for host in cluster.hosts if host is not leader and host not in spare]
    actions.split([leader, *spare], others, _PAUSE_S)
    for host in spare:
        cluster.joining.add(host.address)
        actions.restart(host)
        leader.add_member(host.disk.replica_id, host.address)


class LostMajority:
    """Brings a majority to hold an entry of an old term that a later leader overwrites.

    Figure 8 of the Raft paper, with three voters. The first leader appends entries that
    nobody else gets, and crashes. The second one appends an entry of its own that nobody
    else keeps, and crashes. The first one leads again and copies its old entries to the
    third voter; both crash before an entry of the new term is copied. Then the second
    one, whose entry is of a newer term, can be elected by the third.
    """

    def __init__(
        self,
        actions: FaultActions,
        first: SimulatedReplicaHost,
        others: list[SimulatedReplicaHost],
    ) -> None:
        self._actions = actions
        self._first = first
        self._others = others
        self._common_index = 0

    def start(self) -> None:
        """Let the first leader append entries that nobody else gets."""
        self._actions.isolate(self._first, _PAUSE_S)
        self._actions.after(_APPEND_S, self._lose_first)

    def _lose_first(self) -> None:
        self._common_index = max(host.disk.last_index for host in self._others)
        self._first.crash()
        self._actions.cluster.heal()
        for host in self._others:
            self._actions.slow_disk(host, 4 * _PAUSE_S)
        self._actions.when(self._is_led_again, self._lose_third, within_s=_WATCH_S)
        self._actions.after(4 * _PAUSE_S, self._restart_all)

    def _is_led_again(self) -> bool:
        return any(host.is_leader for host in self._others)

    def _lose_third(self) -> None:
        self._others.sort(key=lambda host: host.is_leader)
        third, second = self._others
        third.crash()
        replica = second.replica
        assert replica is not None

        def holds_own_entry() -> bool:
            return second.disk.last_term == replica.term

        self._actions.when(holds_own_entry, self._lose_second, within_s=_WATCH_S)

    def _lose_second(self) -> None:
        third, second = self._others
        second.crash()
        self._actions.restart(third)
        self._actions.restart(self._first)

        def is_old_entry_committed() -> bool:
            replica = self._first.replica
            return replica is not None and replica.commit_index > self._common_index

        self._actions.when(is_old_entry_committed, self._lose_majority, within_s=_PAUSE_S)

    def _lose_majority(self) -> None:
        third, second = self._others
        self._first.crash()
        third.crash()
        self._actions.restart(third)
        self._actions.restart(second)

    def _restart_all(self) -> None:
        for host in (self._first, *self._others):
            self._actions.restart(host)


def lose_majority(actions: FaultActions) -> None:
    """Start a ``LostMajority`` if the group has three voters and all are up."""
    leader = actions.leader()
    if leader is None:
        return
    others = _other_voters(actions, leader)
    if len(others) == _OTHERS and actions.cluster.is_repaired():
        LostMajority(actions, leader, others).start()


SEQUENCES: tuple[Fault, ...] = (
    freeze_isolated_leader,
    crash_after_vote,
    lose_leader_with_one_follower,
    grow_minority,
    lose_majority,
)
ALL_FAULTS: tuple[Fault, ...] = (*RANDOM_FAULTS, *SEQUENCES)
