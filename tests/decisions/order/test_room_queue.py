"""In which order and when a node's waiting requests try again."""

import unittest

from passlane.decisions.failure.retry_after import (
    LONGEST_ROOM_RETRY_S,
    MIN_CAPACITY_RETRY_S,
    ROOM_RETRY_SPREAD,
)
from passlane.decisions.order.room_queue import PAUSE_SPREAD, PauseRange, RoomQueue, WaitingCall
from passlane.decisions.order.service_room import (
    ServiceRoom,
)
from passlane.decisions.placement.request_placement import NodePlace

PAUSES = PauseRange(shortest_s=0.005, longest_s=0.03)


def waiting(name="r", *, priority=2, arrived_at=0.0, give_up_at=1.0, refusals=0):
    return WaitingCall(
        request_id=name,
        priority=priority,
        arrived_at=arrived_at,
        give_up_at=give_up_at,
        joined_at=arrived_at,
        refusals=refusals,
    )


class OrderTest(unittest.TestCase):
    def order_of(self, queue, now=0.5):
        names = []
        while (call := queue.offer(now)) is not None:
            names.append(call.request_id)
        return names

    def queue_of(self, *calls, rotates=False):
        queue = RoomQueue(rotates=rotates)
        for call in calls:
            queue.join(call, PAUSES, 0.0, 0.5)
        return queue

    def test_the_most_urgent_and_among_them_the_earliest_go_first(self):
        queue = self.queue_of(
            waiting("late", arrived_at=0.2),
            waiting("early", arrived_at=0.1),
            waiting("urgent", priority=0, arrived_at=0.3),
        )
        self.assertEqual(self.order_of(queue), ["urgent", "early", "late"])

    def test_a_refused_request_keeps_its_place(self):
        queue = self.queue_of(waiting("a", refusals=9), waiting("b", arrived_at=0.1))
        self.assertEqual(self.order_of(queue), ["a", "b"])

    def test_where_sizes_matter_a_refused_request_lets_the_others_try(self):
        queue = self.queue_of(waiting("a", refusals=1), waiting("b", arrived_at=0.1), rotates=True)
        self.assertEqual(self.order_of(queue), ["b", "a"])

    def test_a_place_is_not_offered_to_a_request_without_time_for_an_answer(self):
        queue = self.queue_of(waiting("a", give_up_at=0.4), waiting("b", arrived_at=0.1))
        self.assertEqual(self.order_of(queue, now=0.5), ["b"])


class PauseTest(unittest.TestCase):
    def test_only_the_first_one_tries(self):
        queue = RoomQueue()
        first, second = waiting("a"), waiting("b", arrived_at=0.1)
        queue.join(first, PAUSES, 0.0, 0.5)
        queue.join(second, PAUSES, 0.0, 0.5)
        self.assertIsNone(queue.take_turn(second, PAUSES, 0.1))
        self.assertEqual(queue.wakes_at(second), second.give_up_at)
        self.assertIsNotNone(queue.take_turn(first, PAUSES, 0.1))

    def test_the_next_ones_turn_comes_when_a_refusal_would_have_arrived(self):
        queue = RoomQueue()
        first, second = waiting("a"), waiting("b", arrived_at=0.1)
        queue.join(first, PAUSES, 0.0, 0.5)
        queue.join(second, PAUSES, 0.0, 0.5)
        queue.take_turn(first, PAUSES, 0.1)
        self.assertAlmostEqual(queue.wakes_at(second), 0.105)

    def pauses_after_refusals(self, count, draw):
        queue, call, now = RoomQueue(), waiting(), 0.0
        pauses = []
        for _ in range(count):
            queue.join(call, PAUSES, now, draw)
            pauses.append(queue.wakes_at(call) - now)
            now = queue.wakes_at(call)
            self.assertIsNotNone(queue.take_turn(call, PAUSES, now))
            call.refusals += 1
        return [round(pause, 4) for pause in pauses]

    def test_pauses_begin_short_and_grow_to_the_longest(self):
        self.assertEqual(self.pauses_after_refusals(5, 0.5), [0.005, 0.01, 0.02, 0.03, 0.03])

    def test_pauses_are_spread_to_both_sides(self):
        shortest, longest = (self.pauses_after_refusals(5, draw)[-1] for draw in (0.0, 1.0))
        self.assertAlmostEqual(shortest, 0.03 * (1 - PAUSE_SPREAD))
        self.assertAlmostEqual(longest, 0.03 * (1 + PAUSE_SPREAD))

    def test_an_answer_makes_pauses_short_again(self):
        queue, call = RoomQueue(), waiting(refusals=3)
        for now in (0.0, 0.1, 0.2):
            queue.join(call, PAUSES, now, 0.5)
            queue.leave(call)
        queue.note_answered(0.25)
        queue.join(call, PAUSES, 0.3, 0.5)
        self.assertAlmostEqual(queue.wakes_at(call), 0.305)

    def test_a_request_whose_time_has_come_gets_no_turn(self):
        queue, call = RoomQueue(), waiting(give_up_at=0.2)
        queue.join(call, PAUSES, 0.0, 0.5)
        self.assertIsNone(queue.take_turn(call, PAUSES, 0.2))


class ServiceRoomTest(unittest.TestCase):
    def setUp(self):
        self.room = ServiceRoom(NodePlace("node-1", "a"), is_for_model=False)

    def test_it_gives_up_when_less_than_the_routes_usual_time_is_left(self):
        for _ in range(100):
            self.room.note_answered("i-1", "quick", 0.01, 1.0)
            self.room.note_answered("i-1", "long", 0.2, 1.0)
        self.assertAlmostEqual(self.room.gives_up_at("quick", 5.0), 4.99, places=3)
        self.assertAlmostEqual(self.room.gives_up_at("long", 5.0), 4.8, places=3)

    def test_the_place_of_an_own_call_that_ended_goes_to_the_first_that_waits(self):
        first, second = waiting("a"), waiting("b", arrived_at=0.1)
        for call in (second, first):
            self.room.join(call, 0.1, 0.5, 6)
        self.assertIs(self.room.note_answered("i-1", "quick", 0.01, 0.11), first)
        self.assertIs(self.room.note_answered("i-1", "quick", 0.01, 0.12), second)
        self.assertIsNone(self.room.note_answered("i-1", "quick", 0.01, 0.13))

    def test_an_engines_place_is_not_handed_on(self):
        room = ServiceRoom(NodePlace("node-1", "a"), is_for_model=True)
        room.join(waiting(), 0.0, 0.5, 6)
        self.assertIsNone(room.note_answered("i-1", "turn", 0.1, 0.1))

    def test_the_time_to_come_back_follows_how_long_room_has_been_missing(self):
        self.assertEqual(self.room.come_back_s(0.0, 0.0), MIN_CAPACITY_RETRY_S)
        self.room.join(waiting(arrived_at=0.0, give_up_at=9.0), 0.0, 0.5, 6)
        self.assertEqual(self.room.come_back_s(0.3, 0.0), 0.3)
        self.assertEqual(self.room.come_back_s(5.0, 0.0), LONGEST_ROOM_RETRY_S)

    def test_times_to_come_back_are_spread(self):
        shortest, longest = (self.room.come_back_s(0.0, draw) for draw in (0.0, 1.0))
        self.assertAlmostEqual(longest, shortest * (1 + ROOM_RETRY_SPREAD))

    def test_a_wait_that_has_just_ended_counts_for_a_second(self):
        self.room.note_wait_ended(waiting(arrived_at=0.0), 0.4)
        self.assertEqual(self.room.come_back_s(0.5, 0.0), 0.4)
        self.assertEqual(self.room.come_back_s(2.0, 0.0), MIN_CAPACITY_RETRY_S)
