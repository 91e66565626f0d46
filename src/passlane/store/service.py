"""Serves the store group to nodes: commands, queries and heartbeats.

Every replica of the group runs one. Only the leader handles requests; the other replicas
reply with the address of the leader.
"""

from typing import Any

import anyio

from passlane.errors import PasslaneError
from passlane.messages.base import Message
from passlane.messages.common import NotLeaderError
from passlane.messages.membership import HeartbeatReply, Members, NodeHeartbeat, ReadMembers
from passlane.messages.store import (
    BeginCall,
    CreateProgram,
    EndProgram,
    FinishCall,
    ListPrograms,
    ReadAssignments,
    ReadProgram,
    RecordHold,
    RecordRelease,
)
from passlane.observability.logging import get_logger
from passlane.replication.client import GroupClient
from passlane.replication.interfaces import ReplicatedGroup
from passlane.runtime.interfaces import Environment
from passlane.settings.model import Settings
from passlane.store.leader_term import LeaderTerm
from passlane.store.machine import StoreStateMachine
from passlane.store.proposals import propose
from passlane.store.read_barriers import SharedReadBarrier
from passlane.store.retention import DEFAULT_RETENTION_S, RetentionLoop
from passlane.transport.interfaces import Router

LEADERSHIP_POLL_S = 0.05
"""Interval between two checks whether this replica leads."""

NODE_COMMANDS: tuple[type[Message], ...] = (
    CreateProgram,
    BeginCall,
    FinishCall,
    EndProgram,
    RecordHold,
    RecordRelease,
)
"""Commands that nodes may send. Only the store leader proposes the others, because its lease
table must include every assignment and its region every fetched configuration."""

QUERIES: tuple[type[Message], ...] = (ReadProgram, ListPrograms, ReadAssignments)

logger = get_logger(__name__)


class StoreService:
    """The store role of one process.

    Parameters
    ----------
    control
        Client of the control group; ``None`` for a region without one and thus without a
        configuration.
    retention_s
        Retention time of the records of ended programs, in seconds.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: StoreStateMachine,
        settings: Settings,
        environment: Environment,
        router: Router,
        control: GroupClient | None,
        *,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self._group = group
        self._machine = machine
        self._settings = settings
        self._environment = environment
        self._control = control
        self._retention = RetentionLoop(group, machine, retention_s)
        self._barrier = SharedReadBarrier(group)
        self._term: LeaderTerm | None = None
        for command in NODE_COMMANDS:
            router.add_unary(command, self._handle_command)
        for query in QUERIES:
            router.add_unary(query, self._handle_query)
        router.add_unary(NodeHeartbeat, self._handle_heartbeat)
        router.add_unary(ReadMembers, self._handle_read_members)

    async def run(self) -> None:
        """Run until cancelled: the leader's tasks whenever this replica leads, and retention."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._retention.run)
            await self._lead_repeatedly()

    async def _lead_repeatedly(self) -> None:
        while True:
            if self._group.is_leader:
                await self._lead()
            await anyio.sleep(LEADERSHIP_POLL_S)

    async def _lead(self) -> None:
        term_number = self._group.term
        try:
            await self._barrier.wait()
        except PasslaneError:
            # Leadership was lost already; the group logs the change and ``run`` retries.
            return
        term = LeaderTerm(
            number=term_number,
            group=self._group,
            machine=self._machine,
            settings=self._settings,
            environment=self._environment,
            control=self._control,
            started_at=anyio.current_time(),
        )
        logger.info("store_leadership_gained", term=term_number)
        self._term = term
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(term.run)
                await self._wait_until_leadership_lost(term_number)
                tasks.cancel_scope.cancel()
        finally:
            self._term = None
        logger.info("store_leadership_lost", term=term_number)

    async def _wait_until_leadership_lost(self, term_number: int) -> None:
        while True:
            if not self._leads_in(term_number):
                return
            await anyio.sleep(LEADERSHIP_POLL_S)

    def _leads_in(self, term_number: int) -> bool:
        return self._group.is_leader and self._group.term == term_number

    async def _handle_command(self, command: Any) -> Message:
        self._require_leadership()
        return await propose(self._group, command)

    async def _handle_query(self, query: Any) -> Message:
        self._require_leadership()
        await self._barrier.wait()
        return self._machine.query(query)

    async def _handle_heartbeat(self, heartbeat: NodeHeartbeat) -> HeartbeatReply:
        return (await self._term_after_barrier()).answer(heartbeat)

    async def _handle_read_members(self, query: ReadMembers) -> Members:
        term = await self._term_after_barrier()
        return Members(nodes=term.lease_table.views(anyio.current_time()))

    async def _term_after_barrier(self) -> LeaderTerm:
        """Return the current term after confirming that no later term began before the call."""
        term = self._term
        if term is None:
            raise self._not_leader()
        await self._barrier.wait()
        if self._term is not term or not self._leads_in(term.number):
            # Leadership changed meanwhile, so another leader may have granted leases.
            raise self._not_leader()
        return term

    def _require_leadership(self) -> None:
        if not self._group.is_leader:
            raise self._not_leader()

    def _not_leader(self) -> NotLeaderError:
        return NotLeaderError(
            "this replica of the store group does not lead", self._group.leader_address
        )
