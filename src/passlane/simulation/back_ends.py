"""Emulated engines, applications and the platform's list on simulated hosts."""

import random
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from passlane.emulator.application_app import build_tool_application
from passlane.emulator.application_model import ApplicationModel, ApplicationSettings, Handling
from passlane.emulator.engine_app import build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.emulator.platform_app import build_platform_application
from passlane.emulator.platform_model import PlatformModel
from passlane.identifiers import EngineId
from passlane.messages.backends import EngineChatRequest
from passlane.messages.common import Address
from passlane.runtime.interfaces import AsgiApplication
from passlane.simulation.event_log import EventLog
from passlane.simulation.fleet_plan import (
    APPLICATION_PORT,
    ENGINE_PORT,
    PLATFORM_HOST,
    PLATFORM_PORT,
)
from passlane.simulation.network import SimulatedNetwork
from passlane.simulation.observer import Observations, SeenPrompt, SeenToolRun

PLATFORM_LAG_S = 2.0
CHAT_PATH = "/v1/chat/completions"


@dataclass(frozen=True)
class BackEndMachine:
    """What an emulated back end runs on: its name, its host, its source of randomness."""

    name: str
    host: str
    network: SimulatedNetwork
    generator: random.Random


@dataclass(frozen=True)
class Witness:
    """Where back ends note what arrives: for the reader of a run, and for its checks."""

    event_log: EventLog
    observations: Observations


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

    async def run(self) -> None:
        """Serve until cancelled."""
        raise NotImplementedError

    async def _serve(self, application: AsgiApplication) -> None:
        server = ByteStreamHttpServer(self._network.host(self.host))
        await server.serve(self.address, application)


class SimulatedEngine(_BackEnd):
    """An emulated engine; its memory does not outlive a restart."""

    def __init__(
        self, machine: BackEndMachine, settings: EngineModelSettings, witness: Witness
    ) -> None:
        super().__init__(machine.name, Address(machine.host, ENGINE_PORT), machine.network)
        self._event_log = witness.event_log
        self._seen = witness.observations
        self.service = EngineService(
            settings, EngineId(machine.name), machine.generator, incarnation=1
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.service.run)
            tasks.start_soon(self._serve, self._observe)

    async def _observe(self, scope: Any, receive: Any, send: Any) -> None:
        """Note a prompt that arrives, then let the emulated engine answer."""
        application = build_engine_application(self.service)
        if scope["path"] != CHAT_PATH:
            await application(scope, receive, send)
            return
        event = await receive()
        prompt = msgspec.json.decode(event["body"], type=EngineChatRequest)
        version = self.service.settings.software_version
        self._seen.prompts.append(SeenPrompt(anyio.current_time(), self.name, prompt, version))
        self._event_log.record("prompt", f"{self.name} {prompt.program_id}")
        pending = [event]

        async def replay() -> Any:
            return pending.pop() if pending else await receive()

        await application(scope, replay, send)

    def crash_and_restart(self) -> None:
        """Lose all memory and connections; the engine is back at once."""
        self._event_log.record("engine", f"{self.name} restarts")
        self.service.restart()
        self._network.break_connections(self.host)

    def release(self, software_version: str) -> None:
        """Start again, as above, with another software version."""
        settings = self.service.settings
        self.service.settings = msgspec.structs.replace(settings, software_version=software_version)
        self.crash_and_restart()

    def held_programs(self) -> dict[str, int]:
        """Return the tokens held for each program."""
        snapshot = self.service.model.cache_snapshot()
        return {entry.program_id: entry.tokens for entry in snapshot.entries}


class _ObservedApplicationModel(ApplicationModel):
    """Notes the time of each line of the ledger."""

    def __init__(
        self, machine: BackEndMachine, settings: ApplicationSettings, witness: Witness
    ) -> None:
        super().__init__(settings, machine.generator)
        self._name = machine.name
        self._event_log = witness.event_log
        self._seen = witness.observations

    def run(self, handling: Handling) -> None:
        """Run an operation and note it."""
        super().run(handling)
        request = handling.request
        self._event_log.record("ran", f"{self._name} {handling.tool} {request.arguments}")
        self._seen.tool_runs.append(
            SeenToolRun(time=anyio.current_time(), arguments=request.arguments)
        )


class SimulatedApplication(_BackEnd):
    """An emulated application with its ledger."""

    def __init__(
        self, machine: BackEndMachine, settings: ApplicationSettings, witness: Witness
    ) -> None:
        super().__init__(machine.name, Address(machine.host, APPLICATION_PORT), machine.network)
        self.model = _ObservedApplicationModel(machine, settings, witness)

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
