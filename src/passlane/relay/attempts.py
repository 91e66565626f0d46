"""Sends one request to back ends until one answers: choose, send, wait for room, send again.

Owns the order of these steps. Each is decided elsewhere: the choice in ``relay.backend_choice``,
the wait in ``relay.request_wait``, one attempt and whether another may follow in
``relay.attempt``.
"""

from collections.abc import Awaitable, Callable

import anyio

from passlane.decisions.backends.health import stall_limit_s
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.order.room_queue import RetryPermit
from passlane.relay.attempt import AttemptSender, Deliver
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.backend_choice import ChoiceMoment, backend_choice, judge_backends
from passlane.relay.context import RequestContext
from passlane.relay.request_wait import RequestWait

AdmitRun = Callable[[float], Awaitable[None]]
"""Admits another run within a time limit; raises ``RequestFailedError`` when there is none."""


class RequestAttempts:
    """Sends one request to back ends until one answers.

    Parameters
    ----------
    body
        What back ends are to get: the call's own body, behind the history of its turn.
    history
        What became of the attempts; told as they go.
    admit_another_run
        Called before the request is sent again after a run that broke off.
    used_last
        The instance that the request's program used last; empty if unknown.
    assigned
        The instance at which the request has a place; empty if it has none.
    """

    def __init__(
        self,
        context: RequestContext,
        body: bytes,
        history: AttemptHistory,
        admit_another_run: AdmitRun,
        used_last: str = "",
        assigned: str = "",
    ) -> None:
        self._context = context
        self._history = history
        self._admit_another_run = admit_another_run
        self._choice = backend_choice(context, history, used_last=used_last, assigned=assigned)
        self._sender = AttemptSender(context, body, history)
        self._wait = RequestWait(context, history)

    @property
    def room_wait_s(self) -> float:
        """Seconds that it has waited for room."""
        return self._wait.waited_s

    async def run(self, limit_at: float, deliver: Deliver) -> None:
        """Send the request until an answer was delivered.

        Raises
        ------
        RequestRefusedError
            When no back end took the request.
        RequestFailedError
            When it may have run and cannot be sent again.
        """
        permit: RetryPermit | None = None
        while True:
            now = anyio.current_time()
            judgement = judge_backends(self._context, now)
            load = self._choose(ChoiceMoment(judgement, permit, limit_at, now))
            if load is None:
                permit = await self._wait.for_permit(judgement, limit_at)
                continue
            permit = None
            runs_before = self._history.runs
            if await self._send(load, stall_limit_s(judgement.typical_s), limit_at, deliver):
                return
            if self._history.runs > runs_before:
                await self._admit_another_run(limit_at)

    def _choose(self, moment: ChoiceMoment) -> BackendLoad | None:
        """Choose the back end for the next attempt; ``None`` to wait for room.

        A request that waits is sent to one back end for each leave to try.
        """
        if moment.permit is None and self._wait.is_begun:
            return None
        load = self._choice.choose(moment)
        if load is None and moment.permit is not None:
            self._wait.note_refused()
        return load

    async def _send(
        self, load: BackendLoad, stalled_after_s: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one back end, and note what that shows of its room."""
        instance_id = load.record.incarnation
        avoided_before = load.avoid_until
        started_at = anyio.current_time()
        is_delivered = False
        try:
            is_delivered = await self._sender.send(load, stalled_after_s, limit_at, deliver)
        finally:
            now = anyio.current_time()
            # The mark is the back end's: another request's failure there counts as well.
            is_broken = load.avoid_until > avoided_before
            if is_broken:
                self._note_lost(instance_id, now)
        if is_delivered:
            self._wait.note_ended(now)
            waits, route = self._context.waits, self._context.route
            waits.note_answered(instance_id, route.name, now - started_at)
        elif not is_broken:
            self._note_refused(instance_id, now)
        return is_delivered

    def _note_lost(self, instance_id: str, now: float) -> None:
        self._wait.note_lost()
        plain = self._context.waits.room.plain
        if plain is not None:
            plain.note_broken(instance_id, now)

    def _note_refused(self, instance_id: str, now: float) -> None:
        self._wait.note_refused()
        plain = self._context.waits.room.plain
        if plain is not None:
            plain.note_refused(instance_id, now)
