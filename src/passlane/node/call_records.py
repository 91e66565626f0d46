"""Records of one call in the store group: its intent and its outcome."""

from collections.abc import Awaitable, Callable

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.store import BeginCall, BeginCallResult, EngineHold, FinishCall
from passlane.node.call_set_up import CallSetUp
from passlane.node.led_program import LedProgram, OpenCall
from passlane.node.program_store import ProgramStore
from passlane.programs.call_events import (
    CallEventIn,
    IntentRecorded,
    IntentRefused,
    OutcomeRecorded,
    OutcomeRefused,
)
from passlane.programs.call_identity import request_digest
from passlane.programs.call_instructions import RecordOutcome

STORE_TIMEOUT_S = 15.0
"""How long a command may take, over changes of the store's leader."""

CLEAR_REFUSALS = frozenset(
    {
        ErrorCode.BUDGET_EXCEEDED,
        ErrorCode.PROGRAM_ENDED,
        ErrorCode.DISK_FULL,
        ErrorCode.IDEMPOTENCY_MISMATCH,
    }
)
"""Refusals of an intent that leave the program in memory as true as it was."""


class CallRecords:
    """Writes the records of one call and takes them in at the program in memory.

    Parameters
    ----------
    settle
        Settles the program's open call, if another one is open, before this one begins.

    Attributes
    ----------
    have_failed
        The record in the store may differ from the program in memory.
    """

    def __init__(
        self,
        store: ProgramStore,
        program: LedProgram,
        set_up: CallSetUp,
        settle: Callable[[], Awaitable[None]],
    ) -> None:
        self.have_failed = False
        self._store = store
        self._program = program
        self._set_up = set_up
        self._settle = settle

    async def record_intent(self) -> CallEventIn:
        """Record the intent and return what came of it."""
        try:
            result = await self._begin_call()
        except PasslaneError as error:
            if error.code not in CLEAR_REFUSALS:
                self.have_failed = True
            return IntentRefused(error.code, error.message, error.retry_after_s)
        self._program.note_begun(result.call, self._set_up.request.turns)
        reopened = self._set_up.reopened
        # Nothing was sent in this epoch before: a record of it is this command's own echo.
        is_echo = reopened is None and result.call.epoch == self._program.epoch
        is_proved = is_echo or (reopened is not None and reopened.proved_not_run)
        return IntentRecorded(result.call, result.already_recorded, is_proved)

    async def _begin_call(self) -> BeginCallResult:
        await self._settle()
        reopened = self._set_up.reopened
        if reopened is not None and not self._must_renew(reopened):
            return BeginCallResult(call=reopened.call, already_recorded=True)
        plan = self._set_up.plan
        request = self._set_up.request
        offer = self._set_up.offer
        command = BeginCall(
            program_id=self._program.program_id,
            partition=self._program.partition,
            epoch=self._program.epoch,
            call_id=plan.call_id,
            sequence=self._set_up.sequence,
            kind=plan.kind,
            target=plan.target,
            repeatable=plan.repeatable,
            request_digest=request_digest(request),
            reserve=plan.reserve,
            turns=request.turns,
            application_id=None if offer is None else offer.application_id,
        )
        return await self._store.begin_call(command, STORE_TIMEOUT_S)

    def _must_renew(self, reopened: OpenCall) -> bool:
        """Return whether running the call again needs a reservation of its own."""
        return reopened.call.repeatable and reopened.call.epoch < self._program.epoch

    async def record_outcome(
        self, instruction: RecordOutcome, hold: EngineHold | None
    ) -> CallEventIn:
        """Record the outcome, with the memory that an engine holds, and return what came of it."""
        call_id = self._set_up.plan.call_id
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
            self.have_failed = True
            return OutcomeRefused(error.code, error.message)
        self._program.note_finished(call_id, instruction.outcome, instruction.turns)
        if hold is not None:
            self._program.note_hold(hold)
        return OutcomeRecorded()
