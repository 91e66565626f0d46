"""A fleet of real processes on loopback, with back ends, clients and an operator of its own."""

import json
import tempfile
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.soak.machines import (
    CALLERS_PORT,
    DAEMON,
    OPERATORS_PORT,
    READINESS_PORT,
    Machines,
    loopback_network,
)
from processes.back_end import END_OF_HEAD, MAX_READ_BYTES, BackEnd, read_request, write_answer
from processes.links import LINKED_DAEMON, Links

HOST = "one.example"
MODELS = "models"
TOOLS = "tools"
PROCESSES = {FleetRole.CONTROL: 3, FleetRole.STORE: 3, FleetRole.NODE: 3}
LIST_HOST = 200
FIRST_BACK_END_HOST = 201
BACK_END_PORT = 8080
START_TIMEOUT_S = 40.0
RETRY_S = 0.1
PROBE_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 8.0


@dataclass
class ClientAnswer:
    """What a client has of an answer; ``is_whole`` only if it ended as its head announced."""

    status: int = 0
    reason: str = ""
    headers: dict = None
    body: bytes = b""
    is_whole: bool = False

    @property
    def events(self):
        return self.body.count(b"\n\n")

    @property
    def data(self):
        """The data of the whole events, as they are stored."""
        parts = self.body.split(b"\n\n")[:-1]
        return b"".join(part.split(b"data: ", 1)[1] + b"\n" for part in parts)


class ClientStream:
    """One request on a connection of its own."""

    def __init__(self, connection):
        self._connection = connection
        self._received = b""
        self.answer = ClientAnswer()

    async def read_events(self, count):
        """Read until the client has so many events."""
        while self.answer.events < count and not self.answer.is_whole:
            if not await self._read_more():
                return self.answer
        return self.answer

    async def read_all(self, timeout_s=ANSWER_TIMEOUT_S):
        """Read until the answer or its connection ends."""
        with anyio.fail_after(timeout_s):
            while not self.answer.is_whole and await self._read_more():
                pass
        await self.close()
        return self.answer

    async def read_several(self, count, timeout_s=ANSWER_TIMEOUT_S):
        """Read so many answers with lengths, one behind the other; fewer if it ends before."""
        answers = []
        with anyio.fail_after(timeout_s):
            while len(answers) < count:
                self._parse()
                if self.answer.is_whole:
                    answers.append(self._take_first())
                elif not await self._read_more():
                    break
        await self.close()
        return answers

    def _take_first(self):
        """Return the first answer, and keep what came behind it."""
        first = self.answer
        length = int(first.headers["content-length"])
        self._received = first.body[length:]
        first.body = first.body[:length]
        self.answer = ClientAnswer()
        return first

    async def discard(self):
        """Read until the connection ends, and keep nothing."""
        try:
            while True:
                await self._connection.receive(MAX_READ_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await self.close()

    async def close(self):
        await self._connection.aclose()

    async def _read_more(self):
        try:
            self._received += await self._connection.receive(MAX_READ_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        self._parse()
        return True

    def _parse(self):
        head, separator, rest = self._received.partition(END_OF_HEAD)
        if not separator:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        _, status, *reason = first.split(" ", 2)
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body, is_whole = rest, len(rest) >= int(headers.get("content-length", "0"))
        if headers.get("transfer-encoding") == "chunked":
            body, is_whole = parse_chunks(rest)
        self.answer = ClientAnswer(int(status), "".join(reason), headers, body, is_whole)


def parse_chunks(data):
    """Return the received body, and whether its last chunk has come."""
    body = b""
    while True:
        size_line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return body, False
        size = int(size_line, 16)
        if size == 0:
            return body, True
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        data = rest[size + 2 :]


class ProcessFleet:
    """The daemons, the platform's list and its back ends; ``links`` if they can be cut."""

    def __init__(self, tasks, folder, processes, daemon, sizes, is_linked):
        self._tasks = tasks
        self._is_linked = is_linked
        self._network = loopback_network()
        list_address = Address(f"{self._network}.{LIST_HOST}", BACK_END_PORT)
        sizes = {} if sizes is None else {"sizes": sizes}
        self.machines = Machines(
            self._network, folder, list_address, daemon or DAEMON, processes, **sizes
        )
        self.links = Links(self._network, folder, list_address)
        self.list = BackEnd("list", "list", list_address, self._answer_list)
        self.list_answer = None
        self._list_read = anyio.Event()
        self.back_ends = []
        self._added = 0
        self._attempts = 0

    def machine(self, name):
        (found,) = (machine for machine in self.machines.all if machine.name == name)
        return found

    async def start(self, document):
        """Start all processes; return when the configuration is in force and nodes are ready."""
        self._tasks.start_soon(self._serve_list)
        if self._is_linked:
            self.links.connect(self.machines.all, self._tasks)
        for machine in self.machines.all:
            self.machines.start(machine)
        with anyio.fail_after(START_TIMEOUT_S):
            await self.put_configuration(document)
            await self.wait_until_ready()

    async def put_configuration(self, document):
        """Send a configuration until a control process acknowledges it."""
        body = json.dumps(document).encode()
        while True:
            for machine in self.machines.of_role(FleetRole.CONTROL):
                address = machine.address(OPERATORS_PORT)
                answer = await self._fetch(address, "POST", "/api/config/put", body)
                if answer is not None and answer.status == 200:
                    return
            await anyio.sleep(RETRY_S)

    async def wait_until_ready(self):
        for machine in self.machines.of_role(FleetRole.NODE):
            while True:
                if not machine.is_running or await self.is_ready(machine):
                    break
                await anyio.sleep(RETRY_S)

    async def is_ready(self, machine):
        answer = await self._fetch(machine.address(READINESS_PORT), "GET", "/api/readyz")
        return answer is not None and answer.status == 200

    async def wait_for_list_read(self):
        """Return once a node has read the platform's list."""
        await self._list_read.wait()

    def add_back_end(self, service, answer, *, version="v1"):
        """Start a back end at an address of its own."""
        host = f"{self._network}.{FIRST_BACK_END_HOST + self._added}"
        self._added += 1
        address = Address(host, BACK_END_PORT)
        back_end = BackEnd(f"i-{self._added}", service, address, answer, version=version)
        self.back_ends.append(back_end)
        self._tasks.start_soon(back_end.serve)
        return back_end

    def ran(self, attempt):
        """Return the requests of an attempt that back ends ran."""
        return [
            run for back_end in self.back_ends for run in back_end.ran if run.attempt == attempt
        ]

    def engines_of(self, attempt):
        """Return the ids of the back ends that ran an attempt."""
        return [
            back_end.instance_id
            for back_end in self.back_ends
            if any(run.attempt == attempt for run in back_end.ran)
        ]

    def next_attempt(self):
        self._attempts += 1
        return f"{self._attempts:016x}"

    async def connect(self, node):
        """Open a connection of a client to a node."""
        address = self.machine(node).address(CALLERS_PORT)
        return await anyio.connect_tcp(address.host, address.port)

    async def begin(
        self,
        node,
        path,
        headers,
        body,
        *,
        method="POST",
        attempt=None,
        deadline_ms=4_000,
        connection=None,
    ):
        """Send a request to a node, on a new connection unless one is given.

        Return its stream and the attempt's id.
        """
        attempt = attempt or self.next_attempt()
        connection = connection or await self.connect(node)
        fields = {
            "Host": HOST,
            "X-Passlane-Attempt-Id": attempt,
            "X-Passlane-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
        } | headers
        await connection.send(_request_bytes(method, path, fields, body))
        return ClientStream(connection), attempt

    async def request(self, node, path, headers, body, **more):
        """Send a request; return its answer and the attempt's id."""
        stream, attempt = await self.begin(node, path, headers, body, **more)
        return await stream.read_all(), attempt

    async def kill(self, *names):
        """Kill processes at once."""
        for name in names:
            self.machine(name).popen.kill()
        for name in names:
            await anyio.to_thread.run_sync(self.machine(name).kill)

    def restart(self, *names):
        for name in names:
            self.machines.start(self.machine(name))

    def output_of(self, name):
        """Return what a process has written."""
        return (self.machines._folder / f"{name}.log").read_text(errors="replace")

    async def _fetch(self, address, method, path, body=b""):
        fields = {"Host": str(address), "Content-Length": str(len(body))}
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                connection = await anyio.connect_tcp(address.host, address.port)
                await connection.send(_request_bytes(method, path, fields, body))
                return await ClientStream(connection).read_all()
        except (OSError, TimeoutError, anyio.BrokenResourceError):
            return None

    async def _serve_list(self):
        listener = await anyio.create_tcp_listener(
            local_host=self.list.address.host, local_port=self.list.address.port
        )
        async with listener:
            await listener.serve(self._serve_list_connection)

    async def _serve_list_connection(self, stream):
        try:
            async with stream:
                received = bytearray()
                while True:
                    request = await read_request(stream, received)
                    answer = self.list_answer or self._answer_list
                    await answer(self.list, request, stream)
                    self._list_read.set()
                    self._list_read = anyio.Event()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _answer_list(self, _, request, stream):
        entries = [back_end.entry() for back_end in self.back_ends if back_end.is_listed]
        body = json.dumps({"instances": entries, "next_token": None}).encode()
        await write_answer(stream, request, "200 OK", body, {"Content_Type": "application/json"})


def _request_bytes(method, path, fields, body):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@asynccontextmanager
async def process_fleet(
    document, back_ends, *, processes=PROCESSES, daemon=None, sizes=None, is_linked=False
):
    """Run a fleet; ``back_ends`` adds the first back ends to it.

    With ``is_linked`` its processes are connected by ``links`` that can be cut.
    """
    daemon = LINKED_DAEMON if is_linked else daemon
    with tempfile.TemporaryDirectory(prefix="passlane-processes-") as folder:
        async with anyio.create_task_group() as tasks:
            fleet = ProcessFleet(tasks, Path(folder), processes, daemon, sizes, is_linked)
            try:
                back_ends(fleet)
                await fleet.start(document)
                yield fleet
            finally:
                fleet.machines.end_all()
                tasks.cancel_scope.cancel()


def configuration(version=1, **routes):
    """Return a configuration; ``routes`` are fields of routes by the route's name."""
    stream = {
        "kind": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 250,
        "priority": 1,
        "service": MODELS,
        "max_attempts": 1,
        "target_gap_ms": 200,
        "retention_s": 60.0,
    }
    plain_route = {
        "timeout_ms": 4000,
        "target_latency_ms": 250,
        "priority": 1,
        "service": TOOLS,
        "max_attempts": 1,
    }
    all_routes = {
        "kept": stream | {"retained": True, "resumable": False},
        "streams": stream | {"retained": False, "resumable": True},
        "both": stream | {"retained": True, "resumable": True},
        "safe": plain_route | {"kind": "safe"},
        "unsafe": plain_route | {"kind": "unsafe"},
    }
    engine = {"slots": 400, "kv_capacity": 100_000, "chunk_tokens": 9, "models": [{"name": "m"}]}
    common = {"health_path": "/healthz", "max_conns": 200, "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [
            {"name": name, "host": HOST, "path_prefix": f"/{name}/"} | fields | routes.get(name, {})
            for name, fields in all_routes.items()
        ],
        "services": [
            {"name": MODELS, "engine": engine} | common,
            {"name": TOOLS} | common,
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def turn(line="line", *, previous=None, resumes=None, last_event_id=None, budget=None):
    """Return the headers of a turn of a program."""
    headers = {
        "X-Passlane-Model": "m",
        "X-Passlane-Token-Usage": "100,72",
        "X-Passlane-Prompt-Prefix": "aa:100",
        "X-Passlane-Program-Id": f"program-{line}",
        "X-Passlane-Session-Id": line,
        "X-Passlane-Program-Deadline-Ms": "60000",
        "X-Passlane-Previous-Turn": previous,
        "X-Passlane-Token-Budget": budget,
        "Resumes": resumes,
        "Last-Event-Id": last_event_id,
    }
    return {name: str(value) for name, value in headers.items() if value is not None}
