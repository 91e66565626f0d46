"""What a fault of the simulated Raft group is made of: crashes, cuts, freezes, timers."""

import random as random_module
from collections.abc import Callable

from passlane.simulation.raft_cluster import RaftCluster
from passlane.simulation.raft_host import SimulatedReplicaHost
from passlane.simulation.raft_invariants import InvariantViolationError

SLOW_DISK_FACTOR = 100.0
_STEP_DOWN_TIMEOUTS = 3.0
_WATCH_EVERY_S = 0.001


class FaultActions:
    """Single actions on a cluster, until the faults end.

    Parameters
    ----------
    cluster
        The group to disturb.

    Attributes
    ----------
    random
        Source of all choices.
    is_stopped
        Whether the faults have ended, so that nothing more may go wrong.
    """

    def __init__(self, cluster: RaftCluster) -> None:
        self.cluster = cluster
        self.random = random_module.Random(cluster.random.random())
        self.is_stopped = False

    def end_all(self) -> None:
        """End all faults under way and start what is down."""
        self.is_stopped = True
        cluster = self.cluster
        cluster.heal()
        cluster.loss_fraction = 0.0
        for host in cluster.hosts:
            host.sync_slowdown = 1.0
            host.disk_hangs_until = 0.0
            if host.replica is None and self.is_in_use(host):
                host.start()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a time, unless the faults have ended by then."""

        def run() -> None:
            if not self.is_stopped:
                action()

        self.cluster.schedule(self.cluster.now + delay_s, run)

    def later(self, mean_s: float, action: Callable[[], None]) -> None:
        """Do something after a random time, unless the faults have ended by then."""
        self.after(self.random.expovariate(1.0 / mean_s), action)

    def when(
        self, condition: Callable[[], bool], action: Callable[[], None], *, within_s: float
    ) -> None:
        """Do something as soon as a condition is seen to hold, or never."""
        until = self.cluster.now + within_s

        def watch() -> None:
            if condition():
                action()
            elif self.cluster.now < until:
                self.after(_WATCH_EVERY_S, watch)

        watch()

    def is_in_use(self, host: SimulatedReplicaHost) -> bool:
        """Return whether a host belongs to the group or wants to."""
        cluster = self.cluster
        members = {m.replica_id for m in cluster.committed_membership().members}
        return host.disk.replica_id in members or host.address in cluster.joining

    def pick(self) -> SimulatedReplicaHost:
        """Return a random host that is in use."""
        return self.random.choice([h for h in self.cluster.hosts if self.is_in_use(h)])

    def leader(self) -> SimulatedReplicaHost | None:
        """Return the leader of the newest term."""
        leaders = self.cluster.leaders
        return leaders[-1] if leaders else None

    def crash(self, host: SimulatedReplicaHost, mean_down_s: float) -> None:
        """Crash a host and start it again after a random time."""
        if host.replica is None:
            return
        self.cluster.note_trace(f"crash {host.disk.replica_id}")
        host.crash()
        self.later(mean_down_s, lambda: self.restart(host))

    def restart(self, host: SimulatedReplicaHost) -> None:
        """Start a host that is down."""
        if host.replica is None:
            self.cluster.note_trace(f"restart {host.disk.replica_id}")
            host.start()

    def freeze(self, host: SimulatedReplicaHost, shortest_s: float = 0.0) -> None:
        """Let a process stand still for a random time with a mean of a second."""
        self.cluster.note_trace(f"freeze {host.disk.replica_id}")
        host.frozen_until = self.cluster.now + shortest_s + self.random.expovariate(1.0)

    def isolate(self, host: SimulatedReplicaHost, mean_s: float) -> None:
        """Cut a host off from all others."""
        self.cluster.note_trace(f"isolate {host.disk.replica_id}")
        self.cluster.isolate(host)
        self.later(mean_s, self.cluster.heal)

    def split(
        self,
        left: list[SimulatedReplicaHost],
        right: list[SimulatedReplicaHost],
        mean_s: float,
    ) -> None:
        """Cut two sets of hosts off from each other."""
        self.cluster.note_trace(f"split off {[host.disk.replica_id for host in left]}")
        for one in left:
            for other in right:
                self.cluster.cut(one, other)
                self.cluster.cut(other, one)
        self.later(mean_s, self.cluster.heal)

    def slow_disk(self, host: SimulatedReplicaHost, mean_s: float) -> None:
        """Let the syncs of a host take long."""
        self.cluster.note_trace(f"slow disk {host.disk.replica_id}")
        host.sync_slowdown = SLOW_DISK_FACTOR

        def end() -> None:
            host.sync_slowdown = 1.0

        self.later(mean_s, end)

    def hang_disk(self, host: SimulatedReplicaHost, mean_s: float) -> None:
        """Let no sync of a host end for a random time."""
        self.cluster.note_trace(f"disk of {host.disk.replica_id} hangs")
        host.disk_hangs_until = self.cluster.now + self.random.expovariate(1.0 / mean_s)

    def lose_messages(self, fraction: float, mean_s: float) -> None:
        """Lose a share of all messages."""
        self.cluster.loss_fraction = fraction

        def end() -> None:
            self.cluster.loss_fraction = 0.0

        self.later(mean_s, end)

    def check_step_down(self, leader: SimulatedReplicaHost) -> None:
        """See that a leader in silence stops believing that it leads."""
        cluster = self.cluster
        replica = leader.replica
        assert replica is not None
        term = replica.term
        heals = cluster.heals
        # Answers that were under way when the silence began still count for the leader,
        # and so do those that gathered up while it was frozen.
        timeouts_s = _STEP_DOWN_TIMEOUTS * cluster.options.election_timeout_s
        wait_s = timeouts_s + cluster.network.slowest_s

        def check() -> None:
            is_same = leader.replica is replica and replica.is_leader and replica.term == term
            if not is_same or cluster.heals != heals:
                return
            check_at = leader.frozen_until + wait_s
            if cluster.now < check_at:
                cluster.schedule(check_at, check)
                return
            raise InvariantViolationError(
                "a leader in silence steps down", f"{leader.disk.replica_id} still leads"
            )

        cluster.schedule(cluster.now + wait_s, check)
