"""Random faults for the simulated Raft group, alone and together."""

import random as random_module
from collections.abc import Callable

from passlane.raft.events import TransferRequested
from passlane.raft.membership import voters_of
from passlane.simulation.raft_cluster import RaftCluster
from passlane.simulation.raft_host import SimulatedReplicaHost
from passlane.simulation.raft_invariants import InvariantViolationError

_SMALLEST_GROUP = 3
_SLOW_DISK_FACTOR = 100.0
_HEAVY_LOSS = 0.2
_STEP_DOWN_TIMEOUTS = 3.0


class FaultInjector:
    """Brings about faults at random times until it is stopped.

    Parameters
    ----------
    cluster
        The group to disturb.
    mean_pause_s
        Mean time between two faults.
    """

    def __init__(self, cluster: RaftCluster, mean_pause_s: float) -> None:
        self._cluster = cluster
        self._mean_pause_s = mean_pause_s
        self._random = random_module.Random(cluster.random.random())
        self._is_stopped = False
        self._faults: tuple[Callable[[], None], ...] = (
            self._crash_one,
            self._crash_one,
            self._crash_leader,
            self._crash_all,
            self._cut_one_way,
            self._isolate_one,
            self._isolate_leader,
            self._split,
            self._freeze_one,
            self._freeze_leader,
            self._slow_disk,
            self._lose_messages,
            self._transfer,
            self._wipe_one,
            self._wipe_one,
            self._grow,
            self._shrink,
        )

    def start(self) -> None:
        """Begin."""
        self._schedule_next()

    def stop(self) -> None:
        """Make no more faults, and end all those under way."""
        self._is_stopped = True
        cluster = self._cluster
        cluster.heal()
        cluster.network.loss_fraction = 0.0
        for host in cluster.hosts:
            host.sync_slowdown = 1.0
            if host.replica is None and self._is_in_use(host):
                host.start()

    def _schedule_next(self) -> None:
        pause = self._random.expovariate(1.0 / self._mean_pause_s)
        self._cluster.schedule(self._cluster.now + pause, self._run_one)

    def _run_one(self) -> None:
        if self._is_stopped:
            return
        self._random.choice(self._faults)()
        self._schedule_next()

    def _later(self, mean_s: float, action: Callable[[], None]) -> None:
        """Do something after a random time, unless the faults have ended by then."""

        def run() -> None:
            if not self._is_stopped:
                action()

        pause = self._random.expovariate(1.0 / mean_s)
        self._cluster.schedule(self._cluster.now + pause, run)

    def _pick(self) -> SimulatedReplicaHost:
        return self._random.choice([h for h in self._cluster.hosts if self._is_in_use(h)])

    def _is_in_use(self, host: SimulatedReplicaHost) -> bool:
        cluster = self._cluster
        members = {m.replica_id for m in cluster.committed_membership().members}
        return host.disk.replica_id in members or host.address in cluster.joining

    def _crash(self, host: SimulatedReplicaHost, mean_down_s: float) -> None:
        if host.replica is None:
            return
        self._cluster.note_trace(f"crash {host.disk.replica_id}")
        host.crash()
        self._later(mean_down_s, lambda: self._restart(host))

    def _restart(self, host: SimulatedReplicaHost) -> None:
        if host.replica is None:
            self._cluster.note_trace(f"restart {host.disk.replica_id}")
            host.start()

    def _crash_one(self) -> None:
        self._crash(self._pick(), 1.0)

    def _crash_leader(self) -> None:
        for host in self._cluster.leaders[-1:]:
            self._crash(host, 0.5)

    def _crash_all(self) -> None:
        for host in self._cluster.hosts:
            self._crash(host, 0.5)

    def _cut_one_way(self) -> None:
        sender, receiver = self._random.sample(self._cluster.hosts, 2)
        self._cluster.note_trace(f"cut {sender.disk.replica_id} -> {receiver.disk.replica_id}")
        self._cluster.cut(sender, receiver)
        self._later(1.0, self._cluster.heal)

    def _isolate_one(self) -> None:
        host = self._pick()
        self._cluster.note_trace(f"isolate {host.disk.replica_id}")
        self._cluster.isolate(host)
        self._later(1.5, self._cluster.heal)

    def _isolate_leader(self) -> None:
        for leader in self._cluster.leaders[-1:]:
            self._cluster.note_trace(f"isolate leader {leader.disk.replica_id}")
            self._cluster.isolate(leader)
            self._check_step_down(leader)
            self._later(1.5, self._cluster.heal)

    def _check_step_down(self, leader: SimulatedReplicaHost) -> None:
        """See that a leader in silence stops believing that it leads."""
        cluster = self._cluster
        replica = leader.replica
        assert replica is not None
        term = replica.term
        silence = {pair for pair in cluster.cuts if leader.address in pair}

        def check() -> None:
            is_same = leader.replica is replica and replica.is_leader and replica.term == term
            is_frozen = cluster.now < leader.frozen_until
            if is_same and not is_frozen and silence <= cluster.cuts:
                raise InvariantViolationError(
                    "a leader in silence steps down", f"{leader.disk.replica_id} still leads"
                )

        wait_s = _STEP_DOWN_TIMEOUTS * cluster.options.election_timeout_s
        cluster.schedule(cluster.now + wait_s, check)

    def _split(self) -> None:
        left = [host for host in self._cluster.hosts if self._random.random() < 0.5]
        right = [host for host in self._cluster.hosts if host not in left]
        self._cluster.note_trace(f"split off {[host.disk.replica_id for host in left]}")
        for one in left:
            for other in right:
                self._cluster.cut(one, other)
                self._cluster.cut(other, one)
        self._later(1.5, self._cluster.heal)

    def _freeze(self, host: SimulatedReplicaHost) -> None:
        self._cluster.note_trace(f"freeze {host.disk.replica_id}")
        host.frozen_until = self._cluster.now + self._random.expovariate(1.0)

    def _freeze_one(self) -> None:
        self._freeze(self._pick())

    def _freeze_leader(self) -> None:
        for host in self._cluster.leaders[-1:]:
            self._freeze(host)

    def _slow_disk(self) -> None:
        host = self._pick()
        host.sync_slowdown = _SLOW_DISK_FACTOR
        self._cluster.note_trace(f"slow disk {host.disk.replica_id}")

        def end() -> None:
            host.sync_slowdown = 1.0

        self._later(2.0, end)

    def _lose_messages(self) -> None:
        self._cluster.network.loss_fraction = _HEAVY_LOSS

        def end() -> None:
            self._cluster.network.loss_fraction = 0.0

        self._later(1.0, end)

    def _transfer(self) -> None:
        for host in self._cluster.leaders[-1:]:
            self._cluster.note_trace(f"transfer from {host.disk.replica_id}")
            host.deliver(TransferRequested())

    def _wipe_one(self) -> None:
        cluster = self._cluster
        voters = voters_of(cluster.committed_membership())
        if len(voters) < _SMALLEST_GROUP or not cluster.is_repaired():
            return
        host = self._pick()
        cluster.note_trace(f"wipe {host.disk.replica_id}")
        cluster.wipe(host)
        self._later(0.5, lambda: self._restart(host))

    def _grow(self) -> None:
        spare = [host for host in self._cluster.hosts if not self._is_in_use(host)]
        if not spare or not self._cluster.is_repaired():
            return
        host = spare[0]
        self._cluster.note_trace(f"add {host.disk.replica_id}")
        self._cluster.joining.add(host.address)
        if host.replica is None:
            host.start()

    def _shrink(self) -> None:
        cluster = self._cluster
        voters = voters_of(cluster.committed_membership())
        if len(voters) <= _SMALLEST_GROUP or not cluster.is_repaired() or cluster.joining:
            return
        victim = self._random.choice(voters)
        cluster.note_trace(f"remove {victim}")
        for leader in cluster.leaders[-1:]:
            leader.remove_member(victim)
