"""Engines that ended under requests, or may have, on the leader of the store group.

It is for ``TurnService``. It owns the nodes that wait for a change of the refused requests, and the
attempts whose reservation is not replicated yet; the counts are part of ``turns.state``. A report
is answered once it is replicated, so no loss of a leader or of all processes forgets it. It relies
on ``Leadership`` for replication. Log lines: ``engine_ends_recorded``, ``attempt_fate_recorded``,
``turn_held_for_engines``.
"""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import anyio

from passlane.decisions.failure.engine_ends import (
    DOUBT_RETRY_AFTER_S,
    HOLD_CHECK_INTERVAL_S,
    MAX_ENDED_ENGINES,
    MAX_HOLD_S,
    EndedUnder,
)
from passlane.messages.engine_ends import AttemptFate, EngineEnd, EnginesEnded, RefusedRequest
from passlane.messages.placement import TurnRefused
from passlane.messages.turns import AdvanceAge, ReserveTurn
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
        self._admitted: dict[str, set[str]] = {}
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
                request_key=ended.request_key,
                remaining_s=max(0.0, ended.keep_until_s - age_s),
                is_certain=ended.is_refused,
            )
            for ended in self._machine.engine_ends.refused()
        )

    async def record(self, ends: Sequence[EngineEnd], fates: Sequence[AttemptFate]) -> None:
        """Record what nodes report of engines; return once it is replicated.

        Raises
        ------
        PasslaneError
            When it is not known to be replicated.
        """
        new = tuple(end for end in ends if self._is_new(end))
        new_fates = tuple(fates)
        if not new and not new_fates:
            return
        await self._leadership.propose(
            AdvanceAge(seconds=0.0, engine_ends=new, attempt_fates=new_fates)
        )
        for end in new:
            self._log_recorded(end)
        for fate in new_fates:
            self._log_fate(fate)

    @contextmanager
    def admitted(self, request: ReserveTurn) -> Iterator[None]:
        """Count an attempt that may begin, until its reservation is replicated or refused."""
        if not request.request_key:
            yield
            return
        attempts = self._admitted.setdefault(request.request_key, set())
        attempts.add(request.attempt_id)
        try:
            yield
        finally:
            attempts.discard(request.attempt_id)
            if not attempts and self._admitted.get(request.request_key) is attempts:
                del self._admitted[request.request_key]

    async def wait_until_allowed(self, request: ReserveTurn) -> TurnRefused | None:
        """Wait for a short time while the fate of engines is unknown; return a refusal.

        Returns ``None`` when the turn may be sent, which the caller must record by ``admitted``
        before it waits for anything else.
        """
        refusal = self._refusal(request)
        if refusal is None:
            return None
        held_at = anyio.current_time()
        while self._is_held(refusal) and anyio.current_time() - held_at < MAX_HOLD_S:
            await anyio.sleep(HOLD_CHECK_INTERVAL_S)
            self._leadership.require_leadership()
            refusal = self._refusal(request)
        _log.info(
            "turn_held_for_engines",
            attempt_id=request.attempt_id,
            request_key=request.request_key,
            held_s=round(anyio.current_time() - held_at, 3),
            is_refused=refusal is not None,
            most=MAX_ENDED_ENGINES,
        )
        return refusal

    @staticmethod
    def _is_held(refusal: TurnRefused | None) -> bool:
        """Whether a turn is worth holding: what is unknown may yet turn out harmless."""
        if refusal is None or refusal.engines_ended is None:
            return False
        return not refusal.engines_ended.is_certain

    def _refusal(self, request: ReserveTurn) -> TurnRefused | None:
        """Return why a turn may not be sent now; ``None`` if it may."""
        if not request.request_key:
            return None
        admitted = self._admitted.get(request.request_key, set())
        known = self._machine.engine_ends.find(request.request_key)
        known = known or EndedUnder(request.request_key, (), 0.0)
        if known.allows(admitted, request.attempt_id):
            return None
        retry_after_s = DOUBT_RETRY_AFTER_S
        if known.is_refused:
            age_s = self._machine.age_s + RETENTION_MARGIN_S
            retry_after_s = max(0.0, known.keep_until_s - age_s)
        ended = EnginesEnded(
            request_key=request.request_key,
            ended=len(known.instances),
            unknown=known.possible_ends - len(known.instances),
            running=len({*known.running, *admitted} - {request.attempt_id}),
            is_certain=known.is_refused,
        )
        return TurnRefused(
            retry_after_s=retry_after_s, waiting=0, busy_share=0.0, engines_ended=ended
        )

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

    @staticmethod
    def _log_fate(fate: AttemptFate) -> None:
        _log.info(
            "attempt_fate_recorded",
            request_key=fate.request_key,
            instance=fate.instance,
            is_alive=fate.is_alive,
        )

    def _wake(self) -> None:
        """Let the waiting nodes look again."""
        self._changed.set()
        self._changed = anyio.Event()
