"""Nodes without heartbeats that share one store, on a virtual clock."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from node.fakes import (
    ENGINE_IDS,
    TENANT,
    FakeApplication,
    FakeEngine,
    FakeHttp,
    FakeLeadership,
    FakeStore,
    make_configuration,
    make_environment,
    make_settings,
)
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Epoch, ProgramId, TenantId
from passlane.messages.base import Message
from passlane.messages.common import Address, Amounts
from passlane.messages.node import (
    CallAnswered,
    CallEvent,
    CallRefused,
    CallRequest,
    CreateProgramRequest,
    EndProgramRequest,
    TextChunk,
)
from passlane.messages.store import CallKind, ProgramRecord, ProgramResult, StoreDone, Turn
from passlane.node.call_reports import CallReports
from passlane.node.node_core import NodeCore, build_core, register_handlers
from passlane.node.program_store import ProgramStore
from passlane.policy.active_policies import ActivePolicies
from passlane.simulation.runner import run_simulation
from passlane.transport.router import MessageRouter

PROGRAM = ProgramId("p-1")


class FakeNetwork:
    """Connections between nodes in memory; nodes in ``cut`` are unreachable."""

    def __init__(self) -> None:
        self.routers: dict[Address, MessageRouter] = {}
        self.cut: set[Address] = set()
        self._streams: dict[Address, set[anyio.CancelScope]] = {}

    def _router(self, address: Address) -> MessageRouter:
        if address in self.cut or address not in self.routers:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no connection")
        return self.routers[address]

    def cut_off(self, address: Address) -> None:
        """Cancel all streams to a node and make it unreachable."""
        self.cut.add(address)
        for scope in tuple(self._streams.get(address, ())):
            scope.cancel()

    async def call(
        self, address: Address, request: Message, reply: type, *, timeout_s: float
    ) -> Message:
        handler = self._router(address).unary_handler(request)
        assert handler is not None
        return await handler(request)

    @asynccontextmanager
    async def stream(
        self, address: Address, request: Message, *, timeout_s: float
    ) -> AsyncIterator[AsyncIterator[Message]]:
        handler = self._router(address).stream_handler(request)
        assert handler is not None
        with anyio.CancelScope() as scope:
            scopes = self._streams.setdefault(address, set())
            scopes.add(scope)
            try:
                async with aclosing(handler(request)) as events:  # type: ignore[type-var]
                    yield events
            finally:
                scopes.discard(scope)
        if scope.cancelled_caught:
            raise PasslaneError(ErrorCode.CONNECTION_LOST, "cut off", verdict=Verdict.MAY_HAVE_RUN)

    async def send(self, address: Address, message: Message) -> None:
        handler = self._router(address).one_way_handler(message)
        assert handler is not None
        await handler(message)


@dataclass
class Answer:
    """The events of one call that its caller received."""

    texts: list[str] = field(default_factory=list)
    last: CallAnswered | CallRefused | None = None

    async def emit(self, event: CallEvent) -> None:
        if isinstance(event, TextChunk):
            self.texts.append(event.text)
        else:
            self.last = event

    @property
    def answered(self) -> CallAnswered:
        assert isinstance(self.last, CallAnswered), self.last
        return self.last

    @property
    def refused(self) -> CallRefused:
        assert isinstance(self.last, CallRefused), self.last
        return self.last


class Fleet:
    """Nodes with one store, two engines and one application."""

    def __init__(self, tasks: TaskGroup, nodes: int, **tool: object) -> None:
        self.tasks = tasks
        self.http = FakeHttp()
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.application = FakeApplication()
        self.engines = [FakeEngine(one) for one in ENGINE_IDS]
        self.addresses = {
            name: Address("127.0.0.1", 9000 + number)
            for number, name in enumerate((*ENGINE_IDS, "application"))
        }
        for engine in self.engines:
            self.http.servers[self.addresses[engine.engine_id]] = engine.serve
        self.http.servers[self.addresses["application"]] = self.application.serve
        self.configuration = make_configuration(self.addresses, **tool)
        self.reports = CallReports()
        self.policies = ActivePolicies()
        self.policies.update(self.configuration)
        self.leaderships = [FakeLeadership(f"n{one}", 7000 + 10 * one) for one in range(nodes)]
        self.nodes = [self._build(leadership) for leadership in self.leaderships]
        self.epoch = 0

    def _build(self, leadership: FakeLeadership) -> NodeCore:
        core = build_core(
            make_settings(leadership.node_id, leadership.address.port),
            make_environment(self.http),
            self.tasks,
            store=ProgramStore(self.store),
            caller=self.network,  # type: ignore[arg-type]
            leadership=leadership,
            configuration=lambda: self.configuration,
            reports=self.reports,
            policies=self.policies,
        )
        router = MessageRouter()
        register_handlers(core, router)
        self.network.routers[leadership.address] = router
        core.services.models.change_engines(dict(self.configuration.engines), frozenset())
        self.tasks.start_soon(core.services.models.run)
        return core

    def lead(self, number: int, *, announced: bool = True) -> None:
        """Let a node lead all partitions; with ``announced``, the other nodes stop leading."""
        self.epoch += 1
        chosen = self.leaderships[number]
        self.store.lead(chosen, self.epoch)
        chosen.epoch = Epoch(self.epoch)
        for leadership, core in zip(self.leaderships, self.nodes, strict=True):
            leadership.leader = chosen.address
            if leadership is not chosen and announced:
                leadership.epoch = None
                for partition in chosen.led_partitions():
                    core.leader.unload_partition(partition)
        for partition in chosen.led_partitions():
            self.nodes[number].sweep.schedule_recovery(partition)

    async def create(self, tenant: TenantId = TENANT, **fields: object) -> None:
        values: dict[str, object] = {
            "program_id": PROGRAM,
            "budget": Amounts(tokens=10_000, calls=100, money_micros=10),
            **fields,
        }
        request = CreateProgramRequest(request_id="c", tenant_id=tenant, **values)  # type: ignore[arg-type]
        await self.nodes[0].forwarder.send_request(request.program_id, request, ProgramResult, 5.0)

    async def end(self, node: int = 0) -> None:
        request = EndProgramRequest(request_id="e", tenant_id=TENANT, program_id=PROGRAM)
        await self.nodes[node].forwarder.send_request(PROGRAM, request, StoreDone, 5.0)

    async def call(
        self, request: CallRequest, answer: Answer | None = None, node: int = 0
    ) -> Answer:
        """Run a call as a caller of this node; an error becomes its last event."""
        answer = answer or Answer()
        try:
            await self.nodes[node].forwarder.run_call(request, answer.emit)
        except PasslaneError as error:
            answer.last = CallRefused(error.code, error.message, error.verdict, error.retry_after_s)
        return answer

    def record(self) -> ProgramRecord:
        """Return the record of ``PROGRAM`` in the store."""
        program = self.store.machine.programs.find(PROGRAM)
        assert program is not None
        return program.to_record()


_request_numbers = iter(range(1, 1_000_000))


def chat(content: str = "hello", **fields: object) -> CallRequest:
    values: dict[str, object] = {
        "request_id": f"r{next(_request_numbers)}",
        "tenant_id": TENANT,
        "program_id": PROGRAM,
        "kind": CallKind.MODEL,
        "target": "m",
        "turns": (Turn(role="user", content=content),),
        "timeout_s": 20.0,
        **fields,
    }
    return CallRequest(**values)  # type: ignore[arg-type]


def charge(key: str = "k", **fields: object) -> CallRequest:
    values: dict[str, object] = {
        "kind": CallKind.TOOL,
        "target": "charge",
        "turns": (),
        "arguments": "{}",
        "idempotency_key": key,
        "is_named": True,
        **fields,
    }
    return chat(**values)


def expected_answer(tokens: int = 12) -> str:
    return "".join(f"t{position} " for position in range(tokens))


def run_in_fleet(
    scenario: Callable[[Fleet], Awaitable[None]], nodes: int = 1, seed: int = 7, **tool: object
) -> None:
    """Run a scenario on the virtual clock; node 0 leads and ``PROGRAM`` exists."""

    async def main() -> None:
        with anyio.fail_after(300):
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks, nodes, **tool)
                fleet.lead(0)
                await fleet.create()
                await scenario(fleet)
                tasks.cancel_scope.cancel()

    run_simulation(main, seed)
