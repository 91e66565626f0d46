"""Verdicts on tool calls from the responses and failures of an application."""

import unittest

import msgspec

from backends.scripted_http import ScriptedHttp, ScriptedResponse
from passlane.backends.application_client import ApplicationClient
from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, Verdict
from passlane.messages.backends import OperationState, ToolReply, ToolRequest
from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpConnectionError
from passlane.simulation.runner import run_simulation

REQUEST = ToolRequest(operation_id="p/k1", attempt_id="a-1", arguments="{}")
ADDRESS = Address("127.0.0.1", 9)
TIMEOUT_S = 1.0
JSON = {"content-type": "application/json"}
PROBLEM = {"content-type": "application/problem+json"}


def reply(state: OperationState, operation_id: str = "p/k1") -> bytes:
    return msgspec.json.encode(ToolReply(operation_id, state, "{}"))


def run_tool(answer: ScriptedResponse | HttpConnectionError) -> ToolReply | BackendError:
    """Return the result of one tool call with this response."""
    results: list[ToolReply | BackendError] = []
    http = ScriptedHttp([answer])

    async def main() -> None:
        client = ApplicationClient(http, ADDRESS)  # type: ignore[arg-type]
        try:
            results.append(await client.run_tool("charge", REQUEST, TIMEOUT_S))
        except BackendError as error:
            results.append(error)

    run_simulation(main, seed=1)
    assert http.requests[0].fresh_connection, "on a reused connection the outcome may be unknown"
    return results[0]


class ToolVerdictTest(unittest.TestCase):
    def check(
        self, answer: ScriptedResponse | HttpConnectionError, verdict: Verdict, *, final: bool
    ) -> BackendError:
        error = run_tool(answer)
        assert isinstance(error, BackendError), error
        self.assertEqual((error.verdict, error.is_final), (verdict, final))
        return error

    def test_answer_is_returned(self) -> None:
        result = run_tool(ScriptedResponse([reply(OperationState.DONE)], headers=JSON))
        assert isinstance(result, ToolReply), result
        self.assertEqual(result.result, "{}")

    def test_refused_connection_proves_that_nothing_ran(self) -> None:
        self.check(HttpConnectionError("no", bytes_left=False), Verdict.NOT_RUN, final=False)

    def test_broken_connection_may_have_run(self) -> None:
        self.check(HttpConnectionError("reset", bytes_left=True), Verdict.MAY_HAVE_RUN, final=False)

    def test_hung_tool_times_out_and_may_have_run(self) -> None:
        error = self.check(ScriptedResponse([3600.0]), Verdict.MAY_HAVE_RUN, final=False)
        self.assertEqual(error.code, ErrorCode.TIMEOUT)

    def test_rejection_by_the_application_is_final(self) -> None:
        answer = ScriptedResponse([reply(OperationState.REJECTED)], headers=JSON)
        self.check(answer, Verdict.NOT_RUN, final=True)

    def test_answer_about_another_operation_may_have_run(self) -> None:
        answer = ScriptedResponse([reply(OperationState.DONE, "p/other")], headers=JSON)
        self.check(answer, Verdict.MAY_HAVE_RUN, final=False)

    def test_invalid_answer_may_have_run(self) -> None:
        self.check(ScriptedResponse([b"<html>"]), Verdict.MAY_HAVE_RUN, final=False)

    def test_deep_answers_may_have_run(self) -> None:
        deep = b'{"unread": ' + b"[" * 3_000 + b"]" * 3_000 + b"}"
        self.check(ScriptedResponse([deep]), Verdict.MAY_HAVE_RUN, final=False)
        self.check(ScriptedResponse([deep], 500, JSON), Verdict.MAY_HAVE_RUN, final=False)

    def test_busy_application_with_a_problem_proves_that_nothing_ran(self) -> None:
        for status in (409, 429, 503):
            headers = {**PROBLEM, "retry-after": "2"}
            error = self.check(
                ScriptedResponse([b"{}"], status, headers), Verdict.NOT_RUN, final=False
            )
            self.assertEqual(error.retry_after_s, 2.0)

    def test_error_status_without_a_problem_may_have_run(self) -> None:
        for status in (500, 502, 503, 504):
            self.check(ScriptedResponse([b"oops"], status), Verdict.MAY_HAVE_RUN, final=False)


if __name__ == "__main__":
    unittest.main()
