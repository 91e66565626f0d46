"""Applies the decisions of the turn scheduler: wakes requests that wait for a slot.

It is for ``TurnService`` on the replica that leads the store group. It owns the turns whose
decision is outstanding, and passes the current time to the scheduler. It relies on
``TurnScheduler`` for the decisions, and on ``decision_log`` to log them.
"""

from collections.abc import Iterable

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import (
    TurnDecision,
    TurnEnded,
    TurnRequested,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.messages.listing import BackendRecord
from passlane.turns.decision_log import log_decision, log_slot_usage, log_slots

TICK_S = 0.05
"""Interval at which the scheduler expires slots and ends waits that are too long; waiting turns
tolerate some tenths of a second."""
SLOT_LOG_INTERVAL_S = 1.0
"""Interval between two log lines ``places``."""


class PendingTurn(msgspec.Struct, eq=False):
    """A turn and its decision, which may be outstanding."""

    asked: TurnRequested
    decided: anyio.Event
    decision: TurnDecision | None = None

    async def wait(self) -> TurnDecision:
        """Wait for the decision and return it."""
        await self.decided.wait()
        assert self.decision is not None
        return self.decision


class TurnDispatcher:
    """Runs the turn scheduler on the replica that leads the store group."""

    def __init__(self, scheduler: TurnScheduler) -> None:
        self._scheduler = scheduler
        self._pending: dict[str, PendingTurn] = {}

    @property
    def scheduler(self) -> TurnScheduler:
        """The scheduler that makes the decisions."""
        return self._scheduler

    def begin_term(self) -> None:
        """Reset the scheduler at the start of a term that this replica leads."""
        self._apply_decisions(self._scheduler.start_term(anyio.current_time()))

    def replace_backends(self, records: Iterable[BackendRecord]) -> None:
        """Replace the list of backends."""
        self._apply_decisions(self._scheduler.replace_backends(records, anyio.current_time()))

    def submit(self, turn_event: TurnRequested) -> PendingTurn:
        """Request a slot; a repeated request of a waiting attempt returns the same pending turn."""
        pending = self._pending.get(turn_event.attempt_id)
        if pending is not None:
            return pending
        pending = PendingTurn(turn_event, anyio.Event())
        self._pending[turn_event.attempt_id] = pending
        self._apply_decisions(self._scheduler.request_slot(turn_event, anyio.current_time()))
        return pending

    def end(self, ended: TurnEnded) -> None:
        """End a turn that has a slot or waits for one."""
        self._apply_decisions(self._scheduler.end(ended, anyio.current_time()))

    def advance(self) -> None:
        """Advance the scheduler to the current time."""
        self._apply_decisions(self._scheduler.advance(anyio.current_time()))

    def withdraw_all(self) -> None:
        """Withdraw all waiting turns, because this replica does not lead."""
        for attempt_id in list(self._pending):
            self._apply_decisions([TurnWithdrawn(attempt_id)])

    def log_slot_usage(self) -> None:
        """Log the slot usage of each service in which turns wait or are to retry."""
        now = anyio.current_time()
        for name in self._scheduler.service_names:
            stats = self._scheduler.stats(name)
            log_slot_usage(name, stats)
            if stats.has_waiting:
                log_slots(name, self._scheduler.slot_states(name, now))

    def _apply_decisions(self, decisions: Iterable[TurnDecision]) -> None:
        for decision in decisions:
            pending = self._pending.pop(decision.attempt_id, None)
            if pending is None:
                continue
            log_decision(pending.asked, decision)
            pending.decision = decision
            pending.decided.set()
