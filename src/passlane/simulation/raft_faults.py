"""Random faults for the simulated Raft group, alone and together."""

import functools
from collections.abc import Callable, Sequence

from passlane.raft.events import ReplicaDecommissioned, TransferRequested
from passlane.raft.membership import voters_of
from passlane.simulation.raft_cluster import RaftCluster
from passlane.simulation.raft_fault_actions import FaultActions

Fault = Callable[[FaultActions], None]
"""Makes something go wrong; most also arrange for its end."""

_SMALLEST_GROUP = 3
_BEARS_TWO = 5
_HEAVY_LOSS = 0.2
_WATCH_SYNC_S = 1.0
_QUICK_RESTART_S = 0.02


def crash_one(actions: FaultActions) -> None:
    """Crash a random host."""
    actions.crash(actions.pick(), 1.0)


def crash_leader(actions: FaultActions) -> None:
    """Crash the leader."""
    leader = actions.leader()
    if leader is not None:
        actions.crash(leader, 0.5)


def crash_all(actions: FaultActions) -> None:
    """Crash all hosts at once."""
    for host in actions.cluster.hosts:
        actions.crash(host, 0.5)


def crash_within_sync(actions: FaultActions) -> None:
    """Crash a random host while it writes to a disk that has become slow."""
    host = actions.pick()
    actions.slow_disk(host, _WATCH_SYNC_S)
    actions.when(
        lambda: bool(host.disk.unsynced),
        lambda: actions.crash(host, _QUICK_RESTART_S),
        within_s=_WATCH_SYNC_S,
    )


def cut_one_way(actions: FaultActions) -> None:
    """Lose all messages from one host to another."""
    cluster = actions.cluster
    sender, receiver = actions.random.sample(cluster.hosts, 2)
    cluster.note_trace(f"cut {sender.disk.replica_id} -> {receiver.disk.replica_id}")
    cluster.cut(sender, receiver)
    actions.later(1.0, cluster.heal)


def isolate_one(actions: FaultActions) -> None:
    """Cut a random host off from all others."""
    actions.isolate(actions.pick(), 1.5)


def isolate_leader(actions: FaultActions) -> None:
    """Cut the leader off from all others, and see that it steps down."""
    leader = actions.leader()
    if leader is not None:
        actions.isolate(leader, 1.5)
        actions.check_step_down(leader)


def split(actions: FaultActions) -> None:
    """Split the hosts into two random parts."""
    hosts = actions.cluster.hosts
    left = [host for host in hosts if actions.random.random() < 0.5]
    right = [host for host in hosts if host not in left]
    actions.split(left, right, 1.5)


def freeze_one(actions: FaultActions) -> None:
    """Let a random process stand still."""
    actions.freeze(actions.pick())


def freeze_leader(actions: FaultActions) -> None:
    """Let the leader's process stand still."""
    leader = actions.leader()
    if leader is not None:
        actions.freeze(leader)


def slow_disk(actions: FaultActions) -> None:
    """Let the syncs of a random host take long."""
    actions.slow_disk(actions.pick(), 2.0)


def hang_leader_disk(actions: FaultActions) -> None:
    """Let the leader's disk finish no sync for a while."""
    leader = actions.leader()
    if leader is not None:
        actions.hang_disk(leader, 3.0)


def lose_messages(actions: FaultActions) -> None:
    """Lose a good part of all messages."""
    actions.lose_messages(_HEAVY_LOSS, 1.0)


def transfer(actions: FaultActions) -> None:
    """Ask the leader to hand over, as a planned stop does."""
    leader = actions.leader()
    if leader is not None:
        actions.cluster.note_trace(f"transfer from {leader.disk.replica_id}")
        leader.deliver(TransferRequested())


def wipe_one(actions: FaultActions) -> None:
    """Lose the disk of a random host, if each voter has its disk."""
    cluster = actions.cluster
    voters = voters_of(cluster.committed_membership())
    if len(voters) < _SMALLEST_GROUP or not cluster.is_repaired():
        return
    host = actions.pick()
    cluster.note_trace(f"wipe {host.disk.replica_id}")
    cluster.wipe(host)
    actions.later(0.5, lambda: actions.restart(host))


def grow(actions: FaultActions) -> None:
    """Let one or more spare hosts join."""
    cluster = actions.cluster
    spare = [host for host in cluster.hosts if not actions.is_in_use(host)]
    if not spare or not cluster.is_repaired():
        return
    for host in spare[: actions.random.randint(1, len(spare))]:
        cluster.note_trace(f"add {host.disk.replica_id}")
        cluster.joining.add(host.address)
        actions.restart(host)


def shrink(actions: FaultActions) -> None:
    """Remove a random voter, if enough others are left."""
    cluster = actions.cluster
    voters = voters_of(cluster.committed_membership())
    if len(voters) <= _SMALLEST_GROUP or not cluster.is_repaired() or cluster.joining:
        return
    victim = actions.random.choice(voters)
    cluster.note_trace(f"remove {victim}")
    leader = actions.leader()
    if leader is not None:
        leader.remove_member(victim)


def release(actions: FaultActions) -> None:
    """Ask that a random voter be replaced and removed; it may offer itself again later."""
    leader = actions.leader()
    if leader is None:
        return
    victim = actions.random.choice(voters_of(actions.cluster.committed_membership()))
    actions.cluster.note_trace(f"release {victim}")
    leader.deliver(ReplicaDecommissioned(victim))


def wipe_two(actions: FaultActions) -> None:
    """Lose two disks of voters at once, where five vote and each has its disk."""
    cluster = actions.cluster
    voters = voters_of(cluster.committed_membership())
    if len(voters) < _BEARS_TWO or not cluster.is_repaired():
        return
    hosts = [host for host in cluster.hosts if host.disk.replica_id in voters]
    for host in actions.random.sample(hosts, 2):
        cluster.note_trace(f"wipe {host.disk.replica_id}")
        cluster.wipe(host)
        actions.later(0.5, functools.partial(actions.restart, host))


RANDOM_FAULTS: tuple[Fault, ...] = (
    crash_one,
    crash_one,
    crash_leader,
    crash_all,
    crash_within_sync,
    cut_one_way,
    isolate_one,
    isolate_leader,
    split,
    freeze_one,
    freeze_leader,
    slow_disk,
    hang_leader_disk,
    lose_messages,
    transfer,
    wipe_one,
    wipe_one,
    grow,
    shrink,
)


BOUNDED_GROUP_FAULTS: tuple[Fault, ...] = (
    *(fault for fault in RANDOM_FAULTS if fault not in (grow, shrink)),
    wipe_two,
    wipe_two,
    release,
    release,
)
"""For a group with bounded voters, where spares offer themselves all the time."""


class FaultInjector:
    """Brings about faults at random times until it is stopped.

    Parameters
    ----------
    cluster
        The group to disturb.
    faults
        What may go wrong; one that stands twice is twice as likely.
    mean_pause_s
        Mean time between two faults.
    """

    def __init__(self, cluster: RaftCluster, faults: Sequence[Fault], mean_pause_s: float) -> None:
        self._actions = FaultActions(cluster)
        self._faults = faults
        self._mean_pause_s = mean_pause_s

    def start(self) -> None:
        """Begin."""
        self._actions.later(self._mean_pause_s, self._run_one)

    def stop(self) -> None:
        """Make no more faults, and end all those under way."""
        self._actions.end_all()

    def _run_one(self) -> None:
        fault = self._actions.random.choice(self._faults)
        fault(self._actions)
        self._actions.later(self._mean_pause_s, self._run_one)
