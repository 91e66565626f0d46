"""Processor time of a turn at the store group's leader, and how long a reservation takes.

Starts a group of five replicas as processes with real files on loopback, and processes
with nodes that send turns; see ``turn_cost_process`` for what a turn is.
"""

import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from passlane.bench.latencies import summarize
from passlane.bench.loopback import free_address
from passlane.bench.process_usage import processor_time_s
from passlane.bench.report_files import write_report
from passlane.bench.turn_cost_process import (
    NODES_ROLE,
    REPLICA_ROLE,
    RING_LINES,
    WARM_UP_S,
    NodesResult,
    NodesSetup,
    ReplicaSetup,
)
from passlane.bench.turn_steps import step_of
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.turns import FindTurnStore, TurnStoreFound
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.runtime.real import build_environment
from passlane.settings.model import PeerSettings
from passlane.transport.client import ConnectionPool

REPORT_FILE = "turn-cost.json"
REPLICAS = 5
RATES_PER_S = (300.0, 600.0, 900.0, 1_200.0)
NODES = 60
NODE_PROCESSES = 2
DURATION_S = 6.0
EDGE_S = 1.0
"""Left out at each end of the measured time: processes start and end there."""
READY_TIMEOUT_S = 20.0
SHOWN_PLACES = 40

_MODULE = "passlane.bench.turn_cost_process"
_PROBE_TIMEOUT_S = 0.5
_PROBE_PAUSE_S = 0.1
_MILLISECONDS = 1_000
_MICROSECONDS = 1_000_000


class TurnCost(msgspec.Struct, frozen=True):
    """What turns at one rate cost; processor time in microseconds for each turn.

    ``steps`` is the leader's time by step, and ``places`` by function, when sampled.
    """

    turns_per_s: float
    measured_per_s: float
    leader_us: float
    leader_core: float
    follower_us: float
    reserve_p50_ms: float
    reserve_p99_ms: float
    settle_p50_ms: float
    settle_p99_ms: float
    failed: int
    steps: dict[str, float] = {}
    places: dict[str, float] = {}

    def to_text(self) -> str:
        """Return lines for the terminal."""
        lines = [
            f"{self.turns_per_s:6.0f}/s ({self.measured_per_s:6.1f} measured): leader "
            f"{self.leader_us:6.0f} us ({self.leader_core:.3f} of a core), follower "
            f"{self.follower_us:5.0f} us a turn; reserve {self.reserve_p50_ms:.1f} / "
            f"{self.reserve_p99_ms:.1f} ms, settle {self.settle_p50_ms:.1f} / "
            f"{self.settle_p99_ms:.1f} ms (p50 / p99); {self.failed} failed"
        ]
        lines += [f"    {spent:7.1f} us  {step}" for step, spent in self.steps.items()]
        lines += [f"        {spent:7.1f} us  {place}" for place, spent in self.places.items()]
        return "\n".join(lines)


@dataclass(frozen=True, slots=True)
class _Run:
    """What was asked of a run and what came of it; ``spent_s`` is of its middle alone."""

    turns_per_s: float
    duration_s: float
    leader: Address
    spent_s: dict[Address, float]
    answers: list[NodesResult]
    samples: dict[str, int]


class _Processes:
    """Processes of one run, with their files in one folder."""

    def __init__(self, folder: Path, *, is_sampled: bool) -> None:
        self._folder = folder
        self._is_sampled = is_sampled
        self.replicas: dict[Address, subprocess.Popen[bytes]] = {}

    def start(self, role: str, name: str, setup: msgspec.Struct) -> "subprocess.Popen[bytes]":
        """Start a process."""
        file = self._folder / f"{name}.setup.json"
        file.write_bytes(msgspec.json.encode(setup))
        return subprocess.Popen([sys.executable, "-m", _MODULE, role, str(file)])

    def start_replicas(self) -> None:
        """Start the group."""
        members = tuple(
            PeerSettings(name=f"store-{number}", internal=free_address())
            for number in range(REPLICAS)
        )
        for member in members:
            samples = str(self.samples_file(member.internal)) if self._is_sampled else ""
            setup = ReplicaSetup(member.name, members, str(self._folder / member.name), samples)
            self.replicas[member.internal] = self.start(REPLICA_ROLE, member.name, setup)

    def samples_file(self, address: Address) -> Path:
        """Return where a replica writes its samples."""
        return self._folder / f"samples-{address.port}.json"

    def stop_replicas(self) -> None:
        """End the replicas and wait until they have."""
        for process in self.replicas.values():
            process.terminate()
        for process in self.replicas.values():
            process.wait()


async def _find_leader(addresses: tuple[Address, ...]) -> Address:
    """Return the leader's address once one replica says that it leads."""
    pool = ConnectionPool(build_environment(Path("unused"), None, sends_requests=False))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        with anyio.fail_after(READY_TIMEOUT_S):
            leader = await _ask_until_one_leads(pool, addresses)
        tasks.cancel_scope.cancel()
    return leader


async def _ask_until_one_leads(pool: ConnectionPool, addresses: tuple[Address, ...]) -> Address:
    while True:
        for address in addresses:
            if await _leads(pool, address):
                return address
        await anyio.sleep(_PROBE_PAUSE_S)


async def _leads(pool: ConnectionPool, address: Address) -> bool:
    try:
        await pool.call(address, FindTurnStore(), TurnStoreFound, timeout_s=_PROBE_TIMEOUT_S)
    except PasslaneError:
        return False
    return True


def measure_turns(
    turns_per_s: float, *, duration_s: float = DURATION_S, is_sampled: bool = False
) -> TurnCost:
    """Return what turns at a rate cost.

    Raises
    ------
    PasslaneError
        ``UNAVAILABLE`` when the leader changed, as figures of two leaders mean nothing, or
        no turn was settled.
    """
    with tempfile.TemporaryDirectory() as folder:
        processes = _Processes(Path(folder), is_sampled=is_sampled)
        processes.start_replicas()
        try:
            return _measure(processes, Path(folder), turns_per_s, duration_s)
        finally:
            processes.stop_replicas()


def _measure(
    processes: _Processes, folder: Path, turns_per_s: float, duration_s: float
) -> TurnCost:
    addresses = tuple(processes.replicas)
    leader = anyio.run(_find_leader, addresses)
    results = [folder / f"nodes-{number}.json" for number in range(NODE_PROCESSES)]
    nodes = _start_nodes(processes, results, turns_per_s, duration_s)
    spent = _processor_times(processes, duration_s)
    for process in nodes:
        process.wait()
    if anyio.run(_find_leader, addresses) != leader:
        raise PasslaneError(ErrorCode.UNAVAILABLE, "the leader changed during the run")
    processes.stop_replicas()
    samples = processes.samples_file(leader)
    return _summarize(
        _Run(
            turns_per_s=turns_per_s,
            duration_s=duration_s,
            leader=leader,
            spent_s=spent,
            answers=[msgspec.json.decode(file.read_bytes(), type=NodesResult) for file in results],
            samples=msgspec.json.decode(samples.read_bytes()) if samples.exists() else {},
        )
    )


def _start_nodes(
    processes: _Processes, results: Sequence[Path], turns_per_s: float, duration_s: float
) -> list["subprocess.Popen[bytes]"]:
    """Start one process with nodes for each file that is to hold its result."""
    return [
        processes.start(
            NODES_ROLE,
            file.stem,
            NodesSetup(
                stores=tuple(processes.replicas),
                nodes=NODES // len(results),
                turns_per_s=turns_per_s / len(results),
                duration_s=duration_s,
                seed=number,
                result_file=str(file),
            ),
        )
        for number, file in enumerate(results)
    ]


def _processor_times(processes: _Processes, duration_s: float) -> dict[Address, float]:
    """Return what each replica spends in the middle of the measured time, in seconds."""
    time.sleep(WARM_UP_S + EDGE_S)
    before = {address: processor_time_s(p.pid) for address, p in processes.replicas.items()}
    time.sleep(duration_s - 2 * EDGE_S)
    return {
        address: processor_time_s(process.pid) - before[address]
        for address, process in processes.replicas.items()
    }


def _summarize(run: _Run) -> TurnCost:
    reserve = summarize(taken for answer in run.answers for taken in answer.reservations_s)
    settle = summarize(taken for answer in run.answers for taken in answer.settlements_s)
    if not settle.count:
        raise PasslaneError(ErrorCode.UNAVAILABLE, "no turn was settled")
    measured_per_s = settle.count / run.duration_s
    middle_s = run.duration_s - 2 * EDGE_S
    turns = measured_per_s * middle_s
    leader_s = run.spent_s[run.leader]
    followers_s = sum(run.spent_s.values()) - leader_s
    leader_us = leader_s / turns * _MICROSECONDS
    places = _by_place(run.samples, leader_us)
    return TurnCost(
        turns_per_s=run.turns_per_s,
        measured_per_s=measured_per_s,
        leader_us=leader_us,
        leader_core=leader_s / middle_s,
        follower_us=followers_s / (REPLICAS - 1) / turns * _MICROSECONDS,
        reserve_p50_ms=reserve.p50 * _MILLISECONDS,
        reserve_p99_ms=reserve.p99 * _MILLISECONDS,
        settle_p50_ms=settle.p50 * _MILLISECONDS,
        settle_p99_ms=settle.p99 * _MILLISECONDS,
        failed=sum(answer.failed for answer in run.answers),
        steps=_by_step(places),
        places=dict(list(places.items())[:SHOWN_PLACES]),
    )


def _by_place(samples: dict[str, int], leader_us: float) -> dict[str, float]:
    """Share a turn's time at the leader among the places sampled, most first."""
    per_sample = leader_us / sum(samples.values()) if samples else 0.0
    return {place: count * per_sample for place, count in Counter(samples).most_common()}


def _by_step(places: dict[str, float]) -> dict[str, float]:
    """Add the times of places up by step, most first."""
    steps: dict[str, float] = {}
    for place, spent in places.items():
        step = step_of(place)
        steps[step] = steps.get(step, 0.0) + spent
    return dict(sorted(steps.items(), key=lambda item: item[1], reverse=True))


def run(report: Path | None) -> int:
    """Measure each rate, and the leader's steps at one of them; write ``turn-cost.json``."""
    configure_logging(RingLog(RING_LINES))
    results = [measure_turns(rate) for rate in RATES_PER_S]
    results.append(measure_turns(RATES_PER_S[1], is_sampled=True))
    for result in results:
        print(result.to_text())
    write_report(report, REPORT_FILE, results)
    return 0
