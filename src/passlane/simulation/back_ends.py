"""Emulated engines, applications and the platform's list on simulated hosts."""

import random

import anyio
from anyio.abc import TaskGroup

from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel, ApplicationSettings
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.identifiers import EngineId
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication
from passlane.simulation.event_log import EventLog
from passlane.simulation.fleet_plan import (
    APPLICATION_PORT,
    ENGINE_PORT,
    PLATFORM_HOST,
    PLATFORM_PORT,
)
from passlane.simulation.http_server import SimulatedHttpServer
from passlane.simulation.network import SimulatedNetwork

PLATFORM_LAG_S = 2.0


class _BackEnd:
    """Serves an ASGI application on a host of its own."""

    def __init__(self, name: str, address: Address, network: SimulatedNetwork) -> None:
        self.name = name
        self.address = address
        self._network = network
        self._scope: anyio.CancelScope | None = None

    @property
    def host(self) -> str:
        """IP number of the back end."""
        return self.address.host

    async def _serve(self, application: AsgiApplication) -> None:
        server = SimulatedHttpServer(self._network.host(self.host))
        await server.serve(self.address, application)


class SimulatedEngine(_BackEnd):
    """An emulated engine; its memory does not outlive a restart."""

    def __init__(
        self,
        name: str,
        host: str,
        settings: EngineModelSettings,
        network: SimulatedNetwork,
        seed: int,
        event_log: EventLog,
    ) -> None:
        super().__init__(name, Address(host, ENGINE_PORT), network)
        self._event_log = event_log
        self.service = EngineService(
            settings, EngineId(name), random.Random(f"{seed} {name}"), incarnation=1
        )
        self.is_down = False

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.service.run)
            tasks.start_soon(self._serve, build_engine_application(self.service))

    def crash_and_restart(self) -> None:
        """Lose all memory and connections; the engine is back at once."""
        self._event_log.record("engine", f"{self.name} restarts")
        self.service.restart()
        self._network.break_connections(self.host)

    def held_programs(self) -> dict[str, int]:
        """Return the tokens held for each program."""
        snapshot = self.service.model.cache_snapshot()
        return {entry.program_id: entry.tokens for entry in snapshot.entries}


class SimulatedApplication(_BackEnd):
    """An emulated application with its ledger."""

    def __init__(
        self,
        name: str,
        host: str,
        settings: ApplicationSettings,
        network: SimulatedNetwork,
        seed: int,
    ) -> None:
        super().__init__(name, Address(host, APPLICATION_PORT), network)
        self.model = ApplicationModel(settings, random.Random(f"{seed} {name}"))

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._serve(build_tool_application(self.model))


class SimulatedPlatform(_BackEnd):
    """The platform's lagging list of machines."""

    def __init__(self, machines: list[str], network: SimulatedNetwork) -> None:
        super().__init__("platform", Address(PLATFORM_HOST, PLATFORM_PORT), network)
        self.model = PlatformModel(machines, PLATFORM_LAG_S, now=0.0)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._serve(build_platform_application(self.model))


def start_back_ends(tasks: TaskGroup, back_ends: list[_BackEnd]) -> None:
    """Start serving all of them."""
    for back_end in back_ends:
        tasks.start_soon(back_end.run)  # type: ignore[attr-defined]
