"""Batching of proposals and its time limits."""

import functools
import unittest

import anyio
import trio.testing

from passlane.errors import ErrorCode, PasslaneError
from passlane.replication.pending import PendingRequests
from passlane.replication.proposal_batch import (
    MAX_BATCH_DELAY_S,
    MAX_DEFERRAL_S,
    ProposalBatch,
)

TIMEOUT_S = 1.0
TIMEOUT_ERROR = PasslaneError(ErrorCode.TIMEOUT, "no majority")


class ScriptedReplica:
    """Records the time of each proposed batch; commits it after ``commit_s``."""

    def __init__(self, tasks):
        self.pending = PendingRequests(TIMEOUT_ERROR, TIMEOUT_S)
        self.batch = ProposalBatch(self.pending)
        self.commit_s = 0.002
        self.batches = []
        self._tasks = tasks
        self._began = anyio.current_time()
        tasks.start_soon(self.batch.run, self._step)
        tasks.start_soon(self.pending.run)

    def _step(self, proposed):
        at = round(anyio.current_time() - self._began, 6)
        self.batches.append((at, proposed.commands))
        self._tasks.start_soon(self._commit, proposed)

    async def _commit(self, proposed):
        await anyio.sleep(self.commit_s)
        for token, command in zip(proposed.tokens, proposed.commands, strict=True):
            self.pending.complete(token, command)

    def propose(self, command, **options):
        self._tasks.start_soon(functools.partial(self.batch.propose, command, **options))


def on_virtual_clock(body):
    """Run a test's body with a scripted replica."""

    @functools.wraps(body)
    def test(self):
        async def main():
            async with anyio.create_task_group() as tasks:
                await body(self, ScriptedReplica(tasks))
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    return test


class ProposalBatchTest(unittest.TestCase):
    @on_virtual_clock
    async def test_a_single_proposal_is_proposed_immediately(self, replica):
        self.assertEqual(await replica.batch.propose(b"a"), b"a")
        await anyio.sleep(0.1)
        await replica.batch.propose(b"b")
        self.assertEqual(replica.batches, [(0.0, (b"a",)), (0.102, (b"b",))])

    @on_virtual_clock
    async def test_proposals_made_before_the_last_commit_share_a_batch(self, replica):
        for command in (b"a", b"b", b"c", b"d"):
            replica.propose(command)
            await anyio.sleep(0.0006)
        await anyio.sleep(0.1)
        self.assertEqual(replica.batches, [(0.0, (b"a",)), (0.002, (b"b", b"c", b"d"))])

    @on_virtual_clock
    async def test_a_slow_commit_delays_the_next_batch_by_the_maximum_only(self, replica):
        replica.commit_s = 0.5
        replica.propose(b"a")
        await anyio.sleep(0.001)
        replica.propose(b"b")
        await anyio.sleep(0.1)
        self.assertEqual(replica.batches, [(0.0, (b"a",)), (MAX_BATCH_DELAY_S, (b"b",))])

    @on_virtual_clock
    async def test_a_deferred_proposal_joins_the_next_batch_in_order(self, replica):
        replica.propose(b"later", may_be_deferred=True)
        await anyio.sleep(0.005)
        replica.propose(b"now")
        await anyio.sleep(0.1)
        self.assertEqual(replica.batches, [(0.005, (b"later", b"now"))])

    @on_virtual_clock
    async def test_a_deferred_proposal_alone_is_proposed_after_the_maximum_deferral(self, replica):
        for _ in range(2):
            answer = await replica.batch.propose(b"later", may_be_deferred=True)
            self.assertEqual(answer, b"later")
        times_s = [at for at, _ in replica.batches]
        waits = MAX_DEFERRAL_S, 2 * MAX_DEFERRAL_S + replica.commit_s
        self.assertEqual(times_s, [round(at, 6) for at in waits])

    @on_virtual_clock
    async def test_waiting_callers_fail_when_the_replica_stops(self, replica):
        async def fail_soon():
            await anyio.sleep(0.001)
            replica.batch.fail_all()

        replica._tasks.start_soon(fail_soon)
        with self.assertRaises(PasslaneError) as caught:
            await replica.batch.propose(b"later", may_be_deferred=True)
        self.assertIs(caught.exception.code, ErrorCode.LEASE_LOST)
        await anyio.sleep(0.1)
        self.assertEqual(replica.batches, [])

    @on_virtual_clock
    async def test_an_uncommitted_proposal_times_out_and_others_do_not(self, replica):
        replica.commit_s = 100.0
        times_s = []

        async def propose_and_fail():
            began = anyio.current_time()
            with self.assertRaises(PasslaneError) as caught:
                await replica.batch.propose(b"lost")
            self.assertIs(caught.exception.code, ErrorCode.TIMEOUT)
            times_s.append(anyio.current_time() - began)

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(propose_and_fail)
                await anyio.sleep(0.3)
            replica.commit_s = 0.002
            self.assertEqual(await replica.batch.propose(b"kept"), b"kept")
        self.assertEqual(len(times_s), 3)
        for waited_s in times_s:
            self.assertAlmostEqual(waited_s, TIMEOUT_S, delta=0.06)


if __name__ == "__main__":
    unittest.main()
