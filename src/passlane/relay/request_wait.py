"""Lets one request wait for backend capacity while there is still time for an answer.

Owns the request's entry among the waiting requests. Relies on ``relay.capacity_waits`` for the wait
itself; ``decisions.order.capacity_queue`` decides which request tries next,
``decisions.order.service_capacity`` and ``decisions.failure.client_timeout`` when a wait ends.
"""

import anyio

from passlane.decisions.backends.registry import ServiceHealth
from passlane.decisions.failure.client_timeout import abandon_at
from passlane.decisions.order.capacity_queue import RetryPermit, WaitingCall
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
        Seconds that it has waited for capacity.
    """

    def __init__(self, context: RequestContext, history: AttemptHistory) -> None:
        self._context = context
        self._history = history
        self._waits = context.waits
        self._waiting: WaitingCall | None = None
        self.waited_s = 0.0

    @property
    def has_waited(self) -> bool:
        """Whether the request has started to wait, so that each further attempt needs a permit."""
        return self._waiting is not None

    async def wait_for_permit(self, health: ServiceHealth, limit_at: float) -> RetryPermit:
        """Wait until the request may try again.

        Raises
        ------
        RequestRefusedError, RequestFailedError
            When its remaining time is too short for an answer.
        """
        now = anyio.current_time()
        if self._waiting is None:
            self._waiting = self._create_waiting_call(health, limit_at, now)
        slots = max((load.record.slots for load in health.loads), default=1)
        permit = await self._waits.wait(self._waiting, slots)
        self.waited_s += anyio.current_time() - now
        if permit is not None:
            return permit
        self.record_end(anyio.current_time())
        if self._history.verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_BACK_END)
        retry_after_s = self._waits.retry_after_s()
        raise RequestRefusedError(Refusal.of(RequestEndReason.NO_BACK_END, retry_after_s))

    def record_end(self, now: float) -> None:
        """Record that the wait has ended, with or without an answer."""
        if self._waiting is not None:
            self._waits.queue.note_wait_ended(self._waiting, now)

    def record_refused(self) -> None:
        """Record an attempt that found no capacity; the backoff grows with each."""
        if self._waiting is not None:
            self._waiting.refusals += 1

    def record_lost_attempt(self) -> None:
        """Record a broken attempt; the request is sent to another backend without waiting first."""
        self._waiting = None

    def _create_waiting_call(
        self, health: ServiceHealth, limit_at: float, now: float
    ) -> WaitingCall:
        context = self._context
        return WaitingCall(
            request_id=context.call.request_id,
            priority=context.identity.queue_rank_on(context.route),
            arrived_at=context.call.arrived_at,
            give_up_at=self._abandon_at(health, limit_at, now),
            joined_at=now,
        )

    def _abandon_at(self, health: ServiceHealth, limit_at: float, now: float) -> float:
        route = self._context.route
        has_forwarded = self._history.has_forwarded_events
        return abandon_at(
            route,
            whole_by=self._waits.queue.gives_up_at(route.name, limit_at),
            silent_since=now if has_forwarded else self._context.call.arrived_at,
            limit_at=limit_at,
            typical_s=health.typical_s,
        )
