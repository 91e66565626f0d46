"""One turn's account in the store group: reservation, history, settlement.

Owns whether a reservation may stand and whether it was settled. The store group decides
(``turns.state``); ``turns.client`` finds its leader and asks again.
"""

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.errors import PasslaneError
from passlane.messages.placement import TurnDemand, TurnOutcome
from passlane.messages.quotas import QuotaDraw
from passlane.messages.routes import Route
from passlane.messages.turns import (
    KeptTurn,
    ReserveAnswer,
    ReserveTurn,
    SettleTurn,
)
from passlane.observability.logging import get_logger
from passlane.relay.context import RequestContext
from passlane.turns.client import TurnStoreClient

BACKGROUND_SETTLE_S = 30.0
"""Seconds; longer than a node is usually cut off; what is not settled by then stays reserved. Not
measured; chosen."""

_log = get_logger(__name__)


def needs_account(call: RelayedCall, route: Route) -> bool:
    """Whether a call is a turn whose budget or history the store group keeps."""
    has_budget = call.program is not None and call.program.budget_tokens is not None
    return has_budget or route.keeps_turns


class TurnAccount:
    """Reserves a turn before it is sent and settles it after, exactly once.

    Parameters
    ----------
    tasks
        Where settlements that nobody waits for go on.
    demand
        What decides when and where the turn runs; ``None`` if this node chooses an engine.

    Attributes
    ----------
    outcome
        How the turn went at engines; told with its settlement.
    """

    def __init__(
        self,
        context: RequestContext,
        store: TurnStoreClient,
        tasks: TaskGroup,
        demand: TurnDemand | None = None,
    ) -> None:
        self._demand = demand
        self.outcome: TurnOutcome | None = None
        self._call = context.call
        self._route = context.route
        self._identity = context.identity
        self._quota = context.quota
        self._store = store
        self._tasks = tasks
        self._is_reserved = False
        self._is_settled = False

    @property
    def _program_id(self) -> str:
        program = self._call.program
        name = program.program_id if program is not None else self._call.request_id
        return self._identity.scoped(name)

    @property
    def _previous_id(self) -> str | None:
        previous = self._call.previous_turn
        return self._identity.scoped(previous) if previous is not None else None

    async def reserve(self, limit_at: float) -> ReserveAnswer:
        """Reserve the most that the turn may generate; see ``TurnStoreClient.reserve``."""
        program = self._call.program
        now = anyio.current_time()
        request = ReserveTurn(
            program_id=self._program_id,
            attempt_id=self._call.request_id,
            most_tokens=self._call.most_tokens,
            budget_tokens=program.budget_tokens if program is not None else None,
            previous=self._previous_id if self._route.keeps_turns else None,
            retention_s=self._route.retention_s,
            quota=self._quota.draw_for_turn(self._route.name),
            demand=self._demand_at(now, limit_at),
        )
        # Whatever becomes of the answer, the reservation may stand from here on.
        self._is_reserved = True
        reservation = await self._store.reserve(request, timeout_s=limit_at - now)
        self._is_reserved = reservation.may_stand
        return reservation.answer

    def _demand_at(self, now: float, limit_at: float) -> TurnDemand | None:
        """Return what the turn demands, with the times that are left at this moment."""
        if self._demand is None:
            return None
        program = self._call.program
        deadline_at = program.deadline_at if program is not None else None
        return msgspec.structs.replace(
            self._demand,
            time_left_s=limit_at - now,
            program_time_left_s=deadline_at - now if deadline_at is not None else None,
        )

    async def settle_whole(
        self, tokens: int, output: bytes, served_by: str, timeout_s: float
    ) -> None:
        """Settle a turn that ended whole and keep it if its route says so.

        Raises
        ------
        PasslaneError
            When it is not certain that the turn is durable.
        """
        draw = self._quota.draw_after_turn()
        if not self._route.keeps_turns:
            self.settle_in_background(tokens, served_by, draw)
            return
        turn = KeptTurn(
            turn_id=self._identity.scoped(self._call.request_id),
            previous=self._previous_id,
            content=self._call.body + output,
            retention_s=self._route.retention_s,
        )
        await self._send(self._settlement(tokens, turn, served_by, draw), timeout_s)
        self._is_settled = True

    def settle_in_background(
        self, tokens: int, served_by: str, draw: QuotaDraw | None = None
    ) -> None:
        """Settle a turn without waiting; does nothing if it was settled or never reserved."""
        if self._is_settled or not self._is_reserved:
            return
        self._is_settled = True
        settlement = self._settlement(tokens, None, served_by, draw)
        self._tasks.start_soon(self._settle_later, settlement)

    def _settlement(
        self, tokens: int, turn: KeptTurn | None, served_by: str, draw: QuotaDraw | None
    ) -> SettleTurn:
        return SettleTurn(
            program_id=self._program_id,
            attempt_id=self._call.request_id,
            tokens=tokens,
            turn=turn,
            served_by=served_by,
            quota=draw,
            outcome=self.outcome,
        )

    async def _send(self, settlement: SettleTurn, timeout_s: float) -> None:
        """Settle, and hold what was granted ahead with it."""
        asked_at = anyio.current_time()
        settled = await self._store.settle(settlement, timeout_s=timeout_s)
        self._quota.note_settled(settled, asked_at)

    async def _settle_later(self, settlement: SettleTurn) -> None:
        try:
            await self._send(settlement, BACKGROUND_SETTLE_S)
        except PasslaneError as error:
            # The reservation stays: the program may spend less, never more.
            _log.warning(
                "turn_not_settled", request_id=settlement.attempt_id, code=error.code.value
            )
