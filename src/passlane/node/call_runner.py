"""Runs one call: executes the instructions of its state machine and reports events to it."""

from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from passlane.configuration.view import ToolOffer
from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import error_with_verdict
from passlane.messages.node import CallAnswered, CallRefused, TextChunk
from passlane.messages.store import (
    CallKind,
    EngineHold,
)
from passlane.node.call_context import CallContext, arrival_event
from passlane.node.call_records import CallRecords
from passlane.node.call_reports import CallReport
from passlane.node.call_services import LEADERSHIP_CODES, CallServices
from passlane.node.led_program import LedProgram
from passlane.node.model_attempt import ModelAttempt
from passlane.node.subscription import Subscription
from passlane.node.tool_attempt import ToolAttempt, query_status
from passlane.observability.logging import get_logger
from passlane.programs.call_events import (
    CallerDisconnected,
    CallMachineEvent,
    DeadlinePassed,
    RetryDue,
    StatusReceived,
)
from passlane.programs.call_instructions import (
    CallInstruction,
    CancelAttempt,
    QueryStatus,
    RecordEndedBackend,
    RecordIntent,
    RecordOutcome,
    RequestPlacement,
    SendAnswer,
    SendToken,
    StartAttempt,
    WaitBeforeRetry,
    WithdrawPlacement,
)
from passlane.programs.call_machine import CallMachine
from passlane.programs.call_plan import CallPhase

Work = Callable[[], Awaitable[None]]

_log = get_logger(__name__)


class CallRunner:
    """Runs one call of a program to its answer.

    Parameters
    ----------
    settle_open_call
        Records an outcome for the program's open call, if that is another call.
    on_finished
        Called once, when the call is answered and none of its store tasks is running.

    Attributes
    ----------
    left_open
        The answer, if the call was answered without a recorded outcome.
    """

    def __init__(
        self,
        services: CallServices,
        program: LedProgram,
        context: CallContext,
        settle_open_call: Callable[[], Awaitable[None]],
        on_finished: Callable[["CallRunner"], None],
    ) -> None:
        self.context = context
        self.call_id = context.plan.call_id
        self.program = program
        self.left_open: SendAnswer | None = None
        self.machine = CallMachine(
            context.plan,
            context.attempt_prefix,
            max_ended_backends=MAX_ENDED_ENGINES,
            may_have_run=context.may_have_run,
        )
        self._services = services
        self._records = CallRecords(services.store, program, context, settle_open_call)
        self._on_finished = on_finished
        self._subscriptions: list[Subscription] = []
        self._answer: CallAnswered | CallRefused | None = None
        self._pending_events: deque[CallMachineEvent] = deque()
        self._is_handling = False
        self._scopes: set[anyio.CancelScope] = set()
        self._attempt_scopes: dict[str, anyio.CancelScope] = {}
        self._hold: EngineHold | None = None
        self._pending_store_tasks = 0
        self._is_finished = False
        self._has_internal_error = False
        self._first_token_at: float | None = None
        self._backend = ""

    # Callers.

    def subscribe(self, subscription: Subscription) -> None:
        """Add a caller, starting with the tokens received so far."""
        for position, text in enumerate(self.machine.texts):
            subscription.push(self._chunk(position, text))
        if self._answer is None:
            self._subscriptions.append(subscription)
        else:
            # The answer was delivered while a store task of the call is still running.
            self._deliver_answer(subscription, self._answer)

    def unsubscribe(self, subscription: Subscription) -> None:
        """Remove a caller that disconnected."""
        if subscription in self._subscriptions:
            self._subscriptions.remove(subscription)
        if not self._subscriptions and not self._is_finished:
            self.post(CallerDisconnected())

    # Lifecycle.

    def start(self) -> None:
        """Start the call, which then runs in tasks of its own."""
        self._start_task(self._watch_deadline)
        for instruction in self.machine.start():
            self._execute(instruction)

    def abort(self, error: PasslaneError) -> None:
        """Cancel all tasks and fail all callers with ``error``, which may redirect them.

        The error gets the call's verdict, since a cancelled attempt may have run.
        """
        if self._is_finished:
            return
        self._is_finished = True
        error = error_with_verdict(error, self.machine.verdict_if_aborted)
        for subscription in self._subscriptions:
            subscription.fail(error)
        self._subscriptions.clear()
        if self.machine.phase is CallPhase.PLACING and self.context.plan.kind is CallKind.MODEL:
            self._services.models.withdraw(self.call_id)
        self._cancel_tasks()

    def post(self, event: CallMachineEvent) -> None:
        """Pass an event to the state machine and execute its instructions."""
        self._pending_events.append(event)
        if self._is_handling or self._is_finished:
            return
        self._is_handling = True
        try:
            while self._pending_events and not self._is_finished:
                now = anyio.current_time()
                for instruction in self.machine.handle(self._pending_events.popleft(), now):
                    self._execute(instruction)
        finally:
            self._is_handling = False
        self._check_finished()

    def _check_finished(self) -> None:
        is_answered = self.machine.phase is CallPhase.ANSWERED
        if is_answered and self._pending_store_tasks == 0 and not self._is_finished:
            self._is_finished = True
            self._cancel_tasks()
            self._on_finished(self)

    def _cancel_tasks(self) -> None:
        for scope in tuple(self._scopes):
            scope.cancel()

    def _start_task(self, work: Work, scope: anyio.CancelScope | None = None) -> None:
        self._services.tasks.start_soon(self._run_in_scope, work, scope or anyio.CancelScope())

    async def _run_in_scope(self, work: Work, scope: anyio.CancelScope) -> None:
        """Run a task of the call; an exception in it aborts only this call."""
        if self._is_finished:
            # The task must still start, so that it releases what was acquired for it.
            scope.cancel()
        self._scopes.add(scope)
        try:
            with scope:
                await work()
        except Exception as error:
            _log.error("call_failed", call_id=self.call_id, error=repr(error))
            self._abort_on_internal_error()
        finally:
            self._scopes.discard(scope)

    @property
    def store_failed(self) -> bool:
        """Whether the record in the store may differ from the program in memory."""
        return self._has_internal_error or self._records.may_be_inconsistent

    def _abort_on_internal_error(self) -> None:
        if self._is_finished:
            return
        self._has_internal_error = True
        message = "the call was stopped by an internal error"
        error = PasslaneError(ErrorCode.INTERNAL, message, verdict=Verdict.MAY_HAVE_RUN)
        self.abort(error)
        self._on_finished(self)

    async def _watch_deadline(self) -> None:
        await anyio.sleep_until(self.context.deadline)
        self.post(DeadlinePassed())

    # Instructions.

    def _execute(self, instruction: CallInstruction) -> None:
        match instruction:
            case SendToken(position, text):
                self._send_token(position, text)
            case RecordIntent():
                self._start_store_task(self._record_intent)
            case RecordEndedBackend(ended_backends):
                self._start_store_task(partial(self._record_ended_backend, ended_backends))
            case RequestPlacement(excluded, _):
                self._request_placement(excluded)
            case WithdrawPlacement():
                if self.context.plan.kind is CallKind.MODEL:
                    self._services.models.withdraw(self.call_id)
            case StartAttempt():
                self._start_attempt(instruction)
            case CancelAttempt(attempt_id):
                self._cancel_attempt(attempt_id)
            case QueryStatus():
                self._start_task(self._query_status)
            case WaitBeforeRetry(delay_s):
                self._start_task(partial(self._wait_before_retry, delay_s))
            case RecordOutcome():
                self._start_store_task(partial(self._record_outcome, instruction))
            case SendAnswer():
                self._send_answer(instruction)

    def _send_token(self, position: int, text: str) -> None:
        if self._first_token_at is None:
            self._first_token_at = anyio.current_time()
        for subscription in self._subscriptions:
            subscription.push(self._chunk(position, text))

    def _chunk(self, position: int, text: str) -> TextChunk:
        return TextChunk(position, text, software_version=self.machine.software_version)

    def _send_answer(self, instruction: SendAnswer) -> None:
        answer = instruction.answer
        if instruction.left_open:
            self.left_open = instruction
        self._answer = answer
        for subscription in self._subscriptions:
            self._deliver_answer(subscription, answer)
        self._subscriptions.clear()
        if not _is_leadership_error(answer):
            self._publish_report(answer)

    def _deliver_answer(
        self, subscription: Subscription, answer: CallAnswered | CallRefused
    ) -> None:
        if _is_leadership_error(answer):
            error = self._services.not_leader_error(self.program, answer.verdict)
            subscription.fail(error)
        else:
            subscription.push(answer)

    def _publish_report(self, answer: CallAnswered | CallRefused) -> None:
        report = CallReport(
            request=self.context.request,
            call_id=self.call_id,
            sequence=self.context.sequence,
            arrived_at=self.context.arrived_at,
            first_token_at=self._first_token_at,
            ended_at=anyio.current_time(),
            backend=self._backend,
            attempts=self.machine.attempts,
            answer=answer,
        )
        self._services.reports.publish(report)

    # The store.

    def _start_store_task(self, work: Work) -> None:
        self._pending_store_tasks += 1
        self._start_task(partial(self._run_store_task, work))

    async def _run_store_task(self, work: Work) -> None:
        try:
            await work()
        finally:
            self._pending_store_tasks -= 1
        self._check_finished()

    async def _record_intent(self) -> None:
        self.post(await self._records.record_intent())

    async def _record_ended_backend(self, ended_backends: int) -> None:
        self.post(await self._records.record_ended_backend(ended_backends))

    async def _record_outcome(self, instruction: RecordOutcome) -> None:
        self.post(await self._records.record_outcome(instruction, self._hold))

    # Placement and attempts.

    def _request_placement(self, excluded: frozenset[str]) -> None:
        offer = self.context.offer
        if offer is not None:
            now = anyio.current_time()
            limit = offer.application.max_in_flight
            self.post(self._services.tools.start(offer.application_id, limit, now))
            return
        arrival = arrival_event(self._services, self.program, self.context, excluded)
        self._services.models.place(arrival, self.post)

    def _start_attempt(self, start: StartAttempt) -> None:
        self._backend = start.backend
        scope = anyio.CancelScope()
        self._attempt_scopes[start.attempt_id] = scope
        work = partial(self._run_model, start)
        if self.context.offer is not None:
            work = partial(self._run_tool, start, self.context.offer)
        self._start_task(work, scope)

    async def _run_model(self, start: StartAttempt) -> None:
        attempt = ModelAttempt(
            self._services, self.program, self.context.plan, start, self.post, self._set_hold
        )
        await attempt.run()

    def _set_hold(self, hold: EngineHold) -> None:
        self._hold = hold

    async def _run_tool(self, start: StartAttempt, offer: ToolOffer) -> None:
        arguments = self.context.request.arguments
        attempt = ToolAttempt(
            self._services, self.program, self.context.plan, offer, arguments, start, self.post
        )
        await attempt.run()

    def _cancel_attempt(self, attempt_id: str) -> None:
        """Close the attempt's connection, which tells the back end to stop."""
        scope = self._attempt_scopes.pop(attempt_id, None)
        if scope is not None:
            scope.cancel()

    async def _query_status(self) -> None:
        if self.context.offer is None:
            self.post(StatusReceived(None))
            return
        await query_status(self._services, self.context.offer, self.context.plan, self.post)

    async def _wait_before_retry(self, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self.post(RetryDue())


def _is_leadership_error(answer: CallAnswered | CallRefused) -> bool:
    """Return whether the answer means that another node leads the program."""
    return isinstance(answer, CallRefused) and answer.code in LEADERSHIP_CODES
