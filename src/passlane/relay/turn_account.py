"""One turn's account in the store group: reservation of each run, history, settlement.

Owns whether reservations may exist and whether they were settled. The tokens that each run counts
are decided by ``decisions.limits.turn_runs``, and whether the budget covers them by the store group
(``turns.state``); ``turns.client`` finds its leader and retries. Log lines: ``budget_refused``,
``turn_counted_in_full``.
"""

from collections.abc import Iterable

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.decisions.limits.turn_runs import ReservedRun, SpentRun, TurnRuns
from passlane.errors import PasslaneError
from passlane.messages.placement import TurnDemand, TurnOutcome
from passlane.messages.quotas import QuotaRequest
from passlane.messages.routes import Route
from passlane.messages.turn_outputs import OutputRequest
from passlane.messages.turns import (
    BudgetSpent,
    ReserveAnswer,
    ReserveTurn,
    RetainedTurn,
    SettleTurn,
    TurnReserved,
)
from passlane.observability.logging import get_logger
from passlane.relay.context import RequestContext
from passlane.supervision.contained import run_contained
from passlane.turns.client import TurnStoreClient

BACKGROUND_SETTLE_TIMEOUT_S = 30.0
"""Seconds; above the usual duration of a partition. A turn not settled by then remains reserved."""

_log = get_logger(__name__)


class TurnSpending(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a turn's runs at its settlement.

    Attributes
    ----------
    possible_runs
        Number of runs that engines may have started.
    passed_on_tokens
        Tokens that the caller has received, of all runs.
    whole_run_tokens
        Tokens of the last run, if it completed; else ``None``.
    served_by
        Instance whose prefix cache has the turn's tokens; empty if none.
    """

    possible_runs: int
    passed_on_tokens: int
    whole_run_tokens: int | None = None
    served_by: str = ""


def needs_account(call: RelayedCall, route: Route) -> bool:
    """Whether a call is a turn whose budget or history the store group stores."""
    has_budget = call.program is not None and call.program.budget_tokens is not None
    return has_budget or route.keeps_turns


def _is_in_line(call: RelayedCall) -> bool:
    """Whether a call is a turn of a line, whose turns come one after the other.

    Equal turns side by side are then attempts at one request; elsewhere they may be several ones.
    """
    return call.program is not None and bool(call.program.session_id)


def _output_request(context: RequestContext) -> OutputRequest | None:
    """Return how the output of a turn begins; ``None`` if no other attempt has a part of it."""
    call, route = context.call, context.route
    is_resumed = call.last_event_id is not None
    if not route.keeps_turns or not (route.is_resumable or is_resumed):
        return None
    return OutputRequest(
        request_key=context.request_key,
        is_in_line=_is_in_line(call),
        is_resumed=is_resumed,
        stream_id=(call.resumes or "") if is_resumed else "",
        last_event_id=call.last_event_id,
    )


class TurnAccount:
    """Reserves each run of a turn before it is sent, and settles all of them exactly once.

    Parameters
    ----------
    tasks
        Task group for settlements in the background.
    demand
        Inputs for scheduling and placing the turn; ``None`` if this node chooses an engine.

    Attributes
    ----------
    outcome
        How the turn went at engines; sent with its settlement.
    output_request
        How the turn's output begins; ``None`` unless it is stored and its stream is resumed or may
        be.
    output_before
        Output that the caller had before this attempt.
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
        self._engine_ends = context.engine_ends
        self._request_key = context.request_key if _is_in_line(context.call) else ""
        self._route = context.route
        self.output_request = _output_request(context)
        self.output_before = b""
        self._identity = context.identity
        self._quota = context.quota
        self._store = store
        self._tasks = tasks
        self._runs = TurnRuns(self._call.request_id, self._call.most_tokens)
        self._is_reserved = False
        self._is_settled = False

    @property
    def has_budget(self) -> bool:
        """Whether the turn's program has a token budget."""
        return self._budget_tokens is not None

    @property
    def _budget_tokens(self) -> int | None:
        program = self._call.program
        return program.budget_tokens if program is not None else None

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
        """Reserve the maximum number of tokens of the turn; see ``TurnStoreClient.reserve``."""
        now = anyio.current_time()
        run = self._runs.add()
        request = msgspec.structs.replace(
            self._reservation_of(run),
            previous=self._previous_id if self._route.keeps_turns else None,
            demand=self._demand_at(now, limit_at),
            input_bytes=len(self._call.body) if self._route.keeps_turns else None,
            request_key=self._request_key,
            output=self.output_request,
        )
        # From here on the reservation may exist, even if no answer is received.
        self._is_reserved = True
        reservation = await self._store.reserve(request, timeout_s=limit_at - now)
        self._is_reserved = reservation.may_be_reserved
        self._log_refusal(run, reservation.answer)
        self._take_output(reservation.answer)
        return reservation.answer

    def _take_output(self, answer: ReserveAnswer) -> None:
        """Keep the output that the caller of a resumed stream has, and log what is known of it."""
        request = self.output_request
        if request is None or not request.is_resumed or not isinstance(answer, TurnReserved):
            return
        self.output_before = answer.output_before or b""
        _log.info(
            "turn_output_resumed",
            request_id=self._call.request_id,
            request_key=request.request_key,
            resumes=request.stream_id,
            last_event_id=request.last_event_id,
            is_known=answer.output_before is not None,
            output_bytes=len(self.output_before),
        )

    def lacks_output(self, answer: TurnReserved) -> bool:
        """Whether the turn could not be stored with all events that its caller has."""
        request = self.output_request
        return request is not None and request.is_resumed and answer.output_before is None

    async def reserve_rerun(self, forwarded_tokens: int, limit_at: float) -> ReserveAnswer:
        """Reserve the tokens of a further run, after one that may have run.

        Raises
        ------
        PasslaneError
            When no leader answered in time; the run must not be sent.
        """
        run = self._runs.add(forwarded_tokens)
        timeout_s = limit_at - anyio.current_time()
        reservation = await self._store.reserve(self._reservation_of(run), timeout_s=timeout_s)
        self._log_refusal(run, reservation.answer)
        return reservation.answer

    def _log_refusal(self, run: ReservedRun, answer: ReserveAnswer) -> None:
        """Log why the budget does not cover a run."""
        if not isinstance(answer, BudgetSpent):
            return
        _log.info(
            "budget_refused",
            request_id=self._call.request_id,
            program_id=self._program_id,
            run=self._runs.count,
            wanted_tokens=run.most_tokens,
            spent_tokens=answer.spent_tokens,
            reserved_tokens=answer.reserved_tokens,
            budget_tokens=self._budget_tokens,
        )

    def _reservation_of(self, run: ReservedRun) -> ReserveTurn:
        return ReserveTurn(
            program_id=self._program_id,
            attempt_id=run.reservation_id,
            most_tokens=run.most_tokens,
            budget_tokens=self._budget_tokens,
            retention_s=self._route.retention_s,
            quota=self._quota.draw_for_turn(self._route.name),
        )

    def _demand_at(self, now: float, limit_at: float) -> TurnDemand | None:
        """Return the turn's demand with the remaining times at ``now``."""
        if self._demand is None:
            return None
        program = self._call.program
        deadline_at = program.deadline_at if program is not None else None
        return msgspec.structs.replace(
            self._demand,
            time_left_s=limit_at - now,
            program_time_left_s=deadline_at - now if deadline_at is not None else None,
        )

    async def settle_completed(
        self, spending: TurnSpending, output: bytes, timeout_s: float
    ) -> None:
        """Settle a completed turn, and store it if its route keeps turns.

        ``output`` is that of this attempt; it is stored behind what the caller had before.

        Raises
        ------
        PasslaneError
            When the turn may not be durable.
        """
        draw = self._quota.draw_after_turn()
        if not self._route.keeps_turns:
            self.settle_in_background(spending, draw)
            return
        turn = RetainedTurn(
            turn_id=self._identity.scoped(self._call.request_id),
            previous=self._previous_id,
            content=self._call.body + self.output_before + output,
            retention_s=self._route.retention_s,
        )
        first, *remaining = self._spent(spending)
        settlement = self._settlement(first, spending.served_by, draw)
        await self._send(msgspec.structs.replace(settlement, turn=turn), timeout_s)
        self._is_settled = True
        self._settle_remaining(remaining)

    def settle_in_background(
        self, spending: TurnSpending, draw: QuotaRequest | None = None
    ) -> None:
        """Settle a turn without waiting; no effect if it was already settled or never reserved."""
        if self._is_settled or not self._is_reserved:
            return
        self._is_settled = True
        first, *remaining = self._spent(spending)
        settlement = self._settlement(first, spending.served_by, draw)
        self._tasks.start_soon(run_contained, self._settle_later, settlement)
        self._settle_remaining(remaining)

    def _settle_remaining(self, runs: Iterable[SpentRun]) -> None:
        """Settle the runs after the first, whose settlement has the data of the whole turn."""
        for run in runs:
            settlement = SettleTurn(
                program_id=self._program_id, attempt_id=run.reservation_id, tokens=run.tokens
            )
            self._tasks.start_soon(run_contained, self._settle_later, settlement)

    def _spent(self, spending: TurnSpending) -> tuple[SpentRun, ...]:
        """Return the tokens that each run counts; log counted runs that did not complete."""
        spent = self._runs.spent(
            spending.possible_runs, spending.passed_on_tokens, spending.whole_run_tokens
        )
        completed_runs = int(spending.whole_run_tokens is not None)
        if self.has_budget and spending.possible_runs > completed_runs:
            _log.info(
                "turn_counted_in_full",
                request_id=self._call.request_id,
                program_id=self._program_id,
                runs=spending.possible_runs,
                passed_on_tokens=spending.passed_on_tokens,
                counted_tokens=[run.tokens for run in spent],
                budget_tokens=self._budget_tokens,
            )
        return spent

    def _settlement(self, run: SpentRun, served_by: str, draw: QuotaRequest | None) -> SettleTurn:
        return SettleTurn(
            program_id=self._program_id,
            attempt_id=run.reservation_id,
            tokens=run.tokens,
            served_by=served_by,
            quota=draw,
            outcome=self.outcome,
            request_key=self._request_key,
            unknown_engines=self._engine_ends.unknown_under(self._request_key),
        )

    async def _send(self, settlement: SettleTurn, timeout_s: float) -> None:
        """Send a settlement, and add the quota that is granted with it to the node's allowance."""
        asked_at = anyio.current_time()
        settled = await self._store.settle(settlement, timeout_s=timeout_s)
        self._quota.record_settlement(settled, asked_at)

    async def _settle_later(self, settlement: SettleTurn) -> None:
        try:
            await self._send(settlement, BACKGROUND_SETTLE_TIMEOUT_S)
        except PasslaneError as error:
            # The reservation remains, so that the program can only spend less, never more.
            _log.warning(
                "turn_not_settled", request_id=settlement.attempt_id, code=error.code.value
            )
