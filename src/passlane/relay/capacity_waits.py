"""Suspends the requests of one node until they may try the backends of one service again.

Owns one event for each waiting request, and the free slots that were offered to a request and are
not used yet. Relies on ``decisions.order.service_capacity`` for all decisions: which request tries
next, when, and when a wait is abandoned.
"""

from collections.abc import Callable

import anyio

from passlane.decisions.order.capacity_queue import RetryPermit, WaitingCall
from passlane.decisions.order.service_capacity import ServiceCapacity
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class CapacityWaits:
    """The requests of one node that wait for capacity of one service.

    Parameters
    ----------
    queue
        Decides which request tries next.
    draw
        Returns a uniform random number from 0 to 1, for jitter.
    """

    def __init__(self, queue: ServiceCapacity, draw: Callable[[], float]) -> None:
        self.queue = queue
        self._draw = draw
        self._wake_events: dict[WaitingCall, anyio.Event] = {}
        self._offered: dict[WaitingCall, str] = {}

    async def wait(self, call: WaitingCall, slots: int) -> RetryPermit | None:
        """Return when a request may try again; ``None`` when its time has run out.

        Parameters
        ----------
        slots
            Number of slots of one backend.
        """
        began_at = anyio.current_time()
        self.queue.join(call, began_at, self._draw(), slots)
        self._wake_events[call] = anyio.Event()
        if call.refusals == 0:
            self._log_begin(call, began_at)
        permit: RetryPermit | None = None
        try:
            permit = await self._acquire_permit(call)
        finally:
            self._leave_queue(call)
            self._log_end(call, permit, began_at)
        return permit

    def record_answer(self, instance_id: str, route: str, seconds: float) -> None:
        """Record a complete answer; a slot freed at a plain backend is offered at once."""
        now = anyio.current_time()
        self._offer(self.queue.note_answered(instance_id, route, seconds, now), instance_id)

    def retry_after_s(self) -> float:
        """Return the seconds after which a caller that is refused now should retry."""
        return self.queue.retry_after_s(anyio.current_time(), self._draw())

    async def _acquire_permit(self, call: WaitingCall) -> RetryPermit | None:
        while True:
            now = anyio.current_time()
            offered = self._offered.pop(call, None)
            if offered is not None:
                return RetryPermit(offered)
            permit = self.queue.try_acquire_permit(call, now)
            if permit is not None or now >= call.give_up_at:
                return permit
            with anyio.CancelScope(deadline=self.queue.wakes_at(call)):
                await self._wake_events[call].wait()
                self._wake_events[call] = anyio.Event()

    def _leave_queue(self, call: WaitingCall) -> None:
        """Remove a request; offer its unused slot to the next one."""
        self.queue.leave(call)
        del self._wake_events[call]
        unused = self._offered.pop(call, None)
        if unused is not None:
            self._offer(self.queue.offer(anyio.current_time()), unused)
        first = self.queue.first
        if first is not None:
            self._wake_events[first].set()

    def _offer(self, call: WaitingCall | None, instance_id: str) -> None:
        if call is not None:
            self._offered[call] = instance_id
            self._wake_events[call].set()

    def _log_begin(self, call: WaitingCall, now: float) -> None:
        _log.info(
            "room_wait_began",
            request_id=call.request_id,
            priority=call.priority,
            waiting=len(self.queue),
            typical_s=round(self.queue.times.typical_s, 4),
            gives_up_in_s=round(call.give_up_at - now, 3),
        )

    def _log_end(self, call: WaitingCall, permit: RetryPermit | None, began_at: float) -> None:
        _log.info(
            "room_wait_ended",
            request_id=call.request_id,
            # Whether the wait ended with a permit; otherwise its time ran out.
            has_turn=permit is not None,
            offered=permit.offered if permit is not None else None,
            refusals=call.refusals,
            waited_s=round(anyio.current_time() - began_at, 4),
            waiting=len(self.queue),
        )
