"""Lets one request wait for room at its back ends, and tells when that is hopeless.

Owns the request's place among those that wait. Relies on ``relay.room_waits`` for the wait
itself; ``decisions.order.room_queue`` decides who tries next, ``decisions.order.service_room`` and
``decisions.failure.client_timeout`` when a wait is hopeless.
"""

import anyio

from passlane.decisions.backends.registry import ServiceJudgement
from passlane.decisions.failure.client_timeout import hopeless_at
from passlane.decisions.order.room_queue import RetryPermit, WaitingCall
from passlane.errors import Verdict
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestFailedError, RequestRefusedError


class RequestWait:
    """The waits of one request.

    Attributes
    ----------
    waited_s
        Seconds that it has waited for room.
    """

    def __init__(self, context: RequestContext, history: AttemptHistory) -> None:
        self._context = context
        self._history = history
        self._waits = context.waits
        self._waiting: WaitingCall | None = None
        self.waited_s = 0.0

    @property
    def is_begun(self) -> bool:
        """Whether it has begun to wait, so that it needs leave for each try."""
        return self._waiting is not None

    async def for_permit(self, judgement: ServiceJudgement, limit_at: float) -> RetryPermit:
        """Wait until the request may try again.

        Raises
        ------
        RequestRefusedError, RequestFailedError
            When what is left of its time is too little for an answer.
        """
        now = anyio.current_time()
        if self._waiting is None:
            self._waiting = self._begin(judgement, limit_at, now)
        slots = max((load.record.slots for load in judgement.loads), default=1)
        permit = await self._waits.wait(self._waiting, slots)
        self.waited_s += anyio.current_time() - now
        if permit is not None:
            return permit
        self.note_ended(anyio.current_time())
        if self._history.verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_BACK_END)
        retry_after_s = self._waits.retry_after_s()
        raise RequestRefusedError(Refusal.of(RequestEndReason.NO_BACK_END, retry_after_s))

    def note_ended(self, now: float) -> None:
        """Note that the wait has ended, with an answer or without."""
        if self._waiting is not None:
            self._waits.room.note_wait_ended(self._waiting, now)

    def note_refused(self) -> None:
        """Note that a try found no room; pauses grow with each."""
        if self._waiting is not None:
            self._waiting.refusals += 1

    def note_lost(self) -> None:
        """Note a broken attempt; the request is sent elsewhere without another wait."""
        self._waiting = None

    def _begin(self, judgement: ServiceJudgement, limit_at: float, now: float) -> WaitingCall:
        context = self._context
        return WaitingCall(
            request_id=context.call.request_id,
            priority=context.identity.urgency_on(context.route),
            arrived_at=context.call.arrived_at,
            give_up_at=self._gives_up_at(judgement, limit_at, now),
            joined_at=now,
        )

    def _gives_up_at(self, judgement: ServiceJudgement, limit_at: float, now: float) -> float:
        route = self._context.route
        has_begun = self._history.has_passed_on_events
        return hopeless_at(
            route,
            whole_by=self._waits.room.gives_up_at(route.name, limit_at),
            silent_since=now if has_begun else self._context.call.arrived_at,
            limit_at=limit_at,
            typical_s=judgement.typical_s,
        )
