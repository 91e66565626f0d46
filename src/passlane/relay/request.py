"""Serves one request whose route is known: account, attempts, delivery, final answer."""

import anyio

from passlane.decisions.backends.health import AttemptWatch
from passlane.decisions.failure.answer_verdicts import (
    UNAVAILABLE,
    status_when_given_up,
    truthful_status,
)
from passlane.decisions.failure.retry_after import retry_after_outage_s
from passlane.errors import PasslaneError, Verdict
from passlane.messages.placement import TurnOutcome, TurnRefused
from passlane.messages.quotas import QuotaRefused
from passlane.messages.routes import RouteKind
from passlane.messages.turns import BudgetSpent, TurnReserved, TurnUnknown
from passlane.observability.logging import get_logger
from passlane.relay.attempts import (
    RequestAttempts,
    RequestFailedError,
    RequestRefusedError,
)
from passlane.relay.backends import AnswerWriter, BackendAnswer
from passlane.relay.context import RequestContext
from passlane.relay.delivery import StreamDelivery, WholeDelivery
from passlane.relay.progress import RequestProgress
from passlane.relay.turn_account import TurnAccount

FIRST_FAILURE_STATUS = 300
NOT_FOUND = 404
BUDGET_SPENT = 402
TOO_MANY_REQUESTS = 429
TURN_SETTLE_TIMEOUT_S = 3.0

_log = get_logger(__name__)


class AnswerAbortedError(Exception):
    """An answer that had begun cannot be ended; its connection must be closed."""


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
        self._call = context.call
        self._route = context.route
        self._writer = writer
        self._account = account
        self._progress = progress
        self._attempts: RequestAttempts | None = None
        self._stream: StreamDelivery | None = None

    async def run(self) -> None:
        """Serve the request until it is answered or its time is over.

        Raises
        ------
        AnswerAbortedError
            When the answer had begun and cannot be ended.
        """
        limit_at = min(self._call.deadline_at, self._call.arrived_at + self._route.timeout_s)
        try:
            with anyio.CancelScope(deadline=limit_at) as scope:
                await self._run_within(limit_at)
            if scope.cancelled_caught:
                await self._give_up("out_of_time", is_late=True)
        except anyio.get_cancelled_exc_class():
            await self._refuse_if_stopped()
            raise
        finally:
            self._note_progress()
            if self._account is not None:
                self._account.outcome = self._outcome()
                self._account.settle_in_background(self._delivered_tokens(), self._served_by())

    async def _run_within(self, limit_at: float) -> None:
        reserved = await self._admit(limit_at)
        if reserved is None:
            return
        body = reserved.history + self._call.body
        attempts = RequestAttempts(self._context, body, reserved.used_last, reserved.engine)
        self._attempts = attempts
        try:
            await attempts.run(limit_at, self._deliver)
        except RequestRefusedError as error:
            await self._refuse(UNAVAILABLE, str(error), error.retry_after_s)
        except RequestFailedError as error:
            await self._give_up(str(error), is_late=False)

    async def _admit(self, limit_at: float) -> TurnReserved | None:
        """Reserve a turn, or count another request; ``None`` if the request was refused."""
        try:
            if self._account is not None:
                admitted = await self._reserve(self._account, limit_at)
            else:
                admitted = await self._count(limit_at)
        except PasslaneError as error:
            pause_s = retry_after_outage_s(self._context.quota.store_outage_s)
            await self._refuse(UNAVAILABLE, f"store_{error.code.value}", pause_s)
            return None
        if admitted is not None and self._context.quota.limit is not None:
            self._progress.quota_wait_s = admitted.start_after_s + admitted.limit_wait_s
            await anyio.sleep(admitted.start_after_s)
        return admitted

    async def _count(self, limit_at: float) -> TurnReserved | None:
        """Count a request without an account; ``None`` if it was refused."""
        is_in_program = self._call.program is not None
        answer = await self._context.quota.admit(is_in_program=is_in_program, limit_at=limit_at)
        if isinstance(answer, QuotaRefused):
            await self._refuse_for_quota(answer)
            return None
        return TurnReserved(start_after_s=answer.start_after_s)

    async def _reserve(self, account: TurnAccount, limit_at: float) -> TurnReserved | None:
        """Reserve the turn; ``None`` if the request was refused."""
        answer = await account.reserve(limit_at)
        self._progress.reserved_s = anyio.current_time() - self._call.arrived_at
        if isinstance(answer, QuotaRefused):
            await self._refuse_for_quota(answer)
            return None
        if isinstance(answer, BudgetSpent):
            await self._refuse(BUDGET_SPENT, "budget_spent", None)
            return None
        if isinstance(answer, TurnUnknown):
            await self._refuse(NOT_FOUND, "turn_unknown", None)
            return None
        if isinstance(answer, TurnRefused):
            await self._refuse_for_room(answer)
            return None
        self._progress.place_wait_s = answer.place_wait_s
        return answer

    async def _refuse_for_room(self, refused: TurnRefused) -> None:
        """Refuse a new program that finds no room, and log what decided."""
        _log.info(
            "room_refused",
            request_id=self._call.request_id,
            tenant=self._context.identity.tenant_name,
            urgency=self._context.identity.urgency_on(self._route),
            waiting=refused.waiting,
            busy_share=round(refused.busy_share, 3),
            retry_after_s=round(refused.retry_after_s, 3),
            asked_s=round(anyio.current_time() - self._call.arrived_at, 4),
        )
        await self._refuse(UNAVAILABLE, "no_room", round(refused.retry_after_s, 3))

    async def _deliver(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        self._progress.first_part_s = anyio.current_time() - self._call.arrived_at
        is_event_stream = answer.head.status < FIRST_FAILURE_STATUS or self._stream is not None
        if self._route.kind is not RouteKind.STREAM or not is_event_stream:
            await self._deliver_whole(answer, watch)
            return
        if self._stream is None:
            self._stream = StreamDelivery(
                self._writer, self._before_end, keeps_output=self._route.keeps_turns
            )
        try:
            await self._stream.deliver(answer, watch)
        finally:
            if self._attempts is not None and self._stream.last_event_id is not None:
                self._attempts.last_event_id = self._stream.last_event_id

    async def _deliver_whole(self, answer: BackendAnswer, watch: AttemptWatch) -> None:
        try:
            await WholeDelivery(self._writer).deliver(answer, watch)
        finally:
            if self._attempts is not None:
                self._attempts.is_answer_final = self._writer.has_started

    async def _before_end(self, stream: StreamDelivery) -> None:
        """Make a whole turn durable before its caller learns that it has ended."""
        if self._account is None:
            return
        self._account.outcome = self._outcome()
        try:
            await self._account.settle_whole(
                self._delivered_tokens(),
                bytes(stream.output),
                self._served_by(),
                TURN_SETTLE_TIMEOUT_S,
            )
        except PasslaneError as error:
            self._progress.reason = f"turn_not_durable_{error.code.value}"
            raise AnswerAbortedError(self._progress.reason) from error

    def _outcome(self) -> TurnOutcome | None:
        """Return how the request went at engines; ``None`` if it reached none."""
        if self._attempts is None:
            return None
        is_whole = self._stream is not None and self._stream.is_whole
        return self._attempts.outcome(is_whole=is_whole, events=self._events())

    def _events(self) -> int:
        return self._stream.events if self._stream is not None else 0

    def _served_by(self) -> str:
        return self._attempts.served_by if self._attempts is not None else ""

    def _delivered_tokens(self) -> int:
        return self._events() * self._context.service.tokens_per_event

    async def _refuse_for_quota(self, refused: QuotaRefused) -> None:
        """Refuse a request beyond its tenant's limit, and log what decided."""
        _log.info(
            "quota_refused",
            request_id=self._call.request_id,
            tenant=self._context.identity.tenant_name,
            limit_version=refused.version,
            window_capacity=round(refused.capacity, 1),
            window_used=round(refused.used, 1),
            retry_after_s=round(refused.retry_after_s, 3),
            asked_s=round(anyio.current_time() - self._call.arrived_at, 4),
        )
        await self._refuse(TOO_MANY_REQUESTS, "quota_spent", round(refused.retry_after_s, 3))

    async def _refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Give a final answer of this system's own, which is never more than is known.

        Raises
        ------
        AnswerAbortedError
            When a back end's answer has begun.
        """
        self._progress.reason = reason
        if self._writer.has_started:
            raise AnswerAbortedError(reason)
        status = self._truthful(status, reason)
        self._progress.status = status
        await self._writer.refuse(status, reason, retry_after_s)

    @property
    def _verdict(self) -> Verdict:
        return self._attempts.verdict if self._attempts is not None else Verdict.NOT_RUN

    def _truthful(self, status: int, reason: str) -> int:
        truthful = truthful_status(status, self._verdict)
        if truthful != status:
            _log.error(
                "refusal_withheld",
                request_id=self._call.request_id,
                status=status,
                reason=reason,
                verdict=self._verdict.value,
            )
        return truthful

    async def _give_up(self, reason: str, *, is_late: bool) -> None:
        """Give the final answer of a request that has none from a back end."""
        status = status_when_given_up(self._verdict, is_late=is_late)
        pause_s = self._retry_after_s() if status == UNAVAILABLE else None
        await self._refuse(status, reason, pause_s)

    def _retry_after_s(self) -> float:
        """Return when the caller of a request that did not run is to come back."""
        if self._attempts is None:
            return retry_after_outage_s(self._context.quota.store_outage_s)
        return self._context.waits.retry_after_s()

    async def _refuse_if_stopped(self) -> None:
        """Tell a caller whose request this node will not send any more that it did not run.

        Without an answer the server library would give a status that promises nothing.
        """
        is_answered = self._writer.has_started or self._writer.is_abandoned
        if is_answered or self._verdict is not Verdict.NOT_RUN:
            return
        with anyio.CancelScope(shield=True):
            await self._refuse(UNAVAILABLE, "stopped", self._retry_after_s())

    def _note_progress(self) -> None:
        if self._attempts is not None:
            self._progress.verdict = self._attempts.verdict
            self._progress.tried = self._attempts.tried
            self._progress.room_wait_s = self._attempts.room_wait_s
        if self._stream is not None:
            self._progress.events = self._stream.events
