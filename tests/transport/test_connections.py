"""Tests of calls, streams and one-way messages on lost, slow and malformed connections."""

import random
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import cast

import anyio
from msgspec.structs import replace

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import Partition, ProgramId
from passlane.messages.base import Message
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.node import TextChunk
from passlane.messages.store import ListPrograms, ReadProgram, StoreDone
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.runtime.interfaces import Environment
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.runner import run_simulation
from passlane.transport.client import ConnectionPool
from passlane.transport.frames import HEADER_BYTES, MAX_FRAME_BYTES, Frame, FrameKind, frame_parts
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer


def setUpModule() -> None:
    configure_logging(RingLog(max_lines=100))


SERVER = Address("10.0.0.2", 7000)
CLIENT_HOST = "10.0.0.1"
OTHER_LEADER = Address("10.0.0.3", 7000)


HUGE_ITEM = Partition(-1)
"""Requests a stream whose first item exceeds the maximum frame size."""


ODD_NUMBER = 2**64
"""A position that no message can carry."""
ODD_ITEM = Partition(-2)
"""Requests a stream whose first item can't be encoded."""


class Fleet:
    """One server, one client and the network between them."""

    def __init__(self) -> None:
        zones = {CLIENT_HOST: "a", SERVER.host: "b"}
        self.network = SimulatedNetwork(random.Random(1), DelayModel(zones))
        self.router = MessageRouter()
        self.pool = ConnectionPool(self.environment(CLIENT_HOST))
        self.server = MessageServer(self.environment(SERVER.host), SERVER, self.router)
        self.seen: list[str] = []
        self.cancelled: list[str] = []
        self.router.add_unary(ReadProgram, self._answer_read)
        self.router.add_stream(ListPrograms, self._stream_chunks)
        self.router.add_one_way(TextChunk, self._record_chunk)

    def environment(self, host: str) -> Environment:
        blank = Environment(*[cast(object, None)] * 4, random.Random(1))  # type: ignore[arg-type]
        return replace(blank, network=self.network.host(host))

    async def _answer_read(self, request: ReadProgram) -> Message:
        self.seen.append(request.program_id)
        if request.program_id == "elsewhere":
            raise NotLeaderError("not here", OTHER_LEADER)
        if request.program_id == "slow":
            try:
                await anyio.sleep(100.0)
            except anyio.get_cancelled_exc_class():
                self.cancelled.append("slow")
                raise
        if request.program_id == "huge":
            return TextChunk(position=0, text="x" * MAX_FRAME_BYTES)
        if request.program_id == "odd":
            return TextChunk(position=ODD_NUMBER, text="")
        if request.program_id == "odd error":
            raise PasslaneError(ErrorCode.BAD_REQUEST, "a text with \ud800")
        if request.program_id == "broken":
            raise KeyError("an error in the handler")
        return StoreDone()

    async def _stream_chunks(self, request: ListPrograms) -> AsyncIterator[TextChunk]:
        if request.partition == HUGE_ITEM:
            yield TextChunk(position=0, text="x" * MAX_FRAME_BYTES)
        if request.partition == ODD_ITEM:
            yield TextChunk(position=ODD_NUMBER, text="")
        count = 0 if request.partition is None else int(request.partition)
        try:
            for position in range(count):
                self.seen.append(f"item {position}")
                yield TextChunk(position=position, text="x")
        finally:
            self.cancelled.append("stream closed")

    async def _record_chunk(self, message: TextChunk) -> None:
        self.seen.append(f"one-way {message.position}")

    async def call(self, name: str, timeout_s: float = 5.0) -> StoreDone:
        request = ReadProgram(program_id=ProgramId(name))
        return await self.pool.call(SERVER, request, StoreDone, timeout_s=timeout_s)


def simulate(body: Callable[[Fleet], Awaitable[None]]) -> Fleet:
    fleet = Fleet()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.server.run)
            tasks.start_soon(fleet.pool.run)
            await anyio.sleep(0.01)
            await body(fleet)
            tasks.cancel_scope.cancel()

    run_simulation(main, seed=1)
    return fleet


class CallTest(unittest.TestCase):
    def test_slow_request_does_not_block_others_on_its_connection(self) -> None:
        async def body(fleet: Fleet) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, "slow", 200.0)
                for number in range(100):
                    tasks.start_soon(fleet.call, f"p{number}")
                await anyio.sleep(1.0)
                self.assertEqual(len(fleet.seen), 101)
                tasks.cancel_scope.cancel()

        self.assertEqual(simulate(body).seen.count("p7"), 1)

    def test_errors_are_raised_at_the_client(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(NotLeaderError) as caught:
                await fleet.call("elsewhere")
            self.assertEqual(caught.exception.leader, OTHER_LEADER)
            with self.assertRaises(PasslaneError) as internal:
                await fleet.call("broken")
            self.assertEqual(internal.exception.code, ErrorCode.INTERNAL)
            self.assertEqual(internal.exception.verdict, Verdict.MAY_HAVE_RUN)
            await fleet.call("after the error")

        simulate(body)

    def test_oversized_reply_is_reported_as_may_have_run(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as unary:
                await fleet.call("huge")
            with self.assertRaises(PasslaneError) as streamed:
                request = ListPrograms(partition=HUGE_ITEM)
                async with fleet.pool.stream(SERVER, request, timeout_s=5.0) as items:
                    await anext(items)
            for caught in (unary, streamed):
                self.assertEqual(caught.exception.code, ErrorCode.FRAME_TOO_LARGE)
                self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

        simulate(body)

    def test_a_message_that_cannot_be_encoded_costs_itself_alone(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as sent:
                await fleet.pool.call(
                    SERVER, ListPrograms(partition=Partition(ODD_NUMBER)), StoreDone, timeout_s=1.0
                )
            self.assertEqual(sent.exception.verdict, Verdict.NOT_RUN)
            await fleet.pool.send(SERVER, TextChunk(position=ODD_NUMBER, text=""))
            await fleet.pool.send(SERVER, TextChunk(position=1, text="x" * MAX_FRAME_BYTES))
            fleet.pool.send_if_connected(SERVER, TextChunk(position=2, text="\ud800"))
            await fleet.pool.send(SERVER, TextChunk(position=3, text=""))
            await fleet.call("after these")

        self.assertCountEqual(simulate(body).seen, ["one-way 3", "after these"])

    def test_a_reply_that_cannot_be_encoded_is_reported_as_may_have_run(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as unary:
                await fleet.call("odd")
            with self.assertRaises(PasslaneError) as streamed:
                request = ListPrograms(partition=ODD_ITEM)
                async with fleet.pool.stream(SERVER, request, timeout_s=5.0) as items:
                    await anext(items)
            for caught in (unary, streamed):
                self.assertEqual(caught.exception.code, ErrorCode.INTERNAL)
                self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
                self.assertIn("can't be encoded", caught.exception.message)
            with self.assertRaises(PasslaneError) as refused:
                await fleet.call("odd error")
            self.assertEqual(refused.exception.code, ErrorCode.BAD_REQUEST)
            await fleet.call("after these")

        simulate(body)

    def test_unreachable_server_is_reached_soon_after_it_returns(self) -> None:
        async def body(fleet: Fleet) -> None:
            fleet.network.isolate(SERVER.host)
            started_at = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reconnect_later, fleet, 0.35)
                await call_until_answered(fleet)
            self.assertLess(anyio.current_time() - started_at, 0.35 + 0.45)

        async def reconnect_later(fleet: Fleet, seconds: float) -> None:
            await anyio.sleep(seconds)
            fleet.network.reconnect(SERVER.host)

        async def call_until_answered(fleet: Fleet) -> None:
            while True:
                try:
                    await fleet.call("p")
                except PasslaneError:
                    await anyio.sleep(0.02)
                else:
                    return

        simulate(body)

    def test_unserved_message_is_refused_as_not_run(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as caught:
                await fleet.pool.call(SERVER, StoreDone(), StoreDone, timeout_s=1.0)
            self.assertEqual(caught.exception.code, ErrorCode.UNAVAILABLE)
            self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)

        simulate(body)

    def test_timeout_is_reported_as_may_have_run_and_cancels_at_the_server(self) -> None:
        async def body(fleet: Fleet) -> None:
            with self.assertRaises(PasslaneError) as caught:
                await fleet.call("slow", timeout_s=0.5)
            self.assertEqual(caught.exception.code, ErrorCode.TIMEOUT)
            self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
            await anyio.sleep(0.1)
            self.assertEqual(fleet.cancelled, ["slow"])

        simulate(body)

    def test_missing_listener_is_reported_as_not_run_at_once_and_recovers(self) -> None:
        async def body(fleet: Fleet) -> None:
            fleet.network.break_connections(SERVER.host)
            fleet.network.remove_listeners(SERVER.host)
            for _ in range(3):
                with self.assertRaises(PasslaneError) as caught:
                    await fleet.call("p")
                self.assertEqual(caught.exception.code, ErrorCode.UNAVAILABLE)
                self.assertEqual(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertLess(anyio.current_time(), 1.0)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.server.run)
                await anyio.sleep(1.0)
                await fleet.call("p")
                tasks.cancel_scope.cancel()

        simulate(body)


class FaultTest(unittest.TestCase):
    def test_lost_connection_fails_pending_requests_as_may_have_run(self) -> None:
        async def body(fleet: Fleet) -> None:
            async def expect_loss() -> None:
                with self.assertRaises(PasslaneError) as caught:
                    await fleet.call("slow", 50.0)
                self.assertEqual(caught.exception.code, ErrorCode.CONNECTION_LOST)
                self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(expect_loss)
                await anyio.sleep(1.0)
                fleet.network.break_connections(SERVER.host)
            await fleet.call("next")

        self.assertEqual(simulate(body).cancelled, ["slow"])

    def test_half_open_connection_is_closed_after_the_silence_limit(self) -> None:
        async def body(fleet: Fleet) -> None:
            await fleet.call("first")
            fleet.network.block(SERVER.host, CLIENT_HOST)
            started = anyio.current_time()
            with self.assertRaises(PasslaneError) as caught:
                await fleet.call("p", 60.0)
            self.assertEqual(caught.exception.code, ErrorCode.CONNECTION_LOST)
            self.assertLess(anyio.current_time() - started, 5.0)

        simulate(body)

    def test_malformed_bytes_close_only_their_own_connection(self) -> None:
        (malformed_body,) = frame_parts(Frame(FrameKind.REQUEST, 1, 1000, b"\xc1 not MessagePack"))
        malformed = [b"GET / HTTP/1.1\r\n\r\n", b"\x01\x63" + bytes(16), malformed_body]
        malformed.append(b"\x01\x01\xff\xff\xff\xff" + bytes(HEADER_BYTES))
        generator = random.Random(5)
        malformed += [generator.randbytes(generator.randrange(20, 200)) for _ in range(1000)]

        async def body(fleet: Fleet) -> None:
            network = fleet.network.host("10.0.0.9")
            for data in malformed:
                stream = await network.connect(SERVER)
                await stream.send(data)
                await stream.send_eof()
                with anyio.fail_after(5.0), self.assertRaises(anyio.EndOfStream):
                    while True:
                        await stream.receive()
                await fleet.call("good")

        self.assertEqual(len(simulate(body).seen), len(malformed))


class StreamTest(unittest.TestCase):
    def test_slow_reader_stops_its_stream_but_no_other_request(self) -> None:
        async def body(fleet: Fleet) -> None:
            slow = ListPrograms(partition=Partition(1000))
            async with fleet.pool.stream(SERVER, slow, timeout_s=100.0) as items:
                await anext(items)
                await anyio.sleep(1.0)
                self.assertLess(len(fleet.seen), 200)
                await fleet.call("p")
                positions = [cast(TextChunk, item).position async for item in items]
            self.assertEqual(positions, list(range(1, 1000)))

        simulate(body)

    def test_leaving_a_stream_cancels_it_at_the_server(self) -> None:
        async def body(fleet: Fleet) -> None:
            endless = ListPrograms(partition=Partition(10**6))
            async with fleet.pool.stream(SERVER, endless, timeout_s=100.0) as items:
                await anext(items)
            await anyio.sleep(1.0)
            self.assertEqual(fleet.cancelled, ["stream closed"])

        simulate(body)

    def test_one_way_messages_keep_their_order(self) -> None:
        async def body(fleet: Fleet) -> None:
            for position in range(500):
                await fleet.pool.send(SERVER, TextChunk(position=position, text=""))
            await anyio.sleep(1.0)

        self.assertEqual(simulate(body).seen, [f"one-way {n}" for n in range(500)])


if __name__ == "__main__":
    unittest.main()
