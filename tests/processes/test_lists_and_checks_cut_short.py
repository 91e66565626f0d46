"""The platform's list and engines' health checks whose heads are cut, against real nodes.

Guards against a list that counts as empty or as short because its answer ended inside its head,
and against such an answer to a health check that counts as a sign of life.
"""

import json
import unittest
from contextlib import ExitStack

import anyio
from anyio.from_thread import start_blocking_portal

from passlane.messages.fleet import FleetRole
from processes.back_end import plain, write_answer
from processes.cut_heads import (
    BODY,
    FRAMINGS,
    AnswersByAttempt,
    all_cuts,
    cut_answer,
)
from processes.fleet import MODELS, TOOLS, configuration, process_fleet

RUNS_ALONE = "starts processes and listens on real sockets"

PROCESSES = {FleetRole.CONTROL: 1, FleetRole.STORE: 1, FleetRole.NODE: 2}
NODES = ("node-1", "node-2")
ENGINES = 4
JSON = "application/json"
REQUEST_PAUSE_S = 0.1
CUTS_WITHIN_S = 30.0
"""Time for all cuts: a node reads the list again 0.2 s after a read that failed."""
LISTED_WITHIN_S = 5.0
LOGGED_S = 1.0
"""Seconds after which a node has written its log lines."""
MOST_ENDED = 3
TRIES = 8
TRY_PAUSE_S = 0.4
REFUSED = 503


LENGTH, CHUNKS, NEITHER = FRAMINGS[:3]


class CutInTurn:
    """Answers that stop inside their heads, each at the next place.

    Attributes
    ----------
    given
        Number of answers.

    Parameters
    ----------
    framings
        Framings of the heads.
    """

    def __init__(self, *framings):
        self.given = 0
        self._cuts = [cut for cut in all_cuts(0) if cut.framing in framings]

    @property
    def is_through(self):
        return self.given >= len(self._cuts)

    async def __call__(self, engine, request, stream):
        cut = self._cuts[self.given % len(self._cuts)]
        self.given += 1
        await cut_answer(cut, JSON)(engine, request, stream)


class CutAnswersTest(unittest.TestCase):
    """A fleet of two nodes."""

    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.portal = stack.enter_context(start_blocking_portal())
        cls.answers = AnswersByAttempt(plain(BODY))
        running = process_fleet(configuration(), cls.add_engines, processes=PROCESSES)
        cls.fleet = stack.enter_context(cls.portal.wrap_async_context_manager(running))

    @classmethod
    def add_engines(cls, fleet):
        for service in (MODELS, TOOLS):
            for _ in range(ENGINES):
                fleet.add_back_end(service, cls.answers)


class ListTest(CutAnswersTest):
    async def assert_served(self):
        for node in NODES:
            answer, _ = await self.fleet.request(node, "/unsafe/x", {}, b"x")
            self.assertEqual((answer.status, answer.body), (200, BODY))

    async def check_unchanged(self, cut, answer_list):
        """Serve requests beside lists that are cut; no list may be taken from them."""
        await self.assert_served()
        await anyio.sleep(LOGGED_S)
        changes = self.changes()
        self.fleet.list_answer = answer_list
        with anyio.fail_after(CUTS_WITHIN_S):
            while not cut.is_through:
                await self.assert_served()
                await anyio.sleep(REQUEST_PAUSE_S)
        await self.assert_served()
        await anyio.sleep(LOGGED_S)
        self.assertEqual(self.changes(), changes)
        self.assertIn("backend_list_lost", "".join(map(self.fleet.output_of, NODES)))

    def changes(self):
        """Return how often each node has changed its list."""
        return [self.fleet.output_of(node).count("backends_changed") for node in NODES]

    async def check_listed_again(self):
        """Check that all nodes take the next whole list."""
        before = self.changes()
        self.fleet.list_answer = None
        self.fleet.add_back_end(TOOLS, self.answers)
        with anyio.fail_after(LISTED_WITHIN_S):
            while any(now == then for now, then in zip(self.changes(), before, strict=True)):
                await self.assert_served()

    def test_cut_lists_change_nothing(self):
        async def main():
            cut = CutInTurn(LENGTH)
            await self.check_unchanged(cut, cut)
            await self.check_listed_again()

        self.portal.call(main)

    def test_cut_second_pages_change_nothing(self):
        """The first page is whole, and has the engines of one service alone."""
        cut = CutInTurn(CHUNKS)

        async def answer_pages(engine, request, stream):
            if "page_token" in request.target:
                await cut(engine, request, stream)
                return
            entries = [one.entry() for one in self.fleet.back_ends if one.service == MODELS]
            body = json.dumps({"instances": entries, "next_token": "p-1"}).encode()
            await write_answer(stream, request, "200 OK", body)

        async def main():
            await self.check_unchanged(cut, answer_pages)
            await self.check_listed_again()

        self.portal.call(main)


class HealthCheckTest(CutAnswersTest):
    """One request is sent again and again, and each engine breaks off its answer to it."""

    async def engines_of_repeated(self, body, health_answer):
        """Return the engines that ran the request, and its last status."""
        cut = CutInTurn(LENGTH)
        for engine in self.fleet.back_ends:
            engine.health_answer = health_answer
        engines, status = set(), 0
        for _ in range(TRIES):
            attempt = self.fleet.next_attempt()
            self.answers.set(attempt, cut)
            answer, _ = await self.fleet.request(
                NODES[0], "/safe/x", {}, body, attempt=attempt, deadline_ms=1_000
            )
            status = answer.status
            engines.update(self.fleet.engines_of(attempt))
            self.assertNotEqual(status, 200)
            await anyio.sleep(TRY_PAUSE_S)
        return engines, status

    def lines_of(self, event):
        lines = self.fleet.output_of(NODES[0]).splitlines()
        return [json.loads(line) for line in lines if f'"{event}"' in line]

    def test_cut_checks_show_no_life(self):
        async def main():
            checks = CutInTurn(LENGTH, CHUNKS, NEITHER)
            engines, status = await self.engines_of_repeated(b"ends its engines", checks)
            self.assertGreater(checks.given, 0)
            self.assertEqual((len(engines), status), (MOST_ENDED, REFUSED))
            self.assertEqual(self.lines_of("engine_lived_on"), [])
            reached = {line["reach"] for line in self.lines_of("engine_checked")}
            self.assertIn("no_answer", reached)
            self.assertNotIn("same_instance", reached)

        self.portal.call(main)

    def test_whole_checks_show_life(self):
        async def main():
            engines, _ = await self.engines_of_repeated(b"ends no engine", None)
            self.assertGreater(len(engines), MOST_ENDED)
            self.assertNotEqual(self.lines_of("engine_lived_on"), [])

        self.portal.call(main)


if __name__ == "__main__":
    unittest.main()
