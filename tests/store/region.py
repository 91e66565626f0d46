"""A region of one store replica and nodes with real heartbeat loops, on a virtual clock.

The control group is a stub.
"""

import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec

from passlane.messages.common import Address
from passlane.node.heartbeat import HeartbeatLoop
from passlane.simulation.runner import run_simulation
from passlane.store.machine import StoreStateMachine
from passlane.store.service import StoreService
from store.service_fixture import (
    CONTROL,
    STORE,
    ControlStub,
    DirectCaller,
    OneReplicaGroup,
    RecordingListener,
    settings_of,
)

PLATFORM = Address("127.0.0.1", 3)


class Region:
    """One store replica, a control group stub and nodes in one task group."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        retention_s: float = 3600.0,
        http_client: Any = None,
    ) -> None:
        self.tasks = tasks
        self.caller = DirectCaller()
        self.control = ControlStub(self.caller.routers[CONTROL])
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.machine = StoreStateMachine()
        self.group = OneReplicaGroup(self.machine)
        environment: Any = SimpleNamespace(http_client=http_client)
        settings = settings_of("store")
        if http_client is not None:
            node = msgspec.structs.replace(settings.node, platform_list=PLATFORM)
            settings = msgspec.structs.replace(settings, node=node)
        service = StoreService(
            self.group,
            self.machine,
            settings,
            environment,
            self.caller.routers[STORE],
            self.caller.client_of(CONTROL),
            retention_s=retention_s,
        )
        tasks.start_soon(service.run)

    def start_node(self, name: str) -> tuple[HeartbeatLoop, RecordingListener]:
        listener = RecordingListener()
        loop = HeartbeatLoop(
            settings_of(name),
            self.caller.client_of(STORE),
            listener,
            random.Random(name),
            incarnation=7,
        )
        self.scopes[name] = anyio.CancelScope()
        self.tasks.start_soon(self._run_node, loop, self.scopes[name])
        return loop, listener

    async def _run_node(self, loop: HeartbeatLoop, scope: anyio.CancelScope) -> None:
        with scope:
            await loop.run()

    def stop_node(self, name: str) -> None:
        self.scopes[name].cancel()


def simulate(scenario: Callable[[Region], Awaitable[None]], **options: Any) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(Region(tasks, **options))
            tasks.cancel_scope.cancel()

    run_simulation(main, seed=1)
