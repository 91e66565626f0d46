"""A store group of three replicas on the virtual clock, whose leaders are lost in series.

Replicas share one log. A proposal is committed ``PROPOSE_S`` after it was made, in the order of the
calls. A restarted replica restores the newest snapshot and replays the log behind it.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec
import trio.testing

from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.base import encode_message
from passlane.messages.common import NotLeaderError
from passlane.messages.turns import AdvanceAge
from passlane.transport.router import MessageRouter
from passlane.turns.dispatch import TurnDispatcher
from passlane.turns.service import TurnService
from passlane.turns.state.machine import TurnStateMachine

PROPOSE_S = 0.01
ELECTION_S = 0.4
OLDER_INTERVAL_S = 5.0
"""Interval at which replicas of older builds advance the age, by timers of their own."""
OLDER_ADVANCE_FIELDS = ("type", "seconds", "begun_streams", "engine_ends")
"""Fields of ``AdvanceAge`` that older builds know; they pass over the others."""

T = TypeVar("T")
ProposalFault = Callable[[bytes], PasslaneError | None]


def as_older_build_reads(command: bytes) -> bytes:
    """Return the command with only those fields that an older build knows."""
    fields = msgspec.msgpack.decode(command)
    if fields["type"] != AdvanceAge.__name__:
        return command
    return msgspec.msgpack.encode({k: v for k, v in fields.items() if k in OLDER_ADVANCE_FIELDS})


class Replica:
    """One replica; the group as its services see it (``ReplicatedGroup``)."""

    def __init__(self, group: "StoreGroup", name: str, *, is_older: bool = False) -> None:
        self.group = group
        self.name = name
        self.is_older = is_older
        self.is_up = False
        self.woken = anyio.Event()
        self.woken.set()
        self.applied = 0
        self.results: dict[int, bytes] = {}
        self.leader_address = None
        self._scope = anyio.CancelScope()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads; one that is frozen takes itself for the leader still."""
        return self.is_up and self.group.leader is self

    @property
    def is_frozen(self) -> bool:
        """Whether the replica stands still; what it was about to propose waits."""
        return not self.woken.is_set()

    def freeze(self) -> None:
        self.woken = anyio.Event()

    def wake(self) -> None:
        self.woken.set()
        self.apply_committed()

    @property
    def term(self) -> int:
        return self.group.term

    def start(self) -> None:
        """Start with what is on the disk."""
        quotas = QuotaLedger(QuotaRules())
        self.machine = TurnStateMachine(
            lambda usages, group_s: quotas.apply_replicated(usages, group_s, anyio.current_time()),
            quotas.history,
        )
        dispatcher = TurnDispatcher(TurnScheduler())
        self.service = TurnService(self, self.machine, MessageRouter(), quotas, dispatcher)
        parts, self.applied = self.group.snapshot
        for _ in self.machine.restore_parts(parts):
            pass
        self.is_up = True
        self.apply_committed()
        self.group.tasks.start_soon(self._run)

    def stop(self) -> None:
        self.is_up = False
        self._scope.cancel()

    async def _run(self) -> None:
        with anyio.CancelScope() as self._scope:
            if not self.is_older:
                await self.service.run()
            while True:
                await anyio.sleep(OLDER_INTERVAL_S)
                if self.is_leader and not self.is_frozen:
                    await self.propose(encode_message(AdvanceAge(seconds=OLDER_INTERVAL_S)))

    def apply_committed(self) -> None:
        if not self.is_up or self.is_frozen:
            return
        while self.applied < self.group.committed:
            command = self.group.log[self.applied]
            self.applied += 1
            if self.is_older:
                command = as_older_build_reads(command)
            self.results[self.applied] = self.machine.apply(self.applied, command)

    async def read_barrier(self) -> None:
        await self.woken.wait()
        await anyio.sleep(PROPOSE_S)
        if not self.is_leader:
            raise NotLeaderError("another replica leads", None)

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        await self.woken.wait()
        if not self.is_leader:
            raise NotLeaderError("another replica leads", None)
        return await self.group.replicate(self, command)


class StoreGroup:
    """Three replicas, one of which leads."""

    def __init__(self, *, older: int = 0) -> None:
        self.log: list[bytes] = []
        self.committed = 0
        self.term = 0
        self.leader: Replica | None = None
        self.snapshot = (tuple(TurnStateMachine().snapshot_parts()), 0)
        self.fault: ProposalFault = lambda command: None
        self.replicas = [Replica(self, f"store-{n}", is_older=n < older) for n in range(3)]

    async def replicate(self, leader: Replica, command: bytes) -> bytes:
        error = self.fault(command)
        if error is not None and error.verdict is Verdict.NOT_RUN:
            raise error
        self.log.append(command)
        index = len(self.log)
        await anyio.sleep(PROPOSE_S)
        self.commit(index)
        if error is not None:
            raise error
        if self.leader is not leader:
            raise PasslaneError(ErrorCode.LEASE_LOST, "not leading", verdict=Verdict.MAY_HAVE_RUN)
        return leader.results[index]

    def commit(self, index: int) -> None:
        """Commit all up to ``index``; replicas that run apply it."""
        self.committed = max(self.committed, index)
        for replica in self.replicas:
            replica.apply_committed()

    def elect(self, replica: Replica) -> None:
        """Let a replica lead in a new term; all that was proposed is committed before."""
        self.term += 1
        self.leader = replica
        self.commit(len(self.log))

    def next_leader(self) -> Replica:
        """Return the replica that follows the leader and runs."""
        first = self.replicas.index(self.leader) + 1 if self.leader is not None else 0
        order = self.replicas[first:] + self.replicas[:first]
        return next(r for r in order if r.is_up and not r.is_frozen and r is not self.leader)

    async def hand_over(self) -> None:
        """Elect the next replica."""
        self.leader, successor = None, self.next_leader()
        await anyio.sleep(ELECTION_S)
        self.elect(successor)

    async def restart_leader(self, down_s: float) -> None:
        """Stop the leader as planned, let another lead, and start it again."""
        stopped = self.leader
        assert stopped is not None
        successor = self.next_leader()
        stopped.stop()
        self.elect(successor)
        await anyio.sleep(down_s)
        stopped.start()

    async def freeze_leader(self, for_s: float) -> None:
        """Freeze the leader; another leads, and it wakes again."""
        frozen = self.leader
        assert frozen is not None
        frozen.freeze()
        await anyio.sleep(ELECTION_S)
        self.elect(self.next_leader())
        await anyio.sleep(for_s)
        frozen.wake()

    async def restart_all(self, down_s: float) -> None:
        """Kill all replicas at the same moment, and start them again."""
        for replica in self.replicas:
            replica.stop()
        before, self.leader = self.leader, None
        await anyio.sleep(down_s)
        for replica in self.replicas:
            replica.start()
        await anyio.sleep(ELECTION_S)
        self.elect(before or self.replicas[0])

    def take_snapshot(self) -> None:
        """Save the leader's state; what starts later restores it."""
        assert self.leader is not None
        self.snapshot = (tuple(self.leader.machine.snapshot_parts()), self.leader.applied)


def run_with_group(body: Callable[[StoreGroup], Awaitable[T]], *, older: int = 0) -> T:
    """Run ``body`` with a running group on the virtual clock; return its result."""
    results: list[T] = []

    async def main() -> None:
        group = StoreGroup(older=older)
        async with anyio.create_task_group() as group.tasks:
            for replica in group.replicas:
                replica.start()
            group.elect(group.replicas[0])
            results.append(await body(group))
            group.tasks.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    return results[0]
