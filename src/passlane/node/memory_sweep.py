"""Finds what the releases missed: unsettled programs, and cached memory of ended ones."""

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
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0

_log = get_logger(__name__)


class MemorySweep:
    """Looks after programs that a former leader left, and compares caches with programs."""

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

    def partition_gained(self, partition: Partition) -> None:
        """Look after the unsettled programs of a partition that was just gained."""
        is_first = not self._gained
        self._gained.add(partition)
        if is_first:
            self._services.tasks.start_soon(self._recover_gained)

    async def _recover_gained(self) -> None:
        """Recover all partitions gained at once by one query; go on until it succeeds."""
        delay_s = FIRST_RETRY_S
        while self._gained:
            partitions = frozenset(self._gained)
            if await self._look_after_unsettled(partitions):
                self._gained -= partitions
                continue
            await anyio.sleep(delay_s * self._random.uniform(0.8, 1.2))
            delay_s = min(2 * delay_s, MAX_RETRY_S)

    async def _look_after_unsettled(self, partitions: frozenset[Partition]) -> bool:
        """Return whether every unsettled program of the partitions is looked after."""
        only = next(iter(partitions)) if len(partitions) == 1 else None
        try:
            summaries = await self._services.store.list_unsettled(only)
        except PasslaneError as error:
            _log.warning("unsettled programs not listed", code=error.code.value)
            return False
        is_done = True
        for summary in summaries:
            if summary.partition in partitions:
                is_done = await self._look_after(summary.program_id) and is_done
        return is_done

    async def _look_after(self, program_id: ProgramId) -> bool:
        try:
            await self._leader.look_after(program_id)
        except PasslaneError as error:
            # A partition that is led elsewhere by now is looked after there.
            return error.code is ErrorCode.NOT_LEADER
        return True

    async def run(self) -> None:
        """Sweep now and then until cancelled."""
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
        await self._look_after_unsettled(led)
        for engine_id in sorted(self._poller.watched):
            await self._sweep_engine(engine_id)

    async def _sweep_engine(self, engine_id: EngineId) -> None:
        try:
            snapshot = await self._poller.read_cache(engine_id)
        except BackendError as error:
            _log.info("engine_not_swept", engine_id=engine_id, code=error.code.value)
            return
        if snapshot is not None:
            await self._compare(engine_id, (entry.program_id for entry in snapshot.entries))

    async def _compare(self, engine_id: EngineId, cached: Iterable[ProgramId]) -> None:
        """Release the memory of programs led here that have ended or never were."""
        for program_id in cached:
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
