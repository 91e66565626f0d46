"""The attempts of one request at back ends: choice, verdicts, retries."""

import math
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.errors import Verdict
from passlane.messages.placement import TurnOutcome
from passlane.messages.routes import RouteKind
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendAnswer, BackendRequest
from passlane.relay.context import RequestContext
from passlane.relay.health import AttemptWatch, stall_limit_s
from passlane.relay.placement import (
    PlacementChoice,
    choose_backend,
    note_failure,
    note_success,
)
from passlane.relay.registry import BackendLoad, ServiceJudgement
from passlane.relay.verdicts import Judgement, is_gone, judge_answer, may_run_again
from passlane.runtime.interfaces import HttpConnectionError

SECOND_ROUND_PAUSE_S = 0.02
WAIT_SHARE_OF_TARGET = 0.25
"""A request that no back end takes is refused after this share of its target latency."""
UNAVAILABLE_RETRY_AFTER_S = 0.25

_log = get_logger(__name__)

Deliver = Callable[[BackendAnswer, AttemptWatch], Awaitable[None]]
"""Passes an answer on; raises ``HttpConnectionError`` when the answer breaks off."""


class RequestRefusedError(Exception):
    """No back end ran the request; it may be tried again later."""


class RequestFailedError(Exception):
    """The request may have run, and no whole answer came of it."""


class RequestAttempts:
    """Sends one request to back ends until one answers.

    Parameters
    ----------
    body
        What back ends are to get: the call's own body, behind the history of its turn.
    used_last
        The instance that the request's program used last; empty if unknown.
    assigned
        The instance at which the request has a place; empty if it has none.

    Attributes
    ----------
    verdict
        Whether the request may have run so far.
    tried
        Instances that were tried, in order; for the log.
    served_by
        The instance that answered last; empty if none did.
    is_answer_final
        Set by whoever delivers: the caller has got a part that no other answer can go on with.
    """

    def __init__(
        self, context: RequestContext, body: bytes, used_last: str = "", assigned: str = ""
    ) -> None:
        self._call = context.call
        self._route = context.route
        self._service = context.service
        self._registry = context.registry
        self._backends = context.backends
        self._key = context.placement_key(used_last, assigned)
        self._tenant_name = context.identity.tenant_name
        self._priority = context.engine_priority
        self._body = body
        self._runs = 0
        self._refused: set[str] = set()
        self.verdict = Verdict.NOT_RUN
        self.tried: list[str] = []
        self.served_by = ""
        self._failed_at: list[str] = []
        self._full_at: list[str] = []
        self._sent_at = 0.0
        self._first_part_s = 0.0
        self.is_answer_final = False
        self.last_event_id = context.call.last_event_id

    async def run(self, limit_at: float, deliver: Deliver) -> None:
        """Send the request until an answer was delivered.

        Raises
        ------
        RequestRefusedError
            When no back end took the request.
        RequestFailedError
            When it may have run and cannot be sent again.
        """
        give_up_at = self._call.arrived_at + WAIT_SHARE_OF_TARGET * self._route.target_latency_s
        while True:
            now = anyio.current_time()
            judgement = self._judge(now)
            choice = choose_backend(
                judgement.loads,
                self._key,
                self._refused,
                now,
                judgement.outliers,
                judgement.typical_s,
                self._connected(judgement.loads),
            )
            if choice is None:
                await self._wait_for_room(give_up_at)
                continue
            self._log_choice(choice, now)
            stall_limit = stall_limit_s(judgement.typical_s)
            if await self._attempt(choice.load, stall_limit, limit_at, deliver):
                return

    def outcome(self, *, is_whole: bool, events: int) -> TurnOutcome:
        """Return how the request went so far, for whoever places turns."""
        engine_s = anyio.current_time() - self._sent_at if is_whole else 0.0
        return TurnOutcome(
            engine_s=engine_s,
            first_part_s=self._first_part_s,
            events=events,
            failed_at=tuple(self._failed_at),
            full_at=tuple(self._full_at),
        )

    def _connected(self, loads: Sequence[BackendLoad]) -> frozenset[str]:
        """Return the instances to which a connection rests unused, where that decides."""
        if not self._key.is_plain:
            return frozenset()
        has_idle_connection = self._backends.has_idle_connection
        return frozenset(
            load.record.instance_id for load in loads if has_idle_connection(load.record)
        )

    def _judge(self, now: float) -> ServiceJudgement:
        """Judge the service's back ends, and log which ones are outliers if that has changed."""
        judgement = self._registry.judge(self._service.name, now)
        if judgement.has_changed:
            _log.info(
                "outliers_changed",
                request_id=self._call.request_id,
                service=self._service.name,
                outliers=sorted(judgement.outliers),
                before=sorted(judgement.outliers_before),
            )
        return judgement

    def _log_choice(self, choice: PlacementChoice, now: float) -> None:
        """Log which back end was chosen, and by what."""
        updated_at = self._registry.updated_at
        _log.info(
            "backend_chosen",
            request_id=self._call.request_id,
            service=self._service.name,
            instance=choice.load.record.instance_id,
            attempt=len(self.tried) + 1,
            candidates=choice.candidates,
            in_flight=choice.load.in_flight,
            is_outlier=choice.rank.is_outlier,
            is_avoided=choice.rank.is_avoided,
            long_queue=choice.rank.long_queue,
            is_without_part=choice.rank.is_without_part,
            shared_part=self._key.shared_part,
            short_queue=choice.rank.short_queue,
            needs_connection=choice.rank.needs_connection,
            used_last=self._key.used_last,
            assigned=self._key.assigned,
            typical_s=round(choice.typical_s, 4),
            list_age_s=round(now - updated_at, 3) if updated_at is not None else None,
        )

    async def _wait_for_room(self, give_up_at: float) -> None:
        """Let back ends that refused be tried once more, as long as that is worth while."""
        if anyio.current_time() + SECOND_ROUND_PAUSE_S > give_up_at:
            if self.verdict is Verdict.NOT_RUN:
                raise RequestRefusedError("no back end took the request")
            raise RequestFailedError("no further back end took the request")
        await anyio.sleep(SECOND_ROUND_PAUSE_S)
        self._refused.clear()

    async def _attempt(
        self, load: BackendLoad, stall_limit: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one back end; return whether its answer was delivered."""
        self.tried.append(load.record.instance_id)
        load.in_flight += 1
        started_at = anyio.current_time()
        watch = load.health.watch(started_at)
        self._sent_at = started_at
        verdict_before = self.verdict
        # From here on a cancellation must not be taken for "not run".
        self.verdict = Verdict.MAY_HAVE_RUN
        try:
            silence = anyio.CancelScope(deadline=self._silence_ends_at(started_at + stall_limit))
            with silence:
                async with self._backends.exchange(load.record, self._request(limit_at)) as answer:
                    silence.deadline = math.inf
                    watch.progressed(anyio.current_time())
                    if await self._take(answer, load, deliver, watch):
                        return True
                    # The proof holds, whatever becomes of the rest of the refusal.
                    self.verdict = verdict_before
            if silence.cancelled_caught:
                raise HttpConnectionError("no answer for too long", bytes_left=True)
        except HttpConnectionError as error:
            watch.failed(anyio.current_time())
            self._note_broken(error, load, verdict_before)
        finally:
            watch.dropped(anyio.current_time(), stall_limit)
            load.in_flight -= 1
        return False

    def _silence_ends_at(self, stalled_at: float) -> float:
        """Return when to turn from a silent back end to another one, if that is allowed."""
        is_plain = self._route.kind is RouteKind.REPEATABLE
        return stalled_at if is_plain and may_run_again(self._route, self._runs + 1) else math.inf

    def _request(self, limit_at: float) -> BackendRequest:
        return BackendRequest(
            call=self._call,
            body=self._body,
            remaining_s=max(0.0, limit_at - anyio.current_time()),
            priority=self._priority,
            last_event_id=self.last_event_id,
            tenant_name=self._tenant_name,
        )

    async def _take(
        self, answer: BackendAnswer, load: BackendLoad, deliver: Deliver, watch: AttemptWatch
    ) -> bool:
        """Deliver an answer, or note a refusal; return whether it was delivered."""
        judgement = judge_answer(answer.head)
        if judgement is Judgement.NOT_RUN:
            self._log_refusal(answer, load)
            self._refused.add(load.record.instance_id)
            self._full_at.append(load.record.instance_id)
            if is_gone(answer.head):
                self._registry.remove(load.record.instance_id)
            return False
        if judgement is Judgement.UNTRUSTED:
            self._log_untrusted(answer, load)
            raise HttpConnectionError("not an answer to this request", bytes_left=True)
        self.served_by = load.record.instance_id
        self._first_part_s = anyio.current_time() - self._sent_at
        await deliver(answer, watch)
        note_success(load)
        return True

    def _log_refusal(self, answer: BackendAnswer, load: BackendLoad) -> None:
        """Log how a back end said that it did not run the request."""
        refusal = answer.head.refusal
        _log.info(
            "backend_refused",
            request_id=self._call.request_id,
            instance=load.record.instance_id,
            attempt=len(self.tried),
            status=answer.head.status,
            refusal=refusal.value if refusal is not None else None,
        )

    def _log_untrusted(self, answer: BackendAnswer, load: BackendLoad) -> None:
        """Log an answer that does not prove to be one to this request."""
        _log.warning(
            "backend_answer_untrusted",
            request_id=self._call.request_id,
            instance=load.record.instance_id,
            attempt=len(self.tried),
            status=answer.head.status,
            is_authentic=answer.head.is_authentic,
        )

    def _note_broken(
        self, error: HttpConnectionError, load: BackendLoad, verdict_before: Verdict
    ) -> None:
        """Note a failed attempt; raise if the request must not be sent again."""
        note_failure(load, anyio.current_time())
        self._refused.add(load.record.instance_id)
        self._failed_at.append(load.record.instance_id)
        if not error.bytes_left:
            self.verdict = verdict_before
            return
        self._runs += 1
        if self.is_answer_final or not may_run_again(self._route, self._runs):
            raise RequestFailedError(str(error)) from error
