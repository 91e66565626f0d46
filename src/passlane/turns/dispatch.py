"""Carries out what the scheduler of turns decides: wakes requests that wait for a slot.

It is for the service of turns on the replica that leads the store group. It owns the turns whose
decision is outstanding, and gives the scheduler its clock. It relies on ``TurnScheduler`` for the
decisions, which are logged by ``decision_log`` as they are carried out.
"""

from collections.abc import Iterable

import anyio
import msgspec

from passlane.decisions.inputs.turn_events import (
    TurnAsked,
    TurnDecision,
    TurnEnded,
    TurnWithdrawn,
)
from passlane.decisions.scheduling.turn_scheduler import TurnScheduler
from passlane.messages.listing import BackendRecord
from passlane.turns.decision_log import log_decision, log_figures, log_slots

TICK_S = 0.05
"""Seconds after which slots are given back by time and long waits are ended; turns that wait bear
some tenths of a second. Not measured; chosen."""
FIGURES_PERIOD_S = 1.0
"""Seconds between two log lines ``places``. Not measured; chosen."""


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
        """Ask for a slot; the same attempt may ask again while it waits."""
        pending = self._pending.get(asked.attempt_id)
        if pending is not None:
            return pending
        pending = PendingTurn(asked, anyio.Event())
        self._pending[asked.attempt_id] = pending
        self._carry_out(self._scheduler.ask(asked, anyio.current_time()))
        return pending

    def end(self, ended: TurnEnded) -> None:
        """Note the end of a turn that had a slot or waited for one."""
        self._carry_out(self._scheduler.end(ended, anyio.current_time()))

    def advance(self) -> None:
        """Let time pass."""
        self._carry_out(self._scheduler.advance(anyio.current_time()))

    def withdraw_all(self) -> None:
        """Let nobody wait here any longer: this replica does not lead."""
        for attempt_id in list(self._pending):
            self._carry_out([TurnWithdrawn(attempt_id)])

    def log_figures(self) -> None:
        """Write how full the services are, while any turn waits or is to retry."""
        now = anyio.current_time()
        for name in self._scheduler.service_names:
            figures = self._scheduler.figures(name)
            log_figures(name, figures)
            if figures.has_waiting:
                log_slots(name, self._scheduler.slot_states(name, now))

    def _carry_out(self, decisions: Iterable[TurnDecision]) -> None:
        for decision in decisions:
            pending = self._pending.pop(decision.attempt_id, None)
            if pending is None:
                continue
            log_decision(pending.asked, decision)
            pending.decision = decision
            pending.decided.set()
