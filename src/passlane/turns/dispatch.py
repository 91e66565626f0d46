"""Carries out what the scheduler of turns decides: wakes requests that wait for a place."""

from collections.abc import Iterable

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import (
    TurnAsked,
    TurnDecision,
    TurnEnded,
    TurnNotPlaced,
    TurnPlaced,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.messages.listing import BackendRecord
from passlane.observability.logging import get_logger

TICK_S = 0.05
"""Places are given back and long waits are ended so often; turns that wait bear some tenths of a
second."""
FIGURES_PERIOD_S = 1.0

_log = get_logger(__name__)


class PendingTurn(msgspec.Struct, eq=False):
    """A turn whose decision may still be outstanding."""

    asked: TurnAsked
    decided: anyio.Event
    decision: TurnDecision | None = None

    async def wait(self) -> TurnDecision:
        """Return the decision once there is one."""
        await self.decided.wait()
        assert self.decision is not None
        return self.decision


class TurnDispatcher:
    """The scheduler of turns on the replica that leads the store group."""

    def __init__(self, scheduler: TurnScheduler) -> None:
        self._scheduler = scheduler
        self._pending: dict[str, PendingTurn] = {}

    @property
    def scheduler(self) -> TurnScheduler:
        """What decides."""
        return self._scheduler

    def begin_term(self) -> None:
        """Begin anew as the leader of another term."""
        self._carry_out(self._scheduler.begin(anyio.current_time()))

    def replace_backends(self, records: Iterable[BackendRecord]) -> None:
        """Take over the list of back ends."""
        self._carry_out(self._scheduler.replace_backends(records, anyio.current_time()))

    def ask(self, asked: TurnAsked) -> PendingTurn:
        """Ask for a place; the same attempt may ask again while it waits."""
        pending = self._pending.get(asked.attempt_id)
        if pending is not None:
            return pending
        pending = PendingTurn(asked, anyio.Event())
        self._pending[asked.attempt_id] = pending
        self._carry_out(self._scheduler.ask(asked, anyio.current_time()))
        return pending

    def end(self, ended: TurnEnded) -> None:
        """Note the end of a turn that had a place or waited for one."""
        self._carry_out(self._scheduler.end(ended, anyio.current_time()))

    def advance(self) -> None:
        """Let time pass."""
        self._carry_out(self._scheduler.advance(anyio.current_time()))

    def withdraw_all(self) -> None:
        """Let nobody wait here any longer: this replica does not lead."""
        for attempt_id in list(self._pending):
            self._carry_out([TurnWithdrawn(attempt_id)])

    def log_figures(self) -> None:
        """Write how full the services are, while any turn waits or is told to come back."""
        for name in self._scheduler.service_names:
            figures = self._scheduler.figures(name)
            if figures.waiting_new or figures.waiting_under_way or figures.told_to_return:
                _log.info("places", service=name, **msgspec.structs.asdict(figures))

    def _carry_out(self, decisions: Iterable[TurnDecision]) -> None:
        for decision in decisions:
            pending = self._pending.pop(decision.attempt_id, None)
            if pending is None:
                continue
            _log_decision(pending.asked, decision)
            pending.decision = decision
            pending.decided.set()


def _log_decision(asked: TurnAsked, decision: TurnDecision) -> None:
    """Log a decision that made a turn wait or refused it; any other is logged by its node."""
    demand = asked.demand
    if isinstance(decision, TurnPlaced) and decision.waited_s > 0:
        _log.info(
            "turn_placed",
            request_id=asked.attempt_id,
            program_id=asked.program_id,
            tenant=demand.tenant,
            urgency=demand.urgency,
            is_first=asked.is_first,
            instance=decision.engine,
            used_last=asked.used_last,
            waited_s=round(decision.waited_s, 4),
            expected_s=round(decision.expected_s, 4),
            running=decision.running,
            waiting=decision.waiting,
        )
    elif isinstance(decision, TurnNotPlaced):
        _log.info(
            "program_refused",
            request_id=asked.attempt_id,
            program_id=asked.program_id,
            tenant=demand.tenant,
            urgency=demand.urgency,
            waiting=decision.waiting,
            busy_share=round(decision.busy_share, 3),
            waited_s=round(decision.waited_s, 4),
            retry_after_s=round(decision.retry_after_s, 3),
            program_time_left_s=demand.program_time_left_s,
        )
    elif isinstance(decision, TurnWithdrawn):
        _log.info("turn_withdrawn", request_id=asked.attempt_id, program_id=asked.program_id)
