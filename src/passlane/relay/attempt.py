"""Sends one request to one backend, and records what the attempt shows of that backend.

Owns only the attempt. ``decisions.failure.answer_verdicts`` judges the answer,
``decisions.failure.resending`` decides what follows a broken attempt, and
``decisions.backends.health`` receives the results.
"""

import math
from collections.abc import Awaitable, Callable

import anyio

from passlane.decisions.admission.answer_room import HeldPart
from passlane.decisions.backends.health import AttemptWatch
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.failure.answer_verdicts import (
    ANSWER_STATUSES,
    Judgement,
    is_client_error,
    is_gone,
    is_server_error,
    judge_answer,
)
from passlane.decisions.failure.resending import (
    RetryDecision,
    decide_after_failure,
    leaves_silent_backend,
)
from passlane.decisions.inputs.answer_head import AnswerHead
from passlane.decisions.placement.request_placement import record_failure, record_success
from passlane.errors import Verdict
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.attempt_log import (
    AttemptLabels,
    log_backend_refusal,
    log_broken_attempt,
    log_untrusted_answer,
)
from passlane.relay.backends import BackendAnswer, BackendRequest
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import BreakReason, RequestEndReason
from passlane.relay.observed_attempts import EndEvidence, UnknownFate
from passlane.relay.request_errors import RequestFailedError
from passlane.runtime.interfaces import HttpConnectionError

Deliver = Callable[[BackendAnswer, AttemptWatch], Awaitable[None]]
"""Forwards an answer; raises ``HttpConnectionError`` when the answer breaks off."""


class AttemptSender:
    """Makes the attempts of one request.

    Parameters
    ----------
    body
        The body for backends: the history of the turn, followed by the call's own body.
    """

    def __init__(self, context: RequestContext, body: bytes, history: AttemptHistory) -> None:
        self._context = context
        self._body = body
        self._history = history
        self._engine_ends = context.engine_ends

    async def send(
        self, load: BackendLoad, stalled_after_s: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one backend; return whether its answer was delivered.

        Raises
        ------
        RequestFailedError
            When it may have run there and must not be sent again.
        """
        started_at = anyio.current_time()
        load.in_flight += 1
        watch = load.health.watch(started_at)
        verdict_before = self._history.verdict
        self._history.record_attempt(load.record.incarnation, started_at)
        broken: HttpConnectionError | None = None
        is_ended = False
        response_deadline_at = self._response_deadline_at(started_at + stalled_after_s)
        try:
            with anyio.CancelScope(deadline=response_deadline_at) as response_wait:
                request = self._request(limit_at)
                async with self._context.backends.exchange(load.record, request) as answer:
                    response_wait.deadline = math.inf
                    watch.progressed(anyio.current_time())
                    is_delivered = await self._handle_answer(answer, load, deliver, watch)
                    is_ended = True
                    if is_delivered:
                        return True
                    # The refusal is proof even if the rest of it is not received.
                    self._history.verdict = verdict_before
            if response_wait.cancelled_caught:
                raise HttpConnectionError(BreakReason.NO_ANSWER.value, bytes_left=True)
        except HttpConnectionError as error:
            watch.failed(anyio.current_time())
            broken = error
        finally:
            watch.dropped(anyio.current_time(), stalled_after_s)
            if not is_ended and broken is None:
                self._observe(load, UnknownFate.LEFT)
            load.in_flight -= 1
        if broken is not None:
            await self._handle_broken(broken, load, verdict_before)
        return False

    def _observe(self, load: BackendLoad, cause: UnknownFate) -> None:
        self._engine_ends.observe_ended(self._context.attempt_at(load.record), cause)

    def _response_deadline_at(self, stalled_at: float) -> float:
        """Return when to switch from an unresponsive backend to another, if that is allowed."""
        may_switch = leaves_silent_backend(self._context.route, self._history.runs)
        return stalled_at if may_switch else math.inf

    def _request(self, limit_at: float) -> BackendRequest:
        return BackendRequest(
            call=self._context.call,
            body=self._body,
            remaining_s=max(0.0, limit_at - anyio.current_time()),
            engine_priority=self._context.engine_priority,
            last_event_id=self._history.last_event_id,
            tenant_name=self._context.identity.tenant_name,
            held=HeldPart(self._context.answers),
        )

    async def _handle_answer(
        self, answer: BackendAnswer, load: BackendLoad, deliver: Deliver, watch: AttemptWatch
    ) -> bool:
        """Deliver an answer or record a refusal; return whether it was delivered."""
        if _shows_life(answer.head):
            self._engine_ends.record_answer(load.record.incarnation, self._history.sent_at)
        judgement = judge_answer(answer.head)
        if judgement is Judgement.NOT_RUN:
            self._record_refused(answer, load)
            return False
        if judgement is Judgement.UNTRUSTED:
            log_untrusted_answer(answer, load, self._attempt_labels())
            raise HttpConnectionError(BreakReason.NOT_AN_ANSWER.value, bytes_left=True)
        self._history.record_answer_started(load.record, anyio.current_time())
        self._context.quota.record_run(self._history.sent_at)
        await deliver(answer, watch)
        if is_client_error(answer.head):
            self._history.record_rejected()
        if is_server_error(answer.head):
            self._observe(load, UnknownFate.ERROR_ANSWER)
        record_success(load)
        return True

    def _record_refused(self, answer: BackendAnswer, load: BackendLoad) -> None:
        log_backend_refusal(answer, load, self._attempt_labels())
        self._history.record_refused(load.record.incarnation)
        if is_gone(answer.head):
            self._context.registry.remove(load.record.incarnation)
            self._engine_ends.record_gone(load.record.incarnation, EndEvidence.OTHER_INSTANCE)

    def _attempt_labels(self) -> AttemptLabels:
        """Return the labels of the current attempt."""
        return AttemptLabels(
            request_id=self._context.call.request_id,
            service=self._context.service.name,
            attempt=len(self._history.tried),
        )

    async def _handle_broken(
        self, error: HttpConnectionError, load: BackendLoad, verdict_before: Verdict
    ) -> None:
        """Record a broken attempt, and whether its engine is gone.

        Raises
        ------
        RequestFailedError
            When the request must not be sent again.
        """
        # Attempts that were not sent need no key, and there may be many.
        key = self._context.request_key if error.bytes_left else ""
        next_step = self._record_broken(error, load, verdict_before, key)
        if error.is_refused:
            self._engine_ends.record_gone(load.record.incarnation, EndEvidence.REFUSED_CONNECTION)
        if next_step is RetryDecision.NOT_SENT:
            return
        if str(error) == BreakReason.NO_ANSWER.value:
            self._observe(load, UnknownFate.SILENT)
        else:
            await self._engine_ends.observe_broken(self._context.attempt_at(load.record))
        if next_step is RetryDecision.FAIL:
            raise RequestFailedError(RequestEndReason.ATTEMPT_BROKEN, str(error)) from error

    def _record_broken(
        self, error: HttpConnectionError, load: BackendLoad, verdict_before: Verdict, key: str
    ) -> RetryDecision:
        """Record a broken attempt; return what follows it."""
        record_failure(load, anyio.current_time())
        self._history.record_broken(load.record.incarnation)
        next_step = decide_after_failure(
            self._context.route,
            self._history.runs,
            bytes_left=error.bytes_left,
            is_answer_final=self._history.is_answer_final,
        )
        log_broken_attempt(error, next_step, load, self._attempt_labels(), key)
        if next_step is RetryDecision.NOT_SENT:
            self._history.verdict = verdict_before
        else:
            self._history.runs += 1
            self._context.quota.record_run(self._history.sent_at)
        return next_step


def _shows_life(head: AnswerHead) -> bool:
    """Return whether an answer was made by the engine that the request was sent to."""
    if head.status not in ANSWER_STATUSES:
        return False
    return not is_gone(head) and (head.is_authentic or head.refusal is not None)
