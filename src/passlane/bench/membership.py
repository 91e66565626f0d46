"""Bytes and processor time of membership for each node, by the number of nodes.

Hollow nodes share this process; the store leader of their region is a process of its
own. They talk over TCP on the loopback interface with the real transport and codec.
"""

import random
import subprocess
import sys
import time
from pathlib import Path

import anyio
import msgspec
from msgspec.structs import replace

from passlane.bench.hollow import CountingNetwork, HollowNode, hollow_settings
from passlane.bench.loopback import free_address
from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.messages.common import Address
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.replication.client import GroupClient
from passlane.runtime.interfaces import Environment
from passlane.runtime.real import build_environment
from passlane.transport.client import ConnectionPool

NODE_POINTS = (10, 50, 200, 400)
PARTITIONS = 512
SETTLE_S = 8.0
"""Time for all nodes to join and for the partitions to be spread evenly."""
MEASURED_S = 12.0
RING_LINES = 1_000
REPORT_FILE = "membership.json"


class MembershipPoint(msgspec.Struct, frozen=True):
    """What one run measured.

    Attributes
    ----------
    bytes_per_node_s
        Bytes a node sends and receives in a second, both directions, frames included.
    node_core_fraction, store_core_fraction
        Share of one core that one node and the store leader use.
    nodes_with_lease
        Nodes that held a lease at the end; all of them, or the run is worth nothing.
    """

    nodes: int
    nodes_with_lease: int
    bytes_per_node_s: float
    node_core_fraction: float
    store_core_fraction: float


class MembershipReport(msgspec.Struct, frozen=True):
    """All runs and the lines through them; each line's slope is per further node."""

    heartbeat_s: float
    measured_s: float
    points: tuple[MembershipPoint, ...]
    node_bytes: Line
    node_core: Line
    store_core: Line


class _StoreProcess:
    """The store leader's process and its processor time."""

    def __init__(self, address: Address) -> None:
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "passlane.bench.membership_store",
                str(address),
                f"{PARTITIONS}",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def processor_time_s(self) -> float:
        """Return the processor time it has used so far."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return float(self._process.stdout.readline())

    def stop(self) -> None:
        """End the process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(timeout=10)


async def _measure(nodes: int, store_address: Address, store: _StoreProcess) -> MembershipPoint:
    environment = build_environment(Path("unused"), seed=1)
    network = CountingNetwork(environment.network)
    environment = replace(environment, network=network)
    async with anyio.create_task_group() as tasks:
        hollow = [_start(tasks, environment, number, store_address) for number in range(nodes)]
        await anyio.sleep(SETTLE_S)
        store_began, own_began = store.processor_time_s(), time.process_time()
        bytes_began, began = network.bytes, time.monotonic()
        await anyio.sleep(MEASURED_S)
        elapsed_s = time.monotonic() - began
        own_s = time.process_time() - own_began
        store_s = store.processor_time_s() - store_began
        passed = network.bytes - bytes_began
        joined = sum(node.loop.has_lease for node in hollow)
        tasks.cancel_scope.cancel()
    return MembershipPoint(
        nodes=nodes,
        nodes_with_lease=joined,
        bytes_per_node_s=passed / nodes / elapsed_s,
        node_core_fraction=own_s / nodes / elapsed_s,
        store_core_fraction=store_s / elapsed_s,
    )


def _start(
    tasks: anyio.abc.TaskGroup, environment: Environment, number: int, store: Address
) -> HollowNode:
    """Start a hollow node with connections of its own."""
    source = random.Random(number)
    own = replace(environment, random=source)
    pool = ConnectionPool(own)
    tasks.start_soon(pool.run)
    settings = hollow_settings(f"node-{number}", "region", PARTITIONS)
    node = HollowNode(settings, GroupClient(pool, [store], source), source)
    tasks.start_soon(node.loop.run)
    return node


def measure_membership(node_points: tuple[int, ...] = NODE_POINTS) -> MembershipReport:
    """Run all points and return them with their lines."""
    points = []
    for nodes in node_points:
        address = free_address()
        store = _StoreProcess(address)
        try:
            points.append(anyio.run(_measure, nodes, address, store))
        finally:
            store.stop()
    return MembershipReport(
        heartbeat_s=hollow_settings("", "", PARTITIONS).membership.heartbeat_s,
        measured_s=MEASURED_S,
        points=tuple(points),
        node_bytes=_line("bytes of a node", "bytes/s", points, "bytes_per_node_s"),
        node_core=_line("core of a node", "core", points, "node_core_fraction"),
        store_core=_line("core of a store leader", "core", points, "store_core_fraction"),
    )


def _line(name: str, unit: str, points: list[MembershipPoint], attribute: str) -> Line:
    measured = [Point(point.nodes, getattr(point, attribute)) for point in points]
    return fit_line(name, "nodes", unit, measured)


def run(report: Path | None) -> int:
    """Measure, print and write ``membership.json``; 1 if a node had no lease at the end."""
    configure_logging(RingLog(RING_LINES))
    result = measure_membership()
    for point in result.points:
        print(
            f"{point.nodes:4} nodes ({point.nodes_with_lease} with a lease): "
            f"{point.bytes_per_node_s:7.1f} bytes/s and {point.node_core_fraction:.4%} of a core "
            f"a node, store leader {point.store_core_fraction:.2%} of a core"
        )
    for line in (result.node_bytes, result.node_core, result.store_core):
        print(line.to_text())
    write_report(report, REPORT_FILE, result)
    return 0 if all(point.nodes == point.nodes_with_lease for point in result.points) else 1


if __name__ == "__main__":
    sys.exit(run(None))
