"""Replies to reservations, which contain the history of the turn, on the leader of the store group.

It is for ``TurnService``. It owns the count of large histories under way;
``decisions.limits.turn_histories`` decides. A history is joined only when its reply is sent: a turn
may wait for seconds before. Log line: ``histories_full``.
"""

from collections.abc import Awaitable, Callable

import msgspec

from passlane.decisions.limits.turn_histories import TurnHistories
from passlane.messages.base import Message
from passlane.messages.placement import HistoriesFull, TurnRefused
from passlane.messages.turns import ReserveTurn, TurnReserved
from passlane.observability.logging import get_logger
from passlane.transport.large_replies import LargeReply
from passlane.turns.state.machine import TurnStateMachine

_log = get_logger(__name__)

Reserve = Callable[[ReserveTurn], Awaitable[Message]]


class SentHistories:
    """Adds histories to the answers of reservations.

    Attributes
    ----------
    histories
        The large ones under way.
    """

    def __init__(self, machine: TurnStateMachine) -> None:
        self._machine = machine
        self.histories = TurnHistories()

    async def reply(self, request: ReserveTurn, reserve: Reserve) -> Message | LargeReply:
        """Reserve a turn with ``reserve``; return its answer with the turn's history.

        The output that the caller of a resumed stream has counts as a part of the history. A turn
        whose large history can't be sent soon is refused at once.
        """
        history_bytes = self._machine.history_bytes(request.previous)
        history_bytes += self._machine.outputs.resumed_bytes(request.output, request.attempt_id)
        if not self.histories.is_large(history_bytes):
            return self._with_history(request, await reserve(request))
        full = self.histories.refusal(history_bytes)
        if full is not None:
            return self._refuse(request, full)
        self.histories.begin(history_bytes)
        reply: Message | LargeReply | None = None
        try:
            reply = self._large_reply(request, await reserve(request), history_bytes)
            return reply
        finally:
            if not isinstance(reply, LargeReply):
                self.histories.end(history_bytes)

    def _large_reply(
        self, request: ReserveTurn, answer: Message, history_bytes: int
    ) -> Message | LargeReply:
        if not isinstance(answer, TurnReserved):
            return answer
        return LargeReply(
            history_bytes,
            build=lambda: self._with_history(request, answer),
            ended=lambda: self.histories.end(history_bytes),
        )

    def _with_history(self, request: ReserveTurn, answer: Message) -> Message:
        if request.previous is None or not isinstance(answer, TurnReserved):
            return answer
        return msgspec.structs.replace(answer, history=self._machine.history_of(request.previous))

    def _refuse(self, request: ReserveTurn, full: HistoriesFull) -> TurnRefused:
        retry_after_s = self.histories.retry_after_s()
        _log.info(
            "histories_full",
            request_id=request.attempt_id,
            previous_turn=request.previous,
            history_bytes=full.history_bytes,
            under_way_bytes=full.under_way_bytes,
            max_bytes=full.max_bytes,
            retry_after_s=round(retry_after_s, 3),
        )
        return TurnRefused(
            retry_after_s=retry_after_s, waiting=0, busy_share=0.0, histories_full=full
        )
