"""The proxy of bytes of a soak, on loopback."""

import socket
import unittest

import anyio

from passlane.messages.common import Address
from passlane.soak.machines import loopback_network
from passlane.soak.proxy import FaultyProxy, ProxyMode

RUNS_ALONE = "listens on real sockets"

PORT = 8090
HELD_S = 0.2


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


async def with_proxy(check):
    network = loopback_network()
    target = Address(f"{network}.240", PORT)
    proxy = FaultyProxy("echo", Address(f"{network}.241", PORT), target)
    listener = await anyio.create_tcp_listener(local_host=target.host, local_port=PORT)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        tasks.start_soon(proxy.run)
        await anyio.sleep(HELD_S)
        async with await anyio.connect_tcp(proxy.address.host, PORT) as stream:
            await stream.send(b"first")
            assert await stream.receive() == b"first"
            await check(proxy, stream)
        tasks.cancel_scope.cancel()


class ClosedConnection:
    """A connection whose socket is closed, while its task has not ended yet."""

    def extra(self, _attribute):
        closed = socket.socket()
        closed.close()
        return closed


class ListeningTest(unittest.TestCase):
    def test_a_proxy_that_stops_listening_refuses_connections_before_it_closes_others(self):
        async def check(proxy, stream):
            proxy.stop_listening()
            with self.assertRaises(anyio.EndOfStream):
                await stream.receive()
            with self.assertRaises(OSError):
                await anyio.connect_tcp(proxy.address.host, PORT)
            proxy.listen_again()
            await anyio.sleep(HELD_S)
            async with await anyio.connect_tcp(proxy.address.host, PORT) as again:
                await again.send(b"again")
                self.assertEqual(await again.receive(), b"again")

        anyio.run(with_proxy, check)


class ResetTest(unittest.TestCase):
    def test_a_connection_that_is_closed_already_holds_up_no_reset(self):
        async def check():
            proxy = FaultyProxy("echo", Address("127.0.0.1", PORT), Address("127.0.0.1", PORT))
            scopes = [anyio.CancelScope(), anyio.CancelScope()]
            proxy._connections = {ClosedConnection(): scope for scope in scopes}
            proxy.reset_all()
            self.assertTrue(all(scope.cancel_called for scope in scopes))

        anyio.run(check)


class ProxyTest(unittest.TestCase):
    def test_bytes_are_held_until_the_mode_ends(self):
        async def check(proxy, stream):
            for mode in (ProxyMode.SILENT, ProxyMode.NOT_READING):
                proxy.set_mode(mode)
                if mode is ProxyMode.NOT_READING:
                    # What was asked for before the mode is still read.
                    await stream.send(b"before")
                    self.assertEqual(await stream.receive(), b"before")
                await stream.send(b"held")
                with self.assertRaises(TimeoutError), anyio.fail_after(HELD_S):
                    await stream.receive()
                proxy.set_mode(ProxyMode.PASS)
                self.assertEqual(await stream.receive(), b"held")

        anyio.run(with_proxy, check)

    def test_a_reset_is_seen_by_the_caller(self):
        async def check(proxy, stream):
            proxy.reset_all()
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive()

        anyio.run(with_proxy, check)

    def test_a_target_that_is_gone_closes_the_connection(self):
        async def check(proxy, stream):
            proxy._target = Address(proxy.address.host, 1)
            async with await anyio.connect_tcp(proxy.address.host, PORT) as second:
                with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await second.receive()

        anyio.run(with_proxy, check)


if __name__ == "__main__":
    unittest.main()
