"""A simulated fleet: daemons, back ends, callers, operators, and the faults between them."""

import itertools
import random
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.emulator.application_model import ApplicationSettings
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.simulation.back_ends import (
    BackEndMachine,
    SimulatedApplication,
    SimulatedEngine,
    SimulatedPlatform,
    Witness,
)
from passlane.simulation.callers import MODEL, TOOL, SimulatedCallers
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.event_log import EventLog
from passlane.simulation.fleet_plan import TOOL_PRICE_MICROS, FleetPlan
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.observer import Observations, PlannedStop
from passlane.simulation.operators import SimulatedOperators
from passlane.simulation.process import SimulatedProcess
from passlane.simulation.readiness import READY_PATH, READY_TIMEOUT_S, wait_for_ready
from passlane.simulation.replacement import Replacement, replaced
from passlane.simulation.simulated_clients import SimulatedClients

ClientsType = TypeVar("ClientsType", bound=SimulatedClients)
ENGINE_SETTINGS = EngineModelSettings(answer_tokens_min=4, answer_tokens_max=20, step_base_s=0.006)
"""Few long steps: streams last as long as usual but cost a run fewer messages."""
APPLICATION_SETTINGS = ApplicationSettings(tools=(TOOL,))


class FleetNotReadyError(Exception):
    """The fleet did not come up, although nothing was disturbed."""


@dataclass
class ClusterOptions:
    """What differs between fleets besides their plan.

    Attributes
    ----------
    wrap_disk
        Changes each new disk, to seed a defect.
    replacements
        Parts of the product that are replaced while the fleet runs, to seed a defect.
    engine_versions
        Software versions that the engines run in turn; empty: they tell none.
    """

    engine: EngineModelSettings = ENGINE_SETTINGS
    engine_versions: tuple[str, ...] = ()
    application: ApplicationSettings = APPLICATION_SETTINGS
    wrap_disk: Callable[[SimulatedDisk], SimulatedDisk] = field(default=lambda disk: disk)
    replacements: tuple[Replacement, ...] = ()


def _engine_settings(options: ClusterOptions) -> Iterator[EngineModelSettings]:
    """Yield the settings of one engine after the other, without end."""
    for version in itertools.cycle(options.engine_versions or ("",)):
        yield msgspec.structs.replace(options.engine, software_version=version)


class Cluster:
    """A running fleet; made by ``run_cluster``."""

    def __init__(
        self, plan: FleetPlan, seed: int, options: ClusterOptions, tasks: TaskGroup
    ) -> None:
        self.plan = plan
        self.random = random.Random(f"{seed} scenario")
        self.event_log = EventLog()
        self.observations = Observations(engine_settings=options.engine)
        self._seed = seed
        self._tasks = tasks
        delays = DelayModel(plan.zone_of_host())
        self.network = SimulatedNetwork(random.Random(f"{seed} network"), delays, self.event_log)
        self.processes = {
            name: self._build_process(name, options)
            for name in plan.store_names() + plan.node_names()
        }
        witness = Witness(self.event_log, self.observations)
        self.engines = {
            name: SimulatedEngine(self._machine_of(name), settings, witness)
            for name, settings in zip(plan.engine_names(), _engine_settings(options), strict=False)
        }
        self.applications = {
            name: SimulatedApplication(self._machine_of(name), options.application, witness)
            for name in plan.application_names()
        }
        self.platform = SimulatedPlatform(list(self.engines), self.network)
        self.callers = self._build_clients(SimulatedCallers, "callers")
        self.operators = self._build_clients(SimulatedOperators, "operators")

    def _build_process(self, name: str, options: ClusterOptions) -> SimulatedProcess:
        disk = options.wrap_disk(SimulatedDisk(random.Random(f"{self._seed} disk {name}")))
        return SimulatedProcess(
            self.plan.settings_of(name),
            self.network,
            disk,
            self._seed,
            self.event_log,
        )

    def _machine_of(self, name: str) -> BackEndMachine:
        generator = random.Random(f"{self._seed} {name}")
        return BackEndMachine(name, self.plan.host_of(name), self.network, generator)

    def _build_clients(self, kind: type[ClientsType], name: str) -> ClientsType:
        return kind(
            self.plan,
            self.network,
            self.observations,
            self.event_log,
            random.Random(f"{self._seed} {name}"),
        )

    # Life of the fleet.

    async def start(self) -> None:
        """Start everything, wait until it is ready, and submit the configuration."""
        back_ends = [*self.engines.values(), *self.applications.values(), self.platform]
        for back_end in back_ends:
            self._tasks.start_soon(back_end.run)
        for process in self.processes.values():
            process.start(self._tasks)
        await self.wait_ready()
        await self._submit_configuration()
        self._tasks.start_soon(self.operators.watch_documents)

    async def wait_ready(self, names: Iterable[str] | None = None) -> None:
        """Wait until the processes say that they take work."""
        waiting = await wait_for_ready(self.processes if names is None else names, self._is_ready)
        if waiting:
            raise FleetNotReadyError(f"not ready within {READY_TIMEOUT_S} s: {waiting}")

    async def _is_ready(self, name: str) -> bool:
        answer = await self.operators.request(name, "GET", READY_PATH)
        return answer.is_whole and answer.status == 200

    async def _submit_configuration(self) -> None:
        revision = 0
        for kind, name, body in self.documents():
            key = f"first-{kind}-{name}"
            change = await self.operators.change(kind, name, body, 0, key, wait=False)
            revision = max(revision, change.revision or 0)
        if await self.operators.wait_in_force(revision) is None:
            raise FleetNotReadyError(f"revision {revision} did not come into force")

    def documents(self) -> list[tuple[str, str, Any]]:
        """Return the first documents: kind, name, body."""
        documents: list[tuple[str, str, Any]] = [
            ("engine", name, self._engine_body(engine)) for name, engine in self.engines.items()
        ]
        for name, application in self.applications.items():
            tool = {"name": TOOL, "repeatable": False, "price_micros": TOOL_PRICE_MICROS}
            body = {
                "address": msgspec.to_builtins(application.address),
                "zone": self.plan.zone_of_name(name),
                "tools": [{**tool, "timeout_s": 4.0}],
            }
            documents.append(("application", name, body))
        documents.append(("service", "service", {"models": [MODEL], "tools": [TOOL]}))
        for tenant in self.plan.tenants:
            documents.append(("tenant", tenant, {"service": "service"}))
        return documents

    def _engine_body(self, engine: SimulatedEngine) -> dict[str, Any]:
        settings = engine.service.settings
        return {
            "address": msgspec.to_builtins(engine.address),
            "zone": self.plan.zone_of_name(engine.name),
            "models": list(settings.models),
            "max_batch": settings.max_batch,
            "cache_tokens": settings.cache_tokens,
        }

    # Disturbances.

    def start_process(self, name: str) -> None:
        """Start a process again."""
        self.processes[name].start(self._tasks)

    async def stop_as_planned(self, name: str) -> None:
        """Stop a process by SIGTERM's way and note that it was planned."""
        began_at = anyio.current_time()
        await self.processes[name].stop()
        self.observations.planned_stops.append(PlannedStop(name, began_at))

    def cut_off(self, names: Iterable[str]) -> None:
        """Cut processes off from all other hosts, in silence."""
        names = list(names)
        hosts = {self.plan.host_of(name) for name in names}
        others = set(self.plan.zone_of_host()) - hosts
        self.event_log.record("cut", " ".join(names))
        self.network.cut(hosts, others)

    def cut_from_store(self, node: str) -> None:
        """Cut a node off from the store group, in silence; all others still reach it."""
        stores = {self.plan.host_of(store) for store in self.plan.store_names()}
        self.event_log.record("cut", f"{node} from the store")
        self.network.cut({self.plan.host_of(node)}, stores)

    def heal(self) -> None:
        """End all cuts."""
        self.event_log.record("heal", "")
        self.network.heal()

    def leader_of(self, group: str) -> str | None:
        """Return which store process leads ``control`` or ``store``, looking inside.

        Only for choosing whom to disturb; no invariant uses it.
        """
        for name in self.plan.store_names():
            daemon = self.processes[name].daemon
            if daemon is not None and daemon.leads(group):
                return name
        return None

    # The end of a run.

    async def finish(self, quiet_s: float) -> None:
        """Heal all, let the fleet settle, and take the last observations."""
        self.heal()
        for process in self.processes.values():
            self.network.reconnect(process.host)
            if not process.is_running:
                process.start(self._tasks)
        await anyio.sleep(quiet_s)
        for program in list(self.observations.programs.values()):
            await self.callers.read_final(program)
        for process in self.processes.values():
            await self.operators.read_documents(process.name)
            if process.failure is not None:
                self.observations.failures.append(f"{process.name}: {process.failure}")
        for name, engine in self.engines.items():
            self.observations.held_at_end[name] = engine.held_programs()


@asynccontextmanager
async def run_cluster(
    plan: FleetPlan,
    seed: int,
    options: ClusterOptions | None = None,
    announce: Callable[["Cluster"], None] = lambda _: None,
) -> AsyncIterator[Cluster]:
    """Give a started fleet; end it on leaving.

    ``announce`` is given the fleet before it starts, so that a start that fails can be
    looked into.
    """
    options = options or ClusterOptions()
    with replaced(options.replacements):
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(plan, seed, options, tasks)
            announce(cluster)
            await cluster.start()
            yield cluster
            tasks.cancel_scope.cancel()
