"""Releases the cache of programs on engines, at their end and on request of the scheduler.

Each release is an order with a fencing token. It is retried until the engine acknowledges it
or refuses it as stale, or this node no longer leads the partition. An acknowledged release is
recorded, so that a later leader does not send it again.
"""

import random
from dataclasses import dataclass

import anyio

from passlane.backends.failures import BackendError
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import EngineId, Epoch, Partition, ProgramId
from passlane.messages.backends import EngineOrder, OrderKind
from passlane.messages.store import EngineHold, RecordRelease
from passlane.node.call_services import CallServices
from passlane.node.fencing import chat_token, final_release_token, program_scope
from passlane.observability.logging import get_logger

INITIAL_DELAY_S = 0.2
MAX_DELAY_S = 5.0

_log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class PendingRelease:
    """A release that the engine has not acknowledged yet.

    With ``is_final`` the engine also refuses the program's later requests of this epoch.
    """

    program_id: ProgramId
    partition: Partition
    epoch: Epoch
    engine_id: EngineId
    is_final: bool


class ReleaseLoop:
    """Sends all pending releases concurrently, with one task for each."""

    def __init__(self, services: CallServices, source: random.Random) -> None:
        self._services = services
        self._random = source
        self._pending: dict[PendingRelease, None] = {}

    @property
    def pending_count(self) -> int:
        """Number of releases that are not acknowledged yet; exposed as a gauge."""
        return len(self._pending)

    def add(self, release: PendingRelease) -> None:
        """Send a release until it is acknowledged; has no effect if it is already pending."""
        if release not in self._pending:
            self._pending[release] = None
            self._services.tasks.start_soon(self._release_with_retries, release)

    def add_holds(
        self,
        program_id: ProgramId,
        partition: Partition,
        epoch: Epoch,
        holds: tuple[EngineHold, ...],
    ) -> None:
        """Release the cache of an ended program on all engines that may have it."""
        for hold in holds:
            self.add(PendingRelease(program_id, partition, epoch, hold.engine_id, is_final=True))

    async def _release_with_retries(self, release: PendingRelease) -> None:
        delay_s = INITIAL_DELAY_S
        try:
            while self._leads(release):
                if await self._try_release(release):
                    return
                await anyio.sleep(delay_s * self._random.uniform(0.8, 1.2))
                delay_s = min(2 * delay_s, MAX_DELAY_S)
        finally:
            self._pending.pop(release, None)

    def _leads(self, release: PendingRelease) -> bool:
        """Return whether this node still leads in the epoch; if not, a later leader releases."""
        return self._services.leadership.epoch_of(release.partition) == release.epoch

    async def _try_release(self, release: PendingRelease) -> bool:
        """Send the order and record the release; return whether no retry is needed."""
        engine = self._services.configuration().engines.get(release.engine_id)
        incarnation = self._services.engines.incarnation_of(release.engine_id)
        try:
            if engine is not None:
                client = self._services.engines.client(engine.address)
                reply = await client.order(self._order(release))
                if not reply.done:
                    return False
                incarnation = max(incarnation, reply.incarnation)
            await self._record(release, incarnation)
        except BackendError as error:
            is_stale = error.code is ErrorCode.STALE_FENCING_TOKEN
            if is_stale:
                _log.warning("release_refused_as_stale", program_id=release.program_id)
            return is_stale
        except PasslaneError as error:
            return error.code is ErrorCode.UNKNOWN_PROGRAM
        return True

    def _order(self, release: PendingRelease) -> EngineOrder:
        token = final_release_token if release.is_final else chat_token
        return EngineOrder(
            kind=OrderKind.RELEASE_PROGRAM,
            scope=program_scope(release.program_id),
            fencing_token=token(release.epoch),
            program_id=release.program_id,
        )

    async def _record(self, release: PendingRelease, incarnation: int) -> None:
        """Record that the engine has no cache for the program, up to this incarnation.

        An engine that is no longer in the configuration counts as having no cache.
        """
        command = RecordRelease(
            program_id=release.program_id,
            partition=release.partition,
            epoch=release.epoch,
            hold=EngineHold(engine_id=release.engine_id, incarnation=incarnation),
        )
        await self._services.store.record_release(command)
