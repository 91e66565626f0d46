"""Stand-ins that speak HTTP/1.1: engines, the platform's list, clients and the operator.

They do what the users' pages say, and behave like sound ones where the pages are silent. Only the
standard library is used.
"""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer that was read whole."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message; raises ``IncompleteReadError`` when it is cut off."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


def encode(start: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection stays open."""


class Server:
    """Serves connections with one handler."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host, self.port, self._handler = host, port, handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """IP:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=16_000_000
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(reader, request)
                if not await self._handler(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


@dataclass
class Run:
    """One run of a request at an engine."""

    at: float
    instance: str
    attempt_id: str
    body: bytes
    previous: str | None
    events: int = 0
    is_whole: bool = False


@dataclass
class Engine:
    """A model engine: answers each request on a stream route with some events."""

    instance: str
    host: str
    port: int
    service: str
    zone: str
    slots: int = 12
    events: int = 3
    gap_s: float = 0.004
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    busy: int = 0

    def __post_init__(self) -> None:
        self.server = Server(self.host, self.port, self.handle)

    def entry(self) -> dict[str, object]:
        """Return its entry in the platform's list."""
        return {
            "id": self.instance, "service": self.service, "address": self.server.address,
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        attempt_id = request.headers.get("x-passlane-attempt-id", "")
        base = {"X-Passlane-Attempt-Id": attempt_id}
        wanted = request.headers.get("x-passlane-target-instance", self.instance)
        if wanted != self.instance:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", base))
            await writer.drain()
            return True
        if self.busy >= 3 * self.slots:
            base["X-Passlane-Not-Executed"] = "full"
            writer.write(encode("HTTP/1.1 503 Service Unavailable", base))
            await writer.drain()
            return True
        run = Run(
            time.monotonic(), self.instance, attempt_id, request.body,
            request.headers.get("x-passlane-previous-turn"),
        )
        self.runs.append(run)
        self.busy += 1
        try:
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Passlane-Attempt-Id: {attempt_id}\r\n"
                f"X-Passlane-Response-Signature: {self.instance}.{len(self.runs)}\r\n"
                "X-Passlane-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                run.events = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.is_whole = True
        finally:
            self.busy -= 1
        return True

    def output_of(self, attempt_id: str) -> bytes:
        """Return the data of the events of a whole run, each with a line feed behind."""
        return b"".join(f"{attempt_id} {n}\n".encode() for n in range(1, self.events + 1))


class Platform:
    """The platform's list of engines."""

    def __init__(self, host: str, port: int, engines: list[Engine]) -> None:
        self.engines = engines
        self.server = Server(host, port, self._handle)

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        content = {"instances": [engine.entry() for engine in self.engines], "next_token": None}
        body = json.dumps(content).encode()
        writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True


@dataclass
class Answer:
    """What a client saw of one request: status 0 stands for no whole answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    error: str = ""
    is_whole: bool = False

    def event_data(self) -> bytes:
        """Return the data of all events, each with a line feed behind."""
        lines = self.body.split(b"\n")
        return b"".join(line[6:] + b"\n" for line in lines if line.startswith(b"data: "))


async def request(
    host: str, port: int, method: str, path: str, headers: Mapping[str, str],
    body: bytes = b"", timeout_s: float = 4.0,
) -> Answer:
    """Send one request on a connection of its own."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port, limit=16_000_000)
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return Answer(0, error="closed")
            content = await read_body(reader, answer)
            return Answer(answer.status, content, answer.headers, is_whole=True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


_ids = itertools.count(1)


def new_id() -> str:
    """Return an id for a client attempt."""
    return f"{time.time_ns() & 0xFFFFFFFF:08x}{next(_ids):08x}"


async def put_once(
    host: str, port: int, document: dict[str, object], answers: dict[str, int]
) -> bool:
    """Send a configuration to one control machine; count the answer; return whether it was taken."""
    headers = {"Host": f"{host}:{port}", "Content-Type": "application/json"}
    body = json.dumps(document).encode()
    answer = await request(host, port, "POST", "/api/config/put", headers, body, 1.0)
    kind = str(answer.status or answer.error)
    answers[kind] = answers.get(kind, 0) + 1
    return answer.status == 200


async def put_configuration(hosts: list[str], port: int, document: dict[str, object]) -> bool:
    """Send a configuration as the operator does, at any control machine, until it is taken."""
    for attempt in range(80):
        if await put_once(hosts[attempt % len(hosts)], port, document, {}):
            return True
        await asyncio.sleep(0.25)
    return False


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with one service of engines and one plain service."""
    engine = {
        "slots": 12, "kv_capacity": 139361, "kv_token_bytes": 131072, "link_mbps": 1100000.0,
        "backups": True, "chunk_tokens": 9, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
        "handle_s": 5.0, "models": [{"name": "m"}],
    }
    common = {"health_path": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "models", "max_conns": 170, "engine": engine, **common},
            {"name": "application", "max_conns": 110, **common},
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }


def stream_route(name: str, prefix: str, *, retained: bool, resumable: bool) -> dict[str, object]:
    """Return a route of turns with the figures of a small site."""
    return {
        "name": name, "host": "fleet.example", "path_prefix": prefix, "kind": "streaming",
        "timeout_ms": 4000, "target_latency_ms": 250, "priority": 1, "service": "models",
        "max_attempts": 1, "retained": retained, "retention_s": 60.0, "sticky": True,
        "resumable": resumable, "target_gap_ms": 200,
    }


def turn_headers(
    attempt_id: str, program: str, *, tokens: int = 27, budget: int = 2304,
    previous: str | None = None,
) -> dict[str, str]:
    """Return the headers of a turn."""
    headers = {
        "Host": "fleet.example", "X-Passlane-Attempt-Id": attempt_id, "X-Passlane-Model": "m",
        "X-Passlane-Token-Usage": f"1460,{tokens}",
        "X-Passlane-Prompt-Prefix": f"5c1e07a2:800,{attempt_id}:660",
        "X-Passlane-Deadline-Ms": "4000", "X-Passlane-Program-Id": program,
        "X-Passlane-Session-Id": f"s{program}", "X-Passlane-Program-Deadline-Ms": "9000",
        "X-Passlane-Token-Budget": str(budget),
    }
    if previous is not None:
        headers["X-Passlane-Previous-Turn"] = previous
    return headers


async def wait_ready(hosts: list[str], port: int, timeout_s: float) -> bool:
    """Wait until every node says that it is ready."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        answers = [
            await request(host, port, "GET", "/api/readyz", {"Host": host}, timeout_s=1.0)
            for host in hosts
        ]
        if all(answer.status == 200 for answer in answers):
            return True
        await asyncio.sleep(0.2)
    return False
