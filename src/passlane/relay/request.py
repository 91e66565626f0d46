"""Serves one request whose route is known: admission, attempts, delivery, final answer.

Owns the request's deadline and its end. ``relay.request_admission`` counts the request or reserves
its turn, ``relay.attempts`` finds a backend, ``relay.answer_delivery`` forwards the answer.
"""

import anyio

from passlane.decisions.failure.answer_verdicts import UNAVAILABLE, status_without_answer
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.decisions.limits.turn_storage import max_output_bytes
from passlane.errors import Verdict
from passlane.messages.turns import TurnReserved
from passlane.relay.answer_delivery import AnswerDelivery
from passlane.relay.attempt_history import AttemptHistory
from passlane.relay.attempts import RequestAttempts
from passlane.relay.backends import AnswerWriter
from passlane.relay.context import RequestContext
from passlane.relay.end_reasons import RequestEnd, RequestEndReason
from passlane.relay.local_responses import LocalResponses
from passlane.relay.progress import RequestProgress
from passlane.relay.request_admission import RequestAdmission
from passlane.relay.request_errors import Refusal, RequestFailedError, RequestRefusedError
from passlane.relay.rerun_admission import RerunAdmission
from passlane.relay.turn_account import TurnAccount


class RequestRelay:
    """Serves one request.

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
        progress: RequestProgress,
    ) -> None:
        self._context = context
        self._writer = writer
        self._account = account
        self._progress = progress
        self._local_responses = LocalResponses(writer, progress)
        self._history = AttemptHistory(context.call.last_event_id, context.origin)
        self._delivery = AnswerDelivery(context, writer, account, self._history, progress)
        self._attempts: RequestAttempts | None = None

    async def run(self) -> None:
        """Serve the request until it is answered or its deadline passes.

        Raises
        ------
        AnswerAbortedError
            When the answer had begun and cannot be completed.
        """
        call = self._context.call
        limit_at = min(call.deadline_at, call.arrived_at + self._context.route.timeout_s)
        try:
            with anyio.CancelScope(deadline=limit_at) as scope:
                await self._run_within(limit_at)
            if scope.cancelled_caught:
                await self._answer_failure(
                    RequestEnd(RequestEndReason.OUT_OF_TIME), is_overdue=True
                )
        except anyio.get_cancelled_exc_class():
            await self._refuse_if_stopped()
            raise
        finally:
            self._record_progress()
            self._settle()
            self._delivery.release()
            # They refer to this object in turn, and would hold the prompt until a collection.
            self._attempts = None

    async def _run_within(self, limit_at: float) -> None:
        try:
            await self._admit_and_attempt(limit_at)
        except RequestRefusedError as error:
            await self._local_responses.refuse(error.refusal, self._history.verdict)
        except RequestFailedError as error:
            await self._answer_failure(error.end, is_overdue=False)

    async def _admit_and_attempt(self, limit_at: float) -> None:
        admission = RequestAdmission(self._context, self._account, self._progress)
        reserved = await admission.admit(limit_at)
        admission.take_history(reserved)
        history_bytes = reserved.fetched_bytes
        attempts = self._attempts = self._build_attempts(reserved)
        # The prompt of the attempts has a copy of the history.
        del reserved
        try:
            await attempts.run(limit_at, self._delivery.deliver)
        finally:
            self._context.histories.give_back(history_bytes)

    def _build_attempts(self, reserved: TurnReserved) -> RequestAttempts:
        body = reserved.history + self._context.call.body
        if self._context.route.keeps_turns:
            output_before = self._account.output_before if self._account is not None else b""
            self._delivery.max_output_bytes = max_output_bytes(len(body) + len(output_before))
        rerun_admission = RerunAdmission(
            self._context, self._account, lambda: self._delivery.tokens
        )
        return RequestAttempts(
            self._context,
            body,
            self._history,
            rerun_admission.admit,
            reserved.used_last,
            reserved.engine,
        )

    async def _answer_failure(self, end: RequestEnd, *, is_overdue: bool) -> None:
        """Send the final answer of a request that has none from a backend."""
        status = status_without_answer(self._history.verdict, is_late=is_overdue)
        retry_after_s = self._retry_after_s() if status == UNAVAILABLE else None
        refusal = Refusal(end, status, retry_after_s)
        await self._local_responses.refuse(refusal, self._history.verdict)

    def _retry_after_s(self) -> float:
        """Return the seconds after which the caller of a request that did not run should retry."""
        if self._attempts is None:
            return retry_after_outage_s(self._context.quota.store_outage_s)
        return self._context.waits.retry_after_s()

    async def _refuse_if_stopped(self) -> None:
        """When the node stops, refuse a request that did not run and will not be sent.

        Without an answer, the HTTP server would send a status that does not rule out that it ran.
        """
        is_answered = self._writer.has_started or self._writer.is_abandoned
        if is_answered or self._history.verdict is not Verdict.NOT_RUN:
            return
        with anyio.CancelScope(shield=True):
            refusal = Refusal.of(RequestEndReason.STOPPED, self._retry_after_s())
            await self._local_responses.refuse(refusal, self._history.verdict)

    def _record_progress(self) -> None:
        self._progress.verdict = self._history.verdict
        self._progress.tried = self._history.tried
        self._progress.events = self._delivery.events
        if self._history.runs:
            self._progress.request_key = self._context.request_key
        if self._history.origin is not None:
            self._progress.software_version = self._history.origin.software_version
        if self._attempts is not None:
            self._progress.room_wait_s = self._attempts.room_wait_s

    def _settle(self) -> None:
        """Settle a turn that was not settled at the end of its answer."""
        if self._account is None:
            return
        self._account.outcome = None
        if self._attempts is not None:
            self._account.outcome = self._history.outcome(
                is_whole=self._delivery.is_whole, events=self._delivery.events
            )
        self._account.settle_in_background(self._delivery.spending)
