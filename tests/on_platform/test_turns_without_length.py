"""Turns and streams of engines whose answers end with their connection, on a simulated fleet."""

import unittest

from on_platform.stand_in import RESUMABLE_ROUTE
from on_platform.test_fleet import on_seeds


def set_engines(fleet, *, breaks_after):
    for engine in fleet.engines:
        engine.lacks_length = True
        engine.breaks_after = breaks_after


class TurnTest(unittest.TestCase):
    @on_seeds()
    async def test_a_turn_that_was_cut_inside_an_event_is_no_turn_to_go_on_from(self, fleet):
        set_engines(fleet, breaks_after=1)
        cut = await fleet.turn("cut")
        self.assertEqual((cut.body, cut.is_complete), (b"id: 1\ndata: cut.1\n\n", False))
        set_engines(fleet, breaks_after=None)
        after = await fleet.turn("after", node="node-2", previous="cut")
        self.assertEqual(after.status, 404)
        self.assertIsNone(fleet.executed_body("after"))

    @on_seeds()
    async def test_a_whole_turn_without_a_length_is_one_to_go_on_from(self, fleet):
        set_engines(fleet, breaks_after=None)
        first = await fleet.turn("one")
        self.assertEqual((first.status, first.is_complete), (200, True))
        second = await fleet.turn("two", node="node-2", previous="one")
        self.assertTrue(second.is_complete)
        output = fleet.engines[0].output_of("one")
        self.assertEqual(fleet.executed_body("two"), b"<one>" + output + b"<two>")

    @on_seeds()
    async def test_a_turn_that_was_cut_counts_all_tokens_of_its_reservation(self, fleet):
        set_engines(fleet, breaks_after=1)
        statuses = [(await fleet.turn(f"cut-{n}", budget=100)).status for n in range(4)]
        # Each turn reserves thirty tokens, all of which its engine may have generated.
        self.assertEqual(statuses, [200, 200, 200, 402])

    @on_seeds()
    async def test_a_stream_that_was_cut_inside_an_event_goes_on_at_any_node(self, fleet):
        await fleet.put_configuration(2, extra_routes=(RESUMABLE_ROUTE,))
        set_engines(fleet, breaks_after=1)
        await fleet.wait_until(lambda: self.is_served(fleet))
        set_engines(fleet, breaks_after=None)
        answer = await fleet.stream("again", node="node-2", resumes="one", last_event_id="1")
        self.assertTrue(answer.is_complete)
        self.assertEqual(answer.body.count(b"id: "), 2)

    async def is_served(self, fleet):
        """Begin the stream; whether its route is known and its first event came."""
        answer = await fleet.stream("one")
        return answer.status == 200 and answer.body.startswith(b"id: 1") and not answer.is_complete


if __name__ == "__main__":
    unittest.main()
