"""Engines that send bytes without end, as callers of a fleet see them."""

import unittest

import anyio

from on_platform.test_engine_fates import ROUTES
from on_platform.test_fleet import on_seeds
from passlane.event_streams.whole_events import MAX_EVENT_BYTES
from passlane.runtime.interfaces import MAX_ANSWER_BYTES

PART = b"data: " + b"x" * 100_000
SLACK_PARTS = 5
"""Parts that are under way when the connection closes."""


class EndlessAnswersTest(unittest.TestCase):
    async def set_endless(self, fleet, part):
        await fleet.put_configuration(2, extra_routes=ROUTES)
        await anyio.sleep(3.0)
        for engine in fleet.engines:
            engine.endless_part = part

    async def assert_others_are_served(self, fleet):
        for engine in fleet.engines:
            engine.endless_part = b""
        await anyio.sleep(1.0)
        answer = await fleet.turn("other", x_passlane_program_id="other")
        self.assertEqual((answer.status, answer.is_complete), (200, True))

    def sent_bytes(self, fleet):
        return sum(engine.sent_parts for engine in fleet.engines) * len(PART)

    def runs(self, fleet):
        return sum(len(engine.runs) for engine in fleet.engines)

    @on_seeds(engines=4)
    async def test_an_event_without_end_is_one_broken_attempt(self, fleet):
        await self.set_endless(fleet, PART)
        answer = await fleet.turn("one", timeout_s=3.0)
        self.assertFalse(answer.is_complete)
        self.assertEqual(self.runs(fleet), 1)
        self.assertLessEqual(self.sent_bytes(fleet), MAX_EVENT_BYTES + SLACK_PARTS * len(PART))
        await self.assert_others_are_served(fleet)

    @on_seeds(engines=4)
    async def test_events_without_end_are_one_broken_attempt(self, fleet):
        await self.set_endless(fleet, PART + b"\n\n")
        answer = await fleet.turn("one", path="/streams/x", timeout_s=3.0)
        self.assertFalse(answer.is_complete)
        self.assertLessEqual(self.runs(fleet), 2)
        most = self.runs(fleet) * (MAX_ANSWER_BYTES + SLACK_PARTS * len(PART))
        self.assertLessEqual(self.sent_bytes(fleet), most)
        await self.assert_others_are_served(fleet)

    @on_seeds(engines=4)
    async def test_a_call_whose_body_has_no_end_is_one_broken_attempt(self, fleet):
        await self.set_endless(fleet, PART)
        answer = await fleet.tool_call("one", timeout_s=3.0)
        self.assertFalse(answer is not None and answer.status == 200 and answer.is_complete)
        self.assertEqual(self.runs(fleet), 1)
        most = MAX_ANSWER_BYTES + SLACK_PARTS * len(PART)
        self.assertLessEqual(self.sent_bytes(fleet), most)
        await self.assert_others_are_served(fleet)


if __name__ == "__main__":
    unittest.main()
