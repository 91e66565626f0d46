"""What the store group keeps for a time is neither forgotten early nor kept for ever.

Guards against turns that get 404 before their retention time while leaders are lost in series:
each replica advanced the age of the state by a timer of its own, whoever had advanced it before.
"""

import unittest

import anyio
import anyio.lowlevel

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import encode_message
from passlane.messages.engine_ends import EngineEnd
from passlane.messages.streams import StreamOrigin
from passlane.messages.turns import AdvanceAge, ReserveTurn, RetainedTurn, SettleTurn
from turns.store_group import StoreGroup, run_with_group

RETENTION_S = 60.0
MAX_KEPT_S = 3 * RETENTION_S
"""What is kept beyond its time costs memory; this bounds it, whatever is lost meanwhile."""
SAMPLE_S = 0.25
STREAM_S = 15.0
ENGINE_END_S = 120.0


def is_stored(replica, turn_id):
    try:
        replica.machine.history_of(turn_id)
    except KeyError:
        return False
    return True


async def at_leader(group, command):
    """Carry out a command at the leader, again while nobody leads or the outcome is unknown."""
    while True:
        leader = group.leader
        if leader is None or leader.is_frozen:
            await anyio.sleep(SAMPLE_S)
            continue
        try:
            if leader.is_older:
                return await leader.propose(encode_message(command))
            if isinstance(command, ReserveTurn):
                return await leader.service.reserve(command)
            return await leader.service.settle(command)
        except PasslaneError:
            await anyio.sleep(0.05)


async def store_turn(group, turn_id="t", previous=None):
    """Reserve and settle a turn of a program of the same name; return when it was answered."""
    await at_leader(
        group,
        ReserveTurn(
            program_id=turn_id, attempt_id=turn_id, most_tokens=10, budget_tokens=30,
            previous=previous, retention_s=RETENTION_S,
        ),
    )  # fmt: skip
    turn = RetainedTurn(turn_id=turn_id, previous=previous, content=b"x", retention_s=RETENTION_S)
    await at_leader(group, SettleTurn(program_id=turn_id, attempt_id=turn_id, tokens=10, turn=turn))
    return anyio.current_time()


async def time_until_gone(group, is_kept, since):
    """Return the time until the leader no longer keeps something, at most ``MAX_KEPT_S``."""
    while anyio.current_time() - since <= MAX_KEPT_S:
        leader = group.leader
        if leader is not None and not leader.is_frozen and not is_kept(leader):
            return anyio.current_time() - since
        await anyio.sleep(SAMPLE_S)
    return float("inf")


async def repeat(every_s, disrupt):
    while True:
        await anyio.sleep(every_s)
        await disrupt()


class RetentionTest(unittest.TestCase):
    def assert_kept(self, disrupt, *, every_s, turns=4):
        """Store turns at several moments of a series of disruptions; each is kept its time."""

        async def body(group):
            group.tasks.start_soon(repeat, every_s, lambda: disrupt(group))
            kept = {}

            async def follow(number):
                turn_id = f"t{number}"
                answered_at = await store_turn(group, turn_id)
                kept[turn_id] = await time_until_gone(
                    group, lambda leader: is_stored(leader, turn_id), answered_at
                )

            async with anyio.create_task_group() as tasks:
                for number in range(turns):
                    tasks.start_soon(follow, number)
                    await anyio.sleep(1.7)
            return kept

        kept = run_with_group(body)
        self.assertEqual({t: s for t, s in kept.items() if s < RETENTION_S}, {}, "too short")
        self.assertEqual({t: s for t, s in kept.items() if s > MAX_KEPT_S}, {}, "for ever")

    def test_without_a_disruption(self):
        self.assert_kept(lambda group: anyio.lowlevel.checkpoint(), every_s=1.0)

    def test_the_leader_is_restarted_every_few_seconds(self):
        for every_s in (2.6, 3.3, 4.0, 4.6, 4.8, 5.3, 6.1):
            with self.subTest(every_s=every_s):
                self.assert_kept(lambda group: group.restart_leader(1.0), every_s=every_s)

    def test_a_new_leader_each_second(self):
        self.assert_kept(lambda group: group.hand_over(), every_s=0.6)

    def test_the_leader_is_restarted_each_second(self):
        self.assert_kept(lambda group: group.restart_leader(0.3), every_s=0.7)

    def test_the_leader_freezes_and_wakes(self):
        self.assert_kept(lambda group: group.freeze_leader(20.0), every_s=6.0)

    def test_leaders_freeze_and_wake_one_after_the_other(self):
        self.assert_kept(lambda group: group.freeze_leader(5.2), every_s=0.1)

    def test_all_are_killed_every_two_seconds(self):
        self.assert_kept(lambda group: group.restart_all(0.3), every_s=1.3)

    def test_all_replay_a_log(self):
        self.assert_kept(lambda group: group.restart_all(0.5), every_s=20.0)

    def test_all_restore_a_snapshot(self):
        async def disrupt(group):
            group.take_snapshot()
            await group.restart_all(0.5)

        self.assert_kept(disrupt, every_s=9.0)

    def test_outcomes_are_unknown_and_proposals_made_again(self):
        async def disrupt(group):
            unknown = PasslaneError(ErrorCode.TIMEOUT, "no answer", verdict=Verdict.MAY_HAVE_RUN)
            group.fault = lambda command: unknown if b"AdvanceAge" in command else None

        self.assert_kept(disrupt, every_s=0.1)

    def test_every_second_proposal_is_rejected(self):
        rejected = PasslaneError(ErrorCode.NOT_LEADER, "hands over", verdict=Verdict.NOT_RUN)
        made = []

        def fault(command):
            made.append(command)
            return rejected if len(made) % 2 else None

        async def disrupt(group):
            group.fault = fault

        self.assert_kept(disrupt, every_s=0.1)


class TwoBuildsTest(unittest.TestCase):
    def test_an_older_follower_keeps_turns_for_their_time(self):
        async def body(group):
            older, first, second = group.replicas
            group.elect(first)

            async def swap():
                group.elect(second if group.leader is first else first)

            group.tasks.start_soon(repeat, 1.0, swap)
            answered_at = await store_turn(group)
            return await time_until_gone(group, lambda leader: is_stored(older, "t"), answered_at)

        kept_s = run_with_group(body, older=1)
        self.assertGreaterEqual(kept_s, RETENTION_S)
        self.assertLessEqual(kept_s, MAX_KEPT_S)

    def test_replicas_are_replaced_one_after_the_other(self):
        async def body(group):
            answered_at = await store_turn(group)
            for replica in list(group.replicas):
                await anyio.sleep(4.5)
                if group.leader is replica:
                    group.elect(group.next_leader())
                replica.stop()
                await anyio.sleep(0.6)
                replica.is_older = False
                replica.start()
            return await time_until_gone(group, lambda leader: is_stored(leader, "t"), answered_at)

        kept_s = run_with_group(body, older=3)
        self.assertGreaterEqual(kept_s, RETENTION_S)
        self.assertLessEqual(kept_s, MAX_KEPT_S)


class AgeWithoutLeaderTest(unittest.TestCase):
    def assert_within_bounds(self, kept_s):
        self.assertGreaterEqual(kept_s, RETENTION_S)
        self.assertLessEqual(kept_s, MAX_KEPT_S)

    def test_a_turn_stored_right_after_a_time_without_a_leader(self):
        """The age advances by that time before the turn is stored, not after it."""

        async def body(group):
            group.leader = None
            await anyio.sleep(40.0)
            group.elect(group.replicas[1])
            answered_at = await store_turn(group)
            return await time_until_gone(group, lambda leader: is_stored(leader, "t"), answered_at)

        self.assert_within_bounds(run_with_group(body))

    def test_a_turn_stored_by_a_leader_that_woke(self):
        async def body(group):
            for replica in group.replicas:
                replica.freeze()
            await anyio.sleep(40.0)
            for replica in group.replicas:
                replica.wake()
            answered_at = await store_turn(group)
            return await time_until_gone(group, lambda leader: is_stored(leader, "t"), answered_at)

        self.assert_within_bounds(run_with_group(body))


class OtherRecordsTest(unittest.TestCase):
    """All else that the state's age ends, while the leader is restarted every six seconds."""

    def assert_kept(self, command, is_kept, least_s):
        async def body(group: StoreGroup):
            group.tasks.start_soon(repeat, 4.6, lambda: group.restart_leader(1.0))
            await anyio.sleep(4.0)
            await group.leader.propose(encode_message(command))
            return await time_until_gone(group, is_kept, anyio.current_time())

        kept_s = run_with_group(body)
        self.assertGreaterEqual(kept_s, least_s)
        self.assertLessEqual(kept_s, 3 * least_s)

    def test_spending_of_a_program(self):
        self.assert_kept(
            ReserveTurn(
                program_id="p", attempt_id="a", most_tokens=1, budget_tokens=9, retention_s=60.0
            ),
            lambda leader: leader.machine.knows_program("p"),
            RETENTION_S,
        )

    def test_origin_of_a_stream(self):
        origin = StreamOrigin(stream_id="s", service="llm", software_version="1")
        self.assert_kept(
            AdvanceAge(seconds=0.0, begun_streams=(origin,)),
            lambda leader: leader.machine.stream_origin("s") is not None,
            STREAM_S,
        )

    def test_ended_engine(self):
        end = EngineEnd(request_key="k", instance="e")
        self.assert_kept(
            AdvanceAge(seconds=0.0, engine_ends=(end,)),
            lambda leader: leader.machine.engine_ends.find("k") is not None,
            ENGINE_END_S,
        )
