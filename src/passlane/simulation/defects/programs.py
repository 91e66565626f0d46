"""Defects in how programs and their calls are recorded and run."""

from dataclasses import replace

import msgspec

from passlane.errors import Verdict
from passlane.identifiers import ProgramId
from passlane.messages.backends import OperationState
from passlane.messages.base import Message
from passlane.messages.store import CallOutcome, ProgramResult
from passlane.node.release_loop import PendingRelease, ReleaseLoop
from passlane.programs.call_events import StatusReceived
from passlane.programs.call_instructions import CallInstruction
from passlane.programs.call_machine import CallMachine
from passlane.programs.program_queue import BeginQueuedCall, ProgramQueue, QueueInstruction
from passlane.simulation.cluster import ClusterOptions
from passlane.simulation.defects.base import Defect, replacing
from passlane.simulation.disk import SimulatedAppendFile, SimulatedDisk
from passlane.simulation.replacement import Replacement
from passlane.store.accounts import Account
from passlane.store.machine import StoreStateMachine

UNSYNCED_BYTES = 2_000
"""So many of the newest bytes are not durable although a sync was reported."""

_record = CallMachine._record
_on_status = CallMachine._on_status
_read_program = StoreStateMachine._read_program


def _begin_newest_call(queue: ProgramQueue, now: float) -> list[QueueInstruction]:
    """Begin the newest waiting call, whatever its sequence number."""
    del now
    if queue._running is not None or not queue._waiting:
        return []
    call = queue._waiting.pop()
    queue._running = call.call_id
    return [BeginQueuedCall(call.call_id, queue.next_sequence)]


def _fit_always(_account: Account, _amounts: object) -> bool:
    return True


def _record_without_last_token(machine: CallMachine, outcome: CallOutcome) -> list[CallInstruction]:
    """Record an outcome with the last word of a model's answer missing."""
    if outcome.verdict is Verdict.RAN and machine.texts:
        kept = "".join(machine.texts[:-1])
        outcome = CallOutcome(verdict=outcome.verdict, body=kept, spent=outcome.spent)
    return _record(machine, outcome)


def _read_turns_of_another(machine: StoreStateMachine, program_id: ProgramId) -> Message:
    """Answer a read of one program with the turns of another one."""
    result = _read_program(machine, program_id)
    other = next((one for one in machine.programs if one.program_id != program_id), None)
    if other is None or not isinstance(result, ProgramResult):
        return result
    mixed = msgspec.structs.replace(result.record, turns=tuple(other.turns))
    return ProgramResult(record=mixed)


def _take_done_for_unknown(machine: CallMachine, event: StatusReceived) -> list[CallInstruction]:
    """Conclude from the status of an operation that ran that it did not."""
    if event.state is OperationState.DONE:
        event = StatusReceived(OperationState.UNKNOWN)
    return _on_status(machine, event)


def _repeat_after_doubt(_machine: CallMachine) -> bool:
    return True


def _forget_final_release(loop: ReleaseLoop, release: PendingRelease) -> None:
    """Send no order for a program that has ended."""
    del loop, release


async def _sync_late(file: SimulatedAppendFile) -> None:
    """Report a sync of all, of which the newest bytes were left out."""
    file._check_open()
    await file._disk.delay()
    file._check_open()
    synced = len(file._file.content) - UNSYNCED_BYTES
    file._file.durable_length = max(file._file.durable_length, synced)
    file._file.name_is_durable = True


def _with_late_syncs(options: ClusterOptions) -> ClusterOptions:
    late = Replacement(SimulatedAppendFile, "sync", _sync_late)
    return replace(
        options,
        replacements=(*options.replacements, late),
        wrap_disk=_without_torn_writes,
    )


def _without_torn_writes(disk: SimulatedDisk) -> SimulatedDisk:
    """Lose all that is not synced, so that what is left can be read back."""
    disk.keeps_unsynced = False
    return disk


PROGRAM_DEFECTS = (
    Defect(
        "newest-call-first",
        "order",
        "calls-sent-together",
        0,
        "the waiting call that came last runs first",
        replacing(Replacement(ProgramQueue, "advance", _begin_newest_call)),
    ),
    Defect(
        "unsynced-writes",
        "history",
        "power-lost-everywhere",
        0,
        "replicas acknowledge what no disk has",
        _with_late_syncs,
    ),
    Defect(
        "turns-of-another-program",
        "history",
        "worker-killed-between-turns",
        0,
        "a program that is loaded again gets another one's turns",
        replacing(Replacement(StoreStateMachine, "_read_program", _read_turns_of_another)),
    ),
    Defect(
        "budget-unchecked",
        "budget",
        "endless-program",
        0,
        "a reservation never fails",
        replacing(Replacement(Account, "can_reserve", _fit_always)),
    ),
    Defect(
        "release-forgotten",
        "memory",
        "undisturbed",
        0,
        "engines are not told that a program has ended",
        replacing(Replacement(ReleaseLoop, "add", _forget_final_release)),
    ),
    Defect(
        "last-token-dropped",
        "answers",
        "undisturbed",
        0,
        "the recorded answer lacks its last token",
        replacing(Replacement(CallMachine, "_record", _record_without_last_token)),
    ),
    Defect(
        "status-misread",
        "not-run",
        "faulty-application",
        0,
        "a charge that ran, as its status says, is recorded as not run",
        replacing(Replacement(CallMachine, "_on_status", _take_done_for_unknown)),
    ),
    Defect(
        "doubtful-charge-repeated",
        "at-most-once",
        "faulty-application",
        0,
        "a charge that may have run is sent again",
        replacing(Replacement(CallMachine, "_may_retry_in_doubt", property(_repeat_after_doubt))),
    ),
)
"""Defects of programs, calls and their records."""
