"""What a real connection attempt shows of an address: refused, accepted, or not known."""

import socket
import unittest

import anyio

from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpConnectionError
from passlane.runtime.network import TcpNetwork

RUNS_ALONE = "listens on real sockets"


async def try_connect(address, network=None):
    await SingleConnectionHttpClient(network or TcpNetwork()).try_connect(address)


class SilentNetwork:
    async def connect(self, address):
        await anyio.sleep_forever()


class RefusedConnectionTest(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])

    def failure(self, network=None):
        with self.assertRaises(HttpConnectionError) as raised:
            anyio.run(try_connect, self.address, network)
        self.assertFalse(raised.exception.bytes_left)
        return raised.exception

    def test_a_listening_process_accepts(self):
        anyio.run(try_connect, self.address)

    def test_an_address_where_nothing_listens_refuses(self):
        self.listener.close()
        self.assertTrue(self.failure().is_refused)

    def test_a_silent_host_does_not_refuse(self):
        self.assertFalse(self.failure(SilentNetwork()).is_refused)


if __name__ == "__main__":
    unittest.main()
