"""Tests that the HTTP client reports whether bytes left and never reuses abandoned connections."""

import asyncio
import random
import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore

from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.messages.common import Address
from passlane.runtime.early_listening import bound_socket
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import HttpConnectionError, HttpLimits, HttpRequest
from passlane.runtime.network import TcpNetwork
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.replacement import Replacement, replaced
from passlane.simulation.runner import run_simulation

RUNS_ALONE = "listens on real sockets"

CLIENT_HOST = "10.0.0.1"
BACKEND = Address("10.0.0.2", 8000)


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Stream ten chunks, one each 100 ms; ``/hang`` never answers."""
    await receive()
    if scope["path"] == "/hang":
        await anyio.sleep_forever()
    headers = [(b"content-type", b"text/plain")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    for number in range(10):
        await anyio.sleep(0.1)
        body = f"{scope['path']} {number};".encode()
        await send({"type": "http.response.body", "body": body, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


class CountingStream:
    """A byte stream that records its sends and has one response."""

    def __init__(self, answer: bytes) -> None:
        self.sent: list[bytes] = []
        self._answer = [answer]

    async def send(self, item: bytes) -> None:
        self.sent.append(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self._answer:
            raise anyio.EndOfStream
        return self._answer.pop()

    async def aclose(self) -> None:
        """Close nothing."""

    def extra(self, attribute: Any, default: Any = None) -> Any:
        return default


class OneStreamNetwork:
    """A network that connects every address to one stream."""

    def __init__(self, stream: CountingStream) -> None:
        self._stream = stream

    async def connect(self, address: Address) -> CountingStream:
        return self._stream


class SentTogetherTest(unittest.TestCase):
    def test_head_and_body_of_a_request_leave_together(self) -> None:
        stream = CountingStream(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

        async def main() -> None:
            client = SingleConnectionHttpClient(OneStreamNetwork(stream))  # type: ignore[arg-type]
            request = HttpRequest("POST", BACKEND, "/x", body=b"body")
            async with client.exchange(request) as response:
                parts = [part async for part in response.chunks()]
            self.assertEqual(b"".join(parts), b"ok")

        run_simulation(main, 1)
        self.assertEqual(len(stream.sent), 1)
        self.assertTrue(stream.sent[0].endswith(b"body"))


class KeepAliveTest(unittest.TestCase):
    def test_a_time_of_many_digits_keeps_the_answer_and_the_connection(self) -> None:
        for timeout in (b"5", str(2**64).encode(), b"9" * 400, b"9" * 5_000):
            answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=%b\r\n\r\nok"
            stream = CountingStream(answer % timeout)

            async def main(stream: CountingStream = stream) -> None:
                client = SingleConnectionHttpClient(OneStreamNetwork(stream))  # type: ignore[arg-type]
                async with client.exchange(HttpRequest("GET", BACKEND, "/x")) as response:
                    parts = [part async for part in response.chunks()]
                self.assertEqual(b"".join(parts), b"ok")
                self.assertTrue(client.has_idle_connection(BACKEND))

            with self.subTest(timeout[:24]):
                run_simulation(main, 1)


class FailingStream(CountingStream):
    """A byte stream that fails to send or receive after the given responses."""

    def __init__(
        self, *answers: bytes, at_send: Exception | None = None, at_read: Exception | None = None
    ) -> None:
        super().__init__(b"")
        self._answer = list(reversed(answers))
        self._at_send = at_send
        self._at_read = at_read

    async def send(self, item: bytes) -> None:
        if self._at_send is not None and not self._answer:
            raise self._at_send
        await super().send(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if self._at_read is not None and not self._answer:
            raise self._at_read
        return await super().receive(max_bytes)


COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
UNEXPECTED = (OSError("no buffer space"), TimeoutError(), RuntimeError("busy"), KeyError("odd"))
"""Errors that neither the network nor the HTTP library normally raises."""


class UnexpectedFailureTest(unittest.TestCase):
    """Any error reports whether bytes of the request left."""

    def fail_on(self, stream: FailingStream, requests: int = 1) -> HttpConnectionError:
        """Send requests, of which only the last one fails; return its error."""
        caught: list[HttpConnectionError] = []

        async def main() -> None:
            client = SingleConnectionHttpClient(OneStreamNetwork(stream))  # type: ignore[arg-type]
            for _ in range(requests):
                try:
                    async with client.exchange(HttpRequest("POST", BACKEND, "/x")) as response:
                        async for _ in response.chunks():
                            pass
                except HttpConnectionError as error:
                    caught.append(error)

        run_simulation(main, 1)
        self.assertEqual(len(caught), 1)
        return caught[0]

    def test_a_failure_while_the_request_is_written_may_have_sent(self) -> None:
        for error in (anyio.BrokenResourceError(), anyio.ClosedResourceError(), *UNEXPECTED):
            with self.subTest(repr(error)):
                self.assertTrue(self.fail_on(FailingStream(at_send=error)).bytes_left)

    def test_a_failure_while_the_answer_is_awaited_may_have_sent(self) -> None:
        for error in (anyio.BrokenResourceError(), anyio.EndOfStream(), *UNEXPECTED):
            with self.subTest(repr(error)):
                self.assertTrue(self.fail_on(FailingStream(at_read=error)).bytes_left)

    def test_a_failure_within_the_body_may_have_sent(self) -> None:
        for error in UNEXPECTED:
            with self.subTest(repr(error)):
                stream = FailingStream(COMPLETE_RESPONSE[:-1], at_read=error)
                self.assertTrue(self.fail_on(stream).bytes_left)

    def test_a_kept_connection_that_the_server_has_half_closed_may_have_sent(self) -> None:
        stream = FailingStream(COMPLETE_RESPONSE, at_read=anyio.EndOfStream())
        self.assertTrue(self.fail_on(stream, requests=2).bytes_left)

    def test_a_kept_connection_that_is_reset_while_it_is_written_to_may_have_sent(self) -> None:
        reset = anyio.BrokenResourceError()
        stream = FailingStream(COMPLETE_RESPONSE, at_send=reset, at_read=reset)
        self.assertTrue(self.fail_on(stream, requests=2).bytes_left)

    def test_a_connection_refused_by_the_library_sent_nothing(self) -> None:
        handle = httpcore.AsyncHTTP11Connection.handle_async_request
        for answers in ([], [COMPLETE_RESPONSE]):
            with self.subTest(kept=bool(answers)):
                stream = FailingStream(*answers)
                left = len(answers)

                async def handle_some(connection: Any, request: Any) -> Any:
                    nonlocal left
                    left -= 1
                    if left < 0:
                        raise httpcore.ConnectionNotAvailable
                    return await handle(connection, request)

                name = "handle_async_request"
                refusing = Replacement(httpcore.AsyncHTTP11Connection, name, handle_some)
                with replaced([refusing]):
                    error = self.fail_on(stream, requests=len(answers) + 1)
                self.assertFalse(error.bytes_left)
                self.assertEqual(len(stream.sent), len(answers))

    def test_an_invalid_request_counts_as_sent(self) -> None:
        stream = FailingStream(COMPLETE_RESPONSE)

        async def main() -> None:
            client = SingleConnectionHttpClient(OneStreamNetwork(stream))  # type: ignore[arg-type]
            request = HttpRequest("POST", BACKEND, "/x", headers={"x": "a\nb"})
            with self.assertRaises(HttpConnectionError) as caught:
                async with client.exchange(request):
                    pass
            self.assertTrue(caught.exception.bytes_left)

        run_simulation(main, 1)
        self.assertEqual(stream.sent, [])

    def test_a_failure_to_connect_sent_nothing(self) -> None:
        for error in UNEXPECTED:
            with self.subTest(repr(error)):

                class Unconnectable:
                    async def connect(self, address: Address, error: Exception = error) -> None:
                        raise error

                async def main() -> None:
                    client = SingleConnectionHttpClient(Unconnectable())  # type: ignore[arg-type]
                    with self.assertRaises(HttpConnectionError) as caught:
                        async with client.exchange(HttpRequest("GET", BACKEND, "/x")):
                            pass
                    self.assertFalse(caught.exception.bytes_left)

                run_simulation(main, 1)


class Fixture:
    """A simulated network with one backend and one client."""

    def __init__(self) -> None:
        self.network = SimulatedNetwork(random.Random(2), DelayModel({}))
        self.client = SingleConnectionHttpClient(self.network.host(CLIENT_HOST))

    async def serve(self) -> None:
        server = ByteStreamHttpServer(self.network.host(BACKEND.host))
        await server.serve(BACKEND, application)

    async def fetch(self, path: str) -> str:
        request = HttpRequest("POST", BACKEND, path, body=b"{}")
        async with self.client.exchange(request) as response:
            return b"".join([part async for part in response.chunks()]).decode()


def simulate(body: Callable[[Fixture], Awaitable[None]]) -> None:
    async def main() -> None:
        fixture = Fixture()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.serve)
            await anyio.sleep(0.01)
            await body(fixture)
            tasks.cancel_scope.cancel()

    run_simulation(main, seed=1)


class BytesLeftTest(unittest.TestCase):
    async def expect_error(self, fixture: Fixture, path: str, *, bytes_left: bool) -> None:
        with self.assertRaises(HttpConnectionError) as caught:
            await fixture.fetch(path)
        self.assertIs(caught.exception.bytes_left, bytes_left)

    def test_refused_connection_sent_nothing(self) -> None:
        async def body(fixture: Fixture) -> None:
            fixture.network.remove_listeners(BACKEND.host)
            await self.expect_error(fixture, "/x", bytes_left=False)

        simulate(body)

    def test_silent_connection_attempt_sent_nothing_and_ends(self) -> None:
        async def body(fixture: Fixture) -> None:
            fixture.network.cut({CLIENT_HOST}, {BACKEND.host})
            await self.expect_error(fixture, "/x", bytes_left=False)
            self.assertLess(anyio.current_time(), 5.0)

        simulate(body)

    def test_loss_before_and_in_the_answer_may_have_sent(self) -> None:
        async def body(fixture: Fixture) -> None:
            for path, after_s in (("/hang", 0.5), ("/x", 0.5)):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(lambda p: self.expect_error(fixture, p, bytes_left=True), path)
                    await anyio.sleep(after_s)
                    fixture.network.break_connections(BACKEND.host)

        simulate(body)

    def test_abandoned_answer_never_reaches_the_next_request(self) -> None:
        async def body(fixture: Fixture) -> None:
            for number in range(5):
                request = HttpRequest("POST", BACKEND, f"/abandoned{number}", body=b"{}")
                async with fixture.client.exchange(request) as response:
                    async for _ in response.chunks():
                        break
                with anyio.move_on_after(0.35):
                    await fixture.fetch(f"/cancelled{number}")
                answer = await fixture.fetch(f"/wanted{number}")
                self.assertEqual(answer, "".join(f"/wanted{number} {n};" for n in range(10)))

        simulate(body)


class RealServerTest(unittest.TestCase):
    def test_uvicorn_answers_and_a_stop_lets_the_answer_in_flight_finish(self) -> None:
        async def main() -> None:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = Address("127.0.0.1", probe.getsockname()[1])
            client = SingleConnectionHttpClient(TcpNetwork())
            answers: list[str] = []

            async def fetch(path: str, begun: anyio.Event) -> None:
                request = HttpRequest("GET", address, path)
                async with client.exchange(request) as response:
                    parts = []
                    async for part in response.chunks():
                        parts.append(part)
                        begun.set()
                    answers.append(b"".join(parts).decode())

            async with anyio.create_task_group() as tasks:
                server_scope = anyio.CancelScope()

                async def serve() -> None:
                    with server_scope:
                        await UvicornHttpServer().serve(address, application)

                tasks.start_soon(serve)
                while True:
                    try:
                        await fetch("/first", anyio.Event())
                        break
                    except HttpConnectionError as error:
                        self.assertFalse(error.bytes_left)
                        await anyio.sleep(0.01)
                begun = anyio.Event()
                tasks.start_soon(fetch, "/second", begun)
                await begun.wait()
                server_scope.cancel()
            self.assertTrue(answers[1].endswith("/second 9;"))

        anyio.run(main, backend="asyncio")

    def test_a_request_in_flight_after_the_stop_gets_its_handler_s_last_response(self) -> None:
        async def refuse_when_stopped(scope: Any, receive: Any, send: Any) -> None:
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    headers = [(b"content-length", b"4")]
                    start = {"type": "http.response.start", "status": 503, "headers": headers}
                    await send(start)
                    await send({"type": "http.response.body", "body": b"busy"})

        async def main() -> None:
            listening = bound_socket("127.0.0.1", 0)
            address = Address("127.0.0.1", listening.getsockname()[1])
            listening.close()
            client = SingleConnectionHttpClient(TcpNetwork())
            responses: list[tuple[int, bytes]] = []
            server_scope = anyio.CancelScope()

            async def serve() -> None:
                with server_scope:
                    limits = HttpLimits(finish_s=0.1)
                    await UvicornHttpServer().serve(address, refuse_when_stopped, limits)

            async def fetch() -> None:
                async with client.exchange(HttpRequest("GET", address, "/x")) as response:
                    body = b"".join([part async for part in response.chunks()])
                    responses.append((response.status, body))

            with anyio.fail_after(10):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(serve)
                    await anyio.sleep(0.3)
                    tasks.start_soon(fetch)
                    await anyio.sleep(0.3)
                    server_scope.cancel()
            self.assertEqual(responses, [(503, b"busy")])

        anyio.run(main, backend="asyncio")


class StopTimeTest(unittest.TestCase):
    """Guards against a planned stop that outlasts its grace time by the pauses of its servers."""

    FINISH_S = 0.5
    SLACK_S = 0.08

    def stop_s(self, path: str) -> float:
        """Return the seconds that a server takes to stop beside one request for ``path``."""

        async def main() -> float:
            with bound_socket("127.0.0.1", 0) as listening:
                address = Address("127.0.0.1", listening.getsockname()[1])
            client = SingleConnectionHttpClient(TcpNetwork())
            limits = HttpLimits(finish_s=self.FINISH_S)
            async with anyio.create_task_group() as requests:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(UvicornHttpServer().serve, address, application, limits)
                    await anyio.sleep(0.3)
                    if path:
                        requests.start_soon(self._fetch, client, address, path)
                    await anyio.sleep(0.2)
                    stopped_at = anyio.current_time()
                    tasks.cancel_scope.cancel()
                took_s = anyio.current_time() - stopped_at
                requests.cancel_scope.cancel()
            return took_s

        return min(anyio.run(main, backend="asyncio") for _ in range(3))

    @staticmethod
    async def _fetch(client: SingleConnectionHttpClient, address: Address, path: str) -> None:
        async with client.exchange(HttpRequest("GET", address, path)) as response:
            async for _ in response.chunks():
                pass

    def test_a_server_without_requests_stops_at_once(self) -> None:
        self.assertLess(self.stop_s(""), self.SLACK_S)

    def test_requests_in_flight_get_no_more_than_their_time(self) -> None:
        took_s = self.stop_s("/hang")
        self.assertGreaterEqual(took_s, self.FINISH_S - 0.01)
        self.assertLess(took_s, self.FINISH_S + self.SLACK_S)


class AcceptedSocketTest(unittest.TestCase):
    def test_accepted_connections_send_small_parts_at_once(self) -> None:
        """Nagle's algorithm is off, so no part of a response waits for an acknowledgement."""

        async def accept_one() -> int:
            accepted: asyncio.Future[int] = asyncio.get_running_loop().create_future()

            async def record_no_delay(
                _: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                raw = writer.get_extra_info("socket")
                accepted.set_result(raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
                writer.close()

            listening = bound_socket("127.0.0.1", 0)
            host, port = listening.getsockname()
            server = await asyncio.start_server(record_no_delay, sock=listening)
            async with server:
                _, writer = await asyncio.open_connection(host, port)
                no_delay = await accepted
                writer.close()
            return no_delay

        self.assertNotEqual(asyncio.run(accept_one()), 0)
