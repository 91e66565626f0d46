"""Reserves turns that request a slot of an engine: combines the reservation and the wait.

It is for ``TurnService`` on the leader. It owns the newest request of each attempt, so that an
older request neither ends the turn nor releases its reservation. It relies on ``TurnDispatcher``
for the slot and on ``TurnAccounts`` for the reservation. A new program gets its slot first, because
it must not reserve tokens if it is refused.
"""

import msgspec

from passlane.decisions.inputs.turn_events import (
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnRequested,
)
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message
from passlane.messages.placement import TurnDemand, TurnRefused
from passlane.messages.quotas import QuotaGranted
from passlane.messages.turns import ReserveTurn, TurnReserved
from passlane.turns.accounts import TurnAccounts
from passlane.turns.dispatch import PendingTurn, TurnDispatcher
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import TurnStateMachine


class SlotWaits:
    """Reservations that wait for a slot of an engine."""

    def __init__(
        self,
        accounts: TurnAccounts,
        machine: TurnStateMachine,
        dispatcher: TurnDispatcher,
        leadership: Leadership,
    ) -> None:
        self._accounts = accounts
        self._machine = machine
        self._dispatcher = dispatcher
        self._leadership = leadership
        self._newest_requests: dict[str, object] = {}

    async def reserve(
        self, request: ReserveTurn, demand: TurnDemand, quota: QuotaGranted
    ) -> Message:
        """Reserve a turn and wait for its slot.

        Raises
        ------
        PasslaneError
            When this replica no longer leads, when the turn was withdrawn, or when the command
            is not known to be replicated; the reservation may have been made.
        """
        turn_event = self._build_turn_event(request, demand)
        request_token = object()
        self._newest_requests[request.attempt_id] = request_token
        try:
            return await self._reserve_with_slot(request, turn_event, quota, request_token)
        except BaseException:
            # Also on cancellation: the slot or the wait for it must not outlive the caller.
            if self._is_newest(request, request_token):
                self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            raise
        finally:
            if self._is_newest(request, request_token):
                del self._newest_requests[request.attempt_id]

    def _is_newest(self, request: ReserveTurn, request_token: object) -> bool:
        """Whether no newer request of the attempt has arrived."""
        return self._newest_requests.get(request.attempt_id) is request_token

    async def _reserve_with_slot(
        self,
        request: ReserveTurn,
        turn_event: TurnRequested,
        quota: QuotaGranted,
        request_token: object,
    ) -> Message:
        pending = self._dispatcher.submit(turn_event)
        if turn_event.is_first:
            decision = await self._wait_for_slot(pending)
            if isinstance(decision, TurnNotPlaced):
                return _refusal(decision)
        answer = await self._accounts.reserve(request, quota)
        if not isinstance(answer, TurnReserved):
            self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            return answer
        decision = await self._wait_for_slot(pending)
        if isinstance(decision, TurnNotPlaced):
            # A newer request may rely on the reservation.
            if self._is_newest(request, request_token):
                await self._accounts.release(request)
            return _refusal(decision)
        return _with_slot(answer, decision, quota)

    def _build_turn_event(self, request: ReserveTurn, demand: TurnDemand) -> TurnRequested:
        return TurnRequested(
            attempt_id=request.attempt_id,
            program_id=request.program_id,
            is_first=not self._machine.knows_program(request.program_id),
            used_last=self._machine.last_engine(request.program_id),
            most_tokens=request.most_tokens,
            demand=demand,
        )

    async def _wait_for_slot(self, pending: PendingTurn) -> TurnPlaced | TurnNotPlaced:
        """Wait until a turn has a slot or is refused.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when the turn was withdrawn.
        """
        decision = await pending.wait()
        if isinstance(decision, TurnPlaced | TurnNotPlaced):
            return decision
        self._leadership.require_leadership()
        raise PasslaneError(ErrorCode.UNAVAILABLE, "the turn was withdrawn before it had a slot")


def _refusal(decision: TurnNotPlaced) -> TurnRefused:
    return TurnRefused(
        retry_after_s=decision.retry_after_s,
        waiting=decision.waiting,
        busy_share=decision.busy_share,
    )


def _with_slot(answer: TurnReserved, placed: TurnPlaced, quota: QuotaGranted) -> TurnReserved:
    """Return the reservation's answer with the engine and the times waited for slot and quota."""
    return msgspec.structs.replace(
        answer,
        engine=placed.engine,
        place_wait_s=placed.waited_s,
        start_after_s=0.0,
        limit_wait_s=quota.start_after_s,
    )
