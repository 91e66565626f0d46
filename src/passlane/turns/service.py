"""Serves turns on one replica of the store group; only the leader answers."""

import anyio
import msgspec

from passlane.errors import PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.quotas import (
    DrawQuota,
    QuotaAnswer,
    QuotaDraw,
    QuotaGranted,
    QuotaLimit,
    QuotaRefused,
    QuotaUse,
)
from passlane.messages.turns import (
    AdvanceAge,
    FindTurnStore,
    NoteUsage,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnResult,
    TurnSettled,
    TurnStoreFound,
)
from passlane.observability.logging import get_logger
from passlane.quotas.ledger import QuotaLedger
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Router
from passlane.turns.machine import TurnStateMachine

AGE_STEP_S = 5.0
"""The leader tells so often that time has passed."""

USAGE_PERIOD_S = 0.15
"""The leader tells so often what it has granted to tenants, and at once where much is untold;
see ``QuotaLedger.must_tell``."""

_result_decoder = message_decoder(TurnResult)
_log = get_logger(__name__)


class TurnService:
    """Proposes reservations and settlements, and reads histories."""

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: TurnStateMachine,
        router: Router,
        quotas: QuotaLedger,
    ) -> None:
        self._group = group
        self._machine = machine
        self._quotas = quotas
        self._telling = anyio.Lock()
        router.add_unary(ReserveTurn, self.reserve)
        router.add_unary(SettleTurn, self.settle)
        router.add_unary(FindTurnStore, self.find)
        router.add_unary(DrawQuota, self.draw_quota)

    async def run(self) -> None:
        """Carry out the leader's duties until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._advance_age)
            tasks.start_soon(self._tell_usage)

    async def _tell_usage(self) -> None:
        """Tell all replicas what was granted to tenants, while this one leads."""
        while True:
            await anyio.sleep(USAGE_PERIOD_S)
            if not self._group.is_leader:
                continue
            try:
                async with self._telling:
                    await self._tell_now()
            except PasslaneError as error:
                # What is not told is little, and the allowed excess covers it.
                _log.info("usage_not_told", code=error.code.value)

    async def _advance_age(self) -> None:
        """Advance the age of the state while this replica leads."""
        while True:
            await anyio.sleep(AGE_STEP_S)
            if not self._group.is_leader:
                continue
            try:
                await self._propose(AdvanceAge(seconds=AGE_STEP_S))
            except PasslaneError as error:
                # The next step follows; too low an age only keeps records for longer.
                _log.info("age_not_advanced", code=error.code.value)

    async def reserve(self, request: ReserveTurn) -> Message:
        """Reserve a turn's tokens; the reply holds the history that goes before its input."""
        self._require_leadership()
        quota = await self._draw_for_turn(request)
        if isinstance(quota, QuotaRefused):
            return quota
        result = await self._propose(_without_quota(request))
        if not isinstance(result, TurnReserved):
            self._give_back(request)
            return result
        history = b""
        if request.previous is not None:
            history = self._machine.history_of(request.previous)
        return msgspec.structs.replace(result, history=history, start_after_s=quota.start_after_s)

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; the reply means that it is durable on a majority."""
        self._require_leadership()
        granted: QuotaAnswer = QuotaGranted()
        if request.quota is not None:
            granted = await self._draw(request.quota)
        result = await self._propose(
            _without_quota(request), may_be_deferred=_is_settled_in_background(request)
        )
        if not isinstance(result, TurnSettled) or not isinstance(granted, QuotaGranted):
            return result
        return msgspec.structs.replace(result, ahead=granted.ahead)

    async def draw_quota(self, request: DrawQuota) -> Message:
        """Count a request that is no turn against its tenant's limit."""
        self._require_leadership()
        return await self._draw(request.draw)

    async def _draw_for_turn(self, request: ReserveTurn) -> QuotaAnswer:
        """Count a turn against its tenant's limit; only the first of a program begins one."""
        if request.quota is None:
            return QuotaGranted()
        is_known = self._machine.knows_program(request.program_id)
        use = QuotaUse.CONTINUE_PROGRAM if is_known else QuotaUse.BEGIN_PROGRAM
        return await self._draw(msgspec.structs.replace(request.quota, use=use))

    async def _draw(self, draw: QuotaDraw) -> QuotaAnswer:
        """Grant or refuse; a grant may have to wait until replicas were told of others."""
        answer = self._quotas.draw(draw, anyio.current_time())
        if isinstance(answer, QuotaGranted) and self._quotas.must_tell(draw.limit):
            await self._tell_until_little_is_untold(draw.limit)
        return answer

    async def _tell_until_little_is_untold(self, limit: QuotaLimit) -> None:
        """Return once replicas know of nearly all grants of a tenant, or raise."""
        async with self._telling:
            while self._quotas.must_tell(limit):
                await self._tell_now()

    async def _tell_now(self) -> None:
        """Tell all replicas what was granted; on return a majority holds it."""
        now = anyio.current_time()
        usages = self._quotas.usages_to_tell(now)
        if not usages:
            return
        is_told = False
        try:
            await self._propose(NoteUsage(usages=usages, group_s=self._quotas.group_s(now)))
            is_told = True
        finally:
            # Without an answer it may be held by a majority or not; it is told once more then.
            self._quotas.note_told(usages, is_told=is_told)

    def _give_back(self, request: ReserveTurn) -> None:
        """Give back what was drawn for a turn that will not run."""
        if request.quota is not None:
            self._quotas.give_back(request.quota.limit.tenant)

    async def find(self, request: FindTurnStore) -> Message:
        """Tell a node that lost the store group that its leader is here."""
        self._require_leadership()
        return TurnStoreFound(term=self._group.term)

    def _require_leadership(self) -> None:
        """Refuse unless this replica leads; in a new term, go on from what others granted."""
        if not self._group.is_leader:
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)
        self._quotas.enter_term(self._group.term, anyio.current_time())

    async def _propose(self, command: Message, *, may_be_deferred: bool = False) -> Message:
        result: Message = _result_decoder.decode(
            await self._group.propose(encode_message(command), may_be_deferred=may_be_deferred)
        )
        return result


def _without_quota(request: ReserveTurn | SettleTurn) -> ReserveTurn | SettleTurn:
    """Return the command as it is replicated."""
    return request if request.quota is None else msgspec.structs.replace(request, quota=None)


def _is_settled_in_background(request: SettleTurn) -> bool:
    """Whether nobody waits for the answer: nothing is kept and nothing granted with it.

    Until it is settled a reservation counts as spent (docs/PROMISES.md), so no program spends
    beyond its budget meanwhile.
    """
    return request.turn is None and request.quota is None
