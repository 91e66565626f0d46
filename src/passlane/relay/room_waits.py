"""Suspends the requests of one node until they may try the back ends of one service again.

Owns one event for each waiting request, and the free places that were offered to one and not
yet used. Relies on ``decisions.order.service_room`` for all that is decided: who tries next,
when, and when a wait is hopeless.
"""

from collections.abc import Callable

import anyio

from passlane.decisions.order.room_queue import RetryPermit, WaitingCall
from passlane.decisions.order.service_room import ServiceRoom
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class RoomWaits:
    """The requests of one node that wait for room at one service.

    Parameters
    ----------
    room
        Decides which request tries next.
    draw
        Gives a uniform number from 0 to 1; spreads pauses.
    """

    def __init__(self, room: ServiceRoom, draw: Callable[[], float]) -> None:
        self.room = room
        self._draw = draw
        self._woken: dict[WaitingCall, anyio.Event] = {}
        self._offered: dict[WaitingCall, str] = {}

    async def wait(self, call: WaitingCall, slots: int) -> RetryPermit | None:
        """Return when a request may try again; ``None`` when its time has run out.

        Parameters
        ----------
        slots
            Places of one back end.
        """
        began_at = anyio.current_time()
        self.room.join(call, began_at, self._draw(), slots)
        self._woken[call] = anyio.Event()
        if call.refusals == 0:
            self._log_begin(call, began_at)
        permit: RetryPermit | None = None
        try:
            permit = await self._take_permit(call)
        finally:
            self._leave(call)
            self._log_end(call, permit, began_at)
        return permit

    def note_answered(self, instance_id: str, route: str, seconds: float) -> None:
        """Note a whole answer; at a plain back end the first request goes there at once."""
        now = anyio.current_time()
        self._hand_on(self.room.note_answered(instance_id, route, seconds, now), instance_id)

    def retry_after_s(self) -> float:
        """Return the seconds after which a caller that is refused now is to come back."""
        return self.room.come_back_s(anyio.current_time(), self._draw())

    async def _take_permit(self, call: WaitingCall) -> RetryPermit | None:
        while True:
            now = anyio.current_time()
            offered = self._offered.pop(call, None)
            if offered is not None:
                return RetryPermit(offered)
            permit = self.room.take_turn(call, now)
            if permit is not None or now >= call.give_up_at:
                return permit
            with anyio.CancelScope(deadline=self.room.wakes_at(call)):
                await self._woken[call].wait()
                self._woken[call] = anyio.Event()

    def _leave(self, call: WaitingCall) -> None:
        """Forget a request; hand on what it was offered and did not use."""
        self.room.leave(call)
        del self._woken[call]
        unused = self._offered.pop(call, None)
        if unused is not None:
            self._hand_on(self.room.offer(anyio.current_time()), unused)
        first = self.room.first
        if first is not None:
            self._woken[first].set()

    def _hand_on(self, call: WaitingCall | None, instance_id: str) -> None:
        if call is not None:
            self._offered[call] = instance_id
            self._woken[call].set()

    def _log_begin(self, call: WaitingCall, now: float) -> None:
        _log.info(
            "room_wait_began",
            request_id=call.request_id,
            priority=call.priority,
            waiting=len(self.room),
            typical_s=round(self.room.times.typical_s, 4),
            gives_up_in_s=round(call.give_up_at - now, 3),
        )

    def _log_end(self, call: WaitingCall, permit: RetryPermit | None, began_at: float) -> None:
        _log.info(
            "room_wait_ended",
            request_id=call.request_id,
            # Whether the wait ended with leave for one more try; else its time had run out.
            has_turn=permit is not None,
            offered=permit.offered if permit is not None else None,
            refusals=call.refusals,
            waited_s=round(anyio.current_time() - began_at, 4),
            waiting=len(self.room),
        )
