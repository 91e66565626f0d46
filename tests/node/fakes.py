"""Backends, store and HTTP connections in memory, with faults that tests inject."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

import anyio
import msgspec

from passlane.configuration.documents import (
    ApplicationBody,
    EngineBody,
    ServiceBody,
    TenantBody,
    ToolBody,
)
from passlane.configuration.view import ConfigurationView, ToolOffer
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import ApplicationId, EngineId, Epoch, NodeId, Partition, TenantId
from passlane.messages.backends import (
    CacheEntry,
    CacheEvents,
    CacheSnapshot,
    EngineChatRequest,
    EngineChunk,
    EngineLoad,
    EngineOrder,
    OperationState,
    OrderReply,
    ToolReply,
    ToolRequest,
)
from passlane.messages.base import Message, message_decoder
from passlane.messages.common import Address, Amounts
from passlane.messages.store import AssignPartitions, PartitionAssignment, StoreCommand
from passlane.runtime.interfaces import Environment, HttpConnectionError, HttpRequest
from passlane.settings.model import AddressSettings, ProcessSettings, Role, Settings
from passlane.store.machine import StoreStateMachine

TENANT = TenantId("association")
OTHER_TENANT = TenantId("music-house")
ENGINE_IDS = (EngineId("engine-1"), EngineId("engine-2"))
PARTITIONS = 4
STEP_S = 0.003


@dataclass
class FakeResponse:
    """A response whose body comes from an iterator."""

    status: int
    parts: AsyncIterator[bytes]
    headers: dict[str, str] = field(default_factory=dict)

    def chunks(self) -> AsyncIterator[bytes]:
        return self.parts


async def single_part(body: bytes) -> AsyncIterator[bytes]:
    yield body


def json_response(value: msgspec.Struct, status: int = 200) -> FakeResponse:
    headers = {"content-type": "application/json"}
    return FakeResponse(status, single_part(msgspec.json.encode(value)), headers)


Server = Callable[[HttpRequest], Awaitable[FakeResponse]]


class FakeHttp:
    """Passes requests to servers in memory; an address without a server refuses connections."""

    def __init__(self) -> None:
        self.servers: dict[Address, Server] = {}
        self.silent: set[Address] = set()

    @asynccontextmanager
    async def exchange(self, request: HttpRequest) -> AsyncIterator[FakeResponse]:
        server = self.servers.get(request.address)
        if server is None or request.address in self.silent:
            raise HttpConnectionError("no connection", bytes_left=False)
        response = await server(request)
        async with aclosing(response.parts):  # type: ignore[type-var]
            yield response

    async def try_connect(self, address: Address) -> None:
        if address in self.silent:
            raise HttpConnectionError("no answer", bytes_left=False)
        if address not in self.servers:
            raise HttpConnectionError("refused", bytes_left=False, is_refused=True)


class FakeEngine:
    """An engine that generates ``answer_tokens`` tokens, one every ``STEP_S``.

    Attributes
    ----------
    break_after
        For each of the next requests: tokens after which the connection fails; ``None``: never.
    software_version
        Version that it tells with each token; empty for none.
    echo_attempt
        If set, each stream starts with a token of this earlier attempt.
    on_end
        If set, called after the first token of each request, which ends the engine's process.
    """

    def __init__(self, engine_id: EngineId, answer_tokens: int = 12) -> None:
        self.engine_id = engine_id
        self.answer_tokens = answer_tokens
        self.incarnation = 1
        self.break_after: list[int | None] = []
        self.echo_attempt: str | None = None
        self.on_end: Callable[[], None] | None = None
        self.software_version = ""
        self.requests: list[EngineChatRequest] = []
        self.cached: dict[str, int] = {}
        self.tokens_sent = 0
        self.running = 0
        self.refuses_orders = False
        self._newest_tokens: dict[str, int] = {}

    async def serve(self, request: HttpRequest) -> FakeResponse:
        path = request.path.partition("?")[0]
        if path == "/v1/chat/completions":
            return self._chat(msgspec.json.decode(request.body, type=EngineChatRequest))
        if path == "/v1/orders":
            return self._order(msgspec.json.decode(request.body, type=EngineOrder))
        if path == "/v1/cache/events":
            return json_response(CacheEvents(self.incarnation, ()))
        if path == "/v1/cache":
            entries = tuple(CacheEntry(one, tokens) for one, tokens in self.cached.items())
            return json_response(CacheSnapshot(self.incarnation, 0, entries))
        load = EngineLoad(self.engine_id, self.incarnation, self.running, 0, 0, 0, ("m",))
        return json_response(load)

    def _accept_token(self, scope: str, token: int) -> bool:
        if token < self._newest_tokens.get(scope, -1):
            return False
        self._newest_tokens[scope] = token
        return True

    def _chat(self, chat: EngineChatRequest) -> FakeResponse:
        self.requests.append(chat)
        if not self._accept_token(f"program:{chat.program_id}", chat.epoch):
            return json_response(OrderReply(False, 1, 0), 409)
        break_after = self.break_after.pop(0) if self.break_after else None
        return FakeResponse(200, self._stream(chat, break_after))

    async def _stream(
        self, chat: EngineChatRequest, break_after: int | None
    ) -> AsyncIterator[bytes]:
        self.running += 1
        self.cached[chat.program_id] = len(chat.messages)
        try:
            if self.echo_attempt is not None:
                yield _event(EngineChunk(self.echo_attempt, chat.resume_from, "LATE"))
            end = min(self.answer_tokens, chat.max_tokens)
            for position in range(chat.resume_from, end):
                if break_after is not None and position - chat.resume_from >= break_after:
                    raise HttpConnectionError("the engine died", bytes_left=True)
                await anyio.sleep(STEP_S)
                self.tokens_sent += 1
                yield _event(self._token(chat, position))
                if self.on_end is not None:
                    self.on_end()
                    raise HttpConnectionError("the engine died", bytes_left=True)
            final = EngineChunk(
                chat.attempt_id, end, finish_reason="stop", incarnation=self.incarnation
            )
            yield _event(final) + b"data: [DONE]\n\n"
        finally:
            self.running -= 1

    def _token(self, chat: EngineChatRequest, position: int) -> EngineChunk:
        version = self.software_version
        return EngineChunk(chat.attempt_id, position, f"t{position} ", software_version=version)

    def _order(self, order: EngineOrder) -> FakeResponse:
        if self.refuses_orders:
            raise HttpConnectionError("unreachable", bytes_left=False)
        if not self._accept_token(order.scope, order.fencing_token):
            return json_response(OrderReply(False, self.incarnation, 0), 409)
        self.cached.pop(order.program_id or "", None)
        return json_response(OrderReply(True, self.incarnation, order.fencing_token))


def _event(chunk: EngineChunk) -> bytes:
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


class FakeApplication:
    """An application that records the operations that it ran in ``ledger``.

    ``next_outcomes`` gives the outcomes of the next requests: ``ok``, ``lost`` (runs, response
    lost), ``unsent`` (does not run, no response), ``hang`` (runs, never responds) or ``refuse``.
    """

    def __init__(self) -> None:
        self.ledger: list[str] = []
        self.next_outcomes: list[str] = []
        self.rejected: set[str] = set()
        self.requests = 0

    async def serve(self, request: HttpRequest) -> FakeResponse:
        if request.method == "GET":
            return self._status(request.path.rpartition("/")[2])
        self.requests += 1
        tool = msgspec.json.decode(request.body, type=ToolRequest)
        behaviour = self.next_outcomes.pop(0) if self.next_outcomes else "ok"
        if behaviour == "refuse" or tool.operation_id in self.rejected:
            return json_response(ToolReply(tool.operation_id, OperationState.REJECTED), 503)
        await anyio.sleep(STEP_S)
        if behaviour != "unsent":
            self.ledger.append(tool.operation_id)
        if behaviour == "hang":
            await anyio.sleep_forever()
        if behaviour in ("lost", "unsent"):
            raise HttpConnectionError("reset", bytes_left=True)
        return json_response(ToolReply(tool.operation_id, OperationState.DONE, '{"receipt":1}'))

    def _status(self, quoted: str) -> FakeResponse:
        operation_id = quoted.replace("%2F", "/")
        if operation_id in self.ledger:
            return json_response(ToolReply(operation_id, OperationState.DONE, '{"receipt":1}'))
        self.rejected.add(operation_id)
        return json_response(ToolReply(operation_id, OperationState.UNKNOWN))


class FakeStore:
    """The state machine of the store, without replication.

    ``fail_next`` maps a command's class to the faults of its next executions: ``lost`` (applied,
    the reply is lost) or ``down`` (not applied, no reply).
    """

    def __init__(self) -> None:
        self.machine = StoreStateMachine()
        self.fail_next: dict[type, list[str]] = {}
        self.delay_s = 0.001
        self._decoder = message_decoder(StoreCommand)

    async def execute(self, request: Message, reply: object, *, timeout_s: float) -> Message:
        await anyio.sleep(self.delay_s)
        faults = self.fail_next.get(type(request), [])
        fault = faults.pop(0) if faults else None
        if fault == "down":
            raise _timeout_error()
        if isinstance(request, StoreCommand):
            result = self.machine.execute(request)
        else:
            result = self.machine.query(request)  # type: ignore[arg-type]
        await anyio.sleep(self.delay_s)
        if fault == "lost":
            raise _timeout_error()
        return result

    def lead(self, node: "FakeLeadership", epoch: int) -> None:
        """Assign all partitions to a node in this epoch."""
        self.machine.execute(
            AssignPartitions(
                tuple(
                    PartitionAssignment(Partition(one), node.node_id, node.address, Epoch(epoch))
                    for one in range(PARTITIONS)
                )
            )
        )


def _timeout_error() -> PasslaneError:
    return PasslaneError(ErrorCode.TIMEOUT, "no answer", verdict=Verdict.MAY_HAVE_RUN)


class FakeLeadership:
    """Leadership of all partitions as one node sees it, set by tests; nodes may disagree."""

    def __init__(self, name: str, port: int) -> None:
        self.node_id = NodeId(name)
        self.address = Address("127.0.0.1", port)
        self.epoch: Epoch | None = None
        self.leader = self.address

    def epoch_of(self, partition: Partition) -> Epoch | None:
        return self.epoch

    def led_partitions(self) -> tuple[Partition, ...]:
        return () if self.epoch is None else tuple(map(Partition, range(PARTITIONS)))

    def leader_of(self, partition: Partition) -> Address:
        return self.leader


def make_configuration(addresses: dict[str, Address], **tool: object) -> ConfigurationView:
    """Return two engines with model ``m`` and an application with tools ``charge`` and ``look``."""
    engines = {
        one: EngineBody(address=addresses[one], zone="z", models=("m",)) for one in ENGINE_IDS
    }
    values: dict[str, object] = {"name": "charge", "price_micros": 5, "timeout_s": 1.0, **tool}
    tools = (ToolBody(**values), ToolBody(name="look", repeatable=True))  # type: ignore[arg-type]
    body = ApplicationBody(address=addresses["application"], zone="z", tools=tools)
    name = ApplicationId("application")
    tenant = TenantBody(
        service="s",
        default_budget=Amounts(tokens=10_000, calls=100, money_micros=10),
        max_calls_in_flight=8,
    )
    return ConfigurationView(
        engines=engines,
        applications={name: body},
        tenants={TENANT: tenant, OTHER_TENANT: tenant},
        services={"s": ServiceBody(models=("m",), tools=("charge", "look"))},
        tools={one.name: (ToolOffer(name, body, one),) for one in tools},
    )


def make_settings(name: str, port: int) -> Settings:
    settings = Settings(
        process=ProcessSettings(
            name=name, roles=(Role.NODE,), region="r", zone="z", data_folder="none"
        ),
        addresses=AddressSettings(
            internal=Address("127.0.0.1", port), operators=Address("127.0.0.1", port + 1)
        ),
    )
    membership = msgspec.structs.replace(settings.membership, partitions=PARTITIONS)
    return msgspec.structs.replace(settings, membership=membership)


def make_environment(http: FakeHttp, seed: int = 1) -> Environment:
    unused: object = None
    return Environment(
        network=unused,  # type: ignore[arg-type]
        http_client=http,  # type: ignore[arg-type]
        http_server=unused,  # type: ignore[arg-type]
        disk=unused,  # type: ignore[arg-type]
        random=random.Random(seed),
    )
