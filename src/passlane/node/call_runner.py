"""Shell of one call: carries out what its state machine decides."""

from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from passlane.configuration.view import ToolOffer
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import error_with_verdict
from passlane.messages.node import CallAnswered, CallRefused, TextChunk
from passlane.messages.store import (
    CallKind,
    EngineHold,
)
from passlane.node.call_records import CallRecords
from passlane.node.call_reports import CallReport
from passlane.node.call_services import LEADERSHIP_CODES, CallServices
from passlane.node.call_set_up import CallSetUp, arrival_of
from passlane.node.led_program import LedProgram
from passlane.node.model_attempt import ModelAttempt
from passlane.node.subscription import Subscription
from passlane.node.tool_attempt import ToolAttempt, ask_status
from passlane.observability.logging import get_logger
from passlane.programs.call_events import (
    CallerGone,
    CallEventIn,
    DeadlinePassed,
    RetryDue,
    StatusReceived,
)
from passlane.programs.call_instructions import (
    AskStatus,
    CallInstruction,
    CancelAttempt,
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
    settle
        Settles the program's open call, if another one is open, before this one begins.
    on_over
        Told once, when the call is answered and nothing of it goes on.

    Attributes
    ----------
    left_open
        The answer, if the call was answered without a recorded outcome.
    """

    def __init__(
        self,
        services: CallServices,
        program: LedProgram,
        set_up: CallSetUp,
        settle: Callable[[], Awaitable[None]],
        on_over: Callable[["CallRunner"], None],
    ) -> None:
        self.set_up = set_up
        self.call_id = set_up.plan.call_id
        self.program = program
        self.left_open: SendAnswer | None = None
        self.machine = CallMachine(
            set_up.plan, set_up.attempt_prefix, may_have_run=set_up.may_have_run
        )
        self._services = services
        self._records = CallRecords(services.store, program, set_up, settle)
        self._on_over = on_over
        self._subscriptions: list[Subscription] = []
        self._answer: CallAnswered | CallRefused | None = None
        self._inbox: deque[CallEventIn] = deque()
        self._is_handling = False
        self._scopes: set[anyio.CancelScope] = set()
        self._attempt_scopes: dict[str, anyio.CancelScope] = {}
        self._hold: EngineHold | None = None
        self._store_work = 0
        self._is_over = False
        self._is_faulty = False
        self._first_token_at: float | None = None
        self._backend = ""

    # Callers.

    def subscribe(self, subscription: Subscription) -> None:
        """Give the answer to one more caller, with the tokens that are there already."""
        for position, text in enumerate(self.machine.texts):
            subscription.push(TextChunk(position, text))
        if self._answer is None:
            self._subscriptions.append(subscription)
        else:
            # The store is still at work on the call, but its answer was given.
            self._give_answer(subscription, self._answer)

    def unsubscribe(self, subscription: Subscription) -> None:
        """Take in that a caller has gone."""
        if subscription in self._subscriptions:
            self._subscriptions.remove(subscription)
        if not self._subscriptions and not self._is_over:
            self.post(CallerGone())

    # Life.

    def start(self) -> None:
        """Begin; the call then goes on by itself."""
        self._spawn(self._watch_deadline)
        for instruction in self.machine.start():
            self._carry_out(instruction)

    def abort(self, error: PasslaneError) -> None:
        """Stop all work at once; callers get ``error``, which may send them elsewhere.

        The error gets the call's own verdict: an attempt that is cut off may have run.
        """
        if self._is_over:
            return
        self._is_over = True
        error = error_with_verdict(error, self.machine.verdict_if_cut_off)
        for subscription in self._subscriptions:
            subscription.fail(error)
        self._subscriptions.clear()
        if self.machine.phase is CallPhase.PLACING and self.set_up.plan.kind is CallKind.MODEL:
            self._services.models.withdraw(self.call_id)
        self._cancel_all()

    def post(self, event: CallEventIn) -> None:
        """Give the state machine an event and carry out its instructions."""
        self._inbox.append(event)
        if self._is_handling or self._is_over:
            return
        self._is_handling = True
        try:
            while self._inbox and not self._is_over:
                now = anyio.current_time()
                for instruction in self.machine.handle(self._inbox.popleft(), now):
                    self._carry_out(instruction)
        finally:
            self._is_handling = False
        self._check_over()

    def _check_over(self) -> None:
        is_answered = self.machine.phase is CallPhase.ANSWERED
        if is_answered and self._store_work == 0 and not self._is_over:
            self._is_over = True
            self._cancel_all()
            self._on_over(self)

    def _cancel_all(self) -> None:
        for scope in tuple(self._scopes):
            scope.cancel()

    def _spawn(self, work: Work, scope: anyio.CancelScope | None = None) -> None:
        self._services.tasks.start_soon(self._run_in_scope, work, scope or anyio.CancelScope())

    async def _run_in_scope(self, work: Work, scope: anyio.CancelScope) -> None:
        """Run a part of the call; a fault in it ends this call and no other."""
        if self._is_over:
            # The work still begins, so that it gives back what was taken for it.
            scope.cancel()
        self._scopes.add(scope)
        try:
            with scope:
                await work()
        except Exception as error:
            _log.error("call failed by a fault", call_id=self.call_id, error=repr(error))
            self._fail_by_fault()
        finally:
            self._scopes.discard(scope)

    @property
    def store_failed(self) -> bool:
        """Whether the record in the store may differ from the program in memory."""
        return self._is_faulty or self._records.have_failed

    def _fail_by_fault(self) -> None:
        if self._is_over:
            return
        self._is_faulty = True
        message = "the call was stopped by an internal fault"
        error = PasslaneError(ErrorCode.INTERNAL, message, verdict=Verdict.MAY_HAVE_RUN)
        self.abort(error)
        self._on_over(self)

    async def _watch_deadline(self) -> None:
        await anyio.sleep_until(self.set_up.deadline)
        self.post(DeadlinePassed())

    # Instructions.

    def _carry_out(self, instruction: CallInstruction) -> None:
        match instruction:
            case SendToken(position, text):
                self._send_token(position, text)
            case RecordIntent():
                self._spawn_store_work(self._record_intent)
            case RequestPlacement(excluded, _):
                self._request_placement(excluded)
            case WithdrawPlacement():
                if self.set_up.plan.kind is CallKind.MODEL:
                    self._services.models.withdraw(self.call_id)
            case StartAttempt():
                self._start_attempt(instruction)
            case CancelAttempt(attempt_id):
                self._cancel_attempt(attempt_id)
            case AskStatus():
                self._spawn(self._ask_status)
            case WaitBeforeRetry(delay_s):
                self._spawn(partial(self._wait_before_retry, delay_s))
            case RecordOutcome():
                self._spawn_store_work(partial(self._record_outcome, instruction))
            case SendAnswer():
                self._send_answer(instruction)

    def _send_token(self, position: int, text: str) -> None:
        if self._first_token_at is None:
            self._first_token_at = anyio.current_time()
        for subscription in self._subscriptions:
            subscription.push(TextChunk(position, text))

    def _send_answer(self, instruction: SendAnswer) -> None:
        answer = instruction.answer
        if instruction.left_open:
            self.left_open = instruction
        self._answer = answer
        for subscription in self._subscriptions:
            self._give_answer(subscription, answer)
        self._subscriptions.clear()
        if not _is_moved(answer):
            self._publish_report(answer)

    def _give_answer(self, subscription: Subscription, answer: CallAnswered | CallRefused) -> None:
        if _is_moved(answer):
            error = self._services.not_leader_error(self.program, answer.verdict)
            subscription.fail(error)
        else:
            subscription.push(answer)

    def _publish_report(self, answer: CallAnswered | CallRefused) -> None:
        report = CallReport(
            request=self.set_up.request,
            call_id=self.call_id,
            sequence=self.set_up.sequence,
            arrived_at=self.set_up.arrived_at,
            first_token_at=self._first_token_at,
            ended_at=anyio.current_time(),
            backend=self._backend,
            attempts=self.machine.attempts,
            answer=answer,
        )
        self._services.reports.publish(report)

    # The store.

    def _spawn_store_work(self, work: Work) -> None:
        self._store_work += 1
        self._spawn(partial(self._do_store_work, work))

    async def _do_store_work(self, work: Work) -> None:
        try:
            await work()
        finally:
            self._store_work -= 1
        self._check_over()

    async def _record_intent(self) -> None:
        self.post(await self._records.record_intent())

    async def _record_outcome(self, instruction: RecordOutcome) -> None:
        self.post(await self._records.record_outcome(instruction, self._hold))

    # Placement and attempts.

    def _request_placement(self, excluded: frozenset[str]) -> None:
        offer = self.set_up.offer
        if offer is not None:
            now = anyio.current_time()
            limit = offer.application.max_in_flight
            self.post(self._services.tools.start(offer.application_id, limit, now))
            return
        arrived = arrival_of(self._services, self.program, self.set_up, excluded)
        self._services.models.place(arrived, self.post)

    def _start_attempt(self, start: StartAttempt) -> None:
        self._backend = start.backend
        scope = anyio.CancelScope()
        self._attempt_scopes[start.attempt_id] = scope
        work = partial(self._run_model, start)
        if self.set_up.offer is not None:
            work = partial(self._run_tool, start, self.set_up.offer)
        self._spawn(work, scope)

    async def _run_model(self, start: StartAttempt) -> None:
        attempt = ModelAttempt(
            self._services, self.program, self.set_up.plan, start, self.post, self._note_hold
        )
        await attempt.run()

    def _note_hold(self, hold: EngineHold) -> None:
        self._hold = hold

    async def _run_tool(self, start: StartAttempt, offer: ToolOffer) -> None:
        arguments = self.set_up.request.arguments
        attempt = ToolAttempt(
            self._services, self.program, self.set_up.plan, offer, arguments, start, self.post
        )
        await attempt.run()

    def _cancel_attempt(self, attempt_id: str) -> None:
        """Close the attempt's connection, by which the back end learns of it."""
        scope = self._attempt_scopes.pop(attempt_id, None)
        if scope is not None:
            scope.cancel()

    async def _ask_status(self) -> None:
        if self.set_up.offer is None:
            self.post(StatusReceived(None))
            return
        await ask_status(self._services, self.set_up.offer, self.set_up.plan, self.post)

    async def _wait_before_retry(self, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self.post(RetryDue())


def _is_moved(answer: CallAnswered | CallRefused) -> bool:
    """Return whether the answer means that another node leads the program."""
    return isinstance(answer, CallRefused) and answer.code in LEADERSHIP_CODES
