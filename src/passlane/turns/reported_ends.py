"""Engines that ended under requests, on the leader of the store group.

It is for ``TurnService``. It owns the nodes that wait for a change of the refused requests; the
counts are part of ``turns.state``. A report is answered once it is replicated, so no loss of a
leader or of all processes forgets it. It relies on ``Leadership`` for replication. Log line:
``engine_ends_recorded``.
"""

from collections.abc import Sequence

import anyio

from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES
from passlane.messages.engine_ends import EngineEnd, RefusedRequest
from passlane.messages.turns import AdvanceAge
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import RETENTION_MARGIN_S, TurnStateMachine

MAX_WAIT_S = 10.0
"""Time after which a node that waits for a change is answered without one."""
LEADERSHIP_CHECK_INTERVAL_S = 1.0
"""Interval at which a waiting request checks that this replica still leads."""

_log = get_logger(__name__)


class ReportedEnds:
    """Records reports of nodes, and tells nodes which requests are refused."""

    def __init__(self, machine: TurnStateMachine, leadership: Leadership) -> None:
        self._machine = machine
        self._leadership = leadership
        self._changed = anyio.Event()
        machine.on_refused(self._wake)

    @property
    def revision(self) -> str:
        """Identifies the refused requests as this replica knows them in this term."""
        return f"{self._leadership.term}.{self._machine.refused_changes}"

    def refused(self) -> tuple[RefusedRequest, ...]:
        """Return the requests that are refused now.

        They are stored for the margin longer than nodes are to refuse them.
        """
        age_s = self._machine.age_s + RETENTION_MARGIN_S
        return tuple(
            RefusedRequest(
                request_key=ended.request_key, remaining_s=max(0.0, ended.keep_until_s - age_s)
            )
            for ended in self._machine.engine_ends.refused()
        )

    async def record(self, ends: Sequence[EngineEnd]) -> None:
        """Record reported ends; return once they are replicated.

        Raises
        ------
        PasslaneError
            When they are not known to be replicated.
        """
        new = tuple(end for end in ends if self._is_new(end))
        if not new:
            return
        await self._leadership.propose(AdvanceAge(seconds=0.0, engine_ends=new))
        for end in new:
            self._log_recorded(end)

    async def wait_for_change(self, known_revision: str) -> None:
        """Wait until the refused requests differ from those of a revision, but not for long."""
        with anyio.move_on_after(MAX_WAIT_S):
            while self._leadership.is_leading and self.revision == known_revision:
                with anyio.move_on_after(LEADERSHIP_CHECK_INTERVAL_S):
                    await self._changed.wait()

    def _is_new(self, end: EngineEnd) -> bool:
        known = self._machine.engine_ends.find(end.request_key)
        return known is None or known.is_changed_by(end.instance)

    def _log_recorded(self, end: EngineEnd) -> None:
        known = self._machine.engine_ends.find(end.request_key)
        _log.info(
            "engine_ends_recorded",
            request_key=end.request_key,
            instance=end.instance,
            instances=list(known.instances) if known is not None else [],
            most=MAX_ENDED_ENGINES,
            is_refused=known is not None and known.is_refused,
            age_s=round(self._machine.age_s, 1),
            keep_until_s=round(known.keep_until_s, 1) if known is not None else None,
        )

    def _wake(self) -> None:
        """Let the waiting nodes look again."""
        self._changed.set()
        self._changed = anyio.Event()
