"""Proposes what the store group agrees on of turns: reservations, settlements, and its age.

It is for the service of turns on the leader. It owns no state: budgets and histories stand in
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

AGE_STEP_S = 5.0
"""Seconds after which the leader tells that time has passed; records are kept for some tens of
seconds. Not measured; chosen."""

_log = get_logger(__name__)


class TurnAccounts:
    """Reservations and settlements of turns."""

    def __init__(self, machine: TurnStateMachine, leadership: Leadership) -> None:
        self._machine = machine
        self._leadership = leadership

    async def run(self) -> None:
        """Advance the age of the state while this replica leads."""
        while True:
            await anyio.sleep(AGE_STEP_S)
            if not self._leadership.is_held:
                continue
            try:
                await self._leadership.propose(AdvanceAge(seconds=AGE_STEP_S))
            except PasslaneError as error:
                # The next step follows; too low an age only keeps records for longer.
                _log.info("age_not_advanced", code=error.code.value)

    async def reserve(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn's tokens; the answer holds the history that goes before its input.

        Raises
        ------
        PasslaneError
            When the reservation is not known to be replicated.
        """
        result = await self._leadership.propose(_as_replicated(request))
        if not isinstance(result, TurnReserved):
            return result
        history = b""
        if request.previous is not None:
            history = self._machine.history_of(request.previous)
        return msgspec.structs.replace(result, history=history, start_after_s=quota.start_after_s)

    async def release(self, request: ReserveTurn) -> None:
        """Settle a turn that was reserved and will not run."""
        released = SettleTurn(
            program_id=request.program_id, attempt_id=request.attempt_id, tokens=0
        )
        await self._leadership.propose(released)

    async def settle(self, request: SettleTurn) -> Message:
        """Settle a turn; on return it is durable on a majority."""
        return await self._leadership.propose(
            _as_replicated(request), may_be_deferred=_is_settled_in_background(request)
        )


def _as_replicated(request: ReserveTurn | SettleTurn) -> ReserveTurn | SettleTurn:
    """Return the command without what only the leader needs."""
    if isinstance(request, ReserveTurn):
        if request.quota is None and request.demand is None:
            return request
        return msgspec.structs.replace(request, quota=None, demand=None)
    if request.quota is None and request.outcome is None:
        return request
    return msgspec.structs.replace(request, quota=None, outcome=None)


def _is_settled_in_background(request: SettleTurn) -> bool:
    """Whether nobody waits for the answer: nothing is kept and nothing granted with it.

    Until it is settled a reservation counts as spent (docs/PROMISES.md), so no program spends
    beyond its budget meanwhile.
    """
    return request.turn is None and request.quota is None
