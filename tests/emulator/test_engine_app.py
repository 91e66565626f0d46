"""The engine's HTTP protocol, over ASGI on a virtual clock."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from trio.testing import MockClock

from passlane.emulator.engine_app import UNFINISHED_EVENT, build_engine_application
from passlane.emulator.engine_service import EngineService
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import EngineId, ProgramId
from passlane.messages.backends import EngineChatRequest, EngineChunk
from passlane.messages.store import Turn
from passlane.runtime.interfaces import AsgiApplication

CHAT = EngineChatRequest(
    model="agent",
    messages=(Turn("user", "my recharge failed"),),
    max_tokens=12,
    attempt_id="a1",
    program_id=ProgramId("p"),
    epoch=1,
)


class Client:
    """Talks to an ASGI application and may leave in the middle."""

    def __init__(self, application: AsgiApplication) -> None:
        self._application = application
        self.status = 0
        self.body = b""

    async def post_chat(self, request: EngineChatRequest, leave_after_s: float = 1e9) -> None:
        sent = False

        async def receive() -> dict[str, Any]:
            nonlocal sent
            if not sent:
                sent = True
                return {"type": "http.request", "body": msgspec.json.encode(request)}
            await anyio.sleep(leave_after_s)
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            self.status = message.get("status", self.status)
            self.body += message.get("body", b"")

        scope = {
            "type": "http",
            "method": "POST",
            "path": "/v1/chat/completions",
            "query_string": b"",
            "headers": [],
        }
        await self._application(scope, receive, send)

    def chunks(self) -> list[EngineChunk]:
        lines = [line[6:] for line in self.body.split(b"\n\n") if line]
        return [msgspec.json.decode(line, type=EngineChunk) for line in lines if line[:1] == b"{"]


class EngineAppTest(unittest.TestCase):
    def run_with_engine(
        self,
        scenario: Callable[[EngineService, AsgiApplication], Awaitable[None]],
        settings: EngineModelSettings | None = None,
    ) -> None:
        async def main() -> None:
            service = EngineService(
                settings or EngineModelSettings(), EngineId("e"), random.Random(1)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.run)
                await scenario(service, build_engine_application(service))
                tasks.cancel_scope.cancel()

        clock = MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    def test_resumed_stream_continues_the_same_answer(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            whole = Client(application)
            await whole.post_chat(CHAT)
            texts = [chunk.text for chunk in whole.chunks()][:-1]
            self.assertEqual(len(texts), 12)
            resumed = Client(application)
            await resumed.post_chat(
                msgspec.structs.replace(
                    CHAT, attempt_id="a2", resume_from=5, resume_text="".join(texts[:5])
                )
            )
            rest = resumed.chunks()
            self.assertEqual([chunk.text for chunk in rest][:-1], texts[5:])
            self.assertEqual([chunk.position for chunk in rest], list(range(5, 13)))
            self.assertTrue(resumed.body.endswith(b"data: [DONE]\n\n"))

        self.run_with_engine(scenario)

    def test_engine_stops_working_for_a_client_that_left(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            client = Client(application)
            await client.post_chat(CHAT, leave_after_s=0.010)
            self.assertLess(len(client.chunks()), 12)
            self.assertEqual(service.model.current_load().running, 0)
            await anyio.sleep(0.1)
            self.assertLess(service.model.generated_tokens, 12)

        self.run_with_engine(scenario)

    def test_crash_breaks_streams_off_and_empties_the_memory(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            client = Client(application)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.post_chat, CHAT)
                await anyio.sleep(0.015)
                service.restart()
            self.assertNotIn(b"[DONE]", client.body)
            load = service.model.current_load()
            self.assertEqual((load.incarnation, load.held_programs), (2, 0))

        self.run_with_engine(scenario)

    def test_a_stream_that_breaks_off_can_end_inside_an_event(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            whole, broken = Client(application), Client(application)
            await whole.post_chat(CHAT)
            self.assertTrue(whole.body.endswith(b"data: [DONE]\n\n"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(broken.post_chat, msgspec.structs.replace(CHAT, attempt_id="a2"))
                await anyio.sleep(0.015)
                service.restart()
            self.assertTrue(broken.body.endswith(UNFINISHED_EVENT))

        settings = EngineModelSettings(ends_with_connection=True, breaks_inside_event=True)
        self.run_with_engine(scenario, settings)

    def test_an_engine_can_break_a_stream_off_and_end_later(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            broken = Client(application)
            await broken.post_chat(CHAT)
            self.assertFalse(broken.body.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(service.incarnation, 1)
            await anyio.sleep(0.4)
            self.assertEqual(service.incarnation, 2)

        text = CHAT.messages[-1].content
        self.run_with_engine(scenario, EngineModelSettings(ends_under=text, ends_after_s=0.3))

    def test_stale_epoch_is_refused_before_anything_runs(self) -> None:
        async def scenario(service: EngineService, application: AsgiApplication) -> None:
            await Client(application).post_chat(CHAT)
            late = Client(application)
            await late.post_chat(msgspec.structs.replace(CHAT, attempt_id="a2", epoch=0))
            self.assertEqual(late.status, 409)

        self.run_with_engine(scenario)
