"""Time without a Raft leader after a loss, and time until a lost replica votes again.

Runs the simulated group on a virtual clock, so that the figures are those of the
protocol: each is given in election time-outs, as a distribution over seeds.
"""

import math
import random
from collections.abc import Callable
from pathlib import Path

import msgspec

from passlane.bench.report_files import write_report
from passlane.raft.events import TransferRequested
from passlane.raft.membership import voters_of
from passlane.simulation.raft_cluster import ClusterOptions, NetworkConditions, RaftCluster
from passlane.simulation.raft_host import ProposalOutcome, SimulatedReplicaHost

SEEDS = 300
GROUP_SIZES = (3, 5, 7)
ELECTION_TIMEOUT_S = 0.3
HEARTBEAT_S = 0.05
ZONES_NETWORK = NetworkConditions(
    shortest_s=0.0005, longest_s=0.002, slow_fraction=0.0, slowest_s=0.002, duplicate_fraction=0.0
)
"""Zones of one region, half a millisecond to two apart one way."""
REGIONS_NETWORK = NetworkConditions(
    shortest_s=0.02, longest_s=0.08, slow_fraction=0.0, slowest_s=0.08, duplicate_fraction=0.0
)
"""Regions, 20 to 80 ms apart one way."""
REGIONS_TIMEOUTS_S = (0.3, 0.6, 1.0, 2.0)
LOG_LENGTHS = (100, 1_000, 5_000)
_WARM_UP_S = 10.0
_LIMIT_S = 30.0
_PROBE_EVERY_S = 0.001
_PERCENTILES = (50, 95, 99, 100)


class Distribution(msgspec.Struct, frozen=True):
    """Percentiles of one measure over seeds, in election time-outs of ``timeout_s``.

    ``unfinished`` counts the seeds in which it did not come to an end within 30 s.
    """

    name: str
    replicas: int
    timeout_s: float
    seeds: int
    unfinished: int
    p50: float
    p95: float
    p99: float
    maximum: float

    def to_text(self) -> str:
        """Return one line for the terminal."""
        return (
            f"{self.name:34}{self.replicas:3} replicas, {self.timeout_s:.1f} s"
            f"  p50 {self.p50:6.2f}  p95 {self.p95:6.2f}"
            f"  p99 {self.p99:6.2f}  max {self.maximum:6.2f}"
            f"  ({self.seeds} seeds, {self.unfinished} unfinished)"
        )


class Probe:
    """Proposes a command to whoever leads, again and again, until one is accepted.

    Parameters
    ----------
    cluster
        The group.
    """

    def __init__(self, cluster: RaftCluster) -> None:
        self._cluster = cluster
        self._number = 0
        self.is_accepted = False

    def run_until_accepted(self, deadline: float) -> float | None:
        """Return the virtual time of the next accepted append; ``None`` if none came."""
        self.is_accepted = False
        self._propose()
        if self._cluster.run_until_true(lambda: self.is_accepted, deadline):
            return self._cluster.now
        return None

    def _propose(self) -> None:
        if self.is_accepted or self._cluster.now > _WARM_UP_S + _LIMIT_S:
            return
        self._number += 1
        command = f"probe-{self._cluster.now}-{self._number}".encode()
        for leader in self._cluster.leaders[-1:]:
            leader.propose(command, self._note)
        self._cluster.schedule(self._cluster.now + _PROBE_EVERY_S, self._propose)

    def _note(self, outcome: ProposalOutcome) -> None:
        self.is_accepted = self.is_accepted or outcome.committed


Loss = Callable[[RaftCluster, SimulatedReplicaHost], None]


def _kill(cluster: RaftCluster, leader: SimulatedReplicaHost) -> None:
    leader.crash()


def _silence(cluster: RaftCluster, leader: SimulatedReplicaHost) -> None:
    cluster.isolate(leader)


def _hand_over(cluster: RaftCluster, leader: SimulatedReplicaHost) -> None:
    leader.deliver(TransferRequested())


def _hang_disk(cluster: RaftCluster, leader: SimulatedReplicaHost) -> None:
    leader.disk_hangs_until = math.inf


LOSSES: dict[str, Loss] = {
    "leader killed": _kill,
    "leader cut off in silence": _silence,
    "planned hand-over": _hand_over,
    "leader's disk hangs": _hang_disk,
}


def run(report: Path | None) -> int:
    """Measure, print and write ``raft-failover.json``."""
    results = []
    for name, loss in LOSSES.items():
        for replicas in GROUP_SIZES:
            results.append(measure_failover(f"{name}, zones", loss, replicas, ZONES_NETWORK))
    for timeout_s in REGIONS_TIMEOUTS_S:
        results.append(
            measure_failover(
                "leader killed, regions", _kill, 7, REGIONS_NETWORK, timeout_s=timeout_s
            )
        )
    results.extend(measure_repair(length) for length in LOG_LENGTHS)
    print("in election time-outs:")
    for result in results:
        print(result.to_text())
    write_report(report, "raft-failover.json", results)
    return 0


def measure_failover(
    name: str,
    loss: Loss,
    replicas: int,
    network: NetworkConditions,
    *,
    timeout_s: float = ELECTION_TIMEOUT_S,
    seeds: int = SEEDS,
) -> Distribution:
    """Return the time from the loss of a leader to the next accepted append."""
    times = [_failover_s(seed, loss, replicas, network, timeout_s) for seed in range(seeds)]
    return _distribution(name, replicas, timeout_s, times)


def measure_repair(log_length: int, seeds: int = SEEDS // 10) -> Distribution:
    """Return the time from the start of a wiped replica of three until it votes again.

    Parameters
    ----------
    log_length
        Commands in the log that it has to copy.
    seeds
        Runs to measure.
    """
    times = [_repair_s(seed, log_length) for seed in range(seeds)]
    return _distribution(f"wiped replica votes, {log_length} entries", 3, ELECTION_TIMEOUT_S, times)


def _failover_s(
    seed: int, loss: Loss, replicas: int, network: NetworkConditions, timeout_s: float
) -> float | None:
    cluster = _started_cluster(seed, replicas, network, timeout_s)
    # The loss falls anywhere between two heartbeats.
    cluster.run_until(cluster.now + random.Random(seed).uniform(0.0, HEARTBEAT_S))
    leader = cluster.leaders[-1]
    lost_at = cluster.now
    loss(cluster, leader)
    accepted_at = Probe(cluster).run_until_accepted(_WARM_UP_S + _LIMIT_S)
    return None if accepted_at is None else accepted_at - lost_at


def _repair_s(seed: int, log_length: int) -> float | None:
    cluster = _started_cluster(seed, 3, ZONES_NETWORK, ELECTION_TIMEOUT_S)
    leader = cluster.leaders[-1]
    for number in range(log_length):
        leader.propose(f"command-{number}".encode(), lambda outcome: None)
    cluster.run_until(cluster.now + 1.0)
    lost = next(host for host in cluster.hosts if not host.is_leader)
    cluster.wipe(lost)
    lost.start()
    started_at = cluster.now

    def votes() -> bool:
        return lost.disk.replica_id in voters_of(cluster.committed_membership())

    is_voter = cluster.run_until_true(votes, cluster.now + _LIMIT_S)
    return cluster.now - started_at if is_voter else None


def _started_cluster(
    seed: int, replicas: int, network: NetworkConditions, timeout_s: float
) -> RaftCluster:
    """Return a group that has accepted a command."""
    options = ClusterOptions(
        hosts=replicas,
        first_voters=replicas,
        network=network,
        heartbeat_s=HEARTBEAT_S,
        election_timeout_s=timeout_s,
        max_batch_bytes=1_000_000,
    )
    cluster = RaftCluster(seed, options)
    cluster.start()
    Probe(cluster).run_until_accepted(_WARM_UP_S)
    cluster.run_until(_WARM_UP_S)
    return cluster


def _distribution(
    name: str, replicas: int, timeout_s: float, times: list[float | None]
) -> Distribution:
    ratios = sorted(time / timeout_s for time in times if time is not None)
    last = len(ratios) - 1
    values = [
        ratios[round(last * percentile / 100)] if ratios else math.inf
        for percentile in _PERCENTILES
    ]
    return Distribution(name, replicas, timeout_s, len(times), len(times) - len(ratios), *values)
