"""Runs the calls of one program in order.

``ProgramHost`` connects the program's queue with the running call and with the callers that
subscribe to calls. It settles calls without an outcome before the program continues.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

import anyio
import anyio.lowlevel

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import CallId
from passlane.messages.node import CallRefused, CallRequest
from passlane.messages.store import CallKind, CallRecord, CallState, FinishCall
from passlane.node.call_context import CallContext
from passlane.node.call_planning import PlannedCall
from passlane.node.call_records import STORE_TIMEOUT_S
from passlane.node.call_runner import CallRunner
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram, OpenCall
from passlane.node.operation_recovery import resolve_operation
from passlane.node.subscription import Subscription
from passlane.programs.call_events import StopRequested
from passlane.programs.call_identity import request_digest
from passlane.programs.program_queue import (
    BeginQueuedCall,
    QueuedCall,
    QueueInstruction,
    RefuseQueuedCall,
)
from passlane.programs.recorded_answer import recorded_answer

IDLE_POLL_INTERVAL_S = 0.02
"""Seconds between checks whether any call still waits, while no call is running."""

BUSY_RETRY_AFTER_S = 0.2


@dataclass
class WaitingCall:
    """A call that waits for earlier calls of its program."""

    request: CallRequest
    planned: PlannedCall
    deadline: float
    arrived_at: float
    subscriptions: list[Subscription] = field(default_factory=list)


class ProgramHost:
    """Queue, running call and subscriptions of one program.

    Parameters
    ----------
    next_run_number
        Returns a number that is unique within this process, for attempt ids.
    on_stale
        Called when the program in memory may differ from its record and must be reloaded.
    """

    def __init__(
        self,
        services: CallServices,
        program: LedProgram,
        next_run_number: Callable[[], int],
        on_stale: Callable[["ProgramHost"], None],
    ) -> None:
        self.program = program
        self._services = services
        self._next_run_number = next_run_number
        self._on_stale = on_stale
        self._waiting: dict[CallId, WaitingCall] = {}
        self._runner: CallRunner | None = None
        self._idle = anyio.Event()
        self._idle.set()
        self._scheduled_expiry: float | None = None
        self._stop: StopRequested | None = None
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no call runs or waits."""
        return self._runner is None and not self._waiting

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for earlier calls of the program."""
        return len(self._waiting)

    def is_in_flight(self, call_id: CallId) -> bool:
        """Return whether a call waits or runs."""
        is_running = self._runner is not None and self._runner.call_id == call_id
        return is_running or call_id in self._waiting

    # Callers.

    def submit(self, request: CallRequest, planned: PlannedCall, deadline: float) -> Subscription:
        """Accept a new or repeated call and return a subscription to its events.

        Raises
        ------
        PasslaneError
            If the call is refused at once; this request has run nothing of it.
        """
        subscription = Subscription(request.resume_from)
        call_id = planned.plan.call_id
        recorded = self.program.calls.get(call_id)
        if recorded is not None:
            _require_same_request(recorded, request)
        if self._runner is not None and self._runner.call_id == call_id:
            self._runner.subscribe(subscription)
        elif call_id in self._waiting:
            self._waiting[call_id].subscriptions.append(subscription)
        elif recorded is not None and recorded.state is CallState.FINISHED:
            subscription.push(recorded_answer(recorded))
        else:
            self._require_accepting_calls()
            self._accept_new(request, planned, deadline, subscription)
        return subscription

    def _require_accepting_calls(self) -> None:
        if self.program.is_ended:
            raise PasslaneError(ErrorCode.PROGRAM_ENDED, "the program has ended")
        if self._stop is not None:
            raise PasslaneError(self._stop.code, self._stop.message)

    def _accept_new(
        self,
        request: CallRequest,
        planned: PlannedCall,
        deadline: float,
        subscription: Subscription,
    ) -> None:
        now = anyio.current_time()
        call_id = planned.plan.call_id
        waiting = WaitingCall(request, planned, deadline, now, [subscription])
        open_call = self.program.open_call
        if open_call is not None and open_call.call.call_id == call_id:
            self._resume_open_call(waiting, open_call)
            return
        self._waiting[call_id] = waiting
        instructions = self.program.queue.add(QueuedCall(call_id, request.sequence, now), now)
        self._apply_instructions(instructions)
        if call_id in self._waiting:
            self._services.tasks.start_soon(self._refuse_at_deadline, waiting)

    def _resume_open_call(self, waiting: WaitingCall, open_call: OpenCall) -> None:
        if not self.program.queue.resume(open_call.call.call_id):
            raise PasslaneError(
                ErrorCode.QUEUE_FULL,
                "the program is busy with another call",
                retry_after_s=BUSY_RETRY_AFTER_S,
            )
        self._start(waiting, open_call.call.sequence, open_call)

    def release(self, call_id: CallId, subscription: Subscription) -> None:
        """Remove the subscription of a caller that has gone."""
        subscription.release()
        if self._runner is not None and self._runner.call_id == call_id:
            self._runner.unsubscribe(subscription)
            return
        waiting = self._waiting.get(call_id)
        if waiting is not None and subscription in waiting.subscriptions:
            waiting.subscriptions.remove(subscription)
            if not waiting.subscriptions:
                del self._waiting[call_id]
                self.program.queue.withdraw(call_id)

    # Queue.

    def _apply_instructions(self, instructions: list[QueueInstruction]) -> None:
        for instruction in instructions:
            match instruction:
                case RefuseQueuedCall():
                    self._refuse(instruction)
                case BeginQueuedCall(call_id, sequence):
                    self._start(self._waiting.pop(call_id), sequence, None)
        self._schedule_expiry()

    def _refuse(self, instruction: RefuseQueuedCall) -> None:
        waiting = self._waiting.pop(instruction.call_id)
        refused = CallRefused(
            instruction.code, instruction.message, Verdict.NOT_RUN, instruction.retry_after_s
        )
        for subscription in waiting.subscriptions:
            subscription.push(refused)

    async def _refuse_at_deadline(self, waiting: WaitingCall) -> None:
        """Refuse a call if it still waits at its deadline."""
        call_id = waiting.planned.plan.call_id
        await anyio.sleep_until(waiting.deadline)
        if self._waiting.get(call_id) is waiting:
            self.program.queue.withdraw(call_id)
            message = "the deadline passed while the call waited for earlier calls of its program"
            self._refuse(RefuseQueuedCall(call_id, ErrorCode.DEADLINE_EXCEEDED, message, None))

    def _schedule_expiry(self) -> None:
        expiry = self.program.queue.next_expiry()
        if expiry is not None and (
            self._scheduled_expiry is None or expiry < self._scheduled_expiry
        ):
            self._scheduled_expiry = expiry
            self._services.tasks.start_soon(self._advance_at, expiry)

    async def _advance_at(self, time: float) -> None:
        await anyio.sleep_until(time)
        if self._scheduled_expiry == time:
            self._scheduled_expiry = None
        if not self._is_closed:
            self._apply_instructions(self.program.queue.advance(anyio.current_time()))

    # Running call.

    def _start(self, waiting: WaitingCall, sequence: int, reopened: OpenCall | None) -> None:
        planned = waiting.planned
        plan = planned.plan
        if reopened is not None and len(reopened.texts) > len(plan.resume_texts):
            plan = replace(
                plan, resume_texts=reopened.texts, resume_version=reopened.software_version
            )
        context = CallContext(
            request=waiting.request,
            plan=plan,
            sequence=sequence,
            deadline=waiting.deadline,
            arrived_at=waiting.arrived_at,
            attempt_prefix=self._attempt_prefix(plan.call_id),
            offer=planned.offer,
            reopened=reopened,
        )
        settle = partial(self.settle, keep=plan.call_id)
        runner = CallRunner(self._services, self.program, context, settle, self._on_call_finished)
        self._runner = runner
        self._idle = anyio.Event()
        for subscription in waiting.subscriptions:
            runner.subscribe(subscription)
        runner.start()

    def _attempt_prefix(self, call_id: CallId) -> str:
        return f"{call_id}.{self.program.epoch}.{self._next_run_number()}"

    def _on_call_finished(self, runner: CallRunner) -> None:
        if runner is not self._runner:
            return
        self._runner = None
        self._idle.set()
        self.program.last_used_at = anyio.current_time()
        self._keep_open_call(runner)
        if runner.context.plan.kind is CallKind.MODEL and not self.program.is_ended:
            program = self.program
            self._services.models.note_program_paused(program.program_id, program.pause_s)
        if self._is_closed:
            return
        if runner.store_failed:
            self._on_stale(self)
            return
        now = anyio.current_time()
        queue = self.program.queue
        self._apply_instructions(queue.finish(runner.call_id, self.program.next_sequence, now))

    def _keep_open_call(self, runner: CallRunner) -> None:
        call = self.program.calls.get(runner.call_id)
        if call is None or call.state is CallState.FINISHED or runner.left_open is None:
            return
        machine = runner.machine
        self.program.open_call = OpenCall(
            call=call,
            texts=() if machine.must_begin_anew else tuple(machine.texts),
            software_version=machine.software_version,
            proved_not_run=runner.left_open.proved_not_run,
        )

    # Open calls.

    async def settle(self, keep: CallId | None = None) -> None:
        """Record an outcome for the open call so that the program continues; not for ``keep``.

        Raises
        ------
        PasslaneError
            If the store does not record the outcome.
        """
        open_call = self.program.open_call
        if open_call is None or open_call.call.call_id == keep:
            return
        call = open_call.call
        is_in_doubt = call.kind is CallKind.TOOL and not open_call.proved_not_run
        if is_in_doubt and not call.repeatable:
            prefix = self._attempt_prefix(call.call_id)
            await resolve_operation(self._services, self.program, open_call, prefix)
            return
        outcome = open_call.abandoned_outcome()
        command = FinishCall(
            program_id=self.program.program_id,
            partition=self.program.partition,
            epoch=self.program.epoch,
            call_id=call.call_id,
            outcome=outcome,
        )
        await self._services.store.finish_call(command, STORE_TIMEOUT_S)
        self.program.apply_finished_call(call.call_id, outcome, ())

    # Stopping.

    async def stop(self, code: ErrorCode, message: str) -> None:
        """Refuse new and waiting calls, stop a running model call, and wait until idle."""
        self._stop = StopRequested(code, message)
        for call_id in list(self._waiting):
            self.program.queue.withdraw(call_id)
            self._refuse(RefuseQueuedCall(call_id, code, message, None))
        if self._runner is not None:
            self._runner.post(self._stop)
        await self._idle.wait()
        await self.settle()

    def resume(self) -> None:
        """Accept calls again, because the program's end could not be recorded."""
        self._stop = None

    async def wait_idle(self) -> None:
        """Return when no call runs or waits."""
        while not self.is_idle:
            if self._runner is not None:
                await self._idle.wait()
            else:
                # The remaining calls wait for an earlier call that has not arrived.
                await anyio.sleep(IDLE_POLL_INTERVAL_S)

    def abort(self, error: PasslaneError) -> None:
        """Stop all work immediately, because this node no longer leads the program."""
        self._is_closed = True
        for waiting in self._waiting.values():
            for subscription in waiting.subscriptions:
                subscription.fail(error)
        self._waiting.clear()
        if self._runner is not None:
            self._runner.abort(error)
            self._runner = None
        self._idle.set()


def _require_same_request(recorded: CallRecord, request: CallRequest) -> None:
    is_same = recorded.request_digest == request_digest(request)
    is_same = is_same and request.sequence in (None, recorded.sequence)
    if not is_same:
        raise PasslaneError(
            ErrorCode.IDEMPOTENCY_MISMATCH,
            "the idempotency key or sequence number belongs to another request",
        )
