"""Recovers unsettled programs, and finds engine caches that were not released.

Runs when this node gains a partition, and periodically over all partitions that it leads.
"""

import random
from collections.abc import Iterable

import anyio

from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import EngineId, Partition, ProgramId
from passlane.messages.store import ProgramState
from passlane.node.call_services import CallServices
from passlane.node.engine_poller import EnginePoller
from passlane.node.leader_service import LeaderService
from passlane.node.program_directory import ProgramDirectory
from passlane.node.release_loop import PendingRelease, ReleaseLoop
from passlane.observability.logging import get_logger

SWEEP_INTERVAL_S = 30.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0

_log = get_logger(__name__)


class MemorySweep:
    """Recovers programs of earlier leaders, and releases the cache of programs that have ended."""

    def __init__(
        self,
        services: CallServices,
        directory: ProgramDirectory,
        leader: LeaderService,
        releases: ReleaseLoop,
        poller: EnginePoller,
        source: random.Random,
    ) -> None:
        self._services = services
        self._directory = directory
        self._leader = leader
        self._releases = releases
        self._poller = poller
        self._random = source
        self._gained: set[Partition] = set()

    def schedule_recovery(self, partition: Partition) -> None:
        """Start to recover the unsettled programs of a partition that this node has gained."""
        is_first = not self._gained
        self._gained.add(partition)
        if is_first:
            self._services.tasks.start_soon(self._recover_gained)

    async def _recover_gained(self) -> None:
        """Recover all gained partitions with one query; retry with backoff until it succeeds."""
        delay_s = INITIAL_RETRY_DELAY_S
        while self._gained:
            partitions = frozenset(self._gained)
            if await self._recover_unsettled(partitions):
                self._gained -= partitions
                continue
            await anyio.sleep(delay_s * self._random.uniform(0.8, 1.2))
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _recover_unsettled(self, partitions: frozenset[Partition]) -> bool:
        """Recover the unsettled programs of the partitions; ``False`` if a retry is needed."""
        single_partition = next(iter(partitions)) if len(partitions) == 1 else None
        try:
            summaries = await self._services.store.list_unsettled(single_partition)
        except PasslaneError as error:
            _log.warning("unsettled_programs_not_listed", code=error.code.value)
            return False
        is_complete = True
        for summary in summaries:
            if summary.partition in partitions:
                is_complete = await self._recover_program(summary.program_id) and is_complete
        return is_complete

    async def _recover_program(self, program_id: ProgramId) -> bool:
        try:
            await self._leader.recover_program(program_id)
        except PasslaneError as error:
            # Another node leads the partition now and recovers its programs.
            return error.code is ErrorCode.NOT_LEADER
        return True

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S * self._random.uniform(0.8, 1.2))
            await self._sweep()

    async def _sweep(self) -> None:
        led = frozenset(
            partition
            for partition in self._services.leadership.led_partitions()
            if self._services.leadership.epoch_of(partition) is not None
        )
        if not led:
            return
        await self._recover_unsettled(led)
        for engine_id in sorted(self._poller.watched):
            await self._sweep_engine(engine_id)

    async def _sweep_engine(self, engine_id: EngineId) -> None:
        try:
            snapshot = await self._poller.read_cache(engine_id)
        except BackendError as error:
            _log.info("engine_not_swept", engine_id=engine_id, code=error.code.value)
            return
        if snapshot is not None:
            await self._release_stale_cache(
                engine_id, (entry.program_id for entry in snapshot.entries)
            )

    async def _release_stale_cache(
        self, engine_id: EngineId, cached_programs: Iterable[ProgramId]
    ) -> None:
        """Release the cache of programs led here that have ended or do not exist."""
        for program_id in cached_programs:
            partition = self._directory.partition_of(program_id)
            epoch = self._services.leadership.epoch_of(partition)
            if epoch is None or await self._is_running(program_id):
                continue
            self._releases.add(
                PendingRelease(program_id, partition, epoch, engine_id, is_final=True)
            )

    async def _is_running(self, program_id: ProgramId) -> bool:
        program = self._directory.program_in_memory(program_id)
        if program is not None:
            return not program.is_ended
        try:
            record = await self._services.store.read(program_id)
        except PasslaneError as error:
            return error.code is not ErrorCode.UNKNOWN_PROGRAM
        return record.state is ProgramState.RUNNING
