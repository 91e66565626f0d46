"""Events that nodes forward of turns that are to be stored, on the leader of the store group.

It is for ``TurnService``. It owns no events: reports are replicated before they are answered, and
are part of ``turns.state``. It refuses turns that resume a stream whose earlier events are not
known, before anything is reserved. Log lines: ``turn_output_unknown``,
``forwarded_events_dropped``.
"""

from collections.abc import Sequence

from passlane.messages.placement import TurnRefused
from passlane.messages.turn_outputs import ForwardedEvents
from passlane.messages.turns import AdvanceAge, ReserveTurn
from passlane.observability.logging import get_logger
from passlane.turns.leadership import Leadership
from passlane.turns.state.machine import TurnStateMachine

_log = get_logger(__name__)


class ReportedOutputs:
    """Replicates reported events, and finds out whether a resumed turn could be stored.

    Parameters
    ----------
    max_bytes
        Bound on the bytes of stored turns and events; ``None`` for none.
    """

    def __init__(
        self, machine: TurnStateMachine, leadership: Leadership, max_bytes: int | None
    ) -> None:
        self._machine = machine
        self._leadership = leadership
        self._max_bytes = max_bytes

    async def record(self, reports: Sequence[ForwardedEvents]) -> None:
        """Record reported events; return once they are replicated.

        Events beyond the bound are dropped: their streams can't be resumed.

        Raises
        ------
        PasslaneError
            When they are not known to be replicated.
        """
        if not reports:
            return
        if self._is_full:
            self._log_dropped(reports)
            return
        await self._leadership.propose(AdvanceAge(seconds=0.0, forwarded_events=tuple(reports)))

    def refusal(self, request: ReserveTurn) -> TurnRefused | None:
        """Return the refusal of a turn that resumes an unknown output; ``None`` for others."""
        if request.output is None or not request.output.is_resumed:
            return None
        unknown = self._machine.outputs.unknown(request.output, request.attempt_id)
        if unknown is None:
            return None
        _log.info(
            "turn_output_unknown",
            request_id=request.attempt_id,
            request_key=request.output.request_key,
            resumes=request.output.stream_id,
            last_event_id=unknown.last_event_id,
            known_events=unknown.known_events,
        )
        return TurnRefused(retry_after_s=0.0, waiting=0, busy_share=0.0, output_unknown=unknown)

    @property
    def _is_full(self) -> bool:
        size = self._machine.size
        stored_bytes = size.turn_bytes + size.output_bytes
        return self._max_bytes is not None and stored_bytes >= self._max_bytes

    def _log_dropped(self, reports: Sequence[ForwardedEvents]) -> None:
        size = self._machine.size
        _log.warning(
            "forwarded_events_dropped",
            reports=len(reports),
            first=reports[0].attempt_id,
            turn_bytes=size.turn_bytes,
            output_bytes=size.output_bytes,
            max_bytes=self._max_bytes,
        )
