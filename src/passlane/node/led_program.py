"""The state of a program in the memory of the node that leads it.

Starts from the program's stored record and is updated after each change is recorded in the
store.
"""

from dataclasses import dataclass

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import CallId, EngineId, Epoch, Partition, ProgramId, TenantId
from passlane.messages.common import Amounts
from passlane.messages.store import (
    CallOutcome,
    CallRecord,
    CallState,
    EngineHold,
    ProgramRecord,
    ProgramState,
    Turn,
)
from passlane.programs.program_queue import ProgramQueue
from passlane.programs.token_estimate import estimate_tokens


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A recorded call that has no outcome and is not running.

    Attributes
    ----------
    texts
        Tokens of its answer that have been generated so far, and that a repeat continues.
    software_version
        Version of the engines that generated them; empty if unknown.
    proved_not_run
        Whether this leader knows that no part of it has run.
    """

    call: CallRecord
    texts: tuple[str, ...] = ()
    software_version: str = ""
    proved_not_run: bool = False

    def abandoned_outcome(self) -> CallOutcome:
        """Return the outcome to record when the program continues without this call."""
        verdict = Verdict.NOT_RUN if self.proved_not_run else Verdict.MAY_HAVE_RUN
        spent = Amounts() if self.proved_not_run else self.call.reserved
        return CallOutcome(
            verdict=verdict,
            error_code=ErrorCode.BACKEND_FAILED,
            error_message="the program went on without this call",
            spent=spent,
        )


class LedProgram:
    """History, calls and queue of a program; valid for one epoch of its partition.

    Attributes
    ----------
    prompt_tokens
        Estimated number of tokens of the history.
    spent_tokens
        Tokens spent by its own calls.
    pause_s
        Expected pause in seconds between two of its model calls.
    deadline
        Local monotonic time in seconds at which the program must end; ``None``: no deadline.
    ended_backends
        Back ends that ended while they ran the newest call, as far as this leader knows.
    """

    def __init__(self, record: ProgramRecord, epoch: Epoch, now: float) -> None:
        self.program_id: ProgramId = record.program_id
        self.tenant_id: TenantId = record.tenant_id
        self.partition: Partition = record.partition
        self.epoch = epoch
        self.parent_id = record.parent_id
        self.budget = record.budget
        self.is_ended = record.state is ProgramState.ENDED
        self.turns: list[Turn] = list(record.turns)
        self.prompt_tokens = estimate_tokens(record.turns)
        self.calls: dict[CallId, CallRecord] = {call.call_id: call for call in record.calls}
        self.holds: dict[EngineId, int] = {
            hold.engine_id: hold.incarnation for hold in record.holds
        }
        self.spent_tokens = record.spent.tokens
        self.pause_s = 0.0
        self.next_sequence = record.next_sequence
        self.queue = ProgramQueue(record.next_sequence, now)
        self.open_call: OpenCall | None = self._find_open_call()
        self.deadline = None if record.deadline_s is None else now + record.deadline_s
        self.last_used_at = now
        self.ended_backends = 0

    def _find_open_call(self) -> OpenCall | None:
        for call in reversed(self.calls.values()):
            if call.state is CallState.BEGUN:
                return OpenCall(call)
        return None

    def apply_begun_call(self, call: CallRecord, turns: tuple[Turn, ...]) -> None:
        """Apply a recorded intent of a call; its turns are appended only once."""
        if call.call_id not in self.calls:
            self._append(turns)
        self.calls[call.call_id] = call
        self.next_sequence = max(self.next_sequence, call.sequence + 1)

    def apply_finished_call(
        self, call_id: CallId, outcome: CallOutcome, turns: tuple[Turn, ...]
    ) -> None:
        """Apply the recorded outcome of a call."""
        call = self.calls[call_id]
        self.calls[call_id] = msgspec.structs.replace(
            call, state=CallState.FINISHED, outcome=outcome
        )
        self.spent_tokens += outcome.spent.tokens
        self._append(turns)
        if self.open_call is not None and self.open_call.call.call_id == call_id:
            self.open_call = None

    def _append(self, turns: tuple[Turn, ...]) -> None:
        self.turns.extend(turns)
        self.prompt_tokens += estimate_tokens(turns)

    def add_hold(self, hold: EngineHold) -> None:
        """Add an engine that may have cache for the program."""
        self.holds[hold.engine_id] = max(hold.incarnation, self.holds.get(hold.engine_id, 0))

    def remove_hold(self, engine_id: EngineId) -> None:
        """Remove an engine that has no cache for the program any more."""
        self.holds.pop(engine_id, None)
