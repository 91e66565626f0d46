"""Reserves turns that ask for a slot of an engine: the reservation beside the wait for the slot.

It is for the service of turns on the leader. It owns the newest question of each attempt, so that
an older one ends nothing and releases nothing. It relies on ``TurnDispatcher`` for the decision and
on ``TurnAccounts`` for the reservation itself; a new program has its slot first, since it reserves
nothing if it is refused.
"""

import msgspec

from passlane.decisions.inputs.turn_events import TurnAsked, TurnEnded, TurnNotPlaced, TurnPlaced
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
        self._questions: dict[str, object] = {}

    async def reserve(
        self, request: ReserveTurn, demand: TurnDemand, quota: QuotaGranted
    ) -> Message:
        """Reserve a turn and wait for its slot.

        Raises
        ------
        PasslaneError
            When this replica does not lead any more, or nobody waits for the turn here, or the
            group did not take the command; the reservation may have been made.
        """
        asked = self._asked(request, demand)
        question = object()
        self._questions[request.attempt_id] = question
        try:
            return await self._reserve_with_slot(request, asked, quota, question)
        except BaseException:
            # Also when the caller has gone: the slot, or the wait for it, must not outlive it.
            if self._is_newest(request, question):
                self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            raise
        finally:
            if self._is_newest(request, question):
                del self._questions[request.attempt_id]

    def _is_newest(self, request: ReserveTurn, question: object) -> bool:
        """Whether nobody has asked about the attempt again since."""
        return self._questions.get(request.attempt_id) is question

    async def _reserve_with_slot(
        self, request: ReserveTurn, asked: TurnAsked, quota: QuotaGranted, question: object
    ) -> Message:
        pending = self._dispatcher.ask(asked)
        if asked.is_first:
            decision = await self._wait_for_slot(pending)
            if isinstance(decision, TurnNotPlaced):
                return _refusal(decision)
        answer = await self._accounts.reserve(request, quota)
        if not isinstance(answer, TurnReserved):
            self._dispatcher.end(TurnEnded(attempt_id=request.attempt_id))
            return answer
        decision = await self._wait_for_slot(pending)
        if isinstance(decision, TurnNotPlaced):
            # A newer question may have found the reservation made, and rely on it.
            if self._is_newest(request, question):
                await self._accounts.release(request)
            return _refusal(decision)
        return _with_slot(answer, decision, quota)

    def _asked(self, request: ReserveTurn, demand: TurnDemand) -> TurnAsked:
        return TurnAsked(
            attempt_id=request.attempt_id,
            program_id=request.program_id,
            is_first=not self._machine.knows_program(request.program_id),
            used_last=self._machine.used_last(request.program_id),
            most_tokens=request.most_tokens,
            demand=demand,
        )

    async def _wait_for_slot(self, pending: PendingTurn) -> TurnPlaced | TurnNotPlaced:
        """Return once a turn has a slot or is refused.

        Raises
        ------
        PasslaneError
            ``UNAVAILABLE`` when nobody waits for it here any longer.
        """
        decision = await pending.wait()
        if isinstance(decision, TurnPlaced | TurnNotPlaced):
            return decision
        self._leadership.require()
        raise PasslaneError(ErrorCode.UNAVAILABLE, "the turn is not waited for any longer")


def _refusal(decision: TurnNotPlaced) -> TurnRefused:
    return TurnRefused(
        retry_after_s=decision.retry_after_s,
        waiting=decision.waiting,
        busy_share=decision.busy_share,
    )


def _with_slot(answer: TurnReserved, placed: TurnPlaced, quota: QuotaGranted) -> TurnReserved:
    """Return a reservation's answer that names the engine; ``place_wait_s`` is the slot's wait."""
    return msgspec.structs.replace(
        answer,
        engine=placed.engine,
        place_wait_s=placed.waited_s,
        start_after_s=0.0,
        limit_wait_s=quota.start_after_s,
    )
