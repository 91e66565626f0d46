"""Proposes commands on turns to the store group: reservations and settlements.

It is for ``TurnService`` on the leader. It owns no state: budgets and histories are part of
``turns.state``. It relies on ``Leadership`` for replication.
"""

import msgspec

from passlane.messages.base import Message
from passlane.messages.quotas import QuotaGranted
from passlane.messages.turns import ReserveTurn, SettleTurn, TurnReserved
from passlane.turns.leadership import Leadership


class TurnAccounts:
    """Reserves and settles the tokens of turns."""

    def __init__(self, leadership: Leadership) -> None:
        self._leadership = leadership

    async def reserve(self, request: ReserveTurn, quota: QuotaGranted) -> Message:
        """Reserve a turn's tokens; the answer lacks the history that precedes its input.

        Raises
        ------
        PasslaneError
            When the reservation is not known to be replicated.
        """
        result = await self._leadership.propose(_without_leader_fields(request))
        if not isinstance(result, TurnReserved):
            return result
        return msgspec.structs.replace(result, start_after_s=quota.start_after_s)

    async def release(self, request: ReserveTurn) -> None:
        """Settle a reserved turn that will not run, with 0 tokens."""
        released = SettleTurn(
            program_id=request.program_id,
            attempt_id=request.attempt_id,
            tokens=0,
            request_key=request.request_key,
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
        return msgspec.structs.replace(request, quota=None, demand=None, input_bytes=None)
    if request.quota is None and request.outcome is None:
        return request
    return msgspec.structs.replace(request, quota=None, outcome=None)


def _is_deferrable(request: SettleTurn) -> bool:
    """Whether no caller waits for the settlement: it stores no turn and draws no quota.

    An unsettled reservation counts as spent and as under way, so deferring its settlement exceeds
    no budget, and its request ends no further engine.
    """
    return request.turn is None and request.quota is None
