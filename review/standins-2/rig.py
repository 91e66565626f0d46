"""Stand-ins and process handling for the cases 4 to 8: a small fleet on loopback addresses.

The processes of the deploy file run as they are built into ``target/``. Clients, engines, plain back
ends, the platform's list and the operator are the small stand-ins of this module; they follow
PROTOCOL.md and, where it is silent, behave like a sound client, server or platform.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
INTERNAL, FRONT, READINESS, CONTROL, METRICS, LIST = 7380, 8149, 8141, 8144, 9464, 8142
CATCH_UP_S = 4.3
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "ficu95.example"
ENDS_OF_CONNECTION = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)


class CannotRunError(Exception):
    """The case could not be brought about."""


@dataclass
class Request:
    """One request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    engine: str
    arrived_at: float

    @property
    def attempt(self) -> str:
        return self.headers.get("x-passlane-attempt-id", "")


@dataclass
class Answer:
    """What a client saw of an answer; ``is_whole`` only if it ended as its head announced."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    seconds: float = 0.0
    problem: str = ""

    @property
    def events(self) -> int:
        return self.body.count(b"\n\n")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str], into: bytearray) -> None:
    """Read a body into ``into``; raise if it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            into += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return
    left = int(headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 65536))
        if not data:
            raise asyncio.IncompleteReadError(bytes(into), left)
        into += data
        left -= len(data)


Behaviour = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """An engine or a plain back end."""

    def __init__(self, rig: "Rig", service: str, host: str, port: int, behaviour: Behaviour) -> None:
        self.rig = rig
        self.service = service
        self.host, self.port = host, port
        self.id = f"i-{service}-{host.rsplit('.', 1)[1]}"
        self.behaviour = behaviour
        self.state = "ready"
        self.version = "v1"
        self.slots = 12
        self.ran: list[Request] = []
        self.is_listed = True

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS_OF_CONNECTION):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = bytearray()
                await read_body(reader, headers, body)
                request = Request(method, target, headers, bytes(body), self.id, self.rig.now())
                if target == "/healthz" or target == "/api/report":
                    await self.answer(writer, request, 200, b"{}", {"X-Passlane-Instance-Id": self.id})
                elif headers.get("x-passlane-target-instance", self.id) != self.id:
                    await self.answer(writer, request, 421, b"", {"X-Passlane-Not-Executed": "1"})
                else:
                    await self.behaviour(self, request, writer)
        writer.close()

    def run(self, request: Request) -> None:
        """Record that work on a request begins."""
        self.ran.append(request)
        self.rig.record(
            "run", engine=self.id, attempt=request.attempt, path=request.target,
            tenant=request.headers.get("x-passlane-tenant", ""), body=request.body.decode("latin-1")[:300],
        )

    def signature(self, request: Request) -> str:
        return f"sig.{self.id}.{request.attempt}"

    async def answer(
        self, writer: asyncio.StreamWriter, request: Request, status: int, body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += f"X-Passlane-Attempt-Id: {request.attempt}\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()

    async def begin_stream(self, writer: asyncio.StreamWriter, request: Request) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Passlane-Attempt-Id: {request.attempt}\r\n".encode()
            + f"X-Passlane-Response-Signature: {self.signature(request)}\r\n\r\n".encode()
        )
        await writer.drain()

    async def send_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()

    async def end_stream(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def plain(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Run a call and answer it."""
    server.run(request)
    await asyncio.sleep(0.02)
    body = f"done {request.attempt}".encode()
    await server.answer(
        writer, request, 200, body, {"X-Passlane-Response-Signature": server.signature(request)}
    )


def streams(events: int, pause_s: float) -> Behaviour:
    """Return a behaviour that streams events, and goes on behind ``Last-Event-Id``."""

    async def behave(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
        server.run(request)
        await server.begin_stream(writer, request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            await asyncio.sleep(pause_s)
            event = f"id: {number}\ndata: {server.id}-{request.attempt}-{number}\n\n"
            await server.send_chunk(writer, event.encode())
        await server.end_stream(writer)

    return behave


class Rig:
    """A fleet of processes, its platform and its clients.

    Parameters
    ----------
    folder
        Folder of the case; ``record.txt`` is written there.
    """

    def __init__(
        self, folder: Path, *, controls: int = 3, stores: int = 3, nodes: int = 2, quotas: str = "",
        grace_s: float = 8.0,
    ) -> None:
        self.with_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self.net = self._free_net()
        self.folder = Path(tempfile.mkdtemp(prefix="passlane-case-"))
        self.quotas = quotas
        self.grace_s = grace_s
        self.hosts: dict[str, str] = {}
        self.zones = ["muscat-a", "muscat-b", "muscat-c"]
        for role, count, base in (("control", controls, 10), ("store", stores, 40), ("node", nodes, 70)):
            for number in range(1, count + 1):
                self.hosts[f"{role}-{number}"] = f"{self.net}.{base + number}"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.starts: dict[str, int] = {}
        self.servers: list[Server] = []
        self.list_hook: Callable[[], Awaitable[None]] | None = None
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.commands = {role: deploy["roles"][role]["run"].split() for role in ("node", "control", "store")}
        self._attempts = 0
        self.late: set[str] = set()

    # Record.

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def record(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self._record.write(f"{self.now():8.3f} {what} {text}\n")
        self._record.flush()

    @staticmethod
    def _free_net() -> str:
        for offset in range(200):
            net = f"127.{(os.getpid() // 200 + offset) % 200 + 30}.{os.getpid() % 200 + 20}"
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((f"{net}.11", INTERNAL))
                return net
        raise CannotRunError("no free loopback addresses")

    # Processes.

    def names(self, role: str) -> list[str]:
        return [name for name in self.hosts if name.startswith(role)]

    def write_settings(self, name: str, seeds: list[str] | None = None) -> Path:
        role, number = name.split("-")
        host = self.hosts[name]
        first = "true" if self.starts.get(name, 0) == 0 and name not in self.late else "false"
        used = seeds or [f"{self.hosts[c]}:{CONTROL}" for c in self.names("control")[:3]]
        lines = ["seeds = [" + ", ".join(f'"{seed}"' for seed in used) + "]", "[process]"]
        lines += [f'name = "{name}"', f'role = "{role}"']
        lines += [f'zone = "{self.zones[(int(number) - 1) % 3]}"']
        data = "" if role == "node" else str(self.folder / "data" / name)
        lines += [f'data_folder = "{data}"', f"is_first_start = {first}", "[addresses]"]
        lines += [f'internal = "{host}:{INTERNAL}"', f'metrics = "{host}:{METRICS}"']
        if role == "node":
            lines += [f'callers = "{host}:{FRONT}"', f'readiness = "{host}:{READINESS}"']
        if role == "control":
            lines += [f'operators = "{host}:{CONTROL}"']
        memory = {"node": 260, "control": 296, "store": 320}[role]
        lines += ["[backend_list]", f'address = "{self.net}.5:{LIST}"', "rate_per_s = 44.0"]
        lines += ["[timing]", f"grace_s = {self.grace_s}", "[machine]", f"memory_mb = {memory}"]
        lines += ["descriptors = 4100", "[fault_tolerance]", "machines = 1", "[quotas]", self.quotas]
        lines += ["[turns]", "are_placed_by_store = true", ""]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines))
        return path

    def start(self, name: str) -> None:
        path = self.write_settings(name)
        role = name.split("-")[0]
        if role != "node":
            (self.folder / "data" / name).mkdir(parents=True, exist_ok=True)
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", str(self.folder)), "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"), "PASSLANE_BOOT": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = self.commands[role]
        output = (self.folder / f"{name}.out").open("ab")
        self.processes[name] = subprocess.Popen(
            [shutil.which(command[0]) or command[0], *command[1:]],
            cwd=REPOSITORY, env=environment, stdout=output, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self.starts[name] = self.starts.get(name, 0) + 1
        self.record("start", process=name, number=self.starts[name])

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record("signal", process=name, signal=number.name)
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    async def add(self, name: str, host: int) -> None:
        """Add an empty machine at a new address, and wait for ``catch_up_s``."""
        self.hosts[name] = f"{self.net}.{host}"
        self.late.add(name)
        self.start(name)
        await asyncio.sleep(CATCH_UP_S)

    async def retire(self, name: str) -> None:
        """Let a store machine be emptied; remove it with its disk once the system says so."""
        answer = await self.operator("POST", f"/api/retire/{name}/start", {"duration_s": 10})
        if answer.status != 200:
            raise CannotRunError(f"{name} is not to be emptied: {answer.status} {answer.body!r}")
        for _ in range(200):
            answer = await self.operator("GET", f"/api/retire/{name}/get")
            if answer.status == 200 and json.loads(answer.body)["state"] == "completed":
                self.kill(name)
                self.wipe(name)
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} was not emptied")

    def wipe(self, name: str) -> None:
        """Empty the disk of a machine whose process has ended."""
        shutil.rmtree(self.folder / "data" / name)
        self.record("disk lost", process=name)

    def is_running(self, name: str) -> bool:
        return self.processes[name].poll() is None

    def output(self, name: str) -> str:
        return (self.folder / f"{name}.out").read_text(errors="replace")

    # Platform.

    async def _serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS_OF_CONNECTION):
            while True:
                await read_head(reader)
                if self.list_hook is not None:
                    await self.list_hook()
                entries = [
                    {
                        "id": s.id, "service": s.service, "address": f"{s.host}:{s.port}",
                        "zone": self.zones[0], "version": s.version, "slots": s.slots, "state": s.state,
                        "cold_left_ms": 0, "stage": "both",
                        "models": [{"name": "m", "version": 1, "adapters": []}],
                    }
                    for s in self.servers if s.is_listed
                ]
                body = json.dumps({"instances": entries, "next_token": None}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body) + body
                )
                await writer.drain()
        writer.close()

    async def serve_list(self) -> None:
        """Serve the platform's list."""
        self._list_server = await asyncio.start_server(self._serve_list, f"{self.net}.5", LIST)

    async def add_server(self, service: str, number: int, behaviour: Behaviour) -> Server:
        server = Server(self, service, f"{self.net}.{100 + number}", 8080, behaviour)
        await server.start()
        self.servers.append(server)
        return server

    async def up(self, configuration: dict[str, object]) -> None:
        """Start everything, put the first configuration, and wait until all nodes are ready."""
        await self.serve_list()
        for name in self.hosts:
            if name not in self.late:
                self.start(name)
        deadline = time.monotonic() + 30
        while not await self.put(configuration):
            if time.monotonic() > deadline:
                raise CannotRunError("the first configuration was not taken")
            await asyncio.sleep(0.3)
        for name in self.names("node"):
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{name} did not become ready")
                await asyncio.sleep(0.2)

    async def is_ready(self, name: str) -> bool:
        answer = await self.call(self.hosts[name], READINESS, "GET", "/api/readyz", timeout_s=1.0)
        return answer.status == 200

    # Operator.

    async def operator(self, method: str, path: str, body: object = None, at: str = "") -> Answer:
        """Send an operator's call, to one control process or to each in turn."""
        content = json.dumps(body).encode() if body is not None else b""
        answer = Answer()
        for name in [at] if at else self.names("control"):
            if not self.is_running(name):
                continue
            answer = await self.call(
                self.hosts[name], CONTROL, method, path, {"Content-Type": "application/json"}, content,
                timeout_s=1.5,
            )
            self.record("operator", at=name, call=f"{method} {path}", status=answer.status, body=answer.body[:200])
            if answer.is_whole and answer.status < 500 and answer.status not in (408, 429):
                return answer
        return answer

    async def put(self, configuration: dict[str, object]) -> bool:
        """Put a configuration; return whether it was acknowledged."""
        answer = await self.operator("POST", "/api/config/put", configuration)
        return answer.status == 200

    # Clients.

    def next_attempt(self) -> str:
        self._attempts += 1
        return f"{os.getpid():08x}{self._attempts:08x}"

    async def call(
        self, host: str, port: int, method: str, path: str, headers: dict[str, str] | None = None,
        body: bytes = b"", timeout_s: float = 6.0,
    ) -> Answer:
        """Send one request on a connection of its own and read the answer."""
        answer = Answer()
        began = time.monotonic()
        data = bytearray()
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, port)
                head = f"{method} {path} HTTP/1.1\r\n"
                fields = {"Host": HOST, **(headers or {})}
                if body or method == "POST":
                    fields["Content-Length"] = str(len(body))
                head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                await writer.drain()
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split(" ")[1])
                await read_body(reader, answer.headers, data)
                answer.is_whole = True
        except TimeoutError:
            answer.problem = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.problem = repr(error)
        finally:
            if writer is not None:
                writer.close()
        answer.body = bytes(data)
        answer.seconds = time.monotonic() - began
        return answer

    async def request(
        self, node: str, method: str, path: str, headers: dict[str, str], body: bytes = b"",
        deadline_ms: int = 4000,
    ) -> tuple[str, Answer]:
        """Send one client attempt to a node; return its id and what came of it."""
        attempt = self.next_attempt()
        fields = {"X-Passlane-Attempt-Id": attempt, "X-Passlane-Deadline-Ms": str(deadline_ms), **headers}
        self.record("send", node=node, attempt=attempt, path=path, headers=headers, body=body[:120])
        answer = await self.call(
            self.hosts[node], FRONT, method, path, fields, body, timeout_s=deadline_ms / 1000 + 1
        )
        self.record(
            "answer", attempt=attempt, status=answer.status, whole=answer.is_whole, events=answer.events,
            seconds=round(answer.seconds, 3), problem=answer.problem, body=answer.body[-120:],
        )
        return attempt, answer

    # End.

    def down(self) -> None:
        """End all processes that were started, by their ids, and remove the files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_FOLDER"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(build: Callable[[], Rig], case: Callable[[Rig], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    rig = build()
    code = CANNOT_RUN
    try:

        async def bounded() -> bool:
            async with asyncio.timeout(100):
                return await case(rig)

        is_broken = asyncio.run(bounded())
        code = BROKEN if is_broken else HOLDS
    except (CannotRunError, TimeoutError) as error:
        rig.record("could not run", error=repr(error))
    finally:
        rig.down()
    rig.record("end", exit_code=code)
    print(f"exit code {code}")
    sys.exit(code)
