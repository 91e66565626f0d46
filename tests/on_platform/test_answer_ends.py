"""Ends of engines' answers, in each framing, as callers of a node see them over real sockets."""

import itertools
import random
import socket
import struct
import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import SocketAttribute

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.placement.request_placement import NodeLocation
from passlane.messages.common import Address
from passlane.messages.routes import RouteKind
from passlane.messages.streams import StreamOrigin
from passlane.observability.metrics import Metrics
from passlane.platform.client_ingress import ClientIngress
from passlane.platform.engine_client import EngineClient
from passlane.relay.delivery import MAX_BUFFERED_BYTES
from passlane.relay.service import RelayService
from passlane.runtime.early_listening import bound_socket
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import HttpConnectionError, HttpRequest
from passlane.runtime.network import TcpNetwork
from relay.fakes import ScriptedStore, backend
from routes.test_checks import configuration, route

RUNS_ALONE = "listens on real sockets"

ENGINE_HOST = "127.0.0.1"
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
SETTLED_S = 0.05
"""Seconds after which loopback has delivered what was sent."""
HALF_CLOSED_S = 0.3
"""Seconds for which an engine leaves its half-closed connection open."""
AT_ONCE = 12
VERSION = "v1"

LINE_ENDS = (b"\n", b"\r\n")
FRAMINGS = ("length", "chunks", "connection")
ENDS = ("closed", "half-closed", "reset")
EVENTS = 3
PLACES = ("inside the first event", "inside a line", "behind a line", "behind an event", "whole")


def events(line_end):
    """Return the events of the engine's whole answer."""
    line = line_end.decode()
    return [f"id: {n}{line}data: text {n}{line}{line}".encode() for n in range(1, EVENTS + 1)]


def cut(line_end, place):
    """Return what the engine sends of its answer."""
    first, second, third = events(line_end)
    second_lines = second.split(line_end)
    return {
        "inside the first event": first[:9],
        "inside a line": first + second[:-6],
        "behind a line": first + line_end.join(second_lines[:2]) + line_end,
        "behind an event": first + second,
        "whole": first + second + third,
    }[place]


def framed(framing, body, whole_body):
    """Return the bytes of an answer with this part of its whole body."""
    if framing == "length":
        return b"content-length: %d\r\n\r\n" % len(whole_body) + body
    if framing == "connection":
        return b"\r\n" + body
    last = b"0\r\n\r\n" if body == whole_body else b""
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return b"transfer-encoding: chunked\r\n\r\n" + chunk + last


@dataclass
class Sent:
    """What an engine sends for one request, and how its connection ends then."""

    rest: bytes
    end: str = "closed"
    content_type: bytes = b"text/event-stream"


@dataclass
class Received:
    status: int
    body: bytes
    is_complete: bool


class RawEngine:
    """Answers requests with scripted bytes, in order; engines may share a list of scripts."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.requests = []

    async def serve(self, stream):
        async with stream:
            try:
                request = await self._read_request(stream)
                await self._answer(stream, request, self.scripts.pop(0))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _answer(self, stream, request, sent):
        self.requests.append(request)
        head = (
            b"HTTP/1.1 200 OK\r\nx-passlane-attempt-id: "
            + request["x-passlane-attempt-id"]
            + b"\r\n"
            b"x-passlane-response-signature: signed\r\ncontent-type: " + sent.content_type + b"\r\n"
        )
        await stream.send(head + sent.rest)
        await anyio.sleep(SETTLED_S)
        if sent.end == "reset":
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        elif sent.end == "half-closed":
            await stream.send_eof()
            await anyio.sleep(HALF_CLOSED_S)

    @staticmethod
    async def _read_request(stream):
        received = b""
        while not received.endswith(b"\r\n\r\nbody"):
            received += await stream.receive()
        lines = received.split(b"\r\n")[1:]
        pairs = [line.partition(b": ") for line in lines if b": " in line]
        return {name.decode().lower(): value for name, _, value in pairs}


class Node:
    """A relay with its HTTP server and client, before raw engines."""

    def __init__(self, callers):
        self.callers = callers
        self.client = SingleConnectionHttpClient(TcpNetwork())

    async def request(self, request_id="r-1", **headers):
        """Send a request of a caller; return what it receives."""
        all_headers = {
            "x-passlane-attempt-id": request_id,
            "x-passlane-deadline-ms": "4000",
            "x-passlane-program-id": "p",
            "x-passlane-token-budget": "1000",
            "x-passlane-token-usage": "10,90",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        http_request = HttpRequest(
            "POST", self.callers, "/first/x", all_headers, b"body", True, "one.example"
        )
        async with self.client.exchange(http_request) as response:
            body = b""
            try:
                async for part in response.chunks():
                    body += part
            except HttpConnectionError:
                return Received(response.status, body, False)
            return Received(response.status, body, True)


@asynccontextmanager
async def node_before(*engines, **route_changes):
    """Serve a node for whose route these engines are listed."""
    async with anyio.create_task_group() as tasks:
        records = []
        for number, engine in enumerate(engines, start=1):
            listener = await anyio.create_tcp_listener(local_host=ENGINE_HOST)
            tasks.start_soon(listener.serve, engine.serve)
            port = listener.extra(SocketAttribute.local_port)
            address = Address(ENGINE_HOST, port)
            changes = {"address": address, "software_version": VERSION}
            records.append(msgspec.structs.replace(backend(f"i-{number}"), **changes))
        registry = BackendRegistry()
        registry.update(records, anyio.current_time())
        store = ScriptedStore()
        store.streams["first"] = StreamOrigin(
            stream_id="first", service="models", software_version=VERSION
        )
        service = RelayService(
            NodeLocation("node-1", "a"),
            registry,
            EngineClient(SingleConnectionHttpClient(TcpNetwork())),
            store,
            tasks,
            Metrics(),
            random.Random(1),
        )
        changes = {"kind": RouteKind.STREAM, "timeout_s": 4.0} | route_changes
        service.replace_configuration(configuration(route(**changes)))
        listening = ListeningSocket()
        server = UvicornHttpServer(listening)
        tasks.start_soon(server.serve, listening.address, ClientIngress(service, lambda: False))
        yield Node(listening.address)
        tasks.cancel_scope.cancel()


class ListeningSocket:
    """A socket that listens at a free port before its server runs."""

    def __init__(self):
        self._socket = bound_socket(ENGINE_HOST, 0)
        self._socket.listen()
        self.address = Address(ENGINE_HOST, self._socket.getsockname()[1])

    def take(self, address):
        return self._socket


def relay_one(sent, *, headers=None, **route_changes):
    """Relay one request to an engine; return what the caller received."""
    (received,) = relay_each([sent], headers=headers, **route_changes)
    return received


def relay_each(answers, *, headers=None, **route_changes):
    """Relay a request to an engine for each of these answers; return what the callers received."""
    received = [None] * len(answers)
    limiter = anyio.CapacityLimiter(AT_ONCE)

    async def relay(number, sent):
        async with limiter, node_before(RawEngine([sent]), **route_changes) as node:
            received[number] = await node.request(**(headers or {}))

    async def main():
        async with anyio.create_task_group() as tasks:
            for number, sent in enumerate(answers):
                tasks.start_soon(relay, number, sent)

    anyio.run(main)
    return received


@dataclass
class End:
    """One way in which an engine's answer ends."""

    line_end: bytes
    framing: str
    place: str
    end: str

    @property
    def sent(self):
        body, whole_body = cut(self.line_end, self.place), cut(self.line_end, "whole")
        return Sent(framed(self.framing, body, whole_body), self.end)

    @property
    def is_proven_broken(self):
        """Whether an answer that ends so can't be whole."""
        if self.framing != "connection":
            return self.place != "whole"
        return self.end == "reset" or self.place not in ("whole", "behind an event")


ALL_ENDS = [End(*parts) for parts in itertools.product(LINE_ENDS, FRAMINGS, PLACES, ENDS)]


class StreamEndTest(unittest.TestCase):
    """What the caller of a stream receives, for each way in which its engine's answer ends."""

    def received_for(self, ends):
        return list(zip(ends, relay_each([end.sent for end in ends]), strict=True))

    def test_a_stream_that_broke_off_is_never_complete_for_its_caller(self):
        broken = [end for end in ALL_ENDS if end.is_proven_broken]
        complete = [end for end, received in self.received_for(broken) if received.is_complete]
        self.assertEqual(complete, [])

    def test_a_stream_that_broke_off_gives_its_caller_whole_events_alone(self):
        broken = [end for end in ALL_ENDS if end.is_proven_broken and end.end != "reset"]
        for end, received in self.received_for(broken):
            count = cut(end.line_end, end.place).count(end.line_end * 2)
            self.assertEqual(received.body, b"".join(events(end.line_end)[:count]), end)

    def test_a_whole_stream_stays_whole(self):
        whole = [end for end in ALL_ENDS if end.place == "whole" and not end.is_proven_broken]
        for end, received in self.received_for(whole):
            self.assertTrue(received.is_complete, end)
            self.assertEqual(received.body, cut(end.line_end, "whole"), end)

    def test_a_framed_stream_whose_last_event_is_unfinished_broke_off(self):
        for framing in ("length", "chunks"):
            body = cut(b"\n", "behind a line")
            received = relay_one(Sent(framed(framing, body, body)))
            self.assertFalse(received.is_complete, framing)

    def test_a_stream_without_a_length_and_without_an_event_broke_off(self):
        received = relay_one(Sent(framed("connection", b"", b"")))
        self.assertFalse(received.is_complete)

    def test_a_resumed_stream_that_has_no_further_event_is_whole(self):
        sent = Sent(framed("connection", b"", b""))
        headers = {"last_event_id": "3", "resumes": "first"}
        received = relay_one(sent, headers=headers, is_resumable=True)
        self.assertEqual((received.status, received.is_complete), (200, True))

    def test_an_answer_of_another_type_is_judged_by_its_framing_alone(self):
        body = b'{"text": "no events"}'
        for framing in FRAMINGS:
            sent = Sent(framed(framing, body, body), content_type=b"application/json")
            received = relay_one(sent)
            self.assertEqual((received.body, received.is_complete), (body, True), framing)


class ResumedStreamTest(unittest.TestCase):
    def test_a_stream_without_a_length_that_breaks_off_goes_on_at_another_engine(self):
        for line_end in LINE_ENDS:
            first, second, third = events(line_end)
            broken = Sent(framed("connection", first + second[:9], b""))
            rest = Sent(framed("connection", second + third, b""))
            received, requests = self.relay([broken, rest])
            self.assertEqual((received.body, received.is_complete), (first + second + third, True))
            self.assertEqual([request.get("last-event-id") for request in requests], [None, b"1"])

    def relay(self, scripts):
        """Relay a request to two engines that share their scripts."""

        async def main():
            engines = [RawEngine(scripts), RawEngine(scripts)]
            async with node_before(*engines, is_resumable=True, max_attempts=2) as node:
                received = await node.request()
            requests = [request for engine in engines for request in engine.requests]
            return received, sorted(requests, key=lambda request: request.get("last-event-id", b""))

        return anyio.run(main)


class PlainEndTest(unittest.TestCase):
    """Answers that are no streams: a reset is never an end."""

    BODY = b"x" * 800

    def test_an_answer_that_is_known_to_be_cut_is_not_an_answer(self):
        for framing, end in itertools.product(FRAMINGS, ENDS):
            sent = Sent(framed(framing, self.BODY[:500], self.BODY), end, b"application/json")
            received = relay_one(sent, kind=RouteKind.AT_MOST_ONCE)
            is_known = framing != "connection" or end == "reset"
            self.assertEqual(received.status, 502 if is_known else 200, (framing, end))

    def test_an_answer_that_is_declared_as_a_stream_and_ends_inside_an_event_is_not_an_answer(self):
        for kind in (RouteKind.AT_MOST_ONCE, RouteKind.REPEATABLE):
            sent = Sent(framed("connection", cut(b"\n", "inside a line"), b""))
            self.assertEqual(relay_one(sent, kind=kind).status, 502)
            sent = Sent(framed("connection", cut(b"\n", "whole"), b""))
            self.assertEqual(relay_one(sent, kind=kind).status, 200)

    def test_a_long_one_that_ends_inside_an_event_is_not_complete(self):
        body = b"id: 1\ndata: " + b"x" * 2 * MAX_BUFFERED_BYTES
        for framing in FRAMINGS:
            received = relay_one(Sent(framed(framing, body, body)), kind=RouteKind.AT_MOST_ONCE)
            self.assertFalse(received.is_complete, framing)

    def test_a_whole_answer_stays_whole(self):
        for framing, end in itertools.product(FRAMINGS, ("closed", "half-closed")):
            sent = Sent(framed(framing, self.BODY, self.BODY), end, b"application/json")
            received = relay_one(sent, kind=RouteKind.AT_MOST_ONCE)
            self.assertEqual((received.status, received.body), (200, self.BODY), (framing, end))
            self.assertTrue(received.is_complete)


if __name__ == "__main__":
    unittest.main()
