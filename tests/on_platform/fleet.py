"""A simulated fleet on a virtual clock: control, store and node processes, and the platform."""

import inspect
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import trio.testing

from on_platform.stand_in import StandInEngine, StandInList, configuration
from passlane.daemon.fleet.context import FleetContext
from passlane.daemon.fleet.control import FleetControl
from passlane.daemon.fleet.node import FleetNode
from passlane.daemon.fleet.store import FleetStore
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.observability.metrics import Metrics
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest
from passlane.settings.fleet import (
    BackendListSettings,
    FaultToleranceSettings,
    FleetAddressSettings,
    FleetProcessSettings,
    FleetSettings,
    QuotaSettings,
    TurnSettings,
)
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.environment import build_simulated_environment
from passlane.simulation.event_log import EventLog
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

INTERNAL_PORT = 7000
CALLERS_PORT = 8001
READINESS_PORT = 8002
OPERATORS_PORT = 8003
LIST_ADDRESS = Address("10.9.0.1", 80)
CLIENT_HOST = "10.8.0.1"
_PROCESS_OF_ROLE = {
    FleetRole.CONTROL: FleetControl,
    FleetRole.STORE: FleetStore,
    FleetRole.NODE: FleetNode,
}


@dataclass
class Machine:
    """One machine of the fleet; its disk is retained when its process ends."""

    name: str
    role: FleetRole
    host: str
    disk: SimulatedDisk
    is_first_start: bool = True
    scope: anyio.CancelScope | None = None
    process: object = None
    start_count: int = 0


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes
    is_complete: bool


class Fleet:
    """The machines by name, with the requests of clients and operators to them."""

    def __init__(self, tasks, seed, tolerated_losses, engines):
        self.tolerated_losses = tolerated_losses
        self.places_turns = True
        self.tasks = tasks
        self.seed = seed
        self.random = random.Random(seed)
        self.network = SimulatedNetwork(random.Random(seed), DelayModel({}), EventLog())
        self.machines = {}
        self.engines = [
            StandInEngine(f"i-{n}", Address(f"10.7.0.{n}", 80), "models")
            for n in range(1, engines + 1)
        ]
        self.list = StandInList(self.engines)
        self.ended_engines = []
        self.started_engines = 0
        self.client = SingleConnectionHttpClient(self.network.host(CLIENT_HOST))

    def add(self, role, number):
        """Add a machine without starting it."""
        role_index = list(FleetRole).index(role)
        host = f"10.{role_index}.0.{number}"
        name = f"{role.value}-{number}"
        disk = SimulatedDisk(random.Random(f"{self.seed} {name}"))
        self.machines[name] = Machine(name, role, host, disk)
        return self.machines[name]

    def build_settings(self, machine):
        controls = [m.host for m in self.machines.values() if m.role is FleetRole.CONTROL]
        host = machine.host
        return FleetSettings(
            process=FleetProcessSettings(
                name=machine.name,
                role=machine.role,
                zone="a",
                data_folder="data",
                is_first_start=machine.is_first_start,
            ),
            addresses=FleetAddressSettings(
                internal=Address(host, INTERNAL_PORT),
                callers=Address(host, CALLERS_PORT),
                readiness=Address(host, READINESS_PORT),
                operators=Address(host, OPERATORS_PORT),
            ),
            seeds=tuple(Address(seed, OPERATORS_PORT) for seed in controls[:3]),
            backend_list=BackendListSettings(address=LIST_ADDRESS, rate_per_s=40.0),
            fault_tolerance=FaultToleranceSettings(machines=self.tolerated_losses),
            quotas=QuotaSettings(window_s=5.0, overage=0.1, slack_requests=20.0),
            turns=TurnSettings(are_placed_by_store=self.places_turns),
        )

    def start(self, name):
        machine = self.machines[name]
        machine.start_count += 1
        machine.scope = anyio.CancelScope()
        self.network.reconnect(machine.host)
        self.tasks.start_soon(self._run_process, machine, machine.scope)

    async def _run_process(self, machine, scope):
        environment = build_simulated_environment(
            self.network.host(machine.host),
            machine.disk,
            random.Random(f"{self.seed} {machine.name} {machine.start_count}"),
        )
        settings = self.build_settings(machine)
        pool = ConnectionPool(environment)
        router = MessageRouter()
        context = FleetContext(settings, environment, pool, router, Metrics())
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pool.run)
                server = MessageServer(environment, settings.addresses.internal, router)
                tasks.start_soon(server.run)
                machine.process = _PROCESS_OF_ROLE[machine.role](context)
                await machine.process.run()
                tasks.cancel_scope.cancel()

    def kill(self, name, *, wipe=False, power=True):
        """Kill a machine's process; its next start doesn't count as its first."""
        machine = self.machines[name]
        machine.is_first_start = False
        machine.scope.cancel()
        machine.scope = None
        if power:
            machine.disk.lose_power()
        else:
            machine.disk.kill_process()
        self.network.drop_connections(machine.host, reset_peers=True)
        self.network.remove_listeners(machine.host)
        if wipe:
            machine.disk = SimulatedDisk(random.Random(f"{self.seed} {name} {machine.start_count}"))

    async def serve_platform(self):
        for address, application in [
            (LIST_ADDRESS, self.list),
            *((engine.address, engine) for engine in self.engines),
        ]:
            self._serve(address, application)

    def _serve(self, address, application):
        environment = build_simulated_environment(
            self.network.host(address.host), None, random.Random(0)
        )
        self.tasks.start_soon(environment.http_server.serve, address, application)

    async def fetch(self, address, method, path, headers=None, body=b"", timeout_s=6.0):
        """Send one request; return its answer or ``None``."""
        request = HttpRequest(method, address, path, headers or {}, body, True)
        return await self._exchange(request, timeout_s)

    async def _exchange(self, request, timeout_s):
        try:
            with anyio.fail_after(timeout_s):
                async with self.client.exchange(request) as response:
                    parts = bytearray()
                    is_complete = False
                    try:
                        async for part in response.chunks():
                            parts += part
                        is_complete = True
                    except HttpConnectionError:
                        pass
                    return Answer(
                        response.status, dict(response.headers), bytes(parts), is_complete
                    )
        except (HttpConnectionError, TimeoutError):
            return None

    async def operator_request(self, method, path, body=b"", *, name="control-1"):
        address = Address(self.machines[name].host, OPERATORS_PORT)
        return await self.fetch(address, method, path, {}, body, timeout_s=1.5)

    async def put_configuration(self, version, **changes):
        """Retry a configuration at random control replicas until one acknowledges it."""
        body = configuration(version, **changes)
        with anyio.fail_after(30):
            while True:
                names = [m.name for m in self.running(FleetRole.CONTROL)]
                answer = await self.operator_request(
                    "POST", "/api/config/put", body, name=self.random.choice(names)
                )
                if answer is not None and answer.status == 200:
                    return body
                await anyio.sleep(0.1)

    async def put_configuration_once(self, version, **changes):
        """Retry a configuration until the answer is no server error; return that answer."""
        with anyio.fail_after(30):
            while True:
                body = configuration(version, **changes)
                answer = await self.operator_request("POST", "/api/config/put", body)
                if answer is not None and answer.status < 500:
                    return answer
                await anyio.sleep(0.1)

    async def stream(
        self, request_id, *, node="node-1", resumes=None, last_event_id=None, **headers
    ):
        """Send one request of a resumable stream to a node."""
        resumed = {"last_event_id": last_event_id, "resumes": resumes}
        headers |= {name: value for name, value in resumed.items() if value is not None}
        return await self.turn(request_id, node=node, path="/streams/x", **headers)

    async def turn(
        self,
        request_id,
        *,
        node="node-1",
        previous=None,
        budget=10_000,
        path="/turns/x",
        body=None,
        timeout_s=6.0,
        **headers,
    ):
        """Send one turn of a program to a node; its id is in its body if that is not given.

        Its caller leaves after ``timeout_s``.
        """
        address = Address(self.machines[node].host, CALLERS_PORT)
        all_headers = {
            "x-passlane-attempt-id": request_id,
            "x-passlane-program-id": "program",
            "x-passlane-session-id": "session",
            "x-passlane-program-deadline-ms": "9000",
            "x-passlane-token-budget": str(budget),
            "x-passlane-token-usage": "100,30",
            "x-passlane-deadline-ms": "4000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        if previous is not None:
            all_headers["x-passlane-previous-turn"] = previous
        all_headers = {name: value for name, value in all_headers.items() if value is not None}
        request = HttpRequest(
            "POST",
            address,
            path,
            all_headers,
            f"<{request_id}>".encode() if body is None else body,
            True,
            "one.example",
        )
        return await self._exchange(request, timeout_s)

    async def tool_call(
        self, request_id, *, node="node-1", path="/calls/x", body=b"", timeout_s=6.0, **headers
    ):
        """Send one tool call to a node; its caller leaves after ``timeout_s``."""
        address = Address(self.machines[node].host, CALLERS_PORT)
        all_headers = {
            "x-passlane-attempt-id": request_id,
            "x-passlane-program-id": "program",
            "x-passlane-deadline-ms": "3000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        request = HttpRequest("POST", address, path, all_headers, body, True, "one.example")
        return await self._exchange(request, timeout_s)

    async def retry_turn(self, request_id, **options):
        """Retry a turn with another id each time until it completes; return that id."""
        with anyio.fail_after(30):
            for number in range(1_000):
                attempt = f"{request_id}.{number}"
                answer = await self.turn(attempt, **options)
                if answer is not None and answer.status == 200 and answer.is_complete:
                    return attempt
                await anyio.sleep(0.1)
        raise AssertionError("no attempt of the turn completed")

    def running(self, role):
        return [m for m in self.machines.values() if m.role is role and m.scope is not None]

    def engine_of(self, request_id):
        """Return the engine that ran a request; ``None`` if none did."""
        for engine in self.engines:
            if any(run_id == request_id for run_id, _ in engine.runs):
                return engine
        return None

    def lose_engine(self, engine):
        """End an engine; the list names it still."""
        self.network.drop_connections(engine.address.host, reset_peers=True)
        self.network.remove_listeners(engine.address.host)

    def end_engines_under(self, body, *, end_after_s=0.0, restart_s=0.3):
        """Have each engine end after it began to run this body; another one starts later."""

        def on_run(engine, run_body):
            if run_body.endswith(body):
                self.tasks.start_soon(self.replace_engine, engine, end_after_s, restart_s)

        for engine in self.engines:
            engine.on_run = on_run

    async def replace_engine(
        self, engine, end_after_s, restart_s, *, turns_silent=False, keeps_id=False
    ):
        """End an engine, and start one at its address; it has another id unless told."""
        await anyio.sleep(end_after_s)
        if engine not in self.engines or engine in self.ended_engines:
            return
        self.ended_engines.append(engine)
        if turns_silent:
            self.network.isolate(engine.address.host)
        else:
            self.lose_engine(engine)
        await anyio.sleep(restart_s)
        if turns_silent:
            self.lose_engine(engine)
            self.network.reconnect(engine.address.host)
        self.started_engines += 1
        instance_id = f"{engine.instance_id.partition('.')[0]}.{self.started_engines}"
        if keeps_id:
            instance_id = engine.instance_id
        started = StandInEngine(instance_id, engine.address, engine.service)
        started.on_run = engine.on_run
        started.harm = engine.harm
        started.event_delay_s = engine.event_delay_s
        if engine.born_ms is not None:
            started.born_ms = engine.born_ms + 1
        self.engines[self.engines.index(engine)] = started
        self._serve(engine.address, started)

    def harm_engines(self, harm):
        """Have each engine suffer what ``harm`` says when it begins to run its body."""

        def on_run(engine, run_body):
            if harm.is_in(run_body) and engine not in self.ended_engines:
                self.tasks.start_soon(self._harm_engine, engine, harm)

        for number, engine in enumerate(self.engines):
            engine.on_run = on_run
            engine.harm = harm
            if harm.keeps_id:
                engine.born_ms = 1_000_000 * (number + 1)

    async def _harm_engine(self, engine, harm):
        await self.replace_engine(
            engine,
            harm.end_after_s,
            harm.restart_s,
            turns_silent=harm.turns_silent,
            keeps_id=harm.keeps_id,
        )

    def runs_of(self, body):
        """Return the engines, present and ended, that ran a request with this body, in order."""
        present = [engine for engine in self.engines if engine not in self.ended_engines]
        engines = [*present, *self.ended_engines]
        runs = [
            (ran_at, engine.instance_id)
            for engine in engines
            for ran_at, (_, run_body) in zip(engine.run_times, engine.runs, strict=True)
            if run_body.endswith(body)
        ]
        return [instance_id for _, instance_id in sorted(runs)]

    def engines_under(self, body):
        """Return the ids of the engines, present and ended, that ran this body, one a process."""
        engines = {id(engine): engine for engine in [*self.engines, *self.ended_engines]}
        return [
            engine.instance_id
            for engine in engines.values()
            if any(run_body.endswith(body) for _, run_body in engine.runs)
        ]

    def executed_body(self, request_id):
        """Return the body that an engine received for a request; ``None`` if no engine ran it."""
        for engine in self.engines:
            for run_id, body in engine.runs:
                if run_id == request_id:
                    return body
        return None

    async def is_not_ready(self, node):
        address = Address(self.machines[node].host, READINESS_PORT)
        answer = await self.fetch(address, "GET", "/api/readyz", timeout_s=1.0)
        return answer is not None and answer.status == 503

    async def wait_until_ready(self, node="node-1", timeout_s=20.0):
        address = Address(self.machines[node].host, READINESS_PORT)
        with anyio.fail_after(timeout_s):
            while True:
                answer = await self.fetch(address, "GET", "/api/readyz", timeout_s=1.0)
                if answer is not None and answer.status == 200:
                    return
                await anyio.sleep(0.1)

    async def wait_until(self, condition, timeout_s=30.0):
        """Wait until a condition, which may be asynchronous, is true."""
        with anyio.fail_after(timeout_s):
            while True:
                value = condition()
                if inspect.isawaitable(value):
                    value = await value
                if value:
                    return
                await anyio.sleep(0.05)

    def store_leader(self):
        """Return the store machine that leads; one that was wiped has no replica at first."""
        (leader,) = (
            machine
            for machine in self.running(FleetRole.STORE)
            if machine.process.replica is not None and machine.process.replica.is_leader
        )
        return leader

    def store_voters(self, name):
        """Return the hosts of the voters in the membership of one store replica."""
        process = self.machines[name].process
        host = process.replica if process is not None else None
        return {m.address.host for m in host.members if m.is_voter} if host else set()


@asynccontextmanager
async def running_fleet(
    seed, controls=3, stores=3, nodes=2, tolerated_losses=1, engines=3, during_start=None
):
    """Run a fleet with a configuration; it tolerates the loss of ``tolerated_losses`` machines.

    ``during_start`` is an async function of the fleet that runs while it starts.
    """
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, seed, tolerated_losses, engines)
        for role, count in (
            (FleetRole.CONTROL, controls),
            (FleetRole.STORE, stores),
            (FleetRole.NODE, nodes),
        ):
            for number in range(1, count + 1):
                fleet.add(role, number)
        await fleet.serve_platform()
        for name in fleet.machines:
            fleet.start(name)
        if during_start is not None:
            tasks.start_soon(during_start, fleet)
        await fleet.put_configuration(1)
        for number in range(1, nodes + 1):
            await fleet.wait_until_ready(f"node-{number}")
        yield fleet
        tasks.cancel_scope.cancel()


def run_on_virtual_clock(main, seed=0):
    """Run an async function on a virtual clock, with trio's scheduling seeded."""
    from trio._core import _run

    _run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
