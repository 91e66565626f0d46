"""Streams of an engine (complete, broken, stalled) and the verdicts of failed requests."""

import unittest

import anyio
import msgspec

from backends.scripted_http import ScriptedHttp, ScriptedResponse
from passlane.backends.engine_client import DEADLINE_STEP_S, EngineClient, EngineTimeouts
from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import ProgramId
from passlane.messages.backends import EngineChatRequest, EngineChunk, EngineOrder, OrderKind
from passlane.messages.common import Address
from passlane.messages.store import Turn
from passlane.runtime.interfaces import HttpConnectionError
from passlane.simulation.runner import run_simulation

TIMEOUTS = EngineTimeouts(first_token_s=10.0, next_token_s=2.0)
REQUEST = EngineChatRequest("m", (Turn("user", "hi"),), 8, "a-1", ProgramId("p-1"), epoch=2)
DONE = b"data: [DONE]\n\n"
ADDRESS = Address("127.0.0.1", 9)


def event(position: int, attempt_id: str = "a-1", finish_reason: str | None = None) -> bytes:
    text = "" if finish_reason else f"t{position}"
    chunk = EngineChunk(attempt_id, position, text, finish_reason)
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


FINAL = event(2, finish_reason="stop")
BROKEN = HttpConnectionError("reset", bytes_left=True)


class Stream:
    """One chat request and its result."""

    def __init__(self, *parts: bytes | float | HttpConnectionError, status: int = 200) -> None:
        self.response = ScriptedResponse(list(parts), status)
        self.texts: list[str] = []
        self.final: EngineChunk | None = None
        self.error: BackendError | None = None
        self.elapsed_s = 0.0

    async def run(self) -> None:
        client = EngineClient(ScriptedHttp([self.response]), ADDRESS, TIMEOUTS)  # type: ignore[arg-type]
        started_at = anyio.current_time()
        try:
            self.final = await client.stream_chat(
                REQUEST, lambda chunk: self.texts.append(chunk.text)
            )
        except BackendError as error:
            self.error = error
        self.elapsed_s = anyio.current_time() - started_at


def read(*parts: bytes | float | HttpConnectionError, status: int = 200) -> Stream:
    stream = Stream(*parts, status=status)
    run_simulation(stream.run, seed=1)
    return stream


class ChatStreamTest(unittest.TestCase):
    def test_complete_answer_is_read_to_the_end_of_its_body(self) -> None:
        stream = read(event(0), event(1), FINAL, DONE)
        self.assertEqual(stream.texts, ["t0", "t1"])
        self.assertIsNotNone(stream.final)
        self.assertTrue(stream.response.was_read_to_end, "else the connection is not reused")

    def test_events_may_be_split_at_any_byte(self) -> None:
        body = event(0) + event(1) + FINAL + DONE
        for size in (1, 7, 40, len(body)):
            parts = [body[at : at + size] for at in range(0, len(body), size)]
            stream = read(*parts)
            self.assertEqual(stream.texts, ["t0", "t1"])
            self.assertIsNotNone(stream.final)

    def test_tokens_of_another_attempt_are_ignored(self) -> None:
        stream = read(event(0, "a-0"), event(0), event(1), event(9, "a-0", "stop"), FINAL, DONE)
        self.assertEqual(stream.texts, ["t0", "t1"])

    def test_numbers_and_depth_that_no_process_holds_are_an_invalid_answer(self) -> None:
        final = msgspec.to_builtins(EngineChunk("a-1", 2, "", "stop"))
        for name in ("prompt_tokens", "cached_tokens", "generated_tokens", "position"):
            for number in ("9" * 400, "9" * 5_000, str(2**64), str(2**53), "-1"):
                line = msgspec.json.encode(final | {name: "@odd@"})
                odd = b"data: " + line.replace(b'"@odd@"', number.encode()) + b"\n\n"
                with self.subTest(name=name, number=number[:24]):
                    self.assert_invalid(read(event(0), odd))
        deep = b'data: {"unread": ' + b"[" * 3_000 + b"]" * 3_000 + b"}\n\n"
        self.assert_invalid(read(event(0), deep))

    def assert_invalid(self, stream: Stream) -> None:
        assert stream.error is not None
        self.assertIs(stream.error.code, ErrorCode.BACKEND_FAILED)
        self.assertIs(stream.error.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_deep_load_report_is_an_invalid_answer(self) -> None:
        body = b'{"unread": ' + b"[" * 3_000 + b"]" * 3_000 + b"}"

        async def main() -> None:
            client = EngineClient(ScriptedHttp([ScriptedResponse([body])]), ADDRESS)  # type: ignore[arg-type]
            with self.assertRaises(BackendError):
                await client.read_load()

        run_simulation(main, seed=1)

    def test_engine_that_does_not_end_the_body_causes_no_long_wait(self) -> None:
        stream = read(event(0), FINAL, 3600.0)
        self.assertIsNotNone(stream.final)
        self.assertLess(stream.elapsed_s, 0.5)

    def test_connection_broken_after_the_answer_is_no_error(self) -> None:
        self.assertIsNotNone(read(event(0), FINAL, BROKEN).final)

    def test_connection_broken_within_the_answer_may_have_run(self) -> None:
        for parts in ((event(0), BROKEN), (event(0),), (event(0), b"data: {nonsense\n\n")):
            with self.subTest(parts):
                error = read(*parts).error
                assert error is not None
                self.assertEqual(error.verdict, Verdict.MAY_HAVE_RUN)
                self.assertEqual(error.code, ErrorCode.BACKEND_FAILED)

    def test_stall_before_and_within_the_answer_times_out(self) -> None:
        cases = ((TIMEOUTS.first_token_s, ()), (TIMEOUTS.next_token_s, (event(0), event(1))))
        for limit_s, parts in cases:
            stream = read(*parts, 3600.0)
            assert stream.error is not None
            self.assertEqual(stream.error.code, ErrorCode.TIMEOUT)
            self.assertEqual(stream.error.verdict, Verdict.MAY_HAVE_RUN)
            self.assertGreaterEqual(stream.elapsed_s, limit_s)
            self.assertLessEqual(stream.elapsed_s, limit_s + DEADLINE_STEP_S)

    def test_slow_tokens_within_the_limit_do_not_time_out(self) -> None:
        pause_s = TIMEOUTS.next_token_s - 0.01
        stream = read(event(0), pause_s, event(1), pause_s, FINAL, DONE)
        self.assertIsNotNone(stream.final)


def order_error(script: list[ScriptedResponse | HttpConnectionError]) -> BackendError:
    """Return the error of an order with this response."""
    order = EngineOrder(OrderKind.RELEASE_PROGRAM, "program:p", 3, ProgramId("p"))
    errors: list[BackendError] = []

    async def main() -> None:
        client = EngineClient(ScriptedHttp(script), ADDRESS, TIMEOUTS)  # type: ignore[arg-type]
        try:
            await client.order(order)
        except BackendError as error:
            errors.append(error)

    run_simulation(main, seed=1)
    return errors[0]


class OrderTest(unittest.TestCase):
    def test_stale_order_has_its_own_error_code(self) -> None:
        error = order_error([ScriptedResponse([b"{}"], 409)])
        self.assertEqual(error.code, ErrorCode.STALE_FENCING_TOKEN)

    def test_unreachable_engine_proves_that_nothing_ran(self) -> None:
        error = order_error([HttpConnectionError("refused", bytes_left=False)])
        self.assertEqual((error.code, error.verdict), (ErrorCode.UNAVAILABLE, Verdict.NOT_RUN))

    def test_order_to_a_hung_engine_times_out(self) -> None:
        error = order_error([ScriptedResponse([3600.0])])
        self.assertEqual((error.code, error.verdict), (ErrorCode.TIMEOUT, Verdict.MAY_HAVE_RUN))


if __name__ == "__main__":
    unittest.main()
