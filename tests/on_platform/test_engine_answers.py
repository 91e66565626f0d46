"""Answers of engines on kept connections: what they prove, and which connections are kept."""

import random
import unittest
from contextlib import aclosing

import anyio
import msgspec

from passlane.decisions.failure.answer_verdicts import Judgement, judge_answer
from passlane.decisions.inputs.answer_head import Refusal
from passlane.decisions.inputs.relayed_call import Header, RelayedCall
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.platform import engine_client
from passlane.platform.engine_client import MAX_REFUSAL_BYTES, REFUSAL_READ_TIMEOUT_S, EngineClient
from passlane.relay.backends import BackendRequest
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import HttpConnectionError
from passlane.simulation.network import DelayModel, SimulatedNetwork
from passlane.simulation.replacement import Replacement, replaced
from passlane.simulation.runner import run_simulation

NODE_HOST = "10.0.0.1"
ENGINE = Address("10.0.0.2", 80)
RECORD = BackendRecord("i-1", "models", ENGINE, "a", 4, BackendState.READY)


def answer(request_id, status=503, *, body=b"full", length=None, is_refusal=True):
    """Return an answer as it travels."""
    lines = [f"HTTP/1.1 {status} Told", f"content-length: {length or len(body)}"]
    if request_id is not None:
        lines.append(f"x-passlane-attempt-id: {request_id}")
    if is_refusal:
        lines.append("x-passlane-not-executed: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RawEngine:
    """Writes scripted bytes for each request it reads; ``None`` closes the connection."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = 0

    async def serve(self, stream):
        self.connections += 1
        try:
            while True:
                await self._read_request(stream)
                self.requests += 1
                told = self.answers.pop(0)
                if told is None:
                    return
                parts = told if isinstance(told, tuple) else (told,)
                for part in parts:
                    if isinstance(part, float):
                        await anyio.sleep(part)
                    else:
                        await stream.send(part)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        finally:
            await anyio.aclose_forcefully(stream)

    @staticmethod
    async def _read_request(stream):
        received = b""
        while not received.endswith(b"\r\n\r\nbody"):
            received += await stream.receive()


class Ground:
    """One node's client of one engine."""

    def __init__(self, engine):
        self.network = SimulatedNetwork(random.Random(2), DelayModel({}))
        self.engine = engine
        self.client = EngineClient(SingleConnectionHttpClient(self.network.host(NODE_HOST)))

    async def serve(self):
        await self.network.host(ENGINE.host).serve(ENGINE, self.engine.serve)

    async def ask(self, request_id, *, record=RECORD):
        """Send a request; return the head and, unless it is a refusal, the body."""
        call = RelayedCall(
            request_id=request_id,
            method="POST",
            host="one.example",
            target="/x",
            headers=(Header("x-passlane-attempt-id", request_id),),
            body=b"body",
            arrived_at=anyio.current_time(),
            deadline_at=anyio.current_time() + 5.0,
        )
        request = BackendRequest(call=call, body=b"body", remaining_s=5.0)
        async with self.client.exchange(record, request) as told:
            body = b""
            if told.head.refusal is None:
                async with aclosing(told.chunks()) as chunks:
                    body = b"".join([chunk async for chunk in chunks])
            return told.head, body


def with_engine(*answers):
    """Run a test's body on a virtual clock, with an engine that gives these answers."""

    def decorate(body):
        def test(self):
            async def main():
                ground = Ground(RawEngine(*answers))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ground.serve)
                    await anyio.sleep(0.01)
                    await body(self, ground)
                    tasks.cancel_scope.cancel()

            run_simulation(main, seed=1)

        return test

    return decorate


class KeptConnectionTest(unittest.TestCase):
    @with_engine(*[answer(f"r-{number}") for number in range(5)])
    async def test_short_refusals_need_one_connection(self, ground):
        for number in range(5):
            head, _ = await ground.ask(f"r-{number}")
            self.assertIs(head.refusal, Refusal.NOT_EXECUTED)
        self.assertEqual((ground.engine.requests, ground.engine.connections), (5, 1))

    @with_engine(*[answer(f"r-{number}") for number in range(4)])
    async def test_an_engine_that_has_started_again_gets_a_new_connection(self, ground):
        for number, born_ms in enumerate((None, 1_000, 2_000, 2_000)):
            record = msgspec.structs.replace(RECORD, born_ms=born_ms)
            await ground.ask(f"r-{number}", record=record)
        self.assertEqual((ground.engine.requests, ground.engine.connections), (4, 3))

    @with_engine(*[answer(f"r-{number}", body=b"x" * 2 * MAX_REFUSAL_BYTES) for number in range(2)])
    async def test_a_long_refusal_closes_its_connection(self, ground):
        for number in range(2):
            await ground.ask(f"r-{number}")
        self.assertEqual(ground.engine.connections, 2)

    @with_engine((answer("r-0", length=9), 5.0, b"ended"), answer("r-1"))
    async def test_a_slow_refusal_is_left_and_closes_its_connection(self, ground):
        began_at = anyio.current_time()
        head, _ = await ground.ask("r-0")
        self.assertIs(head.refusal, Refusal.NOT_EXECUTED)
        self.assertLess(anyio.current_time() - began_at, REFUSAL_READ_TIMEOUT_S + 0.1)
        await ground.ask("r-1")
        self.assertEqual(ground.engine.connections, 2)

    @with_engine(None)
    async def test_a_connection_closed_without_an_answer_proves_nothing(self, ground):
        with self.assertRaises(HttpConnectionError) as caught:
            await ground.ask("r-0")
        self.assertTrue(caught.exception.bytes_left)

    @with_engine(answer("r-0"), answer("r-0"))
    async def test_a_request_sent_again_does_not_use_the_connection_of_its_refusal(self, ground):
        # An answer too many would bear its id and be taken for the second refusal.
        for _ in range(2):
            await ground.ask("r-0")
        self.assertEqual((ground.engine.requests, ground.engine.connections), (2, 2))


class LateAnswerTest(unittest.TestCase):
    @with_engine((answer("r-0"), 0.1, answer("r-0")), (5.0, answer("r-1", 200)))
    async def test_a_refusal_too_many_proves_nothing_about_the_next_request(self, ground):
        await ground.ask("r-0")
        head, _ = await ground.ask("r-1")
        self.assertIs(judge_answer(head), Judgement.UNTRUSTED)

    @with_engine((answer("r-0"), 0.1, answer(None)), (5.0, answer("r-1", 200)))
    async def test_nor_does_one_without_an_id(self, ground):
        await ground.ask("r-0")
        head, _ = await ground.ask("r-1")
        self.assertIs(judge_answer(head), Judgement.UNTRUSTED)

    @with_engine((answer("r-0"), 0.1, answer("r-0")), (5.0, answer("r-0", 200)))
    async def test_nor_does_it_about_the_same_request_when_that_is_sent_again(self, ground):
        await ground.ask("r-0")
        with anyio.move_on_after(1.0) as scope:
            await ground.ask("r-0")
        self.assertTrue(scope.cancelled_caught, "the second sending has no answer yet")


class PlantedDefectTest(unittest.TestCase):
    """Each of these defects would be caught by a test above."""

    def assert_caught(self, defect, test):
        result = unittest.TestResult()
        with replaced([defect]):
            test.run(result)
        self.assertEqual(len(result.failures) + len(result.errors), 1)

    def test_an_answer_without_an_id_that_is_believed_is_caught(self):
        def echoes_request_id(headers, request_id):
            return headers.get("x-passlane-attempt-id", request_id) == request_id

        defect = Replacement(engine_client, "_echoes_request_id", echoes_request_id)
        self.assert_caught(defect, LateAnswerTest("test_nor_does_one_without_an_id"))

    def test_an_answer_with_another_id_that_is_believed_is_caught(self):
        defect = Replacement(engine_client, "_echoes_request_id", lambda headers, request_id: True)
        name = "test_a_refusal_too_many_proves_nothing_about_the_next_request"
        self.assert_caught(defect, LateAnswerTest(name))

    def test_a_refused_request_sent_again_on_the_same_connection_is_caught(self):
        send = SingleConnectionHttpClient.exchange

        def exchange(client, request):
            return send(client, msgspec.structs.replace(request, answer_key=""))

        defect = Replacement(SingleConnectionHttpClient, "exchange", exchange)
        name = "test_nor_does_it_about_the_same_request_when_that_is_sent_again"
        self.assert_caught(defect, LateAnswerTest(name))

    def test_a_refusal_left_unread_is_caught(self):
        async def leave(response, request_id):
            del response, request_id

        defect = Replacement(engine_client, "_read_refusal_body", leave)
        test = KeptConnectionTest("test_short_refusals_need_one_connection")
        self.assert_caught(defect, test)


if __name__ == "__main__":
    unittest.main()
