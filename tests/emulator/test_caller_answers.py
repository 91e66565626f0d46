"""A caller reads a stream up to its proper end, and closes it."""

import unittest
from collections.abc import AsyncGenerator, Mapping

import anyio

from passlane.emulator.caller_answers import Attempt, read_attempt
from passlane.errors import Verdict

TOKEN = b'data: {"choices":[{"delta":{"content":"%s"}}]}\n\n'
END = b"data: [DONE]\n\n"


class StreamedResponse:
    """A streamed answer that goes on after its end; it notes when it is closed."""

    def __init__(self, *parts: bytes) -> None:
        self.status = 200
        self.headers: Mapping[str, str] = {"content-type": "text/event-stream"}
        self.is_closed = False
        self.generator = self._generate(parts)

    def chunks(self) -> AsyncGenerator[bytes, None]:
        return self.generator

    async def _generate(self, parts: tuple[bytes, ...]) -> AsyncGenerator[bytes, None]:
        try:
            for part in parts:
                yield part
        finally:
            self.is_closed = True


class ReadStreamTest(unittest.TestCase):
    def read(self, response: StreamedResponse) -> Attempt:
        async def main() -> Attempt:
            attempt = await read_attempt(response, anyio.current_time())
            # Later the event loop would close what the reader left open.
            self.assertTrue(response.is_closed)
            return attempt

        return anyio.run(main, backend="trio")

    def test_stream_is_closed_where_the_answer_ends(self) -> None:
        response = StreamedResponse(TOKEN % b"a", TOKEN % b"b" + END, TOKEN % b"late")
        attempt = self.read(response)
        self.assertEqual(("ab", Verdict.RAN), (attempt.result.answer, attempt.result.verdict))
        self.assertEqual(1, len(attempt.result.token_gaps_s))
        self.assertIsNone(attempt.repeat_after_s)

    def test_stream_is_closed_at_an_error_which_says_when_to_come_back(self) -> None:
        problem = b'data: {"code":"overloaded","verdict":"not_run","retry_after_s":1.5}\n\n'
        response = StreamedResponse(TOKEN % b"a", problem, TOKEN % b"late")
        attempt = self.read(response)
        self.assertEqual("overloaded", attempt.result.code)
        self.assertEqual(Verdict.NOT_RUN, attempt.result.verdict)
        self.assertEqual(1.5, attempt.repeat_after_s)

    def test_stream_without_its_end_is_lost_and_repeated(self) -> None:
        attempt = self.read(StreamedResponse(TOKEN % b"a"))
        self.assertEqual("connection_lost", attempt.result.code)
        self.assertIsNotNone(attempt.repeat_after_s)

    def test_a_tools_answer_that_ends_early_is_lost_and_repeated(self) -> None:
        whole = b'{"result":"done"}'
        for answer, is_lost in ((whole, False), (whole[:9], True), (b"", True)):
            response = StreamedResponse(answer)
            response.headers = {"content-type": "application/json"}
            attempt = self.read(response)
            self.assertEqual(attempt.result.succeeded, not is_lost)
            self.assertEqual(attempt.repeat_after_s is not None, is_lost)

    def test_an_answer_without_a_body_is_whole(self) -> None:
        response = StreamedResponse()
        response.status = 204
        response.headers = {}
        self.assertTrue(self.read(response).result.succeeded)


if __name__ == "__main__":
    unittest.main()
