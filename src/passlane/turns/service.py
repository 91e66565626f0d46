"""Serves turns on one replica of the store group; only the leader answers.

It is for the nodes that relay turns: it takes in reservations, settlements, draws on limits and
the search for the leader. It owns the order of the steps of each; the steps themselves stand in
``quota_grants`` (limits), ``slot_waits`` (slots of engines) and ``accounts`` (what is
replicated). It relies on ``Leadership`` for whether it may answer.
"""

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import TurnEnded
from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.messages.base import Message
from passlane.messages.quotas import (
    DrawQuota,
    QuotaAnswer,
    QuotaDraw,
    QuotaGranted,
    QuotaRefused,
    QuotaUse,
)
from passlane.messages.turns import (
    FindTurnStore,
    ReserveTurn,
    SettleTurn,
    TurnReserved,
    TurnSettled,
    TurnStoreFound,
)
from passlane.replication.interfaces import ReplicatedGroup
from passlane.transport.interfaces import Router
from passlane.turns.accounts import TurnAccounts
from passlane.turns.dispatch import FIGURES_PERIOD_S, TICK_S, TurnDispatcher
from passlane.turns.leadership import Leadership
from passlane.turns.quota_grants import QuotaGrants
from passlane.turns.slot_waits import SlotWaits
from passlane.turns.state.machine import TurnStateMachine


class TurnService:
    """Answers nodes' requests about turns, in the order of their steps.

    Each method raises ``NotLeaderError`` where this replica does not lead, and
    ``PasslaneError`` where what it asked of the group is not known to be replicated.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: TurnStateMachine,
        router: Router,
        quotas: QuotaLedger,
        dispatcher: TurnDispatcher,
    ) -> None:
        self._machine = machine
        self._dispatcher = dispatcher
        self._leadership = Leadership(group, quotas, dispatcher)
        self._quotas = QuotaGrants(quotas, self._leadership)
        self._accounts = TurnAccounts(machine, self._leadership)
        self._slots = SlotWaits(self._accounts, machine, dispatcher, self._leadership)
        router.add_unary(ReserveTurn, self.reserve)
        router.add_unary(SettleTurn, self.settle)
        router.add_unary(FindTurnStore, self.find)
        router.add_unary(DrawQuota, self.draw_quota)

    async def run(self) -> None:
        """Carry out the leader's duties until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._accounts.run)
            tasks.start_soon(self._quotas.run)
            tasks.start_soon(self._advance_dispatch)
            tasks.start_soon(self._log_figures)

    async def _advance_dispatch(self) -> None:
        """Let the scheduler of turns know that time passes."""
        while True:
            await anyio.sleep(TICK_S)
            if self._leadership.is_held:
                self._dispatcher.advance()
            else:
                self._dispatcher.withdraw_all()

    async def _log_figures(self) -> None:
        """Log now and then how full the engines are, while this replica leads."""
        while True:
            await anyio.sleep(FIGURES_PERIOD_S)
            if self._leadership.is_held:
                self._dispatcher.log_figures()

    async def reserve(self, request: ReserveTurn) -> Message:
        """Reserve a turn's tokens; the reply holds the history that goes before its input.

        A turn that asks for a slot of an engine gets its answer when it has one.
        """
        self._leadership.require()
        draw = self._draw_of(request)
        if draw is None:
            return await self._reserve_granted(request, QuotaGranted())
        return await self._reserve_with_draw(request, draw)

    async def _reserve_with_draw(self, request: ReserveTurn, draw: QuotaDraw) -> Message:
        """Draw on the tenant's limit, reserve, and give back what is not sent."""
        drawn_at = anyio.current_time()
        quota = await self._quotas.draw(draw)
        if isinstance(quota, QuotaRefused):
            return quota
        term = self._leadership.served_term
        answer: Message | None = None
        try:
            answer = await self._reserve_granted(request, quota)
            if request.demand is not None and term == self._leadership.served_term:
                self._quotas.note_sent(draw, drawn_at + quota.start_after_s)
            return answer
        finally:
            # Without this answer the node sends nothing; what another term counts it was told.
            is_sent = isinstance(answer, TurnReserved)
            if not is_sent and term == self._leadership.served_term:
                self._quotas.give_back(draw)

    async def _reserve_granted(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn that its tenant's limit lets go on."""
        if request.demand is None:
            return await self._accounts.reserve(request, quota)
        # No slot is kept for a turn that its tenant's limit lets wait.
        await anyio.sleep(quota.start_after_s)
        self._leadership.require()
        return await self._slots.reserve(request, request.demand, quota)

    def _draw_of(self, request: ReserveTurn) -> QuotaDraw | None:
        """Return what a turn draws from its limit; only the first of a program begins one."""
        if request.quota is None:
            return None
        is_known = self._machine.knows_program(request.program_id)
        use = QuotaUse.CONTINUE_PROGRAM if is_known else QuotaUse.BEGIN_PROGRAM
        return msgspec.structs.replace(request.quota, use=use)

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; the reply means that it is durable on a majority."""
        self._leadership.require()
        self._dispatcher.end(
            TurnEnded(
                attempt_id=request.attempt_id,
                served_by=request.served_by,
                outcome=request.outcome,
            )
        )
        granted: QuotaAnswer = QuotaGranted()
        if request.quota is not None:
            granted = await self._quotas.draw(request.quota)
        result = await self._accounts.settle(request)
        if not isinstance(result, TurnSettled) or not isinstance(granted, QuotaGranted):
            return result
        return msgspec.structs.replace(result, ahead=granted.ahead)

    async def draw_quota(self, request: DrawQuota) -> Message:
        """Count a request that is no turn against its tenant's limit."""
        self._leadership.require()
        return await self._quotas.draw(request.draw)

    async def find(self, request: FindTurnStore) -> Message:
        """Tell a node that lost the store group that its leader is here."""
        self._leadership.require()
        return TurnStoreFound(term=self._leadership.term)
