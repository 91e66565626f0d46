"""Processor time and bytes of messages between processes, by the size of their text.

Both ends run in this process on one loop, over TCP on the loopback interface, so the
times are those of sender and receiver together.
"""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import anyio
import anyio.lowlevel
import msgspec
from msgspec.structs import replace

from passlane.bench.hollow import CountingNetwork
from passlane.bench.loopback import free_address
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.errors import PasslaneError, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.common import Address
from passlane.messages.node import CallAnswered, TextChunk
from passlane.messages.store import ReadProgram, StoreDone
from passlane.runtime.real import build_environment
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

TEXT_BYTES_POINTS = (0, 1_000, 4_000, 16_000, 64_000)
IN_FLIGHT = 32
MESSAGES = 60 * IN_FLIGHT
READY_S = 5.0
READY_STEP_S = 0.02
TIMEOUT_S = 30.0
MICROSECONDS = 1e6
REPORT_FILE = "transport.json"


class TransportReport(msgspec.Struct, frozen=True):
    """Lines over the bytes of a message's text; see the names of the lines.

    Attributes
    ----------
    calls_one_by_one, calls_together, stream_items, one_way
        Processor time of both ends, in microseconds for each message.
    frame_bytes
        Bytes on the wire of one one-way message.
    """

    messages: int
    calls_one_by_one: Line
    calls_together: Line
    stream_items: Line
    one_way: Line
    frame_bytes: Line


class _Ends:
    """A server and a client of it, and how many one-way messages have arrived."""

    def __init__(self, network: CountingNetwork, address: Address) -> None:
        environment = replace(build_environment(Path("unused"), seed=1), network=network)
        router = MessageRouter()
        router.add_unary(TextChunk, self._answer)
        router.add_stream(ReadProgram, self._stream)
        router.add_one_way(CallAnswered, self._take)
        self.network = network
        self.address = address
        self.server = MessageServer(environment, address, router)
        self.pool = ConnectionPool(environment)
        self.streamed_text = ""
        self.taken = 0

    async def _answer(self, _request: TextChunk) -> StoreDone:
        return StoreDone()

    async def _stream(self, _request: ReadProgram) -> AsyncIterator[TextChunk]:
        for position in range(MESSAGES):
            yield TextChunk(position, self.streamed_text)

    async def _take(self, _message: CallAnswered) -> None:
        self.taken += 1

    async def wait_ready(self) -> None:
        """Return once the server answers; raise ``TimeoutError`` if it does not."""
        with anyio.fail_after(READY_S):
            while True:
                try:
                    await self.call_one_by_one("", 1)
                    return
                except PasslaneError:
                    await anyio.sleep(READY_STEP_S)

    async def call_one_by_one(self, text: str, count: int = MESSAGES) -> None:
        """Make calls, each after the answer to the one before."""
        request = TextChunk(0, text)
        for _ in range(count):
            await self.pool.call(self.address, request, StoreDone, timeout_s=TIMEOUT_S)

    async def call_together(self, text: str) -> None:
        """Make calls, many of them in flight at the same time."""
        async with anyio.create_task_group() as tasks:
            for _ in range(IN_FLIGHT):
                tasks.start_soon(self.call_one_by_one, text, MESSAGES // IN_FLIGHT)

    async def stream(self, text: str) -> None:
        """Read a stream of answers to one request."""
        self.streamed_text = text
        request = ReadProgram(ProgramId("p"))
        async with self.pool.stream(self.address, request, timeout_s=TIMEOUT_S) as items:
            async for _ in items:
                pass

    async def send_one_way(self, text: str) -> None:
        """Send one-way messages, a few ahead of their receipt."""
        message = CallAnswered(sequence=0, verdict=Verdict.RAN, body=text)
        goal = self.taken
        for _ in range(MESSAGES // IN_FLIGHT):
            goal += IN_FLIGHT
            for _ in range(IN_FLIGHT):
                await self.pool.send(self.address, message)
            await self._wait_until_taken(goal)

    async def _wait_until_taken(self, goal: int) -> None:
        while True:
            if self.taken >= goal:
                return
            await anyio.lowlevel.checkpoint()


async def _cost(exchange: Callable[[str], Awaitable[None]], text: str) -> float:
    """Return the processor time of one message in microseconds."""
    began = time.process_time()
    await exchange(text)
    return (time.process_time() - began) / MESSAGES * MICROSECONDS


async def _line(
    name: str, exchange: Callable[[str], Awaitable[None]], unit: str = "us of both ends"
) -> Line:
    await exchange("")
    points = [Point(size, await _cost(exchange, "x" * size)) for size in TEXT_BYTES_POINTS]
    return fit_line(name, "bytes of text", unit, points)


async def _frame_bytes(ends: _Ends) -> Line:
    points = []
    for size in TEXT_BYTES_POINTS:
        before = ends.network.bytes
        await ends.send_one_way("x" * size)
        points.append(Point(size, (ends.network.bytes - before) / MESSAGES))
    return fit_line("bytes of a one-way message", "bytes of text", "bytes", points)


async def measure_transport() -> TransportReport:
    """Measure all lines."""
    network = CountingNetwork(build_environment(Path("unused"), seed=1).network)
    ends = _Ends(network, free_address())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ends.server.run)
        tasks.start_soon(ends.pool.run)
        await ends.wait_ready()
        report = TransportReport(
            messages=MESSAGES,
            calls_one_by_one=await _line("call, one in flight", ends.call_one_by_one),
            calls_together=await _line(f"call, {IN_FLIGHT} in flight", ends.call_together),
            stream_items=await _line("item of a stream", ends.stream),
            one_way=await _line("one-way message", ends.send_one_way),
            frame_bytes=await _frame_bytes(ends),
        )
        tasks.cancel_scope.cancel()
    return report


def run(report: Path | None) -> int:
    """Measure, print and write ``transport.json``."""
    measured = anyio.run(measure_transport)
    for line in (
        measured.calls_one_by_one,
        measured.calls_together,
        measured.stream_items,
        measured.one_way,
        measured.frame_bytes,
    ):
        print(line.to_text())
    if report is not None:
        data = msgspec.json.format(msgspec.json.encode(measured), indent=2)
        (report / REPORT_FILE).write_bytes(data + b"\n")
    return 0
