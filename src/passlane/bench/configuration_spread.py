"""Time until a change of configuration is in force on 400 nodes, on a virtual clock.

Five regions with a store leader each, and one control leader far away from all of them.
Services, heartbeat loops and configuration views are the real ones; messages pass
through the real codec and take the delays below; groups commit after stated delays.
"""

import random
import sys
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.bench.hollow import HollowGroup, HollowNode, hollow_settings
from passlane.configuration.documents import ServiceBody
from passlane.control.machine import ControlStateMachine
from passlane.control.service import ControlService
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Revision
from passlane.messages.base import Message, encode_message
from passlane.messages.common import Address
from passlane.messages.control import PutDocument, PutResult
from passlane.messages.registry import decode_any_message
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.replication.client import GroupClient
from passlane.runtime.real import build_environment
from passlane.simulation.runner import run_simulation
from passlane.store.machine import StoreStateMachine
from passlane.store.service import StoreService
from passlane.transport.interfaces import Caller, ReplyType
from passlane.transport.router import MessageRouter

REGIONS = tuple(f"region-{number}" for number in range(5))
CONTROL = "control"
NODES = 400
PARTITIONS = 128
CHANGES = 12
CHANGE_EVERY_S = 4.0
SETTLE_S = 8.0
"""Time for all nodes to join before the first change."""
GIVE_UP_S = 30.0
CUT_OFF_S = 20.0

SAME_REGION_S = 0.0015
OTHER_REGION_S = 0.060
STORE_COMMIT_S = 0.005
CONTROL_COMMIT_S = 0.120
"""One-way delays, and the time a group needs to commit: a round to a majority."""

PORT = 7000
RING_LINES = 1_000
REPORT_FILE = "configuration-spread.json"


class SpreadResult(msgspec.Struct, frozen=True):
    """Seconds from the operator's request until a change was in force on all live nodes.

    ``lost_nodes`` nodes fell silent just before the first change, at once; ``cut_off``
    is the time, in seconds, for which one region was cut off from the control group from
    the first change on.
    """

    scenario: str
    nodes: int
    lost_nodes: int
    cut_off_s: float
    seconds: tuple[float, ...]
    median_s: float
    highest_s: float


class SpreadReport(msgspec.Struct, frozen=True):
    """All scenarios."""

    results: tuple[SpreadResult, ...]


class _World:
    """Where the routers of the processes are, and which regions are cut off."""

    def __init__(self) -> None:
        self.routers: dict[Address, MessageRouter] = {}
        self.region_of: dict[Address, str] = {}
        self.cut_off: set[str] = set()

    def add_process(self, region: str) -> tuple[Address, MessageRouter]:
        address = Address(f"10.0.0.{len(self.routers)}", PORT)
        self.routers[address] = MessageRouter()
        self.region_of[address] = region
        return address, self.routers[address]

    def is_cut(self, source: str, destination: str) -> bool:
        return source != destination and bool({source, destination} & self.cut_off)


class _DelayedCaller(Caller):
    """Calls handlers of this process after the delay between regions, by the codec."""

    def __init__(self, world: _World, region: str) -> None:
        self._world = world
        self._region = region

    async def call(
        self, address: Address, request: Message, reply: type[ReplyType], *, timeout_s: float
    ) -> ReplyType:
        with anyio.move_on_after(timeout_s):
            answer: ReplyType = await self._exchange(address, encode_message(request))
            return answer
        raise PasslaneError(ErrorCode.TIMEOUT, "no answer", verdict=Verdict.MAY_HAVE_RUN)

    async def _exchange(self, address: Address, request: bytes) -> Any:
        region = self._world.region_of[address]
        delay_s = SAME_REGION_S if region == self._region else OTHER_REGION_S
        await self._cross(region, delay_s)
        message = decode_any_message(request)
        handler = self._world.routers[address].unary_handler(message)
        assert handler is not None
        reply = encode_message(await handler(message))
        await self._cross(region, delay_s)
        return decode_any_message(reply)

    async def _cross(self, region: str, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        if self._world.is_cut(self._region, region):
            await anyio.sleep_forever()

    def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        raise NotImplementedError

    async def send(self, address: Address, message: Message) -> None:
        raise NotImplementedError


class _Fleet:
    """All regions and their nodes."""

    def __init__(self, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self.world = _World()
        self.environment = build_environment(Path("unused"), seed=1)
        self.control = self._start_control()
        self.nodes: list[HollowNode] = []
        self._scopes: dict[str, anyio.CancelScope] = {}
        stores = {region: self._start_store(region) for region in REGIONS}
        for number in range(NODES):
            region = REGIONS[number % len(REGIONS)]
            self._start_node(f"node-{number}", region, stores[region])

    def client(self, region: str, address: Address, seed: str) -> GroupClient:
        return GroupClient(_DelayedCaller(self.world, region), [address], random.Random(seed))

    def _start_control(self) -> Address:
        address, router = self.world.add_process(CONTROL)
        machine = ControlStateMachine()
        group = HollowGroup(machine, CONTROL_COMMIT_S)
        service = ControlService(group, machine, self.environment, router, regions=REGIONS)
        self._tasks.start_soon(service.run)
        return address

    def _start_store(self, region: str) -> Address:
        address, router = self.world.add_process(region)
        machine = StoreStateMachine()
        group = HollowGroup(machine, STORE_COMMIT_S)
        settings = hollow_settings("store", region, PARTITIONS)
        control = self.client(region, self.control, region)
        service = StoreService(group, machine, settings, self.environment, router, control)
        self._tasks.start_soon(service.run)
        return address

    def _start_node(self, name: str, region: str, store: Address) -> None:
        settings = hollow_settings(name, region, PARTITIONS)
        client = self.client(region, store, name)
        node = HollowNode(settings, client, random.Random(name))
        self.nodes.append(node)
        self._scopes[name] = anyio.CancelScope()
        self._tasks.start_soon(self._run_node, node, self._scopes[name])

    async def _run_node(self, node: HollowNode, scope: anyio.CancelScope) -> None:
        with scope:
            await node.loop.run()

    def lose_nodes(self, count: int) -> None:
        """Let nodes fall silent at once, each with a lease that has just been renewed."""
        for node in self.nodes[:count]:
            self._scopes[node.name].cancel()
        del self.nodes[:count]

    async def put(self, number: int) -> Revision:
        body = msgspec.json.encode(ServiceBody()).decode()
        request = PutDocument("service", f"service-{number}", body, 0, f"key-{number}")
        client = self.client(CONTROL, self.control, "operator")
        result = await client.execute(request, PutResult, timeout_s=GIVE_UP_S)
        return result.document.revision

    async def wait_in_force(self, revision: Revision) -> float:
        """Return the time at which the last node began to act on a revision."""
        for node in self.nodes:
            await node.wait_in_force(revision)
        return max(node.in_force_at[revision] for node in self.nodes)


async def _run_scenario(scenario: str, lost_nodes: int, cut_off_s: float) -> SpreadResult:
    seconds: list[float] = []
    async with anyio.create_task_group() as tasks:
        fleet = _Fleet(tasks)
        await anyio.sleep(SETTLE_S)
        joined = sum(node.loop.has_lease for node in fleet.nodes)
        if joined != NODES:
            raise RuntimeError(f"only {joined} of {NODES} nodes have a lease")
        fleet.lose_nodes(lost_nodes)
        if cut_off_s:
            fleet.world.cut_off.add(REGIONS[0])
            tasks.start_soon(_heal, fleet.world, cut_off_s)
        source = random.Random(scenario)
        for number in range(CHANGES):
            began = anyio.current_time()
            revision = await fleet.put(number)
            seconds.append(await fleet.wait_in_force(revision) - began)
            await anyio.sleep(source.uniform(0, CHANGE_EVERY_S))
        tasks.cancel_scope.cancel()
    ordered = sorted(seconds)
    return SpreadResult(
        scenario=scenario,
        nodes=NODES,
        lost_nodes=lost_nodes,
        cut_off_s=cut_off_s,
        seconds=tuple(round(value, 3) for value in seconds),
        median_s=round(ordered[len(ordered) // 2], 3),
        highest_s=round(ordered[-1], 3),
    )


async def _heal(world: _World, after_s: float) -> None:
    await anyio.sleep(after_s)
    world.cut_off.clear()


def measure_spread() -> SpreadReport:
    """Run all scenarios."""
    scenarios = (("quiet", 0, 0.0), ("nodes lost", 20, 0.0), ("region cut off", 0, CUT_OFF_S))
    return SpreadReport(
        tuple(run_simulation(partial(_run_scenario, *scenario), seed=1) for scenario in scenarios)
    )


def run(report: Path | None) -> int:
    """Measure, print and write ``configuration-spread.json``."""
    configure_logging(RingLog(RING_LINES))
    result = measure_spread()
    for row in result.results:
        print(
            f"{row.scenario}: {row.nodes} nodes, {row.lost_nodes} lost, "
            f"cut off for {row.cut_off_s:g} s: median {row.median_s} s, "
            f"highest {row.highest_s} s, all {row.seconds}"
        )
    if report is not None:
        encoded = msgspec.json.format(msgspec.json.encode(result), indent=1)
        (report / REPORT_FILE).write_bytes(encoded)
    return 0


if __name__ == "__main__":
    sys.exit(run(None))
