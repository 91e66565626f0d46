"""Records the intent and the outcome of one call in the store group."""

from collections.abc import Awaitable, Callable

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.store import BeginCall, BeginCallResult, EngineHold, FinishCall
from passlane.node.call_context import CallContext
from passlane.node.led_program import LedProgram, OpenCall
from passlane.node.program_store import ProgramStore
from passlane.observability.logging import get_logger
from passlane.programs.call_events import (
    CallMachineEvent,
    EndedBackendRecorded,
    IntentRecorded,
    IntentRefused,
    OutcomeRecorded,
    OutcomeRefused,
)
from passlane.programs.call_identity import request_digest
from passlane.programs.call_instructions import RecordOutcome

STORE_TIMEOUT_S = 15.0
"""Timeout of a command, which allows for a change of the store's leader."""

ENDED_BACKEND_TIMEOUT_S = 2.0
"""Timeout of recording that a back end ended, for which the next attempt waits."""

DEFINITE_REFUSALS = frozenset(
    {
        ErrorCode.BUDGET_EXCEEDED,
        ErrorCode.PROGRAM_ENDED,
        ErrorCode.DISK_FULL,
        ErrorCode.IDEMPOTENCY_MISMATCH,
    }
)
"""Refusals of an intent after which the program in memory still matches the store."""


_log = get_logger(__name__)


class CallRecords:
    """Writes the records of one call to the store and applies them to the program in memory.

    Parameters
    ----------
    settle_open_call
        Records an outcome for the program's open call, if that is another call.

    Attributes
    ----------
    may_be_inconsistent
        Whether the record in the store may differ from the program in memory.
    """

    def __init__(
        self,
        store: ProgramStore,
        program: LedProgram,
        context: CallContext,
        settle_open_call: Callable[[], Awaitable[None]],
    ) -> None:
        self.may_be_inconsistent = False
        self._store = store
        self._program = program
        self._context = context
        self._settle_open_call = settle_open_call

    async def record_intent(self) -> CallMachineEvent:
        """Record the intent and return the resulting event."""
        try:
            result = await self._begin_call()
        except PasslaneError as error:
            if error.code not in DEFINITE_REFUSALS:
                self.may_be_inconsistent = True
            return IntentRefused(error.code, error.message, error.retry_after_s)
        self._program.apply_begun_call(result.call, self._context.request.turns)
        reopened = self._context.reopened
        # Without an open call nothing was sent in this epoch: such a record is this command's own.
        is_own_record = reopened is None and result.call.epoch == self._program.epoch
        is_proved_not_run = is_own_record or (reopened is not None and reopened.proved_not_run)
        self._program.ended_backends = result.ended_backends
        return IntentRecorded(
            result.call, result.already_recorded, is_proved_not_run, result.ended_backends
        )

    async def _begin_call(self) -> BeginCallResult:
        await self._settle_open_call()
        reopened = self._context.reopened
        if reopened is not None and not self._needs_new_reservation(reopened):
            return BeginCallResult(
                call=reopened.call,
                already_recorded=True,
                ended_backends=self._program.ended_backends,
            )
        return await self._store.begin_call(self._begin_command(), STORE_TIMEOUT_S)

    def _begin_command(self, ended_backends: int = 0) -> BeginCall:
        plan = self._context.plan
        request = self._context.request
        offer = self._context.offer
        return BeginCall(
            program_id=self._program.program_id,
            partition=self._program.partition,
            epoch=self._program.epoch,
            call_id=plan.call_id,
            sequence=self._context.sequence,
            kind=plan.kind,
            target=plan.target,
            repeatable=plan.repeatable,
            request_digest=request_digest(request),
            reserve=plan.reserve,
            turns=request.turns,
            application_id=None if offer is None else offer.application_id,
            ended_backends=ended_backends,
        )

    async def record_ended_backend(self, ended_backends: int) -> CallMachineEvent:
        """Record the number of back ends that ended under the call, for later requests for it.

        If the store does not confirm it, the call goes on, and the number is known to this leader
        alone.
        """
        command = self._begin_command(ended_backends)
        call_id = self._context.plan.call_id
        self._program.ended_backends = ended_backends
        try:
            await self._store.begin_call(command, ENDED_BACKEND_TIMEOUT_S)
        except PasslaneError as error:
            _log.warning(
                "ended_backend_not_recorded",
                call_id=call_id,
                ended_backends=ended_backends,
                code=error.code.value,
            )
        else:
            _log.info("ended_backend_recorded", call_id=call_id, ended_backends=ended_backends)
        return EndedBackendRecorded()

    def _needs_new_reservation(self, reopened: OpenCall) -> bool:
        """Return whether running the reopened call again needs a new reservation."""
        return reopened.call.repeatable and reopened.call.epoch < self._program.epoch

    async def record_outcome(
        self, instruction: RecordOutcome, hold: EngineHold | None
    ) -> CallMachineEvent:
        """Record the outcome and the engine's hold, if any, and return the resulting event."""
        call_id = self._context.plan.call_id
        command = FinishCall(
            program_id=self._program.program_id,
            partition=self._program.partition,
            epoch=self._program.epoch,
            call_id=call_id,
            outcome=instruction.outcome,
            turns=instruction.turns,
            hold=hold,
        )
        try:
            await self._store.finish_call(command, STORE_TIMEOUT_S)
        except PasslaneError as error:
            self.may_be_inconsistent = True
            return OutcomeRefused(error.code, error.message)
        self._program.apply_finished_call(call_id, instruction.outcome, instruction.turns)
        if hold is not None:
            self._program.add_hold(hold)
        return OutcomeRecorded()
