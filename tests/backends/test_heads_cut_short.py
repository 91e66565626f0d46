"""Calls that a node leads, to back ends that stop inside the head of their answer, over TCP.

Guards against such an answer that counts as one, or as proof that the call has not run.
"""

import unittest

import anyio
import msgspec

from passlane.backends.application_client import ApplicationClient
from passlane.backends.engine_client import EngineClient, EngineTimeouts
from passlane.backends.failures import BackendError, is_without_answer
from passlane.backends.process_checks import BackendProcess, check_engine
from passlane.errors import Verdict
from passlane.identifiers import ProgramId
from passlane.messages.backends import (
    CacheSnapshot,
    EngineChatRequest,
    EngineOrder,
    OrderKind,
    ToolRequest,
)
from passlane.messages.common import Address
from passlane.messages.store import Turn
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.network import TcpNetwork
from passlane.soak.machines import loopback_network
from processes.back_end import BackEnd, write_answer
from processes.cut_heads import FRAMINGS, all_cuts, cut_answer

RUNS_ALONE = "listens on real sockets"

CHAT = EngineChatRequest("m", (Turn("user", "hi"),), 8, "a-1", ProgramId("p-1"), epoch=2)
ORDER = EngineOrder(OrderKind.RELEASE_PROGRAM, "engine", fencing_token=1)
TOOL = ToolRequest(operation_id="p/k1", attempt_id="a-1", arguments="{}")
TIMEOUTS = EngineTimeouts(first_token_s=4.0, next_token_s=2.0, control_s=4.0)
TIMEOUT_S = 4.0
PORT = 8080
HOST = 210
INCARNATION = 7
LISTENS_AFTER_S = 0.1
CUTS = [cut for cut in all_cuts(0) if cut.framing in FRAMINGS[1:3]]


def calls_of(engine, application):
    """Return the calls that a node makes, by name."""
    return {
        "chat": lambda: engine.stream_chat(CHAT, lambda _: None),
        "load": engine.read_load,
        "cache": engine.read_cache,
        "cache events": lambda: engine.read_cache_events(0),
        "order": lambda: engine.order(ORDER),
        "cancel": lambda: engine.cancel("a-1"),
        "tool": lambda: application.run_tool("charge", TOOL, TIMEOUT_S),
        "status of an operation": lambda: application.read_status("p/k1"),
    }


async def whole_cache(_, request, stream):
    await write_answer(stream, request, "200 OK", msgspec.json.encode(CacheSnapshot(1, 0, ())))


class LedCallTest(unittest.TestCase):
    def setUp(self):
        self.address = Address(f"{loopback_network()}.{HOST}", PORT)
        self.http = SingleConnectionHttpClient(TcpNetwork())
        self.engine = EngineClient(self.http, self.address, TIMEOUTS)
        self.application = ApplicationClient(self.http, self.address)

    def with_back_end(self, check):
        async def main():
            self.back_end = BackEnd("i-1", "models", self.address, None)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.back_end.serve)
                await anyio.sleep(LISTENS_AFTER_S)
                for cut in CUTS:
                    self.back_end.answer = cut_answer(cut, "application/json")
                    with self.subTest(cut=cut.name):
                        await check()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def failures_of_all(self):
        """Make all calls side by side; return how each failed, ``None`` if it didn't."""
        failures = {}

        async def run(name, call):
            try:
                await call()
                failures[name] = None
            except BackendError as error:
                failures[name] = error

        async with anyio.create_task_group() as tasks:
            for name, call in calls_of(self.engine, self.application).items():
                tasks.start_soon(run, name, call)
        return failures

    def test_no_call_is_answered_or_proven_not_run(self):
        async def check():
            ran_before = len(self.back_end.ran)
            failures = await self.failures_of_all()
            self.assertEqual(len(self.back_end.ran) - ran_before, len(failures))
            for name, error in failures.items():
                self.assertIsNotNone(error, name)
                self.assertEqual((error.verdict, error.status), (Verdict.MAY_HAVE_RUN, None), name)
                self.assertTrue(is_without_answer(error), name)

        self.with_back_end(check)

    def test_a_cut_report_shows_no_life(self):
        async def check():
            state = await check_engine(self.http, self.address, INCARNATION)
            self.assertIs(state, BackendProcess.UNKNOWN)

        self.with_back_end(check)

    def test_a_kept_connection_is_not_used_again(self):
        """A whole answer on a connection, then a cut one: the next call opens another one."""

        async def check():
            cut = self.back_end.answer
            self.back_end.answer = whole_cache
            await self.engine.read_cache()
            self.assertTrue(self.http.has_idle_connection(self.address))
            self.back_end.answer = cut
            with self.assertRaises(BackendError):
                await self.engine.read_cache()
            self.assertFalse(self.http.has_idle_connection(self.address))

        self.with_back_end(check)


if __name__ == "__main__":
    unittest.main()
