"""Tests of accepted TCP streams on loopback: large transfers, slow readers, closes and resets."""

import socket
import unittest

import anyio
from anyio.abc import SocketAttribute

from passlane.bench.loopback import free_address
from passlane.messages.common import Address
from passlane.runtime.accepted_stream import MAX_UNREAD_BYTES
from passlane.runtime.network import TcpNetwork

RUNS_ALONE = "listens on real sockets"

LARGE = bytes(range(256)) * 20_000
TIMEOUT_S = 20.0


async def connect_when_listening(address):
    while True:
        try:
            return await anyio.connect_tcp(address.host, address.port)
        except OSError:
            await anyio.sleep(0.01)


def on_connection(handler_name):
    """Run a test with the client side of a connection that the named handler serves."""

    def decorate(body):
        def test(self):
            async def main():
                address = free_address()
                with anyio.fail_after(TIMEOUT_S):
                    async with anyio.create_task_group() as tasks:
                        handler = getattr(self, handler_name)
                        tasks.start_soon(TcpNetwork().serve, address, handler)
                        async with await connect_when_listening(address) as client:
                            await body(self, client)
                        tasks.cancel_scope.cancel()

            anyio.run(main)

        return test

    return decorate


class AcceptedStreamTest(unittest.TestCase):
    def setUp(self):
        self.outcome = None
        self.has_outcome = anyio.Event()

    def record_outcome(self, outcome):
        self.outcome = outcome
        self.has_outcome.set()

    async def echo(self, stream):
        async for data in stream:
            await stream.send(data)

    async def read_after_delay(self, stream):
        await anyio.sleep(0.5)
        self.record_outcome(stream._unread_bytes)
        total = 0
        async for data in stream:
            total += len(data)
        await stream.send(str(total).encode())

    async def read_until_broken(self, stream):
        try:
            while True:
                await stream.receive()
        except (anyio.BrokenResourceError, anyio.EndOfStream) as error:
            self.record_outcome(error)

    async def send_until_broken(self, stream):
        try:
            while True:
                await stream.send(LARGE)
        except anyio.BrokenResourceError as error:
            self.record_outcome(error)

    async def close_while_reading(self, stream):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stream.aclose)
            try:
                await stream.receive()
            except anyio.ClosedResourceError as error:
                self.record_outcome(error)

    @on_connection("echo")
    async def test_large_data_is_echoed_complete_and_in_order(self, client):
        received = bytearray()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.send, LARGE)
            while len(received) < len(LARGE):
                received += await client.receive()
        self.assertEqual(bytes(received), LARGE)

    @on_connection("read_after_delay")
    async def test_unread_data_blocks_the_sender(self, client):
        await client.send(LARGE)
        await client.send_eof()
        self.assertEqual(await client.receive(), str(len(LARGE)).encode())
        self.assertLess(self.outcome, 3 * MAX_UNREAD_BYTES)

    @on_connection("read_until_broken")
    async def test_a_closed_connection_ends_the_stream(self, client):
        await client.send(b"x")
        await client.aclose()
        await self.has_outcome.wait()
        self.assertIsInstance(self.outcome, anyio.EndOfStream)

    @on_connection("read_until_broken")
    async def test_a_reset_breaks_the_stream(self, client):
        self.reset(client)
        await self.has_outcome.wait()
        self.assertIsInstance(self.outcome, anyio.BrokenResourceError)

    @on_connection("send_until_broken")
    async def test_a_reset_wakes_a_blocked_sender(self, client):
        await anyio.sleep(0.2)
        self.reset(client)
        await self.has_outcome.wait()
        self.assertIsInstance(self.outcome, anyio.BrokenResourceError)

    @on_connection("close_while_reading")
    async def test_closing_wakes_the_reader(self, client):
        await self.has_outcome.wait()
        self.assertIsInstance(self.outcome, anyio.ClosedResourceError)

    @staticmethod
    def reset(client):
        raw_socket = client.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        client._transport.abort()

    def test_an_address_in_use_is_refused(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = Address(*listener.getsockname())
            with self.assertRaises(OSError):
                anyio.run(TcpNetwork().serve, address, self.echo)


if __name__ == "__main__":
    unittest.main()
