"""The attempts of one request at back ends: choice, verdicts, retries."""

import math
from collections.abc import Awaitable, Callable, Sequence

import anyio

from passlane.decisions.backends.health import AttemptWatch, stall_limit_s
from passlane.decisions.backends.registry import BackendLoad, ServiceJudgement
from passlane.decisions.failure.answer_verdicts import (
    Judgement,
    is_gone,
    judge_answer,
    may_run_again,
)
from passlane.decisions.failure.client_timeout import first_part_due_at
from passlane.decisions.order.room_queue import RetryPermit, WaitingCall
from passlane.decisions.placement.plain_placement import PlainBackends, PlainCall, PlainView
from passlane.decisions.placement.request_placement import (
    PlacementChoice,
    choose_backend,
    note_failure,
    note_success,
)
from passlane.errors import PasslaneError, Verdict
from passlane.messages.placement import TurnOutcome
from passlane.messages.quotas import QuotaRefused
from passlane.messages.routes import RouteKind
from passlane.observability.logging import get_logger
from passlane.relay.backends import BackendAnswer, BackendRequest
from passlane.relay.context import RequestContext
from passlane.relay.plain_log import log_plain_choice
from passlane.runtime.interfaces import HttpConnectionError

_log = get_logger(__name__)

Deliver = Callable[[BackendAnswer, AttemptWatch], Awaitable[None]]
"""Passes an answer on; raises ``HttpConnectionError`` when the answer breaks off."""


class RequestRefusedError(Exception):
    """No back end ran the request; it may be tried again in ``retry_after_s``."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


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
    room_wait_s
        Seconds that it has waited for room.
    """

    def __init__(
        self, context: RequestContext, body: bytes, used_last: str = "", assigned: str = ""
    ) -> None:
        self._call = context.call
        self._route = context.route
        self._service = context.service
        self._quota = context.quota
        self._registry = context.registry
        self._backends = context.backends
        self._key = context.placement_key(used_last, assigned)
        self._waits = context.waits
        self._room = context.waits.room
        self._waiting: WaitingCall | None = None
        self._tenant_name = context.identity.tenant_name
        self._rank = context.identity.urgency_on(context.route)
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
        self.room_wait_s = 0.0
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
        turn: RetryPermit | None = None
        while True:
            now = anyio.current_time()
            judgement = self._judge(now)
            load = self._choose(judgement, turn, limit_at, now)
            if load is None:
                if self._waiting is not None and turn is not None:
                    self._waiting.refusals += 1
                turn = await self._wait_for_room(judgement, limit_at)
                continue
            turn = None
            stall_limit = stall_limit_s(judgement.typical_s)
            runs_before = self._runs
            if await self._attempt_and_note(load, stall_limit, limit_at, deliver):
                return
            if self._runs > runs_before:
                await self._count_another_run(limit_at)

    async def _count_another_run(self, limit_at: float) -> None:
        """Count the run that is to follow one that may have run: limits hold for what runs.

        Raises
        ------
        RequestFailedError
            When the tenant's limit leaves no room for it, or whoever grants did not answer.
        """
        if self._quota.limit is None:
            return
        is_in_program = self._call.program is not None
        try:
            answer = await self._quota.admit(is_in_program=is_in_program, limit_at=limit_at)
        except PasslaneError as error:
            raise RequestFailedError(f"store_{error.code.value}") from error
        if isinstance(answer, QuotaRefused):
            raise RequestFailedError("quota_spent")
        await anyio.sleep(answer.start_after_s)

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

    def _choose(
        self, judgement: ServiceJudgement, turn: RetryPermit | None, limit_at: float, now: float
    ) -> BackendLoad | None:
        """Choose the back end for the next attempt; ``None`` to wait for room.

        A request that waits is sent to one back end in its turn.
        """
        if turn is None and self._waiting is not None:
            return None
        if self._room.plain is not None:
            return self._choose_plain(self._room.plain, judgement, turn, limit_at, now)
        choice = self._choose_engine(judgement, now)
        if choice is None and turn is not None:
            self._refused.clear()
            choice = self._choose_engine(judgement, now)
        if choice is None:
            return None
        self._log_choice(choice, now)
        return choice.load

    def _choose_engine(self, judgement: ServiceJudgement, now: float) -> PlacementChoice | None:
        return choose_backend(
            judgement.loads,
            self._key,
            self._refused,
            now,
            judgement.outliers,
            judgement.typical_s,
            self._connected(judgement.loads),
        )

    def _choose_plain(
        self,
        plain: PlainBackends,
        judgement: ServiceJudgement,
        turn: RetryPermit | None,
        limit_at: float,
        now: float,
    ) -> BackendLoad | None:
        """Choose a plain back end; a new request comes behind those that wait."""
        if turn is None and len(self._room):
            return None
        call = PlainCall(
            route=self._route.name,
            runs_once=not self._route.is_repeatable,
            left_s=self._room.gives_up_at(self._route.name, limit_at) - now,
        )
        view = PlainView(
            loads=judgement.loads,
            now=now,
            connected=self._connected(judgement.loads),
            outliers=judgement.outliers,
        )
        choice = plain.choose(
            view,
            call,
            tried=self._refused if turn is None else (),
            offered=turn.offered if turn is not None else "",
            must_try=turn is not None,
        )
        if choice is None:
            return None
        log_plain_choice(
            choice,
            turn,
            request_id=self._call.request_id,
            attempt=len(self.tried) + 1,
            list_age_s=self._list_age_s(now),
        )
        return choice.load

    async def _attempt_and_note(
        self, load: BackendLoad, stall_limit: float, limit_at: float, deliver: Deliver
    ) -> bool:
        """Send the request to one back end, and note what that shows of its room."""
        instance_id = load.record.instance_id
        avoided_before = load.avoid_until
        started_at = anyio.current_time()
        is_delivered = False
        try:
            is_delivered = await self._attempt(load, stall_limit, limit_at, deliver)
        finally:
            now = anyio.current_time()
            is_broken = load.avoid_until > avoided_before
            if is_broken:
                self._note_lost(instance_id, now)
        if is_delivered:
            if self._waiting is not None:
                self._room.note_wait_ended(self._waiting, now)
            self._waits.note_answered(instance_id, self._route.name, now - started_at)
        elif not is_broken:
            self._note_refused(instance_id, now)
        return is_delivered

    def _note_lost(self, instance_id: str, now: float) -> None:
        """Note a broken attempt; the request is sent elsewhere without another wait."""
        self._waiting = None
        if self._room.plain is not None:
            self._room.plain.note_broken(instance_id, now)

    def _note_refused(self, instance_id: str, now: float) -> None:
        if self._waiting is not None:
            self._waiting.refusals += 1
        if self._room.plain is not None:
            self._room.plain.note_refused(instance_id, now)

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
            list_age_s=self._list_age_s(now),
        )

    def _list_age_s(self, now: float) -> float | None:
        updated_at = self._registry.updated_at
        return round(now - updated_at, 3) if updated_at is not None else None

    async def _wait_for_room(self, judgement: ServiceJudgement, limit_at: float) -> RetryPermit:
        """Wait until the request may try again.

        Raises
        ------
        RequestRefusedError, RequestFailedError
            When what is left of its deadline is too little for an answer.
        """
        now = anyio.current_time()
        if self._waiting is None:
            self._waiting = WaitingCall(
                request_id=self._call.request_id,
                priority=self._rank,
                arrived_at=self._call.arrived_at,
                give_up_at=self._gives_up_at(judgement, limit_at, now),
                joined_at=now,
            )
        slots = max((load.record.slots for load in judgement.loads), default=1)
        turn = await self._waits.wait(self._waiting, slots)
        self.room_wait_s += anyio.current_time() - now
        if turn is not None:
            return turn
        self._room.note_wait_ended(self._waiting, anyio.current_time())
        if self.verdict is not Verdict.NOT_RUN:
            raise RequestFailedError("no further back end took the request")
        raise RequestRefusedError("no back end took the request", self._waits.retry_after_s())

    def _gives_up_at(self, judgement: ServiceJudgement, limit_at: float, now: float) -> float:
        """Return when what is left is too little for a whole answer, or for its first part."""
        has_begun = self.last_event_id != self._call.last_event_id
        silent_since = now if has_begun else self._call.arrived_at
        due_at = first_part_due_at(self._route, silent_since, limit_at)
        whole_by = self._room.gives_up_at(self._route.name, limit_at)
        return min(whole_by, due_at - judgement.typical_s)

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
