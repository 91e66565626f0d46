"""Sends one request to one back end, and notes what that shows of it.

Owns nothing beyond the attempt. ``decisions.failure.answer_verdicts`` judges the answer, and
``decisions.failure.resending`` what follows a break; ``decisions.backends.health`` learns from
both.
"""

import math
from collections.abc import Awaitable, Callable

import anyio

from passlane.decisions.backends.health import AttemptWatch
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.failure.answer_verdicts import (
    Judgement,
    is_client_error,
    is_gone,
    judge_answer,
)
from passlane.decisions.failure.resending import AfterBreak, after_break, leaves_silent_backend
from passlane.decisions.placement.request_placement import note_failure, note_success
from passlane.errors import Verdict
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.attempt_log import AttemptStamp, log_backend_refusal, log_untrusted_answer
from passlane.relay.backends import BackendAnswer, BackendRequest
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import BreakReason, RequestEndReason
from passlane.relay.request_errors import RequestFailedError
from passlane.runtime.interfaces import HttpConnectionError

Deliver = Callable[[BackendAnswer, AttemptWatch], Awaitable[None]]
"""Passes an answer on; raises ``HttpConnectionError`` when the answer breaks off."""


class AttemptSender:
    """Sends one request, once for each attempt.

    Parameters
    ----------
    body
        What back ends are to get: the call's own body, behind the history of its turn.
    """

    def __init__(self, context: RequestContext, body: bytes, history: AttemptHistory) -> None:
        self._context = context
        self._body = body
        self._history = history

    async def send(
        self, load: BackendLoad, stalled_after_s: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one back end; return whether its answer was delivered.

        Raises
        ------
        RequestFailedError
            When it may have run there and must not be sent again.
        """
        started_at = anyio.current_time()
        load.in_flight += 1
        watch = load.health.watch(started_at)
        verdict_before = self._history.verdict
        self._history.begin(load.record.incarnation, started_at)
        silence_ends_at = self._silence_ends_at(started_at + stalled_after_s)
        try:
            with anyio.CancelScope(deadline=silence_ends_at) as silence:
                request = self._request(limit_at)
                async with self._context.backends.exchange(load.record, request) as answer:
                    silence.deadline = math.inf
                    watch.progressed(anyio.current_time())
                    if await self._take(answer, load, deliver, watch):
                        return True
                    # The proof holds, whatever becomes of the rest of the refusal.
                    self._history.verdict = verdict_before
            if silence.cancelled_caught:
                raise HttpConnectionError(BreakReason.NO_ANSWER.value, bytes_left=True)
        except HttpConnectionError as error:
            watch.failed(anyio.current_time())
            self._note_broken(error, load, verdict_before)
        finally:
            watch.dropped(anyio.current_time(), stalled_after_s)
            load.in_flight -= 1
        return False

    def _silence_ends_at(self, stalled_at: float) -> float:
        """Return when to turn from a silent back end to another one, if that is allowed."""
        leaves = leaves_silent_backend(self._context.route, self._history.runs)
        return stalled_at if leaves else math.inf

    def _request(self, limit_at: float) -> BackendRequest:
        return BackendRequest(
            call=self._context.call,
            body=self._body,
            remaining_s=max(0.0, limit_at - anyio.current_time()),
            engine_priority=self._context.engine_priority,
            last_event_id=self._history.last_event_id,
            tenant_name=self._context.identity.tenant_name,
        )

    async def _take(
        self, answer: BackendAnswer, load: BackendLoad, deliver: Deliver, watch: AttemptWatch
    ) -> bool:
        """Deliver an answer, or note a refusal; return whether it was delivered."""
        judgement = judge_answer(answer.head)
        if judgement is Judgement.NOT_RUN:
            self._note_refused(answer, load)
            return False
        if judgement is Judgement.UNTRUSTED:
            log_untrusted_answer(answer, load, self._stamp())
            raise HttpConnectionError(BreakReason.NOT_AN_ANSWER.value, bytes_left=True)
        self._history.note_answering(load.record.incarnation, anyio.current_time())
        await deliver(answer, watch)
        if is_client_error(answer.head):
            self._history.note_rejected()
        note_success(load)
        return True

    def _note_refused(self, answer: BackendAnswer, load: BackendLoad) -> None:
        log_backend_refusal(answer, load, self._stamp())
        self._history.note_refused(load.record.incarnation)
        if is_gone(answer.head):
            self._context.registry.remove(load.record.incarnation)

    def _stamp(self) -> AttemptStamp:
        """Return what names the attempt that is under way."""
        return AttemptStamp(
            request_id=self._context.call.request_id,
            service=self._context.service.name,
            attempt=len(self._history.tried),
        )

    def _note_broken(
        self, error: HttpConnectionError, load: BackendLoad, verdict_before: Verdict
    ) -> None:
        """Note a failed attempt; raise if the request must not be sent again."""
        note_failure(load, anyio.current_time())
        self._history.note_broken(load.record.incarnation)
        follows = after_break(
            self._context.route,
            self._history.runs,
            bytes_left=error.bytes_left,
            is_answer_final=self._history.is_answer_final,
        )
        if follows is AfterBreak.NOT_SENT:
            self._history.verdict = verdict_before
            return
        self._history.runs += 1
        if follows is AfterBreak.FAIL:
            raise RequestFailedError(RequestEndReason.BROKE_OFF, str(error)) from error
