"""Stand-ins for the platform's engines and its list of engines, with the published protocol."""

import json

import anyio

from passlane.api.asgi import read_request
from passlane.emulator.http_server import ENDS_WITH_CONNECTION

EVENTS = 3
HEALTH_PATH = "/healthz"
MAX_ENDLESS_PARTS = 1_000
ENDLESS_PAUSE_S = 0.001


class StandInEngine:
    """Answers every request with a stream of events and records the requests that it ran.

    Attributes
    ----------
    event_delay_s
        Pause before each event.
    software_version
        Version of its software, as the list names it.
    breaks_after
        Number of events after which it breaks an answer off; ``None`` to complete it.
    lacks_length
        Whether its answers have neither a length nor chunks; one that breaks off ends inside an
        event.
    on_run
        Called with this engine and the body when it begins to run a request; ``None`` for nothing.
    born_ms
        Unix time of its start, as the list names it; ``None`` if the platform tells none.
    endless_part
        Part of a body that it sends again and again until its caller closes; empty to answer.
    sent_parts
        How many of these it has sent.
    harm
        What a harmful request does to it (``on_platform.harmful_requests``); ``None`` for nothing.
    """

    def __init__(self, instance_id, address, service):
        self.instance_id = instance_id
        self.address = address
        self.service = service
        self.state = "ready"
        self.runs = []
        self.run_headers = {}
        self.run_times = []
        self.event_delay_s = 0.01
        self.software_version = "v1"
        self.breaks_after = None
        self.lacks_length = False
        self.on_run = None
        self.born_ms = None
        self.harm = None
        self.checks = 0
        self.endless_part = b""
        self.sent_parts = 0

    async def __call__(self, scope, receive, send):
        request = await read_request(scope, receive, 10_000_000)
        headers = request.headers
        own_id = [(b"x-passlane-instance-id", self.instance_id.encode())]
        if request.path == HEALTH_PATH:
            self.checks += 1
            await self._answer(send, 200, own_id, b"")
            return
        request_id = headers.get("x-passlane-attempt-id", "")
        if headers.get("x-passlane-target-instance") != self.instance_id:
            echo = [(b"x-passlane-attempt-id", request_id.encode())] if request_id else []
            await self._answer(send, 421, own_id + echo, b"")
            return
        self.runs.append((request_id, request.body))
        self.run_headers[request_id] = headers
        self.run_times.append(anyio.current_time())
        if self.on_run is not None:
            self.on_run(self, request.body)
        answer_headers = [
            (b"x-passlane-attempt-id", request_id.encode()),
            (b"x-passlane-response-signature", b"signed"),
            (b"content-type", b"text/event-stream"),
        ]
        harm = self.harm if self.harm is not None and self.harm.is_in(request.body) else None
        if harm is not None and harm.breaks_off:
            await send({"type": "http.response.start", "status": 200, "headers": answer_headers})
            return  # Without an end, the server closes the connection.
        if harm is not None and harm.answer_status is not None:
            await self._answer(send, harm.answer_status, answer_headers, b"failed")
            return
        start = {"type": "http.response.start", "status": 200, "headers": answer_headers}
        await send(start | {ENDS_WITH_CONNECTION: self.lacks_length})
        while self.endless_part and self.sent_parts < MAX_ENDLESS_PARTS:
            self.sent_parts += 1
            part = {"type": "http.response.body", "body": self.endless_part, "more_body": True}
            await send(part)
            await anyio.sleep(ENDLESS_PAUSE_S)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await anyio.sleep(self.event_delay_s)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            if self.breaks_after is not None and number > self.breaks_after:
                if self.lacks_length:
                    part = event[: len(event) // 2]
                    await send({"type": "http.response.body", "body": part, "more_body": True})
                return  # Without an end, the server closes the connection.
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    @staticmethod
    async def _answer(send, status, headers, body):
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def output_of(self, request_id):
        """Return what the events of a turn append to the history."""
        return "".join(f"{request_id}.{n}\n" for n in range(1, EVENTS + 1)).encode()


class StandInList:
    """Answers with the list of engines in pages of two."""

    def __init__(self, engines):
        self.engines = engines
        self.calls = 0

    async def __call__(self, scope, receive, send):
        request = await read_request(scope, receive, 1_000)
        self.calls += 1
        start = int(request.query.get("page_token", "0"))
        page = self.engines[start : start + 2]
        end = start + 2
        body = {
            "instances": [
                {
                    "id": engine.instance_id,
                    "service": engine.service,
                    "address": str(engine.address),
                    "zone": "a",
                    "version": engine.software_version,
                    "slots": 4,
                    "state": engine.state,
                    "cold_left_ms": 0,
                }
                | ({} if engine.born_ms is None else {"born": engine.born_ms})
                for engine in page
            ],
            "next_token": str(end) if end < len(self.engines) else None,
        }
        data = json.dumps(body).encode()
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": data})


RESUMABLE_ROUTE = {
    "name": "streams",
    "host": "one.example",
    "path_prefix": "/streams/",
    "kind": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 250,
    "priority": 1,
    "service": "models",
    "max_attempts": 1,
    "resumable": True,
    "target_gap_ms": 200,
}


def configuration(
    version, *, budget_service="models", timeout_ms=4000, extra_routes=(), tenants=()
):
    """Return a configuration document of the platform."""
    routes = [
        {
            "name": "turns",
            "host": "one.example",
            "path_prefix": "/turns/",
            "kind": "streaming",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 250,
            "priority": 1,
            "service": budget_service,
            "max_attempts": 1,
            "retained": True,
            "retention_s": 60.0,
            "resumable": False,
            "target_gap_ms": 200,
        },
        {
            "name": "calls",
            "host": "one.example",
            "path_prefix": "/calls/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "priority": 2,
            "service": "models",
        },
        *extra_routes,
    ]
    services = [
        {
            "name": "models",
            "health_path": HEALTH_PATH,
            "max_conns": 10,
            "engine": {"slots": 4, "chunk_tokens": 9},
        }
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    document = {"version": version, "routes": routes, "services": services, "limits": limits}
    if tenants:
        document["tenants"] = list(tenants)
    return json.dumps(document).encode()
