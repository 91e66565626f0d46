"""Tests of sockets that listen before their server runs, on loopback."""

import socket
import unittest
from contextlib import closing

import anyio

from passlane.messages.common import Address
from passlane.runtime.early_listening import ListeningSockets, bound_socket
from passlane.runtime.http_server import UvicornHttpServer

RUNS_ALONE = "listens on real sockets"

TIMEOUT_S = 10.0
"""Fails a test that hangs."""
REQUEST = b"GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"


async def say_hello(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"hello"})


def free_address():
    with closing(bound_socket("127.0.0.1", 0)) as bound:
        return Address("127.0.0.1", bound.getsockname()[1])


class EarlyListeningTest(unittest.TestCase):
    def test_an_early_connection_is_served_once_the_server_runs(self):
        address = free_address()
        sockets = ListeningSockets()
        sockets.listen([str(address)])
        client = socket.create_connection((address.host, address.port))
        self.addCleanup(client.close)
        client.sendall(REQUEST)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(UvicornHttpServer(sockets).serve, address, say_hello)
                with anyio.fail_after(TIMEOUT_S):
                    answer = await anyio.to_thread.run_sync(_read_all, client)
                tasks.cancel_scope.cancel()
                return answer

        self.assertIn(b"hello", anyio.run(main))

    def test_a_socket_can_be_taken_once(self):
        address = str(free_address())
        sockets = ListeningSockets()
        sockets.listen([address])
        listening = sockets.take(address)
        self.addCleanup(listening.close)
        self.assertIsNone(sockets.take(address))

    def test_addresses_that_cannot_be_listened_on_are_skipped(self):
        with closing(bound_socket("127.0.0.1", 0)) as taken:
            taken.listen()
            port = taken.getsockname()[1]
            wrong = [f"127.0.0.1:{port}", "127.0.0.1", "127.0.0.1:no", "127.0.0.1:700000", ""]
            sockets = ListeningSockets()
            sockets.listen(wrong)
            for address in wrong:
                with self.subTest(address=address):
                    self.assertIsNone(sockets.take(address))


def _read_all(client):
    parts = []
    while part := client.recv(4096):
        parts.append(part)
    return b"".join(parts)
