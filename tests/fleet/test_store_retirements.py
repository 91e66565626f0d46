"""Store machines are retired only if enough are left, and their replicas are removed."""

import unittest

import anyio
import anyio.lowlevel

from fleet.leading_group import leader_state, member, store_heartbeat
from passlane.errors import ErrorCode, PasslaneError
from passlane.fleet.store_retirements import StoreRetirements
from passlane.messages.common import NotLeaderError
from passlane.messages.fleet import (
    ReadRetirement,
    RemoveReplica,
    ReplicaRemoved,
    RetirementState,
    RetireStore,
)

VOTERS = 3


class StoreGroup:
    """Answers ``RemoveReplica`` at the leading member; other members refuse."""

    def __init__(self, leader):
        self.leader = leader
        self.received = []

    async def call(self, address, request, reply, *, timeout_s):
        await anyio.lowlevel.checkpoint()
        self.received.append((address, request))
        if address != self.leader.address:
            raise NotLeaderError("not the leader", None)
        return ReplicaRemoved(request.replica_name)


class StoreRetirementsTest(unittest.TestCase):
    def setUp(self):
        self.stores = StoreGroup(member(2))

    def run_with(self, machines, body):
        """Run ``body`` at a leader with heartbeats of this many stores; the first store leads."""

        async def main():
            self.leader, self.group = leader_state()
            self.retirements = StoreRetirements(self.leader, self.stores, VOTERS)
            members = [member(n) for n in range(1, VOTERS + 1)]
            for number in range(1, machines + 1):
                members_in_heartbeat = members if number == 1 else ()
                self.leader.directory.record_heartbeat(
                    store_heartbeat(number, members_in_heartbeat), 0.0
                )
            await body()

        anyio.run(main)

    async def refusal_code(self, request):
        with self.assertRaises(PasslaneError) as caught:
            await self.retirements.retire_store(request)
        return caught.exception.code

    def test_a_machine_is_retired_only_if_enough_voters_are_left(self):
        async def body():
            code = await self.refusal_code(RetireStore("store-3"))
            self.assertEqual(code, ErrorCode.VERSION_CONFLICT)
            self.assertEqual(self.group.commands, [])

        self.run_with(VOTERS, body)

    def test_an_unknown_machine_is_not_found(self):
        async def body():
            self.assertEqual(await self.refusal_code(RetireStore("store-9")), ErrorCode.NOT_FOUND)
            with self.assertRaises(PasslaneError) as caught:
                await self.retirements.read_retirement(ReadRetirement("store-1"))
            self.assertEqual(caught.exception.code, ErrorCode.NOT_FOUND)

        self.run_with(VOTERS + 1, body)

    def test_a_repeated_request_is_recorded_once(self):
        async def body():
            first = await self.retirements.retire_store(RetireStore("store-3"))
            again = await self.retirements.retire_store(RetireStore("store-3"))
            self.assertEqual((first, first.state), (again, RetirementState.RUNNING))
            self.assertEqual(len(self.group.commands), 1)

        self.run_with(VOTERS + 1, body)

    def test_the_removal_is_sent_until_the_leader_accepts_and_repeated_while_it_is_a_member(self):
        async def body():
            await self.retirements.retire_store(RetireStore("store-3"))
            await self.retirements.remove_retired()
            request = RemoveReplica(member(3).name)
            once = [(member(1).address, request), (member(2).address, request)]
            self.assertEqual(self.stores.received, once)
            await self.retirements.remove_retired()
            self.assertEqual(self.stores.received, once * 2)

        self.run_with(VOTERS + 1, body)

    def test_it_is_completed_once_the_store_leader_reports_members_without_it(self):
        async def body():
            await self.retirements.retire_store(RetireStore("store-3"))
            left = [member(1), member(2), member(4)]
            self.leader.directory.record_heartbeat(store_heartbeat(1, left), 1.0)
            read = await self.retirements.read_retirement(ReadRetirement("store-3"))
            self.assertEqual(read.state, RetirementState.COMPLETED)
            await self.retirements.remove_retired()
            self.assertEqual(self.stores.received, [])

        self.run_with(VOTERS + 1, body)

    def test_it_is_running_while_a_new_leader_knows_no_members(self):
        async def body():
            await self.retirements.retire_store(RetireStore("store-3"))
            self.group.term = 2
            read = await self.retirements.read_retirement(ReadRetirement("store-3"))
            self.assertEqual(read.state, RetirementState.RUNNING)

        self.run_with(VOTERS + 1, body)


if __name__ == "__main__":
    unittest.main()
