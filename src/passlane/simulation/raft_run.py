"""Runs a simulated Raft group under random faults, one seed after the other.

``python -m passlane.simulation.raft_run --seeds 0-199`` exits with 1 if a promise broke.
"""

import argparse
import sys
import time
from collections.abc import Sequence

import msgspec

from passlane.raft.errors import RaftInvariantError
from passlane.raft.membership import voters_of
from passlane.simulation.raft_clients import SimulatedClient
from passlane.simulation.raft_cluster import ClusterOptions, RaftCluster
from passlane.simulation.raft_conditions import CONDITIONS, ORDINARY
from passlane.simulation.raft_defects import DEFECTS, RaftDefect
from passlane.simulation.raft_fault_sequences import ALL_FAULTS
from passlane.simulation.raft_faults import BOUNDED_GROUP_FAULTS, Fault, FaultInjector
from passlane.simulation.raft_invariants import InvariantViolationError

_CLIENTS = 4
_CLIENT_PAUSE_S = 0.02
_FAULTS_S = 20.0
_RECOVERY_S = 30.0


class RaftRunResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run came to; ``violation`` is ``None`` if each promise held."""

    seed: int
    violation: str | None
    details: str
    virtual_s: float
    events: int
    commands: int
    reads: int
    digest: str
    trace: tuple[str, ...] = ()


def run_raft_seed(
    seed: int,
    options: ClusterOptions | None = None,
    *,
    faults: Sequence[Fault] | None = None,
) -> RaftRunResult:
    """Run one seed: faults for a while, then recovery.

    Returns
    -------
    RaftRunResult
        With the name of the broken promise, if there is one.
    """
    options = options or ClusterOptions()
    faults = faults if faults is not None else faults_for(options)
    cluster = RaftCluster(seed, options)
    clients = [SimulatedClient(cluster, f"c{n}", _CLIENT_PAUSE_S) for n in range(_CLIENTS)]
    violation: str | None = None
    details = ""
    try:
        _run(cluster, clients, faults)
    except InvariantViolationError as error:
        violation, details = error.name, str(error)
    except RaftInvariantError as error:
        violation, details = "the replica's own checks", str(error)
    return RaftRunResult(
        seed=seed,
        violation=violation,
        details=details,
        virtual_s=cluster.now,
        events=cluster.events_run,
        commands=sum(client.commands_done for client in clients),
        reads=sum(client.reads_done for client in clients),
        digest=cluster.trace_digest,
        trace=tuple(cluster.trace),
    )


def faults_for(options: ClusterOptions) -> Sequence[Fault]:
    """Return what may go wrong in a group of this kind."""
    return BOUNDED_GROUP_FAULTS if options.places else ALL_FAULTS


def _run(cluster: RaftCluster, clients: list[SimulatedClient], faults: Sequence[Fault]) -> None:
    cluster.start()
    for client in clients:
        client.start_operation()
    injector = FaultInjector(cluster, faults, cluster.options.mean_fault_pause_s)
    injector.start()
    cluster.run_until(_FAULTS_S)
    cluster.note_trace("faults end")
    injector.stop()
    _check_recovery(cluster, clients, _FAULTS_S + _RECOVERY_S)


def _check_recovery(cluster: RaftCluster, clients: list[SimulatedClient], deadline: float) -> None:
    """See that the group works again soon, and that its replicas end up equal."""
    done_before = [client.commands_done for client in clients]

    def each_client_progressed() -> bool:
        return all(
            client.commands_done > before
            for client, before in zip(clients, done_before, strict=True)
        )

    if not cluster.run_until_true(each_client_progressed, deadline):
        raise InvariantViolationError("the group recovers", "no commands after the faults ended")
    for client in clients:
        client.is_stopped = True
    if not cluster.run_until_true(lambda: _is_settled(cluster), deadline):
        raise InvariantViolationError("the group recovers", "replicas did not become equal")
    for host in cluster.hosts:
        if host.disk.replica_id in voters_of(cluster.committed_membership()):
            cluster.invariants.check_final_state(host.disk.replica_id, host.machine.known)


def _is_settled(cluster: RaftCluster) -> bool:
    """Return whether all who are to vote do, and each voter has applied everything."""
    if cluster.has_change_under_way():
        return False
    membership = cluster.committed_membership()
    voters = voters_of(membership)
    places = cluster.options.places
    if places and (len(voters) != places or len(membership.members) != places):
        return False
    if not places and cluster.joining:
        return False
    last_index = max(host.replica.log.last_index for host in cluster.hosts if host.replica)
    hosts = [host for host in cluster.hosts if host.disk.replica_id in voters]
    return all(host.applied_index == last_index for host in hosts)


def run_defect_seed(defect: RaftDefect, seed: int) -> RaftRunResult:
    """Run one seed with a deliberate fault."""
    return run_raft_seed(seed, defect.options, faults=defect.faults)


def main() -> int:
    """Run the seeds that the command line names; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-49", help="first and last seed, as A-B")
    parser.add_argument("--conditions", choices=CONDITIONS, default=ORDINARY)
    parser.add_argument("--defect", choices=DEFECTS, help="run with a deliberate fault")
    parser.add_argument("--trace", action="store_true", help="print the last lines of a failure")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    started = time.process_time()
    if arguments.defect is not None:
        defect = DEFECTS[arguments.defect]
        results = [run_defect_seed(defect, seed) for seed in seeds]
    else:
        options = CONDITIONS[arguments.conditions]
        results = [run_raft_seed(seed, options) for seed in seeds]
    return _report(results, time.process_time() - started, has_trace=arguments.trace)


def _report(results: Sequence[RaftRunResult], cpu_s: float, *, has_trace: bool) -> int:
    """Print the failures and the sums; return the exit code."""
    failed = [result for result in results if result.violation is not None]
    for result in failed:
        print(f"seed {result.seed}: {result.details}")
        if has_trace:
            print("\n".join(result.trace))
    events = sum(result.events for result in results)
    virtual_s = sum(result.virtual_s for result in results)
    print(
        f"{len(results)} seeds, {len(failed)} failed, "
        f"{sum(result.commands for result in results)} commands, "
        f"{sum(result.reads for result in results)} reads, {events} events, "
        f"{virtual_s:.0f} virtual s in {cpu_s:.1f} CPU s "
        f"({events / cpu_s:.0f} events per CPU s)"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
