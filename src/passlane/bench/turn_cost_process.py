"""Processes of the turn-cost experiment: a store replica, and nodes that send turns.

Run as ``python -m passlane.bench.turn_cost_process ROLE SETUP_FILE``.
"""

import gc
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from passlane.bench.processor_samples import ProcessorSamples
from passlane.daemon.fleet.store import (
    ELECTION_TIMEOUT_S,
    FIRST_ELECTION_SHARE,
    HEARTBEAT_S,
    TURN_GROUP,
)
from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.errors import PasslaneError
from passlane.messages.common import Address
from passlane.messages.quotas import QuotaLimit, QuotaPurpose, QuotaRequest
from passlane.messages.turns import ReserveTurn, RetainedTurn, SettleTurn, TurnReserved
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.replication.replica_host import ReplicaHost
from passlane.runtime.real import build_environment
from passlane.settings.model import GroupSettings, PeerSettings
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer
from passlane.turns.client import TurnStoreClient
from passlane.turns.dispatch import TurnDispatcher
from passlane.turns.service import TurnService
from passlane.turns.state.machine import TurnStateMachine

REPLICA_ROLE = "replica"
NODES_ROLE = "nodes"
WARM_UP_S = 1.5
"""Turns of the first moments open connections and are not measured."""

ENGINE_S = 0.06
"""From a turn's reservation to its settlement."""
CONTENT_BYTES = 2_100
"""What a kept turn adds to its program's history."""
LONG_PROGRAM_TURNS = 9
"""Turns of a program that keeps its history; such programs send half of all turns."""
MOST_TOKENS = 400
"""What a turn may spend, and so reserves."""
SPENT_TOKENS = 120
BUDGET_TOKENS = 100_000
ROUTE = "measured"
ENGINE = "engine-0123456789"
RETENTION_S = 30.0
TENANTS = 82
TIMEOUT_S = 3.0
RING_LINES = 1_000
_QUOTA_RULES = QuotaRules(overage=0.1, slack=4.0)


class ReplicaSetup(msgspec.Struct, frozen=True):
    """A replica, its group and where it writes its files and samples.

    ``samples_file`` is empty to take no samples.
    """

    name: str
    members: tuple[PeerSettings, ...]
    folder: str
    samples_file: str


class NodesSetup(msgspec.Struct, frozen=True):
    """Nodes that share a process, and the turns a second that they begin together."""

    stores: tuple[Address, ...]
    nodes: int
    turns_per_s: float
    duration_s: float
    seed: int
    result_file: str


class NodesResult(msgspec.Struct, frozen=True):
    """Seconds that each answer took, in the measured time, and calls that failed."""

    reservations_s: list[float]
    settlements_s: list[float]
    failed: int


async def run_replica(setup: ReplicaSetup) -> dict[str, int]:
    """Run a store replica until it is told to end; return samples of its processor time."""
    own = next(member for member in setup.members if member.name == setup.name)
    environment = build_environment(Path(setup.folder), None, sends_requests=False)
    router = MessageRouter()
    pool = ConnectionPool(environment)
    quotas = QuotaLedger(_QUOTA_RULES)
    machine = TurnStateMachine(quotas.apply_replicated)
    settings = GroupSettings(
        members=setup.members,
        heartbeat_s=HEARTBEAT_S,
        election_timeout_s=ELECTION_TIMEOUT_S,
        first_election_share=FIRST_ELECTION_SHARE,
        places=len(setup.members),
    )
    host = ReplicaHost(TURN_GROUP, own.name, settings, machine, environment, pool, router, "store")
    dispatcher = TurnDispatcher(TurnScheduler())
    service = TurnService(host, machine, router, quotas, dispatcher)
    server = MessageServer(environment, own.internal, router)
    samples = ProcessorSamples()
    if setup.samples_file:
        samples.start()
    async with anyio.create_task_group() as tasks:
        for run in (server.run, pool.run, host.run, service.run):
            tasks.start_soon(run)
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            await anext(signals)
        tasks.cancel_scope.cancel()
    return samples.counts


@dataclass(frozen=True, slots=True)
class _Turn:
    """One turn; ``turn_id`` is ``None`` where its program keeps no history."""

    program_id: str
    attempt_id: str
    limit: QuotaLimit
    previous: str | None
    turn_id: str | None

    def reservation(self) -> ReserveTurn:
        """Return what is asked of the store before the turn."""
        return ReserveTurn(
            program_id=self.program_id,
            attempt_id=self.attempt_id,
            most_tokens=MOST_TOKENS,
            budget_tokens=BUDGET_TOKENS,
            previous=self.previous,
            retention_s=RETENTION_S,
            quota=QuotaRequest(limit=self.limit, use=QuotaPurpose.CONTINUE_PROGRAM, route=ROUTE),
        )

    def settlement(self) -> SettleTurn:
        """Return what the store is told after the turn."""
        return SettleTurn(
            program_id=self.program_id,
            attempt_id=self.attempt_id,
            tokens=SPENT_TOKENS,
            turn=self._kept(),
            served_by=ENGINE,
        )

    def _kept(self) -> RetainedTurn | None:
        if self.turn_id is None:
            return None
        return RetainedTurn(
            turn_id=self.turn_id,
            previous=self.previous,
            content=bytes(CONTENT_BYTES),
            retention_s=RETENTION_S,
        )


class _Nodes:
    """Sends turns at random moments from clients with connections of their own."""

    def __init__(self, setup: NodesSetup) -> None:
        self._setup = setup
        self._random = random.Random(setup.seed)
        self._measured_from = 0.0
        self._programs = 0
        self._result = NodesResult([], [], 0)
        self._failed = 0

    async def run(self) -> NodesResult:
        """Return the times of the answers."""
        setup = self._setup
        async with anyio.create_task_group() as serving:
            clients = [self._client(serving) for _ in range(setup.nodes)]
            for client in clients:
                await client.wait_for_leader()
            began = time.perf_counter()
            self._measured_from = began + WARM_UP_S
            async with anyio.create_task_group() as programs:
                await self._begin_programs(clients, programs, self._measured_from)
            serving.cancel_scope.cancel()
        return msgspec.structs.replace(self._result, failed=self._failed)

    def _client(self, serving: anyio.abc.TaskGroup) -> TurnStoreClient:
        environment = build_environment(Path("unused"), None, sends_requests=False)
        pool = ConnectionPool(environment)
        client = TurnStoreClient(pool, lambda: self._setup.stores, environment.random)
        serving.start_soon(pool.run)
        serving.start_soon(client.run)
        return client

    async def _begin_programs(
        self,
        clients: list[TurnStoreClient],
        programs: anyio.abc.TaskGroup,
        measured_from: float,
    ) -> None:
        """Begin programs of one turn and of many, at the rates that give as many turns each."""
        setup = self._setup
        programs_per_s = setup.turns_per_s / 2 * (1 + 1 / LONG_PROGRAM_TURNS)
        ends_at = measured_from + setup.duration_s
        next_at = time.perf_counter()
        while next_at < ends_at:
            next_at += self._random.expovariate(programs_per_s)
            await anyio.sleep(max(0.0, next_at - time.perf_counter()))
            is_long = self._random.random() < 1 / (1 + LONG_PROGRAM_TURNS)
            turns = LONG_PROGRAM_TURNS if is_long else 1
            self._programs += 1
            name = f"{setup.seed}-program-{self._programs:012d}"
            programs.start_soon(self._run_program, clients, name, turns)

    async def _run_program(self, clients: list[TurnStoreClient], name: str, turns: int) -> None:
        previous = None
        limit = QuotaLimit(
            tenant=f"tenant-{self._random.randrange(TENANTS)}",
            rate_per_s=100.0,
            burst=100.0,
            version=1,
        )
        for number in range(turns):
            client = self._random.choice(clients)
            turn_id = f"{name}-turn-{number}" if turns > 1 else None
            try:
                await self._run_turn(
                    client, _Turn(name, f"{name}-{number}", limit, previous, turn_id)
                )
            except PasslaneError:
                self._failed += 1
                return
            previous = turn_id

    async def _run_turn(self, client: TurnStoreClient, turn: _Turn) -> None:
        began = time.perf_counter()
        reservation = await client.reserve(turn.reservation(), timeout_s=TIMEOUT_S)
        self._note(self._result.reservations_s, began)
        if not isinstance(reservation.answer, TurnReserved):
            self._failed += 1
            return
        await anyio.sleep(ENGINE_S)
        settlement = turn.settlement()
        began = time.perf_counter()
        await client.settle(settlement, timeout_s=TIMEOUT_S)
        self._note(self._result.settlements_s, began)

    def _note(self, times: list[float], began: float) -> None:
        if began >= self._measured_from:
            times.append(time.perf_counter() - began)


async def run_nodes(setup: NodesSetup) -> NodesResult:
    """Send turns and return the times of their answers."""
    return await _Nodes(setup).run()


def main(role: str, setup_file: str) -> None:
    """Run one process and write what it found."""
    configure_logging(RingLog(RING_LINES))
    # As daemons do once their modules are imported; else the collector looks through them all.
    gc.freeze()
    data = Path(setup_file).read_bytes()
    if role == REPLICA_ROLE:
        replica = msgspec.json.decode(data, type=ReplicaSetup)
        samples = anyio.run(run_replica, replica)
        if replica.samples_file:
            Path(replica.samples_file).write_bytes(msgspec.json.encode(samples))
    else:
        nodes = msgspec.json.decode(data, type=NodesSetup)
        result = anyio.run(run_nodes, nodes)
        Path(nodes.result_file).write_bytes(msgspec.json.encode(result))


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
