"""Tests of the HTTP server's limits on headers, bodies and time, on loopback."""

import socket
import unittest

import anyio

from passlane.messages.common import Address
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import HttpLimits

RUNS_ALONE = "listens on real sockets under short time limits"

HOST = "127.0.0.1"
LIMITS = HttpLimits(max_header_bytes=500, header_timeout_s=0.2, idle_timeout_s=0.4)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def answer_ok(scope, receive, send):
    await receive()
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


async def read_to_end(stream):
    data = b""
    with anyio.fail_after(5):
        try:
            while True:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data


class HttpLimitsTest(unittest.TestCase):
    def exchange(self, *parts):
        """Send parts on one connection; return all bytes received until the server closed it."""

        async def main():
            port = free_port()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(UvicornHttpServer().serve, Address(HOST, port), answer_ok, LIMITS)
                stream = await self.connect(port)
                async with stream:
                    for part in parts:
                        await stream.send(part)
                    received = await read_to_end(stream)
                tasks.cancel_scope.cancel()
            return received

        return anyio.run(main, backend="asyncio")

    async def connect(self, port):
        while True:
            try:
                return await anyio.connect_tcp(HOST, port)
            except OSError:
                await anyio.sleep(0.01)

    def test_incomplete_headers_time_out(self):
        received = self.exchange(b"GET / HTTP/1.1\r\nHost: a\r\nX-Half: ")
        self.assertTrue(received.startswith(b"HTTP/1.1 408 "))

    def test_an_unused_connection_is_closed_without_a_response(self):
        self.assertEqual(self.exchange(), b"")

    def test_an_idle_connection_is_closed_after_its_response(self):
        received = self.exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
        self.assertTrue(received.endswith(b"ok"))

    def test_too_large_headers_are_refused_at_once(self):
        received = self.exchange(b"GET / HTTP/1.1\r\nX-Large: " + b"x" * 600 + b"\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 431 "))
        self.assertNotIn(b"200", received)

    def test_conflicting_content_lengths_are_refused(self):
        received = self.exchange(
            b"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
