"""A fleet of processes as a replay sees it: callers over HTTP, faults by signals."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_files import ProcessKind
from passlane.bench.fleet_process import FleetError
from passlane.emulator.application_app import ForcedBehaviour
from passlane.emulator.caller import Caller
from passlane.emulator.engine_app import EngineQuiet
from passlane.emulator.platform_model import LEAVING
from passlane.identifiers import NodeId, ProgramId, TenantId
from passlane.messages.backends import CacheSnapshot, LedgerLine, PlatformMachine
from passlane.messages.common import Address
from passlane.messages.store import Assignments, ReadAssignments
from passlane.messages.traces import FaultInjected, FaultKind
from passlane.programs.partitions import partition_of
from passlane.replication.client import GroupClient
from passlane.runtime.delayed_network import DelayedNetwork
from passlane.runtime.interfaces import Environment, HttpRequest, Network
from passlane.runtime.network import TcpNetwork
from passlane.runtime.real import build_environment
from passlane.settings.model import SimulatedDelaySettings
from passlane.transport.client import ConnectionPool

QUERY_TIMEOUT_S = 5.0
ZONE_OF_CALLERS = "callers"
ZONE_OF_NODES = "nodes"


class ProcessReplayFleet:
    """Implements ``ReplayFleet`` over a running fleet of processes."""

    def __init__(
        self, fleet: Fleet, environment: Environment, store: GroupClient, tasks: TaskGroup
    ) -> None:
        self._fleet = fleet
        self._environment = environment
        self._store = store
        self._tasks = tasks
        self._tokens = fleet.caller_tokens()

    def caller(self, tenant: TenantId) -> Caller:
        """Return a caller of a tenant that knows all nodes."""
        addresses = [self._fleet.callers_address(name) for name in self._fleet.node_names()]
        return Caller(self._environment.http_client, addresses, self._tokens[tenant])

    async def inject(self, fault: FaultInjected, program_id: str | None) -> None:
        """Let something fail; see ``FaultInjected``."""
        match fault.kind:
            case FaultKind.KILL_LEADER:
                await self._kill_leader(program_id, fault.restart_after_s)
            case FaultKind.RESTART_ENGINES:
                for address in self._addresses(ProcessKind.ENGINE):
                    await self._request("POST", address, "/v1/test/restart")
            case FaultKind.DISTURB_TOOL:
                # Which application has the tool does not matter: the others never see it.
                forced = ForcedBehaviour(fault.target, fault.behaviour, program_id)
                for address in self._addresses(ProcessKind.APPLICATION):
                    await self._request("POST", address, "/v1/test/behaviour", forced)
            case FaultKind.ENGINE_LEAVES:
                leaving = PlatformMachine(name=fault.target, state=LEAVING)
                for address in self._addresses(ProcessKind.PLATFORM):
                    await self._request("POST", address, "/v1/test/machines", leaving)

    async def leader_of(self, program_id: str) -> NodeId:
        """Return the node that leads a program, as the store records it."""
        answer = await self._store.execute(
            ReadAssignments(), Assignments, timeout_s=QUERY_TIMEOUT_S
        )
        ordered = sorted(answer.assignments, key=lambda one: one.partition)
        return ordered[partition_of(ProgramId(program_id), len(ordered))].node_id

    async def ledger(self) -> Sequence[LedgerLine]:
        """Return the ledgers of all applications."""
        lines: list[LedgerLine] = []
        for address in self._addresses(ProcessKind.APPLICATION):
            content = await self._request("GET", address, "/v1/ledger")
            lines += msgspec.json.decode(content, type=list[LedgerLine])
        return lines

    async def held_programs(self) -> int:
        """Return for how many programs the engines hold memory."""
        programs: set[ProgramId] = set()
        for address in self._addresses(ProcessKind.ENGINE):
            content = await self._request("GET", address, "/v1/cache")
            snapshot = msgspec.json.decode(content, type=CacheSnapshot)
            programs.update(entry.program_id for entry in snapshot.entries)
        return len(programs)

    async def engine_quiet_s(self, engine: str) -> float | None:
        """Return the seconds since an engine's last request; ``None`` if it got none."""
        address = self._fleet.processes[engine].file.health
        content = await self._request("GET", address, "/v1/test/quiet")
        return msgspec.json.decode(content, type=EngineQuiet).quiet_s

    async def _kill_leader(self, program_id: str | None, restart_after_s: float) -> None:
        """Kill the node that leads a program, and start it again later."""
        if program_id is None:
            raise FleetError("the fault's program is not known yet")
        name = await self.leader_of(program_id)
        self._fleet.kill(name)
        self._tasks.start_soon(self._start_later, name, restart_after_s)

    async def _start_later(self, name: str, delay_s: float) -> None:
        """Start a killed process again."""
        await anyio.sleep(delay_s)
        self._fleet.start(name)

    def _addresses(self, kind: ProcessKind) -> list[Address]:
        """Return the addresses of the back ends of a kind."""
        return [self._fleet.processes[name].file.health for name in self._fleet.names(kind)]

    async def _request(
        self, method: str, address: Address, path: str, body: msgspec.Struct | None = None
    ) -> bytes:
        """Return the body of a back end's answer."""
        content = b"" if body is None else msgspec.json.encode(body)
        request = HttpRequest(method=method, address=address, path=path, body=content)
        async with self._environment.http_client.exchange(request) as response:
            return b"".join([part async for part in response.chunks()])


def _network_of_callers(fleet: Fleet, delay_s: float) -> Network:
    """Return a network on which all hosts with nodes are so far away."""
    hosts = {fleet.callers_address(name).host for name in fleet.node_names()}
    delays = SimulatedDelaySettings(
        zone_of_host=dict.fromkeys(hosts, ZONE_OF_NODES), other_zone_s=delay_s
    )
    return DelayedNetwork(TcpNetwork(), ZONE_OF_CALLERS, delays)


@asynccontextmanager
async def process_replay_fleet(
    fleet: Fleet, caller_delay_s: float = 0.0
) -> AsyncIterator[ProcessReplayFleet]:
    """Give the fleet as a replay sees it, with connections that are closed at the end.

    Parameters
    ----------
    fleet
        A running fleet.
    caller_delay_s
        One-way delay between callers and nodes, added on the callers' side.
    """
    environment = build_environment(
        fleet.folder, seed=None, network=_network_of_callers(fleet, caller_delay_s)
    )
    pool = ConnectionPool(environment)
    store = GroupClient(pool, fleet.store_addresses(), environment.random)
    failures: list[FleetError] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        try:
            yield ProcessReplayFleet(fleet, environment, store, tasks)
        except FleetError as error:
            # Raised below, outside the group, for callers that catch it by its type.
            failures.append(error)
        tasks.cancel_scope.cancel()
    if failures:
        raise failures[0]
