"""Proposes commands on turns to the store group: reservations, settlements and the state's age.

It is for ``TurnService`` on the leader. It owns no state: budgets and histories are part of
``turns.state``. It relies on ``Leadership`` for replication.
"""

import anyio
import msgspec

from passlane.errors import PasslaneError
from passlane.messages.base import Message
from passlane.messages.quotas import QuotaGranted
from passlane.messages.turns import AdvanceAge, ReserveTurn, SettleTurn, TurnReserved
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import TurnStateMachine

AGE_UPDATE_INTERVAL_S = 5.0
"""Interval at which the leader advances the age of the state; records are retained for tens of
seconds."""

_log = get_logger(__name__)


class TurnAccounts:
    """Reserves and settles the tokens of turns."""

    def __init__(self, machine: TurnStateMachine, leadership: Leadership) -> None:
        self._machine = machine
        self._leadership = leadership

    async def run(self) -> None:
        """Advance the age of the state while this replica leads."""
        while True:
            await anyio.sleep(AGE_UPDATE_INTERVAL_S)
            if not self._leadership.is_leading:
                continue
            try:
                await self._leadership.propose(AdvanceAge(seconds=AGE_UPDATE_INTERVAL_S))
            except PasslaneError as error:
                # A skipped update only retains records for longer.
                _log.info("age_not_advanced", code=error.code.value)
                continue
            self._log_advanced(AGE_UPDATE_INTERVAL_S)

    def _log_advanced(self, seconds: float) -> None:
        size = self._machine.size
        _log.info(
            "age_advanced",
            seconds=round(seconds, 3),
            age_s=round(self._machine.age_s, 3),
            term=self._leadership.term,
            programs=size.programs,
            turns=size.turns,
            turn_bytes=size.turn_bytes,
        )

    async def reserve(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn's tokens; the answer contains the history that precedes its input.

        Raises
        ------
        PasslaneError
            When the reservation is not known to be replicated.
        """
        result = await self._leadership.propose(_without_leader_fields(request))
        if not isinstance(result, TurnReserved):
            return result
        history = b""
        if request.previous is not None:
            history = self._machine.history_of(request.previous)
        return msgspec.structs.replace(result, history=history, start_after_s=quota.start_after_s)

    async def release(self, request: ReserveTurn) -> None:
        """Settle a reserved turn that will not run, with 0 tokens."""
        released = SettleTurn(
            program_id=request.program_id, attempt_id=request.attempt_id, tokens=0
        )
        await self._leadership.propose(released)

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; on return the settlement is durable on a majority."""
        return await self._leadership.propose(
            _without_leader_fields(request), may_be_deferred=_is_deferrable(request)
        )


def _without_leader_fields(request: ReserveTurn | SettleTurn) -> ReserveTurn | SettleTurn:
    """Return the command without the fields that only the leader uses."""
    if isinstance(request, ReserveTurn):
        if request.quota is None and request.demand is None:
            return request
        return msgspec.structs.replace(request, quota=None, demand=None)
    if request.quota is None and request.outcome is None:
        return request
    return msgspec.structs.replace(request, quota=None, outcome=None)


def _is_deferrable(request: SettleTurn) -> bool:
    """Whether no caller waits for the settlement: it stores no turn and draws no quota.

    An unsettled reservation counts as spent, so deferring its settlement cannot exceed a budget.
    """
    return request.turn is None and request.quota is None
