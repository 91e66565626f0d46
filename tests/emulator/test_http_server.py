"""Answers without a length over the byte-stream server, whole and broken off."""

import random
import unittest

import anyio

from passlane.emulator.http_server import ByteStreamHttpServer, start_stream_without_length
from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpRequest
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.runner import run_simulation

SERVER = Address("10.0.0.2", 80)


async def application(scope, receive, send):
    """Send two parts; end the answer properly unless the path says otherwise."""
    await start_stream_without_length(send, 200, "text/plain", {"x-mark": "m"})
    await send({"type": "http.response.body", "body": b"one ", "more_body": True})
    await send({"type": "http.response.body", "body": b"two", "more_body": True})
    if scope["path"] != "/broken":
        await send({"type": "http.response.body", "body": b""})


class AnswerWithoutLengthTest(unittest.TestCase):
    def fetch(self, path):
        """Return the headers and the body of two requests in a row."""
        received = []

        async def main():
            network = SimulatedNetwork(random.Random(1), DelayModel({}))
            client = SingleConnectionHttpClient(network.host("10.0.0.1"))
            server = ByteStreamHttpServer(network.host(SERVER.host))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, SERVER, application)
                await anyio.sleep(0.01)
                for _ in range(2):
                    async with client.exchange(HttpRequest("GET", SERVER, path)) as response:
                        body = b"".join([part async for part in response.chunks()])
                        received.append((dict(response.headers), body))
                tasks.cancel_scope.cancel()

        run_simulation(main, seed=1)
        return received

    def test_it_has_neither_a_length_nor_chunks(self):
        for headers, body in self.fetch("/whole"):
            self.assertEqual((headers["x-mark"], body), ("m", b"one two"))
            self.assertNotIn("content-length", headers)
            self.assertNotIn("transfer-encoding", headers)

    def test_one_that_breaks_off_ends_with_its_connection_as_well(self):
        for _, body in self.fetch("/broken"):
            self.assertEqual(body, b"one two")


if __name__ == "__main__":
    unittest.main()
