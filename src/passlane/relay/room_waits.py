"""Lets requests wait for their turn at the back ends of one service."""

from collections.abc import Callable

import anyio

from passlane.decisions.order.room_queue import RoomTurn, WaitingCall
from passlane.decisions.order.service_room import ServiceRoom
from passlane.observability.logging import get_logger

_log = get_logger(__name__)


class RoomWaits:
    """The requests of one node that wait for room at one service.

    Parameters
    ----------
    room
        Decides whose turn it is.
    draw
        Gives a uniform number from 0 to 1; spreads pauses.
    """

    def __init__(self, room: ServiceRoom, draw: Callable[[], float]) -> None:
        self.room = room
        self._draw = draw
        self._woken: dict[WaitingCall, anyio.Event] = {}
        self._offered: dict[WaitingCall, str] = {}

    async def wait(self, call: WaitingCall, slots: int) -> RoomTurn | None:
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
        turn: RoomTurn | None = None
        try:
            turn = await self._take_turn(call)
        finally:
            self._leave(call)
            self._log_end(call, turn, began_at)
        return turn

    def note_answered(self, instance_id: str, route: str, seconds: float) -> None:
        """Note a whole answer; at a plain back end the first request goes there at once."""
        now = anyio.current_time()
        self._hand_on(self.room.note_answered(instance_id, route, seconds, now), instance_id)

    def come_back_s(self) -> float:
        """Return the seconds after which a caller that is refused now is to come back."""
        return self.room.come_back_s(anyio.current_time(), self._draw())

    async def _take_turn(self, call: WaitingCall) -> RoomTurn | None:
        while True:
            now = anyio.current_time()
            offered = self._offered.pop(call, None)
            if offered is not None:
                return RoomTurn(offered)
            turn = self.room.take_turn(call, now)
            if turn is not None or now >= call.give_up_at:
                return turn
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

    def _log_end(self, call: WaitingCall, turn: RoomTurn | None, began_at: float) -> None:
        _log.info(
            "room_wait_ended",
            request_id=call.request_id,
            has_turn=turn is not None,
            offered=turn.offered if turn is not None else None,
            refusals=call.refusals,
            waited_s=round(anyio.current_time() - began_at, 4),
            waiting=len(self.room),
        )
