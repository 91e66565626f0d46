"""Forwards the answer of one request to its caller, and first makes a completed turn durable.

Owns the state of the caller's stream over several attempts. Relies on ``relay.delivery`` to write
and on ``relay.turn_account`` to settle the turn in the store group.
"""

from collections.abc import Sequence
from contextlib import AbstractContextManager, nullcontext

import anyio

from passlane.decisions.admission.answer_room import HeldPart
from passlane.decisions.backends.health import AttemptWatch
from passlane.errors import PasslaneError
from passlane.event_streams.whole_events import StreamEvent
from passlane.messages.number_bounds import bounded
from passlane.messages.routes import RouteKind
from passlane.messages.turn_outputs import ForwardedEvent, ForwardedEvents
from passlane.observability.logging import get_logger
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.backends import AnswerWriter, BackendAnswer
from passlane.relay.context import RequestContext
from passlane.relay.delivery import BufferedDelivery, StreamDelivery
from passlane.relay.end_reasons import BreakReason, RequestEnd, RequestEndReason
from passlane.relay.progress import RequestProgress
from passlane.relay.request_errors import AnswerAbortedError
from passlane.relay.turn_account import TurnAccount, TurnSpending
from passlane.runtime.interfaces import HttpConnectionError

FIRST_FAILURE_STATUS = 300
"""From this status on, an answer on a stream route is not an event stream."""
TURN_SETTLE_TIMEOUT_S = 3.0
"""Seconds that the end of a stream waits for the store group."""

_log = get_logger(__name__)


class AnswerDelivery:
    """Delivers the answers of one request's attempts.

    Parameters
    ----------
    account
        The turn's account in the store group; ``None`` for requests without one.
    """

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        account: TurnAccount | None,
        history: AttemptHistory,
        progress: RequestProgress,
    ) -> None:
        self._context = context
        self._writer = writer
        self._account = account
        self._history = history
        self._progress = progress
        self._held = HeldPart(context.answers)
        self._stream: StreamDelivery | None = None
        self._events_before_run = 0
        self.max_output_bytes: int | None = None

    @property
    def events(self) -> int:
        """Events of a stream that were written to the caller."""
        return self._stream.events if self._stream is not None else 0

    @property
    def tokens(self) -> int:
        """Tokens of these events; 0 for services without a token count."""
        return bounded(self.events * self._context.service.tokens_per_event)

    @property
    def is_whole(self) -> bool:
        """Whether a stream is complete."""
        return self._stream is not None and self._stream.is_whole

    @property
    def spending(self) -> TurnSpending:
        """Token counts of the runs so far."""
        return TurnSpending(
            possible_runs=self._history.possible_runs,
            passed_on_tokens=self.tokens,
            whole_run_tokens=self._completed_run_tokens(),
            served_by=self._history.served_by,
        )

    def _completed_run_tokens(self) -> int | None:
        """Return the tokens of the last run; ``None`` if it is incomplete or not counted."""
        tokens_per_event = self._context.service.tokens_per_event
        if not self.is_whole or not tokens_per_event:
            return None
        return bounded((self.events - self._events_before_run) * tokens_per_event)

    async def deliver(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        """Forward an answer.

        Raises
        ------
        HttpConnectionError
            When the answer breaks off.
        AnswerAbortedError
            When the answer is complete, but its turn is not durable.
        """
        self._progress.framing = answer.head.framing.value
        self._progress.first_part_s = anyio.current_time() - self._context.call.arrived_at
        is_event_stream = answer.head.status < FIRST_FAILURE_STATUS or self._stream is not None
        try:
            if self._context.route.kind is not RouteKind.STREAM or not is_event_stream:
                await self._deliver_buffered(answer, watch)
            else:
                await self._deliver_stream(answer, watch)
        except HttpConnectionError as error:
            if str(error) == BreakReason.NO_ROOM.value:
                self._log_without_room(str(error))
            raise

    def _record_stream_began(self) -> None:
        """Bind the stream to its engine's version, before the caller receives any of it."""
        self._history.record_stream_began(self._context.call.request_id)
        if self._context.route.is_resumable and self._history.origin is not None:
            self._context.streams.record(self._history.origin)

    def _announced(self) -> AbstractContextManager[None]:
        """Return a context in which the version of a stream that may be resumed stays announced."""
        route, origin = self._context.route, self._history.origin
        if not route.is_resumable or origin is None:
            return nullcontext()
        return self._context.versions.under_way(route, origin)

    @property
    def _reports_events(self) -> bool:
        """Whether a stream may be resumed whose turn is stored with all its events."""
        return self._account is not None and self._account.output_request is not None

    def _report_events(self, first_index: int, events: Sequence[StreamEvent]) -> None:
        """Report events that the caller is about to receive."""
        assert self._account is not None and self._account.output_request is not None
        forwarded = ForwardedEvents(
            request_key=self._account.output_request.request_key,
            attempt_id=self._context.call.request_id,
            first_index=first_index,
            events=tuple(ForwardedEvent(event.event_id, event.data) for event in events),
        )
        self._context.outputs.record(forwarded)

    async def _deliver_stream(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        if self._stream is None:
            self._stream = StreamDelivery(
                self._writer,
                self._before_end,
                self._held,
                max_output_bytes=self.max_output_bytes,
                is_resumed=self._context.call.last_event_id is not None,
                on_events=self._report_events if self._reports_events else None,
            )
            self._record_stream_began()
        self._events_before_run = self._stream.events
        try:
            with self._announced():
                await self._stream.deliver(answer, watch)
        except AnswerAbortedError as error:
            self._record_aborted(error, self._stream)
            raise
        finally:
            self._progress.unfinished_bytes = self._stream.unfinished_bytes
            if self._stream.last_event_id is not None:
                self._history.last_event_id = self._stream.last_event_id

    def release(self) -> None:
        """Hold nothing of the answer any more, because the request has ended."""
        self._held.release()

    def _log_without_room(self, reason: str) -> None:
        room = self._context.answers
        _log.warning(
            "answer_without_room",
            request_id=self._context.call.request_id,
            reason=reason,
            held_bytes=room.held_bytes,
            max_bytes=room.max_bytes,
        )

    def _record_aborted(self, error: AnswerAbortedError, stream: StreamDelivery) -> None:
        self._progress.end = error.end
        if error.code is RequestEndReason.ANSWERS_FULL:
            self._log_without_room(error.end.text)
        if error.code is RequestEndReason.TURN_OUTGREW_BOUND:
            _log.warning(
                "turn_outgrew_its_bound",
                request_id=self._context.call.request_id,
                output_bytes=len(stream.output),
                max_output_bytes=self.max_output_bytes,
            )

    async def _deliver_buffered(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        try:
            await BufferedDelivery(self._writer, self._held).deliver(answer, watch)
        finally:
            self._history.is_answer_final = self._writer.has_started

    async def _before_end(self, stream: StreamDelivery) -> None:
        """Make a completed turn durable before the caller receives the end of the stream."""
        if self._account is None:
            return
        self._account.outcome = self._history.outcome(is_whole=self.is_whole, events=self.events)
        output = bytes(stream.output)
        try:
            await self._account.settle_completed(self.spending, output, TURN_SETTLE_TIMEOUT_S)
        except PasslaneError as error:
            end = RequestEnd(RequestEndReason.TURN_NOT_DURABLE, error.code.value)
            raise AnswerAbortedError(end) from error
