"""Answers of engines on reused connections: which are trusted, and which connections are reused."""

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
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Told", f"content-length: {length or len(body)}"]
    if request_id is not None:
        lines.append(f"x-passlane-attempt-id: {request_id}")
    if is_refusal:
        lines.append("x-passlane-not-executed: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RawEngine:
    """Writes scripted bytes for each request; a number pauses, ``None`` closes the connection."""

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
                scripted = self.answers.pop(0)
                if scripted is None:
                    return
                parts = scripted if isinstance(scripted, tuple) else (scripted,)
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


class EngineFixture:
    """A node's client and one engine on a simulated network."""

    def __init__(self, engine):
        self.network = SimulatedNetwork(random.Random(2), DelayModel({}))
        self.engine = engine
        self.client = EngineClient(SingleConnectionHttpClient(self.network.host(NODE_HOST)))

    async def serve(self):
        await self.network.host(ENGINE.host).serve(ENGINE, self.engine.serve)

    async def send_request(self, request_id, *, record=RECORD):
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
        async with self.client.exchange(record, request) as engine_answer:
            body = b""
            if engine_answer.head.refusal is None:
                async with aclosing(engine_answer.chunks()) as chunks:
                    body = b"".join([chunk async for chunk in chunks])
            return engine_answer.head, body


def with_engine(*answers):
    """Run a test's body on a virtual clock, with an engine that sends these answers."""

    def decorate(body):
        def test(self):
            async def main():
                fixture = EngineFixture(RawEngine(*answers))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(fixture.serve)
                    await anyio.sleep(0.01)
                    await body(self, fixture)
                    tasks.cancel_scope.cancel()

            run_simulation(main, seed=1)

        return test

    return decorate


class ReusedConnectionTest(unittest.TestCase):
    @with_engine(*[answer(f"r-{number}") for number in range(5)])
    async def test_short_refusals_reuse_one_connection(self, fixture):
        for number in range(5):
            head, _ = await fixture.send_request(f"r-{number}")
            self.assertIs(head.refusal, Refusal.NOT_EXECUTED)
        self.assertEqual((fixture.engine.requests, fixture.engine.connections), (5, 1))

    @with_engine(*[answer(f"r-{number}") for number in range(4)])
    async def test_a_restarted_engine_gets_a_new_connection(self, fixture):
        for number, born_ms in enumerate((None, 1_000, 2_000, 2_000)):
            record = msgspec.structs.replace(RECORD, born_ms=born_ms)
            await fixture.send_request(f"r-{number}", record=record)
        self.assertEqual((fixture.engine.requests, fixture.engine.connections), (4, 3))

    @with_engine(*[answer(f"r-{number}", body=b"x" * 2 * MAX_REFUSAL_BYTES) for number in range(2)])
    async def test_a_long_refusal_closes_its_connection(self, fixture):
        for number in range(2):
            await fixture.send_request(f"r-{number}")
        self.assertEqual(fixture.engine.connections, 2)

    @with_engine((answer("r-0", length=9), 5.0, b"ended"), answer("r-1"))
    async def test_reading_a_slow_refusal_times_out_and_closes_its_connection(self, fixture):
        started_at = anyio.current_time()
        head, _ = await fixture.send_request("r-0")
        self.assertIs(head.refusal, Refusal.NOT_EXECUTED)
        self.assertLess(anyio.current_time() - started_at, REFUSAL_READ_TIMEOUT_S + 0.1)
        await fixture.send_request("r-1")
        self.assertEqual(fixture.engine.connections, 2)

    @with_engine(None)
    async def test_a_connection_closed_without_an_answer_leaves_the_outcome_unknown(self, fixture):
        with self.assertRaises(HttpConnectionError) as caught:
            await fixture.send_request("r-0")
        self.assertTrue(caught.exception.bytes_left)

    @with_engine(answer("r-0"), answer("r-0"))
    async def test_a_retried_request_does_not_use_the_connection_of_its_refusal(self, fixture):
        # A duplicate of the first refusal has the same id and would pass for the second refusal.
        for _ in range(2):
            await fixture.send_request("r-0")
        self.assertEqual((fixture.engine.requests, fixture.engine.connections), (2, 2))


class DuplicateAnswerTest(unittest.TestCase):
    @with_engine((answer("r-0"), 0.1, answer("r-0")), (5.0, answer("r-1", 200)))
    async def test_a_duplicate_refusal_is_not_trusted_for_the_next_request(self, fixture):
        await fixture.send_request("r-0")
        head, _ = await fixture.send_request("r-1")
        self.assertIs(judge_answer(head), Judgement.UNTRUSTED)

    @with_engine((answer("r-0"), 0.1, answer(None)), (5.0, answer("r-1", 200)))
    async def test_a_duplicate_refusal_without_an_id_is_not_trusted(self, fixture):
        await fixture.send_request("r-0")
        head, _ = await fixture.send_request("r-1")
        self.assertIs(judge_answer(head), Judgement.UNTRUSTED)

    @with_engine((answer("r-0"), 0.1, answer("r-0")), (5.0, answer("r-0", 200)))
    async def test_a_duplicate_refusal_is_not_trusted_for_a_retry_of_the_same_request(
        self, fixture
    ):
        await fixture.send_request("r-0")
        with anyio.move_on_after(1.0) as scope:
            await fixture.send_request("r-0")
        self.assertTrue(scope.cancelled_caught, "the retry must not have an answer yet")


class InjectedDefectTest(unittest.TestCase):
    """Each of these defects makes a test above fail."""

    def assert_detected(self, defect, test):
        result = unittest.TestResult()
        with replaced([defect]):
            test.run(result)
        self.assertEqual(len(result.failures) + len(result.errors), 1)

    def test_trusting_an_answer_without_an_id_is_detected(self):
        def echoes_request_id(headers, request_id):
            return headers.get("x-passlane-attempt-id", request_id) == request_id

        defect = Replacement(engine_client, "_echoes_request_id", echoes_request_id)
        self.assert_detected(
            defect, DuplicateAnswerTest("test_a_duplicate_refusal_without_an_id_is_not_trusted")
        )

    def test_trusting_an_answer_with_another_id_is_detected(self):
        defect = Replacement(engine_client, "_echoes_request_id", lambda headers, request_id: True)
        name = "test_a_duplicate_refusal_is_not_trusted_for_the_next_request"
        self.assert_detected(defect, DuplicateAnswerTest(name))

    def test_a_retry_on_the_connection_of_its_refusal_is_detected(self):
        send = SingleConnectionHttpClient.exchange

        def exchange(client, request):
            return send(client, msgspec.structs.replace(request, answer_key=""))

        defect = Replacement(SingleConnectionHttpClient, "exchange", exchange)
        name = "test_a_duplicate_refusal_is_not_trusted_for_a_retry_of_the_same_request"
        self.assert_detected(defect, DuplicateAnswerTest(name))

    def test_a_refusal_left_unread_is_detected(self):
        async def leave(response, request_id):
            del response, request_id

        defect = Replacement(engine_client, "_read_refusal_body", leave)
        test = ReusedConnectionTest("test_short_refusals_reuse_one_connection")
        self.assert_detected(defect, test)


if __name__ == "__main__":
    unittest.main()
