"""Five regions of hollow nodes around real services, on a virtual clock.

Each region has a store leader; one control leader is far away from all of them.
Services, heartbeat loops and configuration views are the real ones; messages pass
through the real codec and take the delays below; groups commit after stated delays.
"""

import random
from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.bench.hollow import HollowGroup, HollowNode, hollow_settings
from passlane.configuration.documents import ServiceBody
from passlane.control.service import ControlService
from passlane.control.state.machine import ControlStateMachine
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Revision
from passlane.messages.base import Message, encode_message
from passlane.messages.common import Address
from passlane.messages.control import PutDocument, PutResult
from passlane.messages.registry import decode_any_message
from passlane.replication.client import GroupClient
from passlane.runtime.real import build_environment
from passlane.store.machine import StoreStateMachine
from passlane.store.service import StoreService
from passlane.transport.interfaces import Caller, ReplyType
from passlane.transport.router import MessageRouter

REGIONS = tuple(f"region-{number}" for number in range(5))
CONTROL = "control"
PARTITIONS = 128
ACCEPTANCE_POLL_S = 0.01
GIVE_UP_S = 30.0

SAME_REGION_S = 0.0015
OTHER_REGION_S = 0.060
STORE_COMMIT_S = 0.005
CONTROL_COMMIT_S = 0.120
"""One-way delays, and the time a group needs to commit: a round to a majority."""

PORT = 7000


class World:
    """Where the routers of the processes are, and which regions and nodes are cut off.

    A region is cut off from the others, a node from everything.
    """

    def __init__(self) -> None:
        self.routers: dict[Address, MessageRouter] = {}
        self.region_of: dict[Address, str] = {}
        self.cut_regions: set[str] = set()
        self.cut_nodes: set[str] = set()

    def add_process(self, region: str) -> tuple[Address, MessageRouter]:
        """Return the address and router of a new process."""
        address = Address(f"10.0.0.{len(self.routers)}", PORT)
        self.routers[address] = MessageRouter()
        self.region_of[address] = region
        return address, self.routers[address]

    def is_cut(self, sender: str, source: str, destination: str) -> bool:
        """Return whether nothing passes between a sender and a region now."""
        crosses = source != destination
        return sender in self.cut_nodes or (
            crosses and bool({source, destination} & self.cut_regions)
        )


class _DelayedCaller(Caller):
    """Calls handlers of this process after the delay between regions, by the codec."""

    def __init__(self, world: World, name: str, region: str) -> None:
        self._world = world
        self._name = name
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
        if self._world.is_cut(self._name, self._region, region):
            await anyio.sleep_forever()

    def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AbstractAsyncContextManager[AsyncIterator[Message]]:
        raise NotImplementedError

    async def send(self, address: Address, message: Message) -> None:
        raise NotImplementedError


class ConfigurationFleet:
    """All regions and their nodes; runs in ``tasks``.

    Attributes
    ----------
    accepted_at
        When the control group accepted each revision.
    """

    def __init__(self, tasks: TaskGroup, nodes: int) -> None:
        self._tasks = tasks
        self._environment = build_environment(Path("unused"), seed=1)
        self._control_machine = ControlStateMachine()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.world = World()
        self.accepted_at: dict[Revision, float] = {}
        self._acceptance = anyio.Event()
        self._control = self._start_control()
        self.nodes: list[HollowNode] = []
        stores = {region: self._start_store(region) for region in REGIONS}
        for number in range(nodes):
            region = REGIONS[number % len(REGIONS)]
            self._start_node(f"node-{number}", region, stores[region])

    def _client(self, name: str, region: str, address: Address) -> GroupClient:
        caller = _DelayedCaller(self.world, name, region)
        return GroupClient(caller, [address], random.Random(name))

    def _start_control(self) -> Address:
        address, router = self.world.add_process(CONTROL)
        group = HollowGroup(self._control_machine, CONTROL_COMMIT_S)
        service = ControlService(group, self._control_machine, router, regions=REGIONS)
        self._tasks.start_soon(service.run)
        self._tasks.start_soon(self._watch_acceptance)
        return address

    async def _watch_acceptance(self) -> None:
        known = 0
        while True:
            accepted = self._control_machine.ledger.accepted_revision
            for revision in range(known + 1, accepted + 1):
                self.accepted_at[Revision(revision)] = anyio.current_time()
            if accepted > known:
                known = accepted
                self._acceptance.set()
                self._acceptance = anyio.Event()
            await anyio.sleep(ACCEPTANCE_POLL_S)

    def _start_store(self, region: str) -> Address:
        address, router = self.world.add_process(region)
        machine = StoreStateMachine()
        group = HollowGroup(machine, STORE_COMMIT_S)
        settings = hollow_settings("store", region, PARTITIONS)
        control = self._client(f"store of {region}", region, self._control)
        service = StoreService(group, machine, settings, self._environment, router, control)
        self._tasks.start_soon(service.run)
        return address

    def _start_node(self, name: str, region: str, store: Address) -> None:
        settings = hollow_settings(name, region, PARTITIONS)
        node = HollowNode(settings, self._client(name, region, store), random.Random(name))
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
        """Submit a change as an operator and return its revision."""
        body = msgspec.json.encode(ServiceBody()).decode()
        request = PutDocument("service", f"service-{number}", body, 0, f"key-{number}")
        client = self._client("operator", CONTROL, self._control)
        result = await client.execute(request, PutResult, timeout_s=GIVE_UP_S)
        return result.document.revision

    async def wait_accepted(self, revision: Revision) -> float:
        """Return the time at which a revision was accepted."""
        while revision not in self.accepted_at:
            await self._acceptance.wait()
        return self.accepted_at[revision]


async def wait_in_force(nodes: Iterable[HollowNode], revision: Revision) -> float:
    """Return the time at which the last of ``nodes`` began to act on a revision."""
    chosen = tuple(nodes)
    for node in chosen:
        await node.wait_in_force(revision)
    return max(node.in_force_at[revision] for node in chosen)
