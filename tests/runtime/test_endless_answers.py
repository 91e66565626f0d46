"""Bytes without end in a head or a body: each way is bounded and ends as one broken attempt."""

import unittest
from typing import Any

import anyio
import anyio.lowlevel

from passlane.messages.common import Address
from passlane.runtime.http_client import MAX_HEAD_BYTES, SingleConnectionHttpClient
from passlane.runtime.interfaces import MAX_ANSWER_BYTES, HttpConnectionError, HttpRequest
from passlane.simulation.runner import run_simulation

BACKEND = Address("10.0.0.2", 8000)
READ_BYTES = 65_536
GIVEN_UP_BYTES = 60_000_000
"""Bytes after which an answer counts as read without a bound."""
SMALL_BOUND = 300_000
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"transfer-encoding: chunked\r\n\r\n"

HEADS = {
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1_000),
    "a header line": (OK_HEAD + b"name: ", b"x" * 1_000),
    "headers": (OK_HEAD, b"name: value\r\n" * 100),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "interim answers with headers": (b"", b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\n" * 100),
    "empty lines": (b"", b"\r\n" * 1_000),
    "bytes without a line": (b"", b"\x00" * 1_000),
}
BODIES = {
    "a body with a length": (OK_HEAD + b"content-length: 1000000000000\r\n\r\n", b"x" * 1_000),
    "chunks": (CHUNKED_HEAD, (b"3e8\r\n" + b"x" * 1_000 + b"\r\n") * 10),
    "a body that ends with its connection": (OK_HEAD + b"\r\n", b"x" * 1_000),
    "a line of a chunk": (CHUNKED_HEAD + b"3e8;", b"x" * 1_000),
    "long lines of chunks": (CHUNKED_HEAD, b"1;" + b"e" * 1_000 + b"\r\nx\r\n"),
    "a trailer": (CHUNKED_HEAD + b"0\r\nname: ", b"x" * 1_000),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"name: value\r\n" * 100),
}


class EndlessStream:
    """A byte stream that answers with a beginning and then with a unit, without end."""

    def __init__(self, beginning: bytes, unit: bytes) -> None:
        self.given_bytes = 0
        self.is_closed = False
        self._beginning = beginning
        self._unit = unit * (1 + READ_BYTES // len(unit))

    async def send(self, item: bytes) -> None:
        """Take no note of the request."""

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        await anyio.lowlevel.checkpoint()
        if self.given_bytes > GIVEN_UP_BYTES:
            raise AssertionError("the answer is read without a bound")
        data, self._beginning = self._beginning or self._unit, b""
        self.given_bytes += len(data)
        return data

    async def aclose(self) -> None:
        self.is_closed = True

    def extra(self, attribute: Any, default: Any = None) -> Any:
        return default


class EndlessNetwork:
    """A network that connects every address to one stream."""

    def __init__(self, stream: EndlessStream) -> None:
        self._stream = stream

    async def connect(self, address: Address) -> EndlessStream:
        return self._stream


class EndlessAnswerTest(unittest.TestCase):
    def read(self, beginning: bytes, unit: bytes, max_answer_bytes: int) -> EndlessStream:
        """Read an answer to its end, which must be an error after which nothing is kept."""
        stream = EndlessStream(beginning, unit)
        client = SingleConnectionHttpClient(EndlessNetwork(stream))  # type: ignore[arg-type]

        async def main() -> None:
            request = HttpRequest("GET", BACKEND, "/x", max_answer_bytes=max_answer_bytes)
            with self.assertRaises(HttpConnectionError) as raised:
                async with client.exchange(request) as response:
                    async for _ in response.chunks():
                        pass
            self.assertTrue(raised.exception.bytes_left)

        run_simulation(main, 1)
        self.assertTrue(stream.is_closed)
        self.assertFalse(client.has_idle_connection(BACKEND))
        return stream

    def test_each_head_is_bounded(self) -> None:
        for name, (beginning, unit) in HEADS.items():
            with self.subTest(name):
                stream = self.read(beginning, unit, MAX_ANSWER_BYTES)
                self.assertLessEqual(stream.given_bytes, MAX_HEAD_BYTES + 2 * READ_BYTES)

    def test_each_body_is_bounded(self) -> None:
        for name, (beginning, unit) in BODIES.items():
            with self.subTest(name):
                stream = self.read(beginning, unit, SMALL_BOUND)
                self.assertLessEqual(stream.given_bytes, SMALL_BOUND + 2 * READ_BYTES)

    def test_a_request_without_a_bound_of_its_own_has_one(self) -> None:
        beginning, unit = BODIES["chunks"]
        stream = self.read(beginning, unit, MAX_ANSWER_BYTES)
        self.assertLessEqual(stream.given_bytes, MAX_ANSWER_BYTES + 2 * READ_BYTES)

    def test_bytes_behind_an_answer_are_not_read(self) -> None:
        stream = EndlessStream(OK_HEAD + b"content-length: 2\r\n\r\nok", b"x" * 1_000)
        client = SingleConnectionHttpClient(EndlessNetwork(stream))  # type: ignore[arg-type]

        async def main() -> None:
            async with client.exchange(HttpRequest("GET", BACKEND, "/x")) as response:
                self.assertEqual([part async for part in response.chunks()], [b"ok"])

        run_simulation(main, 1)
        self.assertLessEqual(stream.given_bytes, 2 * READ_BYTES)


if __name__ == "__main__":
    unittest.main()
