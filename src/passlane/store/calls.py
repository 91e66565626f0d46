"""Beginning and finishing calls: sequence, budget and idempotency checks.

A program has at most one open call. Repeated commands return the recorded call.
"""

import msgspec

from passlane.errors import ErrorCode
from passlane.messages.store import (
    BeginCall,
    BeginCallResult,
    CallRecord,
    CallState,
    FinishCall,
    Turn,
)
from passlane.store.accounts import AccountChain
from passlane.store.program import StoredProgram
from passlane.store.refusal import CommandRefusedError


def begin_call(
    program: StoredProgram, accounts: AccountChain, command: BeginCall
) -> BeginCallResult:
    """Record a call before it runs, or return its existing record.

    Raises
    ------
    CommandRefusedError
        ``IDEMPOTENCY_MISMATCH``, ``PROGRAM_ENDED``, ``WRONG_SEQUENCE``,
        ``BUDGET_EXCEEDED`` or ``BAD_REQUEST``; the state is unchanged then.
    """
    recorded = program.calls.get(command.call_id)
    if recorded is not None:
        call = _begin_repeated(program, accounts, recorded, command)
    else:
        call = _begin_new(program, accounts, command)
    history = tuple(program.turns) if command.want_history else ()
    is_open = program.open_call == call.call_id
    return BeginCallResult(
        call=call,
        already_recorded=recorded is not None,
        history=history,
        ended_backends=program.ended_backends if is_open else 0,
    )


def _begin_new(program: StoredProgram, accounts: AccountChain, command: BeginCall) -> CallRecord:
    if program.is_ended:
        raise CommandRefusedError(ErrorCode.PROGRAM_ENDED, "the program has ended")
    if command.sequence != program.next_sequence:
        raise CommandRefusedError(
            ErrorCode.WRONG_SEQUENCE,
            f"the next call has sequence number {program.next_sequence}, not {command.sequence}",
        )
    if program.open_call is not None:
        raise CommandRefusedError(
            ErrorCode.WRONG_SEQUENCE, "the previous call has not finished yet"
        )
    accounts.reserve(command.reserve)
    call = CallRecord(
        call_id=command.call_id,
        sequence=command.sequence,
        kind=command.kind,
        target=command.target,
        repeatable=command.repeatable,
        request_digest=command.request_digest,
        reserved=command.reserve,
        epoch=command.epoch,
        application_id=command.application_id,
    )
    program.ended_backends = _inherited_ends(program, command)
    program.calls[call.call_id] = call
    program.open_call = call.call_id
    program.next_sequence += 1
    program.turns.extend(command.turns)
    return call


def _inherited_ends(program: StoredProgram, command: BeginCall) -> int:
    """Return the back ends that ended under an equal call directly before, if it did not succeed.

    A caller that repeats a call without its identifier sends an equal one.
    """
    last = next(reversed(program.calls.values()), None)
    if last is None or last.request_digest != command.request_digest:
        return 0
    has_succeeded = last.outcome is not None and last.outcome.error_code is None
    return 0 if has_succeeded else program.ended_backends


def _begin_repeated(
    program: StoredProgram, accounts: AccountChain, recorded: CallRecord, command: BeginCall
) -> CallRecord:
    is_same_request = (
        recorded.request_digest == command.request_digest and recorded.sequence == command.sequence
    )
    if not is_same_request:
        raise CommandRefusedError(
            ErrorCode.IDEMPOTENCY_MISMATCH, "the call's identifier belongs to another request"
        )
    if program.open_call == command.call_id:
        program.ended_backends = max(program.ended_backends, command.ended_backends)
    needs_rerun = (
        recorded.state is CallState.BEGUN
        and recorded.repeatable
        and recorded.epoch < command.epoch
        and not program.is_ended
    )
    if not needs_rerun:
        return recorded
    accounts.renew_reservation(recorded.reserved, command.reserve)
    call = msgspec.structs.replace(recorded, reserved=command.reserve, epoch=command.epoch)
    program.calls[call.call_id] = call
    return call


def finish_call(program: StoredProgram, accounts: AccountChain, command: FinishCall) -> None:
    """Record the outcome of a call. The first outcome is final.

    Raises
    ------
    CommandRefusedError
        ``NOT_FOUND`` for a call that has not begun; ``BUDGET_EXCEEDED`` when more was
        spent than reserved; ``BAD_REQUEST`` for a negative amount.
    """
    call = program.calls.get(command.call_id)
    if call is None:
        raise CommandRefusedError(ErrorCode.NOT_FOUND, "the call has not begun")
    if call.state is CallState.FINISHED:
        return
    accounts.settle(call.reserved, command.outcome.spent)
    program.calls[call.call_id] = msgspec.structs.replace(
        call, state=CallState.FINISHED, outcome=command.outcome
    )
    program.open_call = None
    program.turns.extend(_turns_sharing_body(command))
    if command.hold is not None:
        program.record_hold(command.hold)


def _turns_sharing_body(command: FinishCall) -> tuple[Turn, ...]:
    """Return the new turns; a turn equal to the outcome's body shares its string."""
    body = command.outcome.body
    return tuple(
        Turn(role=turn.role, content=body, name=turn.name) if turn.content == body else turn
        for turn in command.turns
    )
