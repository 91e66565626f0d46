"""Serves turns on one replica of the store group; only the leader answers."""

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import TurnAsked, TurnEnded, TurnNotPlaced, TurnPlaced
from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.common import NotLeaderError
from passlane.messages.placement import TurnDemand, TurnRefused
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
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Router
from passlane.turns.dispatch import FIGURES_PERIOD_S, TICK_S, PendingTurn, TurnDispatcher
from passlane.turns.state.machine import TurnStateMachine

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
        dispatcher: TurnDispatcher,
    ) -> None:
        self._group = group
        self._machine = machine
        self._quotas = quotas
        self._dispatcher = dispatcher
        self._term = -1
        # The newest question of each attempt: an older one whose caller has gone ends nothing.
        self._questions: dict[str, object] = {}
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
            tasks.start_soon(self._advance_dispatch)
            tasks.start_soon(self._log_places)

    async def _advance_dispatch(self) -> None:
        """Let the scheduler of turns know that time passes."""
        while True:
            await anyio.sleep(TICK_S)
            if self._group.is_leader:
                self._dispatcher.advance()
            else:
                self._dispatcher.withdraw_all()

    async def _log_places(self) -> None:
        """Log now and then how full the engines are, while this replica leads."""
        while True:
            await anyio.sleep(FIGURES_PERIOD_S)
            if self._group.is_leader:
                self._dispatcher.log_figures()

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
        """Reserve a turn's tokens; the reply holds the history that goes before its input.

        A turn that asks for a place at an engine gets its answer when it has one.
        """
        self._require_leadership()
        draw = self._draw_of(request)
        drawn_at = anyio.current_time()
        quota: QuotaAnswer = QuotaGranted() if draw is None else await self._draw(draw)
        if isinstance(quota, QuotaRefused):
            return quota
        term = self._term
        answer: Message | None = None
        try:
            answer = await self._reserve_granted(request, quota)
            if draw is not None and request.demand is not None and term == self._term:
                granted_for = drawn_at + quota.start_after_s
                self._quotas.note_sent(draw, granted_for, anyio.current_time())
            return answer
        finally:
            # Without this answer the node sends nothing; what another term counts it was told.
            if draw is not None and not isinstance(answer, TurnReserved) and term == self._term:
                self._quotas.give_back(draw)

    async def _reserve_granted(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn that its tenant's limit lets go on."""
        if request.demand is None:
            return await self._reserve_tokens(request, quota)
        # A place is not kept for a turn that its tenant's limit lets wait.
        await anyio.sleep(quota.start_after_s)
        self._require_leadership()
        asked = self._asked(request, request.demand)
        question = object()
        self._questions[request.attempt_id] = question
        try:
            return await self._reserve_with_place(request, asked, quota)
        except BaseException:
            if self._questions.get(request.attempt_id) is question:
                self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            raise
        finally:
            if self._questions.get(request.attempt_id) is question:
                del self._questions[request.attempt_id]

    async def _reserve_with_place(
        self, request: ReserveTurn, asked: TurnAsked, quota: QuotaGranted
    ) -> Message:
        """Reserve a turn and wait for its place; a new program has its place first."""
        pending = self._dispatcher.ask(asked)
        if asked.is_first:
            refused = await self._wait_for_place(pending)
            if refused is not None:
                return refused
        answer = await self._reserve_tokens(request, quota)
        if not isinstance(answer, TurnReserved):
            self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            return answer
        refused = await self._wait_for_place(pending)
        if refused is not None:
            await self._propose(_released(request))
            return refused
        decision = pending.decision
        assert isinstance(decision, TurnPlaced)
        return msgspec.structs.replace(
            answer,
            engine=decision.engine,
            place_wait_s=decision.waited_s,
            start_after_s=0.0,
            limit_wait_s=quota.start_after_s,
        )

    async def _reserve_tokens(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        result = await self._propose(_as_replicated(request))
        if not isinstance(result, TurnReserved):
            return result
        history = b""
        if request.previous is not None:
            history = self._machine.history_of(request.previous)
        return msgspec.structs.replace(result, history=history, start_after_s=quota.start_after_s)

    def _asked(self, request: ReserveTurn, demand: TurnDemand) -> TurnAsked:
        return TurnAsked(
            attempt_id=request.attempt_id,
            program_id=request.program_id,
            is_first=not self._machine.knows_program(request.program_id),
            used_last=self._machine.used_last(request.program_id),
            most_tokens=request.most_tokens,
            demand=demand,
        )

    async def _wait_for_place(self, pending: PendingTurn) -> TurnRefused | None:
        """Return once a turn has a place, or what refuses it.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when nobody waits for it here any longer.
        """
        decision = await pending.wait()
        if isinstance(decision, TurnPlaced):
            return None
        if isinstance(decision, TurnNotPlaced):
            return TurnRefused(
                retry_after_s=decision.retry_after_s,
                waiting=decision.waiting,
                busy_share=decision.busy_share,
            )
        self._require_leadership()
        raise PasslaneError(ErrorCode.UNAVAILABLE, "the turn is not waited for any longer")

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; the reply means that it is durable on a majority."""
        self._require_leadership()
        self._dispatcher.end(
            TurnEnded(
                attempt_id=request.attempt_id,
                served_by=request.served_by,
                outcome=request.outcome,
            )
        )
        granted: QuotaAnswer = QuotaGranted()
        if request.quota is not None:
            granted = await self._draw(request.quota)
        result = await self._propose(
            _as_replicated(request), may_be_deferred=_is_settled_in_background(request)
        )
        if not isinstance(result, TurnSettled) or not isinstance(granted, QuotaGranted):
            return result
        return msgspec.structs.replace(result, ahead=granted.ahead)

    async def draw_quota(self, request: DrawQuota) -> Message:
        """Count a request that is no turn against its tenant's limit."""
        self._require_leadership()
        return await self._draw(request.draw)

    def _draw_of(self, request: ReserveTurn) -> QuotaDraw | None:
        """Return what a turn draws from its limit; only the first of a program begins one."""
        if request.quota is None:
            return None
        is_known = self._machine.knows_program(request.program_id)
        use = QuotaUse.CONTINUE_PROGRAM if is_known else QuotaUse.BEGIN_PROGRAM
        return msgspec.structs.replace(request.quota, use=use)

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

    async def find(self, request: FindTurnStore) -> Message:
        """Tell a node that lost the store group that its leader is here."""
        self._require_leadership()
        return TurnStoreFound(term=self._group.term)

    def _require_leadership(self) -> None:
        """Refuse unless this replica leads; in a new term, go on from what others granted."""
        if not self._group.is_leader:
            raise NotLeaderError("not the leader of the store group", self._group.leader_address)
        self._quotas.enter_term(self._group.term, anyio.current_time())
        if self._group.term != self._term:
            self._term = self._group.term
            self._dispatcher.begin_term()

    async def _propose(self, command: Message, *, may_be_deferred: bool = False) -> Message:
        result: Message = _result_decoder.decode(
            await self._group.propose(encode_message(command), may_be_deferred=may_be_deferred)
        )
        return result


def _as_replicated(request: ReserveTurn | SettleTurn) -> ReserveTurn | SettleTurn:
    """Return the command without what only the leader needs."""
    if isinstance(request, ReserveTurn):
        if request.quota is None and request.demand is None:
            return request
        return msgspec.structs.replace(request, quota=None, demand=None)
    if request.quota is None and request.outcome is None:
        return request
    return msgspec.structs.replace(request, quota=None, outcome=None)


def _released(request: ReserveTurn) -> SettleTurn:
    """Return the settlement of a turn that was reserved and will not run."""
    return SettleTurn(program_id=request.program_id, attempt_id=request.attempt_id, tokens=0)


def _is_settled_in_background(request: SettleTurn) -> bool:
    """Whether nobody waits for the answer: nothing is kept and nothing granted with it.

    Until it is settled a reservation counts as spent (docs/PROMISES.md), so no program spends
    beyond its budget meanwhile.
    """
    return request.turn is None and request.quota is None
