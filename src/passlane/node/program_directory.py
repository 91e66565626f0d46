"""The programs that this node has in memory.

A program is loaded from the store on first use, is valid for one epoch of its partition, and
is dropped when it is idle or when this node no longer leads it.
"""

from itertools import count

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Epoch, Partition, ProgramId
from passlane.messages.common import NotLeaderError
from passlane.messages.store import ProgramRecord
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram
from passlane.node.policy_facts import DEFAULT_PAUSE_S, program_facts
from passlane.node.program_host import ProgramHost
from passlane.programs.partitions import partition_of

IDLE_TIMEOUT_S = 600.0
"""Seconds without use after which an idle program is dropped from memory."""


class ProgramDirectory:
    """Loads programs, keeps them in memory and drops them."""

    def __init__(self, services: CallServices, partition_count: int) -> None:
        self._services = services
        self._partition_count = partition_count
        self._hosts: dict[ProgramId, ProgramHost] = {}
        self._loading: dict[ProgramId, anyio.Event] = {}
        self._run_numbers = count(1)

    @property
    def hosts(self) -> tuple[ProgramHost, ...]:
        """All programs in memory."""
        return tuple(self._hosts.values())

    def partition_of(self, program_id: ProgramId) -> Partition:
        """Return the partition of a program."""
        return partition_of(program_id, self._partition_count)

    def require_epoch(self, partition: Partition) -> Epoch:
        """Return the epoch in which this node leads a partition.

        Raises
        ------
        NotLeaderError
            If this node does not lead it.
        """
        epoch = self._services.leadership.epoch_of(partition)
        if epoch is None:
            leader = self._services.leadership.leader_of(partition)
            raise NotLeaderError("this node does not lead the program", leader)
        return epoch

    async def host(self, program_id: ProgramId) -> ProgramHost:
        """Return a program that this node leads, from memory or from the store.

        Raises
        ------
        PasslaneError
            ``NOT_LEADER``, ``UNKNOWN_PROGRAM``, or an error of the store.
        """
        while True:
            epoch = self.require_epoch(self.partition_of(program_id))
            host = self._hosts.get(program_id)
            if host is not None and host.program.epoch == epoch:
                return host
            loading = self._loading.get(program_id)
            if loading is None:
                return await self._load(program_id, epoch)
            await loading.wait()

    async def _load(self, program_id: ProgramId, epoch: Epoch) -> ProgramHost:
        done = self._loading[program_id] = anyio.Event()
        try:
            record = await self._services.store.read(program_id)
            if self.require_epoch(record.partition) != epoch:
                raise PasslaneError(
                    ErrorCode.NOT_LEADER, "leadership changed while the program was loaded"
                )
            return self.get_or_add(record, epoch)
        finally:
            del self._loading[program_id]
            done.set()

    def get_or_add(self, record: ProgramRecord, epoch: Epoch) -> ProgramHost:
        """Return the program of this epoch; create it from the record if it is not in memory."""
        loaded = self._hosts.get(record.program_id)
        if loaded is not None and loaded.program.epoch == epoch:
            return loaded
        program = LedProgram(record, epoch, anyio.current_time())
        program.pause_s = self._expected_pause_s(program)
        host = ProgramHost(
            self._services, program, lambda: next(self._run_numbers), self._drop_stale
        )
        self._hosts[record.program_id] = host
        return host

    def _expected_pause_s(self, program: LedProgram) -> float:
        facts = program_facts(
            program.tenant_id,
            program.program_id,
            program.budget,
            is_sub_agent=program.parent_id is not None,
        )
        decision = self._services.policies.budget(facts, program.budget)
        return DEFAULT_PAUSE_S if decision.tool_pause_s is None else decision.tool_pause_s

    def _drop_stale(self, host: ProgramHost) -> None:
        """Drop a program that must be reloaded; its callers retry at this node."""
        leader = self._services.leadership.leader_of(host.program.partition)
        self._drop(host, NotLeaderError("the program is being reloaded", leader))

    def _drop(self, host: ProgramHost, error: PasslaneError) -> None:
        if self._hosts.get(host.program.program_id) is host:
            del self._hosts[host.program.program_id]
        host.abort(error)

    def drop_partition(self, partition: Partition) -> None:
        """Drop the programs of a partition that this node no longer leads, and stop their work."""
        for host in self.hosts:
            if host.program.partition == partition:
                self._drop(host, self._services.not_leader_error(host.program))

    def host_in_memory(self, program_id: ProgramId) -> ProgramHost | None:
        """Return a program if it is in memory and this node still leads it."""
        host = self._hosts.get(program_id)
        if host is None or not self._services.leads(host.program):
            return None
        return host

    def program_in_memory(self, program_id: ProgramId) -> LedProgram | None:
        """Return the state of a program in memory; see ``host_in_memory``."""
        host = self.host_in_memory(program_id)
        return None if host is None else host.program

    def hosts_of(self, partition: Partition) -> list[ProgramHost]:
        """Return the programs of a partition that are in memory."""
        return [host for host in self.hosts if host.program.partition == partition]

    def drop_idle(self, now: float) -> None:
        """Drop idle programs that were not used for ``IDLE_TIMEOUT_S``."""
        for host in self.hosts:
            if host.is_idle and now - host.program.last_used_at > IDLE_TIMEOUT_S:
                del self._hosts[host.program.program_id]
