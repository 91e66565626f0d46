"""The callers' HTTP interface: formats, tokens, limits and invalid input."""

import json
import unittest
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from node.fakes import OTHER_TENANT, TENANT, make_settings
from node.nodes import Fleet, expected_answer, run_in_fleet
from passlane.api.callers import build_caller_application
from passlane.configuration.view import ConfigurationView
from passlane.messages.node import CreateProgramRequest, EndProgramRequest, ReadProgramRequest
from passlane.messages.store import ProgramRecord, ProgramResult, StoreDone
from passlane.node.forwarder import Emit
from passlane.runtime.interfaces import AsgiApplication
from passlane.settings.model import SecuritySettings, TokenSettings

TOKEN = {"authorization": "Bearer secret-a"}
OTHER_TOKEN = {"authorization": "Bearer secret-b"}
MAX_BODY = 2_000


class FleetApi:
    """The ``NodeApi`` of node 0 of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._forwarder = fleet.nodes[0].forwarder
        self._numbers = iter(range(10**9))

    @property
    def configuration(self) -> ConfigurationView:
        return self._fleet.configuration

    def new_identifier(self) -> str:
        return f"id{next(self._numbers)}"

    async def run_call(self, request: Any, emit: Emit) -> None:
        await self._forwarder.run_call(request, emit)

    async def create_program(self, request: CreateProgramRequest) -> ProgramRecord:
        return (
            await self._forwarder.send_request(request.program_id, request, ProgramResult, 5)
        ).record

    async def read_program(self, request: ReadProgramRequest) -> ProgramRecord:
        return (
            await self._forwarder.send_request(request.program_id, request, ProgramResult, 5)
        ).record

    async def end_program(self, request: EndProgramRequest) -> None:
        await self._forwarder.send_request(request.program_id, request, StoreDone, 5)


def build(fleet: Fleet) -> AsgiApplication:
    node_settings = make_settings("n0", 7000)
    tokens = (
        TokenSettings(token="secret-a", tenant=TENANT),
        TokenSettings(token="secret-b", tenant=OTHER_TENANT),
    )
    node_settings = msgspec.structs.replace(
        node_settings,
        security=SecuritySettings(callers=tokens),
        node=msgspec.structs.replace(node_settings.node, max_body_bytes=MAX_BODY),
    )
    return build_caller_application(FleetApi(fleet), node_settings)


class Reply:
    """The response to one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    async def send(self, event: MutableMapping[str, Any]) -> None:
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers = {key.decode(): value.decode() for key, value in event["headers"]}
        else:
            self.body += event.get("body", b"")


async def ask(
    application: AsgiApplication,
    method: str,
    path: str,
    body: bytes | dict[str, object] = b"",
    headers: dict[str, str] | None = None,
) -> Reply:
    reply = Reply()
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    events = [{"type": "http.request", "body": data, "more_body": False}]

    async def receive() -> MutableMapping[str, Any]:
        if events:
            return events.pop()
        await anyio.sleep_forever()
        raise AssertionError

    pairs = [(key.encode(), value.encode("latin-1")) for key, value in (headers or TOKEN).items()]
    scope = {"type": "http", "method": method, "path": path, "headers": pairs, "query_string": b""}
    await application(scope, receive, reply.send)
    return reply


def with_application(scenario: Callable[[Fleet, AsgiApplication], Awaitable[None]]) -> None:
    async def run(fleet: Fleet) -> None:
        await scenario(fleet, build(fleet))

    run_in_fleet(run)


def chat_body(**fields: object) -> dict[str, object]:
    return {"model": "m", "messages": [{"role": "user", "content": "hi"}], **fields}


class CallerInterfaceTest(unittest.TestCase):
    def test_program_with_chat_stream_and_tool_call_until_its_end(self) -> None:
        async def scenario(fleet: Fleet, application: AsgiApplication) -> None:
            key = {**TOKEN, "idempotency-key": "one"}
            created = await ask(application, "POST", "/v1/programs", b"", key)
            again = await ask(application, "POST", "/v1/programs", b"", key)
            self.assertEqual((created.status, again.json), (201, created.json))
            program = {**TOKEN, "passlane-program": created.json["program_id"]}
            whole = await ask(application, "POST", "/v1/chat/completions", chat_body(), program)
            self.assertEqual(whole.json["choices"][0]["message"]["content"], expected_answer())
            streamed = await ask(
                application, "POST", "/v1/chat/completions", chat_body(stream=True), program
            )
            events = streamed.body.split(b"\n\n")
            self.assertEqual(events[-2:], [b"data: [DONE]", b""])
            chunks = [json.loads(event[6:]) for event in events[:-2]]
            deltas = [chunk["choices"][0]["delta"].get("content", "") for chunk in chunks]
            self.assertEqual("".join(deltas), expected_answer())
            charge = await ask(application, "POST", "/v1/tools/charge", {"sum": 1}, program)
            self.assertEqual(charge.json["result"], {"receipt": 1})
            path = f"/v1/programs/{created.json['program_id']}"
            seen = (await ask(application, "GET", path)).json
            self.assertEqual([call["sequence"] for call in seen["calls"]], [0, 1, 2])
            self.assertEqual((await ask(application, "DELETE", path)).status, 204)
            late = await ask(application, "POST", "/v1/tools/charge", {}, program)
            self.assertEqual((late.status, late.json["code"]), (409, "program_ended"))

        with_application(scenario)

    def test_invalid_requests_get_a_problem_with_status_and_code(self) -> None:
        async def scenario(fleet: Fleet, application: AsgiApplication) -> None:
            p1 = {**TOKEN, "passlane-program": "p-1"}
            chat = "/v1/chat/completions"
            cases = (
                ("GET", "/v1/programs/p-1", b"", {}, 401, "unauthorized"),
                (
                    "GET",
                    "/v1/programs/p-1",
                    b"",
                    {"authorization": "Bearer no"},
                    401,
                    "unauthorized",
                ),
                ("GET", "/v1/programs/p-1", b"", OTHER_TOKEN, 404, "unknown_program"),
                ("DELETE", "/v1/programs/p-1", b"", OTHER_TOKEN, 404, "unknown_program"),
                ("GET", "/v1/programs/none", b"", TOKEN, 404, "unknown_program"),
                ("GET", "/nowhere", b"", TOKEN, 404, "not_found"),
                ("PUT", "/v1/programs", b"", TOKEN, 405, "method_not_allowed"),
                ("POST", chat, b"{", p1, 400, "bad_request"),
                ("POST", chat, b"[" * 1_900, p1, 400, "bad_request"),
                ("POST", chat, b"x" * (MAX_BODY + 1), p1, 413, "body_too_large"),
                ("POST", chat, chat_body(), TOKEN, 400, "bad_request"),
                ("POST", chat, chat_body(messages=[]), p1, 400, "bad_request"),
                ("POST", chat, chat_body(max_tokens=0), p1, 400, "bad_request"),
                ("POST", chat, chat_body(model="no"), p1, 404, "unknown_model"),
                ("POST", "/v1/tools/no", {}, p1, 404, "unknown_tool"),
                ("POST", "/v1/tools/charge", b"no json", p1, 400, "bad_request"),
                ("POST", chat, chat_body(), {**p1, "passlane-sequence": "-1"}, 400, "bad_request"),
                (
                    "POST",
                    chat,
                    chat_body(),
                    {**p1, "passlane-sequence": "7"},
                    409,
                    "wrong_sequence",
                ),
                ("POST", chat, chat_body(), {**p1, "passlane-timeout": "nan"}, 400, "bad_request"),
                ("POST", "/v1/programs", b"[" * 1_900, TOKEN, 400, "bad_request"),
                *(
                    ("POST", "/v1/programs", {"budget": {part: amount}}, TOKEN, 400, "bad_request")
                    for part in ("tokens", "calls", "money_micros")
                    for amount in (2**63, 2**64, 10**400, -(2**63) - 1)
                ),
                *(
                    ("POST", chat, chat_body(max_tokens=amount), p1, 400, "bad_request")
                    for amount in (2**63, 2**64, 10**400, -(2**63) - 1)
                ),
                *(
                    ("POST", chat, chat_body(), {**p1, name: text}, 400, "bad_request")
                    for name in ("passlane-sequence", "passlane-timeout")
                    for text in ("9" * 400, "9" * 5_000, "1e999")
                ),
            )
            for method, path, body, headers, status, code in cases:
                with self.subTest(path=path, code=code, body=str(body)[:40]):
                    reply = await ask(application, method, path, body, headers or {"x": "y"})
                    self.assertEqual((reply.status, reply.json["code"]), (status, code))
                    self.assertEqual(reply.json["verdict"], "not_run")
                    self.assertEqual(reply.headers["content-type"], "application/problem+json")
            self.assertEqual(fleet.record().calls, ())

        with_application(scenario)

    def test_requests_above_a_tenants_limit_are_refused_with_retry_after(self) -> None:
        async def scenario(fleet: Fleet, application: AsgiApplication) -> None:
            program = {**TOKEN, "passlane-program": "p-1"}
            replies: list[Reply] = []

            async def one() -> None:
                replies.append(
                    await ask(application, "POST", "/v1/chat/completions", chat_body(), program)
                )

            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tasks.start_soon(one)
            refused = [reply for reply in replies if reply.status != 200]
            self.assertEqual(len(refused), 12)
            for reply in refused:
                self.assertEqual((reply.status, reply.json["verdict"]), (429, "not_run"))
                self.assertIn("retry-after", reply.headers)

        with_application(scenario)

    def test_malformed_bodies_cause_no_server_error_and_no_unfinished_call(self) -> None:
        json_values = st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.text(max_size=8), inner, max_size=4)
            ),
            max_leaves=8,
        )
        fields = st.fixed_dictionaries(
            {}, optional={"model": json_values, "messages": json_values, "max_tokens": json_values}
        )
        # Replacing one byte of a valid body gives bodies that are almost valid.
        valid = json.dumps(chat_body()).encode()
        damaged = st.tuples(st.integers(0, len(valid) - 1), st.integers(0, 255)).map(
            lambda change: valid[: change[0]] + bytes([change[1]]) + valid[change[0] + 1 :]
        )
        bodies = (
            st.binary(max_size=200) | fields.map(lambda one: json.dumps(one).encode()) | damaged
        )
        path = st.sampled_from(
            ["/v1/chat/completions", "/v1/programs", "/v1/tools/none", "/v1/tools/look"]
        )
        samples: list[tuple[str, bytes, str]] = []

        @settings(derandomize=True, database=None, deadline=None, max_examples=3_000)
        @given(path, bodies, st.text(st.characters(max_codepoint=255), max_size=20))
        def collect(path: str, body: bytes, header: str) -> None:
            samples.append((path, body, header))

        collect()

        async def scenario(fleet: Fleet, application: AsgiApplication) -> None:
            program = {**TOKEN, "passlane-program": "p-1"}
            answered = 0
            for path, body, header in samples:
                headers = {**program, "passlane-sequence": header} if header else program
                reply = await ask(application, "POST", path, body, headers)
                answered += 200 <= reply.status < 300
                self.assertLess(reply.status, 500, (path, body, header, reply.body))
                if reply.status >= 400:
                    self.assertEqual(reply.json["verdict"], "not_run")
                await anyio.sleep(0.01)
            self.assertGreater(len(samples), 2_000)
            record = fleet.record()
            finished = [call for call in record.calls if call.outcome is not None]
            self.assertEqual(len(finished), len(record.calls))
            self.assertLessEqual(len(record.calls), answered)
            last = await ask(application, "POST", "/v1/tools/look", b"{}", program)
            self.assertIn(last.status, (200, 403))

        with_application(scenario)


if __name__ == "__main__":
    unittest.main()
