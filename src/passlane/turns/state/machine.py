"""The replicated state of turns: what programs spent and reserved, and histories.

It is for the service of turns. It owns programs' reservations and spending, and kept turns; it
relies on the group to apply the same commands in the same order at each replica.

Turns form a tree and are found by their id alone, whatever program they belong to.
The machine has no clock: the leader tells by ``AdvanceAge`` that time has passed, so
what must be kept for some seconds is never forgotten early, whoever leads.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import msgspec

from passlane.messages.base import encode_message, message_decoder
from passlane.messages.quotas import TenantUsage, UsageSnapshot
from passlane.messages.turns import (
    AdvanceAge,
    AgeAdvanced,
    BudgetSpent,
    KeptTurn,
    NoteUsage,
    ReserveTurn,
    SettleTurn,
    TurnCommand,
    TurnReserved,
    TurnResult,
    TurnSettled,
    TurnUnknown,
    UsageNoted,
)

RETENTION_MARGIN_S = 15.0
"""Seconds for which records are kept beyond what was asked: the age of the state lags behind real
time. Not measured; chosen."""
PROGRAM_RETENTION_S = 60.0
"""Seconds for which a program's spending is remembered after its last turn, at least. Not
measured; chosen."""
RECORDS_IN_PART = 100
"""Programs or turns in one part of a snapshot. Not measured; chosen."""

_command_decoder = message_decoder(TurnCommand)


class ProgramSpending(msgspec.Struct):
    """Tokens of one program, settled and reserved by attempt, and the engine it used last."""

    spent_tokens: int = 0
    reserved: dict[str, int] = {}
    used_last: str = ""
    keep_until_s: float = 0.0


class StoredTurn(msgspec.Struct, frozen=True):
    """A kept turn and the age until which it is kept."""

    turn: KeptTurn
    keep_until_s: float


class _RecordsPart(msgspec.Struct, frozen=True):
    """Some records of a snapshot, as they are written."""

    age_s: float
    programs: dict[str, ProgramSpending] = {}
    turns: tuple[StoredTurn, ...] = ()


class SnapshotPart(_RecordsPart, frozen=True):
    """Any part of a snapshot, as it is read."""

    usage: UsageSnapshot | None = None


class UsagePart(msgspec.Struct, frozen=True):
    """The part of a snapshot that tells of grants; older builds read it as one without records."""

    age_s: float
    usage: UsageSnapshot


class UsageRecords(Protocol):
    """Keeps what was granted to tenants, beside the state."""

    def snapshot(self) -> UsageSnapshot | None:
        """Return what is known; ``None`` if nothing is."""
        ...

    def restore(self, snapshot: UsageSnapshot) -> None:
        """Know what a snapshot tells, and nothing else."""
        ...


UsageListener = Callable[[tuple[TenantUsage, ...], float], None]

_part_decoder = msgspec.msgpack.Decoder(SnapshotPart)


class TurnStateMachine:
    """Programs' spending and the tree of turns (a ``StateMachine``).

    Parameters
    ----------
    note_usage
        Told what was granted to tenants, and when on the group's clock; no part of the state.
    usage_records
        Keeps what was told; goes into snapshots, since they stand for the commands that told it.
    """

    def __init__(
        self,
        note_usage: UsageListener | None = None,
        usage_records: UsageRecords | None = None,
    ) -> None:
        self._note_usage = note_usage
        self._usage_records = usage_records
        self.age_s = 0.0
        self._programs: dict[str, ProgramSpending] = {}
        self._turns: dict[str, StoredTurn] = {}

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result."""
        return encode_message(self.execute(_command_decoder.decode(command)))

    def execute(self, command: TurnCommand) -> TurnResult:
        """Apply one command and return its result."""
        if isinstance(command, ReserveTurn):
            return self._reserve(command)
        if isinstance(command, SettleTurn):
            return self._settle(command)
        if isinstance(command, NoteUsage):
            return self._pass_usage_on(command)
        return self._advance_age(command)

    def knows_program(self, program_id: str) -> bool:
        """Whether a turn of the program was reserved of late.

        A program may have a settlement alone: its caller left before anything was reserved.
        """
        program = self._programs.get(program_id)
        return program is not None and program.keep_until_s > 0.0

    def used_last(self, program_id: str) -> str:
        """Return the engine instance that a program used last; empty if unknown."""
        program = self._programs.get(program_id)
        return program.used_last if program is not None else ""

    def history_of(self, turn_id: str | None) -> bytes:
        """Return what the chain that ends with a turn puts before a new input."""
        contents: list[bytes] = []
        while turn_id is not None:
            turn = self._turns[turn_id].turn
            contents.append(turn.content)
            turn_id = turn.previous
        return b"".join(reversed(contents))

    def _reserve(self, command: ReserveTurn) -> TurnResult:
        if command.previous is not None and command.previous not in self._turns:
            return TurnUnknown(turn_id=command.previous)
        if command.previous is not None:
            self._keep_chain(command.previous, self.age_s + command.retention_s)
        program = self._programs.setdefault(command.program_id, ProgramSpending())
        self._keep_program(program, command.retention_s)
        if command.attempt_id in program.reserved:
            return TurnReserved(used_last=program.used_last)
        reserved = sum(program.reserved.values())
        wanted = program.spent_tokens + reserved + command.most_tokens
        if command.budget_tokens is not None and wanted > command.budget_tokens:
            return BudgetSpent(spent_tokens=program.spent_tokens, reserved_tokens=reserved)
        program.reserved[command.attempt_id] = command.most_tokens
        return TurnReserved(used_last=program.used_last)

    def _settle(self, command: SettleTurn) -> TurnSettled:
        program = self._programs.setdefault(command.program_id, ProgramSpending())
        if program.reserved.pop(command.attempt_id, None) is not None:
            program.spent_tokens += command.tokens
        program.used_last = command.served_by or program.used_last
        turn = command.turn
        if turn is not None and turn.turn_id not in self._turns:
            self._keep_turn(turn)
        return TurnSettled()

    def _keep_turn(self, turn: KeptTurn) -> None:
        keep_until_s = self.age_s + turn.retention_s + RETENTION_MARGIN_S
        self._turns[turn.turn_id] = StoredTurn(turn, keep_until_s)
        if turn.previous is not None:
            self._keep_chain(turn.previous, self.age_s + turn.retention_s)

    def _keep_chain(self, turn_id: str | None, until_s: float) -> None:
        """Keep a turn and all before it at least until an age."""
        until_s += RETENTION_MARGIN_S
        while turn_id is not None:
            stored = self._turns.get(turn_id)
            if stored is None or stored.keep_until_s >= until_s:
                return
            self._turns[turn_id] = StoredTurn(stored.turn, until_s)
            turn_id = stored.turn.previous

    def _keep_program(self, program: ProgramSpending, retention_s: float) -> None:
        kept_s = max(retention_s, PROGRAM_RETENTION_S) + RETENTION_MARGIN_S
        program.keep_until_s = max(program.keep_until_s, self.age_s + kept_s)

    def _pass_usage_on(self, command: NoteUsage) -> UsageNoted:
        """Tell whoever counts against limits; the state itself holds nothing of it."""
        if self._note_usage is not None:
            self._note_usage(command.usages, command.group_s)
        return UsageNoted()

    def _advance_age(self, command: AdvanceAge) -> AgeAdvanced:
        self.age_s += command.seconds
        self._turns = {
            turn_id: stored
            for turn_id, stored in self._turns.items()
            if stored.keep_until_s >= self.age_s
        }
        self._programs = {
            program_id: program
            for program_id, program in self._programs.items()
            if program.keep_until_s >= self.age_s
        }
        return AgeAdvanced(age_s=self.age_s)

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the state as of this call, encoded in parts."""
        programs = [
            (program_id, msgspec.structs.replace(program, reserved=dict(program.reserved)))
            for program_id, program in self._programs.items()
        ]
        turns = list(self._turns.values())
        usage = self._usage_records.snapshot() if self._usage_records is not None else None
        return self._encode_parts(self.age_s, programs, turns, usage)

    @staticmethod
    def _encode_parts(
        age_s: float,
        programs: list[tuple[str, ProgramSpending]],
        turns: list[StoredTurn],
        usage: UsageSnapshot | None,
    ) -> Iterator[bytes]:
        yield msgspec.msgpack.encode(_RecordsPart(age_s))
        if usage is not None:
            yield msgspec.msgpack.encode(UsagePart(age_s, usage))
        for start in range(0, len(programs), RECORDS_IN_PART):
            some = dict(programs[start : start + RECORDS_IN_PART])
            yield msgspec.msgpack.encode(_RecordsPart(age_s, programs=some))
        for start in range(0, len(turns), RECORDS_IN_PART):
            some_turns = tuple(turns[start : start + RECORDS_IN_PART])
            yield msgspec.msgpack.encode(_RecordsPart(age_s, turns=some_turns))

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state by that of a snapshot."""
        restored = TurnStateMachine()
        usage: UsageSnapshot | None = None
        for data in parts:
            part = _part_decoder.decode(data)
            restored.age_s = part.age_s
            usage = part.usage or usage
            restored._programs.update(part.programs)
            restored._turns.update({stored.turn.turn_id: stored for stored in part.turns})
            yield
        self.age_s = restored.age_s
        self._programs = restored._programs
        self._turns = restored._turns
        if usage is not None and self._usage_records is not None:
            self._usage_records.restore(usage)
