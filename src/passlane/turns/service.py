"""Serves turns on one replica of the store group; only the leader answers.

It is for the nodes that relay turns: it handles reservations, settlements, quota draws, probes for
the leader, reports and lookups of streams, and reports of engines that ended. It owns the order of
the steps of each request; the steps are implemented in ``quota_grants`` (quotas), ``slot_waits``
(slots of engines), ``accounts`` (replicated commands), ``age_updates`` (the age of the state),
``stored_turns`` (what can be stored), ``sent_histories`` (histories in replies),
``reported_streams``, ``reported_outputs``,
``reported_versions`` and ``reported_ends``.
It relies on ``Leadership`` for whether this replica may answer.
"""

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import TurnEnded
from passlane.decisions.limits.quota_ledger import QuotaLedger
from passlane.messages.base import Message
from passlane.messages.quotas import (
    DrawQuota,
    QuotaAnswer,
    QuotaGranted,
    QuotaPurpose,
    QuotaRefused,
    QuotaRequest,
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
from passlane.transport.large_replies import LargeReply, built_at_once
from passlane.turns.accounts import TurnAccounts
from passlane.turns.age_updates import AgeUpdates
from passlane.turns.dispatch import SLOT_LOG_INTERVAL_S, TICK_S, TurnDispatcher
from passlane.turns.leadership import Leadership
from passlane.turns.quota_grants import QuotaGrants
from passlane.turns.reported_ends import ReportedEnds
from passlane.turns.reported_outputs import ReportedOutputs
from passlane.turns.reported_streams import ReportedStreams
from passlane.turns.reported_versions import ReportedVersions
from passlane.turns.sent_histories import SentHistories
from passlane.turns.slot_waits import SlotWaits
from passlane.turns.state.machine import TurnStateMachine
from passlane.turns.stored_turns import StoredTurns


class TurnService:
    """Handles nodes' requests for turns.

    Parameters
    ----------
    max_stored_bytes
        Bound on the bytes of stored turns; ``None`` for none.

    Each handler raises ``NotLeaderError`` when this replica does not lead, and
    ``PasslaneError`` when a command is not known to be replicated.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        machine: TurnStateMachine,
        router: Router,
        quotas: QuotaLedger,
        dispatcher: TurnDispatcher,
        max_stored_bytes: int | None = None,
    ) -> None:
        self._machine = machine
        self._dispatcher = dispatcher
        self._age = AgeUpdates(machine, group)
        self._leadership = Leadership(group, quotas, dispatcher, self._age)
        self._quotas = QuotaGrants(quotas, self._leadership)
        self._accounts = TurnAccounts(self._leadership)
        self._slots = SlotWaits(self._accounts, machine, dispatcher, self._leadership)
        self._streams = ReportedStreams(machine, self._leadership)
        self._ends = ReportedEnds(machine, self._leadership)
        self._versions = ReportedVersions(machine, self._leadership)
        self._outputs = ReportedOutputs(machine, self._leadership, max_stored_bytes)
        self._stored = StoredTurns(machine, max_stored_bytes)
        self._histories = SentHistories(machine)
        self._stored_term = -1
        router.add_large(ReserveTurn, self.prepare)
        router.add_unary(SettleTurn, self.settle)
        router.add_unary(FindTurnStore, self.find)
        router.add_unary(DrawQuota, self.draw_quota)

    async def run(self) -> None:
        """Run the leader's background tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._age.run)
            tasks.start_soon(self._quotas.run)
            tasks.start_soon(self._streams.run)
            tasks.start_soon(self._advance_dispatcher)
            tasks.start_soon(self._log_slot_usage)

    async def _advance_dispatcher(self) -> None:
        """Advance the turn scheduler while this replica leads; else withdraw waiting turns."""
        while True:
            await anyio.sleep(TICK_S)
            if self._leadership.is_leading:
                self._dispatcher.advance()
            else:
                self._dispatcher.withdraw_all()

    async def _log_slot_usage(self) -> None:
        """Log the slot usage at intervals while this replica leads."""
        while True:
            await anyio.sleep(SLOT_LOG_INTERVAL_S)
            if self._leadership.is_leading:
                self._dispatcher.log_slot_usage()

    async def reserve(self, request: ReserveTurn) -> Message:
        """Reserve a turn and build the reply at once; see ``prepare``."""
        return await built_at_once(self.prepare)(request)

    async def prepare(self, request: ReserveTurn) -> Message | LargeReply:
        """Reserve a turn's tokens; the reply contains the history that precedes its input.

        A turn that requests a slot of an engine is answered when it has one or is refused. One
        that could not be stored is refused at once, and so are one that resumes a stream whose
        earlier events are unknown, and one whose request has ended too many engines; it waits for a
        short time while the fate of some is unknown.
        """
        self._leadership.require_leadership()
        refusal = await self._ends.wait_until_allowed(request)
        if refusal is not None:
            return refusal
        with self._ends.admitted(request):
            return await self._histories.reply(request, self._reserve_stored)

    async def _reserve_stored(self, request: ReserveTurn) -> Message:
        """Reserve a turn that may be sent, if it can be stored."""
        self._enter_term()
        refusal = self._outputs.refusal(request) or self._stored.admit(request)
        if refusal is not None:
            return refusal
        answer: Message | None = None
        try:
            answer = await self._reserve_admitted(request)
            return answer
        finally:
            if not isinstance(answer, TurnReserved):
                self._stored.release(request.attempt_id)

    def _enter_term(self) -> None:
        """Forget the turns that were admitted in an earlier term."""
        if self._stored_term != self._leadership.served_term:
            self._stored_term = self._leadership.served_term
            self._stored.begin_term()

    async def _reserve_admitted(self, request: ReserveTurn) -> Message:
        draw = self._draw_of(request)
        if draw is None:
            return await self._reserve_granted(request, QuotaGranted())
        return await self._reserve_with_draw(request, draw)

    async def _reserve_with_draw(self, request: ReserveTurn, draw: QuotaRequest) -> Message:
        """Draw the tenant's quota and reserve; return the grant if the turn is not sent."""
        drawn_at = anyio.current_time()
        quota = await self._quotas.draw(draw)
        if isinstance(quota, QuotaRefused):
            return quota
        term = self._leadership.served_term
        answer: Message | None = None
        try:
            answer = await self._reserve_granted(request, quota)
            if request.demand is not None and term == self._leadership.served_term:
                self._quotas.record_sent(draw, drawn_at + quota.start_after_s)
            return answer
        finally:
            # Without this answer the node sends nothing. In another term the ledger counts only
            # the replicated grants, so there is nothing to return.
            is_sent = isinstance(answer, TurnReserved)
            if not is_sent and term == self._leadership.served_term:
                self._quotas.refund(draw)

    async def _reserve_granted(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn that was granted its tenant's quota."""
        if request.demand is None:
            return await self._accounts.reserve(request, quota)
        # A turn that its tenant's quota delays must not occupy a slot.
        await anyio.sleep(quota.start_after_s)
        self._leadership.require_leadership()
        return await self._slots.reserve(request, request.demand, quota)

    def _draw_of(self, request: ReserveTurn) -> QuotaRequest | None:
        """Return a turn's quota draw; only the first turn of a program begins a program."""
        if request.quota is None:
            return None
        is_known = self._machine.knows_program(request.program_id)
        use = QuotaPurpose.CONTINUE_PROGRAM if is_known else QuotaPurpose.BEGIN_PROGRAM
        return msgspec.structs.replace(request.quota, use=use)

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; the reply confirms that the settlement is durable on a majority."""
        self._leadership.require_leadership()
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
        self._stored.release(request.attempt_id)
        if not isinstance(result, TurnSettled) or not isinstance(granted, QuotaGranted):
            return result
        return msgspec.structs.replace(result, ahead=granted.ahead)

    async def draw_quota(self, request: DrawQuota) -> Message:
        """Draw a tenant's quota for a request outside turns, or record that one is sent late."""
        self._leadership.require_leadership()
        if request.draw.sent_after_s:
            granted_at = anyio.current_time() - request.draw.sent_after_s
            self._quotas.record_sent(request.draw, granted_at)
        return await self._quotas.draw(request.draw)

    async def find(self, request: FindTurnStore) -> Message:
        """Answer a probe for the leader with the current term; record and look up streams.

        Reports on engines, versions and forwarded events are answered once they are replicated, and
        a request for the refused requests once these have changed. What is known of versions is
        told and renewed only by a replica that leads for certain.
        """
        self._leadership.require_leadership()
        if request.address or request.served_versions:
            await self._leadership.confirm()
        self._streams.record(request.begun_streams)
        origin = self._streams.find(request.stream_id) if request.stream_id else None
        await self._outputs.record(request.forwarded_events)
        await self._versions.record(request.served_versions)
        await self._ends.record(request.engine_ends, request.attempt_fates)
        versions = self._versions.find(request.address) if request.address else None
        found = TurnStoreFound(term=self._leadership.term, origin=origin, served_versions=versions)
        if request.refused_revision is None:
            return found
        await self._ends.wait_for_change(request.refused_revision)
        self._leadership.require_leadership()
        return msgspec.structs.replace(
            found,
            term=self._leadership.term,
            refused=self._ends.refused(),
            refused_revision=self._ends.revision,
        )
