"""The replicated state of turns: programs' spending and reservations, and histories.

It is for ``TurnService``. It owns programs' reservations and spending, the stored turns, the
engines that began recent streams, the versions that serve resumable routes, and the engines that
ended under requests; ``turns.state.outputs`` has the events that callers have of turns that are to
be stored. It relies on the group to apply the same commands in the same order at each replica.

Turns form a tree and are looked up by id alone, independent of their program. The machine has no
clock: the leader advances its age by ``AdvanceAge`` (``turns.state.age_clock``).
"""

import math
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from itertools import accumulate
from typing import Protocol

import msgspec

from passlane.decisions.failure.engine_ends import EndedUnder, EngineEndCounts
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.engine_ends import AttemptFate, EngineEnd
from passlane.messages.number_bounds import bounded
from passlane.messages.quotas import TenantUsage, UsageSnapshot
from passlane.messages.snapshot_parts import grouped
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.messages.turns import (
    AdvanceAge,
    AgeAdvanced,
    BudgetSpent,
    NoteUsage,
    ReserveTurn,
    RetainedTurn,
    SettleTurn,
    TurnCommand,
    TurnReserved,
    TurnResult,
    TurnSettled,
    TurnUnknown,
    UsageNoted,
)
from passlane.turns.state.outputs import StoredOutput, TurnOutputs

RETENTION_MARGIN_S = 15.0
"""Retention of all records beyond their time, because the age of the state lags behind real time.
"""
MIN_PROGRAM_RETENTION_S = 60.0
"""Minimum retention of a program's spending after its last turn."""
STREAM_RETENTION_S = 15.0
"""Retention of a stream's origin, of its newest event and of the versions of a route; callers
resume a stream within a few seconds."""
MAX_RECORDS_PER_PART = 100
"""Programs, turns, streams or requests in one part of a snapshot, if they fit
``MAX_PART_BYTES``."""

_command_decoder = message_decoder(TurnCommand)


class ProgramSpending(msgspec.Struct):
    """A program's spent tokens, its reserved tokens by attempt, and the engine it used last."""

    spent_tokens: int = 0
    reserved: dict[str, int] = {}
    used_last: str = ""
    keep_until_s: float = 0.0


class StoredTurn(msgspec.Struct, frozen=True):
    """A stored turn and the age of the state until which it is retained."""

    turn: RetainedTurn
    keep_until_s: float


class _RecordsPart(msgspec.Struct, frozen=True):
    """A part of a snapshot with records, in the form in which it is written."""

    age_s: float
    programs: dict[str, ProgramSpending] = {}
    turns: tuple[StoredTurn, ...] = ()


class StoredStream(msgspec.Struct, frozen=True):
    """Where a stream began, and the age of the state until which this is retained."""

    origin: StreamOrigin
    keep_until_s: float


class StoredVersion(msgspec.Struct, frozen=True):
    """A version that serves a route, and the age of the state until which this is retained."""

    version: ServedVersion
    keep_until_s: float


class SnapshotPart(_RecordsPart, frozen=True):
    """Any part of a snapshot, in the form in which it is read."""

    usage: UsageSnapshot | None = None
    streams: tuple[StoredStream, ...] = ()
    engine_ends: tuple[EndedUnder, ...] = ()
    outputs: tuple[StoredOutput, ...] = ()
    versions: tuple[StoredVersion, ...] = ()


class UsagePart(msgspec.Struct, frozen=True):
    """The part of a snapshot with quota grants; older builds read it as one without records."""

    age_s: float
    usage: UsageSnapshot


class StreamsPart(msgspec.Struct, frozen=True):
    """A part of a snapshot with streams; older builds read it as one without records."""

    age_s: float
    streams: tuple[StoredStream, ...]


class EngineEndsPart(msgspec.Struct, frozen=True):
    """A part of a snapshot with ended engines; older builds read it as one without records."""

    age_s: float
    engine_ends: tuple[EndedUnder, ...]


class OutputsPart(msgspec.Struct, frozen=True):
    """A part of a snapshot with events of streams; older builds read it as one without records."""

    age_s: float
    outputs: tuple[StoredOutput, ...]


class VersionsPart(msgspec.Struct, frozen=True):
    """A part of a snapshot with versions; older builds read it as one without records."""

    age_s: float
    versions: tuple[StoredVersion, ...]


class UsageRecords(Protocol):
    """Stores the replicated quota grants, outside the state machine."""

    def snapshot(self) -> UsageSnapshot | None:
        """Return the recorded grants; ``None`` if there are none."""
        ...

    def restore(self, snapshot: UsageSnapshot) -> None:
        """Replace the recorded grants by those of a snapshot."""
        ...


UsageListener = Callable[[tuple[TenantUsage, ...], float], None]

RECORD_BYTES = 300
"""About the encoded size of a record without its content: names, numbers and their field names."""
RESERVATION_BYTES = 60
"""About the encoded size of one reservation."""


def _program_bytes(named: tuple[str, ProgramSpending]) -> int:
    return RECORD_BYTES + RESERVATION_BYTES * len(named[1].reserved)


def _turn_bytes(stored: StoredTurn) -> int:
    return RECORD_BYTES + len(stored.turn.content)


def _stream_bytes(record: StoredStream) -> int:
    return RECORD_BYTES


def _ends_bytes(record: EndedUnder) -> int:
    return RECORD_BYTES + RESERVATION_BYTES * len(record.running)


def _version_bytes(record: StoredVersion) -> int:
    return RECORD_BYTES


def _output_bytes(record: StoredOutput) -> int:
    return RECORD_BYTES + record.size_bytes


_part_decoder = msgspec.msgpack.Decoder(SnapshotPart)


class _Expiries(msgspec.Struct, frozen=True):
    """When stored turns expire, and how many bytes are freed by then; in the order of time."""

    keep_until_s: tuple[float, ...]
    freed_bytes: tuple[int, ...]

    @classmethod
    def of(cls, turns: Iterable[StoredTurn]) -> "_Expiries":
        by_time = sorted(turns, key=lambda stored: stored.keep_until_s)
        freed_bytes = accumulate(len(stored.turn.content) for stored in by_time)
        return cls(tuple(stored.keep_until_s for stored in by_time), tuple(freed_bytes))

    def freed_at_s(self, size_bytes: int, default_s: float) -> float:
        """Return when ``size_bytes`` are free, or all; ``default_s`` without turns."""
        if not self.keep_until_s:
            return default_s
        index = bisect_left(self.freed_bytes, size_bytes)
        return self.keep_until_s[min(index, len(self.keep_until_s) - 1)]


class StateSize(msgspec.Struct, frozen=True):
    """What the state holds: programs, turns, the bytes of the turns' contents, and those of the
    events of streams that may be resumed.
    """

    programs: int
    turns: int
    turn_bytes: int
    output_bytes: int = 0


class TurnStateMachine:
    """Programs' spending, the tree of turns, recent streams and ended engines (a ``StateMachine``).

    Parameters
    ----------
    on_usage
        Called with replicated quota grants and their time on the group's clock; the grants are
        not part of the state.
    usage_records
        Stores these grants; included in snapshots, which replace the commands with the grants.

    Attributes
    ----------
    engine_ends
        Engines that ended under requests; their times are ages of the state.
    outputs
        Events that callers have of turns that are to be stored.
    refused_changes
        Number of times that the set of refused and doubtful requests has changed.
    """

    def __init__(
        self,
        on_usage: UsageListener | None = None,
        usage_records: UsageRecords | None = None,
    ) -> None:
        self._on_usage = on_usage
        self._usage_records = usage_records
        self.age_s = 0.0
        self._programs: dict[str, ProgramSpending] = {}
        self._turns: dict[str, StoredTurn] = {}
        self._turn_bytes = 0
        self._expiries: _Expiries | None = None
        self._streams: dict[str, StoredStream] = {}
        self._versions: dict[ServedVersion, float] = {}
        self.engine_ends = EngineEndCounts()
        self.outputs = TurnOutputs()
        self._noted_revision = 0
        self.refused_changes = 0
        self._refused_listener: Callable[[], None] | None = None
        self._age_listener: Callable[[float], None] | None = None

    @property
    def size(self) -> StateSize:
        """What the state holds."""
        return StateSize(
            len(self._programs), len(self._turns), self._turn_bytes, self.outputs.size_bytes
        )

    def history_bytes(self, turn_id: str | None) -> int:
        """Return the size of the chain that ends with ``turn_id``; 0 for an unknown one."""
        size_bytes = 0
        while turn_id is not None and turn_id in self._turns:
            turn = self._turns[turn_id].turn
            size_bytes += len(turn.content)
            turn_id = turn.previous
        return size_bytes

    def time_until_freed_s(self, size_bytes: int) -> float:
        """Return the time until turns of together ``size_bytes`` have expired.

        Turns that are extended meanwhile expire later. Without so many turns it is the time until
        the last one.
        """
        if self._expiries is None:
            self._expiries = _Expiries.of(self._turns.values())
        return max(0.0, self._expiries.freed_at_s(size_bytes, self.age_s) - self.age_s)

    def on_refused(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever the set of refused and doubtful requests has changed."""
        self._refused_listener = listener

    def on_age(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with the age whenever it was advanced or restored."""
        self._age_listener = listener

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
            return self._forward_usage(command)
        return self._advance_age(command)

    def knows_program(self, program_id: str) -> bool:
        """Whether a turn of the program was reserved recently.

        A program may have only a settlement, if its caller left before anything was reserved.
        """
        program = self._programs.get(program_id)
        return program is not None and program.keep_until_s > 0.0

    def last_engine(self, program_id: str) -> str:
        """Return the engine instance that a program used last; empty if unknown."""
        program = self._programs.get(program_id)
        return program.used_last if program is not None else ""

    def stream_origin(self, stream_id: str) -> StreamOrigin | None:
        """Return where a stream began; ``None`` if it is not stored."""
        stored = self._streams.get(stream_id)
        return stored.origin if stored is not None else None

    def knows_version(self, version: ServedVersion) -> bool:
        """Whether a version is recorded for a route."""
        return version in self._versions

    def version_recorded_s(self, version: ServedVersion) -> float:
        """Return the age since a version was recorded for a route; infinite if it is not."""
        keep_until_s = self._versions.get(version, -math.inf)
        return self._stream_kept_until_s - keep_until_s

    def served_versions(self, address: str) -> tuple[ServedVersion, ...]:
        """Return the versions recorded for routes that begin an address of host and path."""
        return tuple(version for version in self._versions if address.startswith(version.address))

    def history_of(self, turn_id: str | None) -> bytes:
        """Return the concatenated contents of the chain of turns that ends with ``turn_id``."""
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
            self._extend_chain_retention(command.previous, self.age_s + command.retention_s)
        program = self._programs.setdefault(command.program_id, ProgramSpending())
        self._extend_program_retention(program, command.retention_s)
        if command.attempt_id in program.reserved:
            return self._reserved(command, program)
        reserved = sum(program.reserved.values())
        required = program.spent_tokens + reserved + command.most_tokens
        if command.budget_tokens is not None and required > command.budget_tokens:
            return BudgetSpent(spent_tokens=program.spent_tokens, reserved_tokens=bounded(reserved))
        program.reserved[command.attempt_id] = command.most_tokens
        if command.request_key:
            self.engine_ends.begin_attempt(
                command.request_key, command.attempt_id, self._counted_at_s
            )
        return self._reserved(command, program)

    def _reserved(self, command: ReserveTurn, program: ProgramSpending) -> TurnReserved:
        """Return the answer to a reservation, which begins the turn's output or continues it."""
        return TurnReserved(used_last=program.used_last, output_before=self._begin_output(command))

    def _begin_output(self, command: ReserveTurn) -> bytes | None:
        """Begin or continue the output of a turn; return what the caller has of it."""
        request = command.output
        if request is None:
            if command.request_key:
                self.outputs.forget(command.request_key)
            return None
        if request.is_resumed:
            return self.outputs.resume(request, command.attempt_id, self._stream_kept_until_s)
        self.outputs.begin(request, command.attempt_id, self._stream_kept_until_s)
        return None

    def _settle(self, command: SettleTurn) -> TurnSettled:
        program = self._programs.setdefault(command.program_id, ProgramSpending())
        if program.reserved.pop(command.attempt_id, None) is not None:
            program.spent_tokens = bounded(program.spent_tokens + command.tokens)
        program.used_last = command.served_by or program.used_last
        self._end_attempt(command)
        turn = command.turn
        if turn is not None and turn.turn_id not in self._turns:
            self._store_turn(turn)
        return TurnSettled()

    def _end_attempt(self, command: SettleTurn) -> None:
        """Count the engines of an attempt that has ended in place of the attempt."""
        if not command.request_key:
            return
        for instance in command.unknown_engines:
            self.engine_ends.record_unknown(command.request_key, instance, self._counted_at_s)
        self.engine_ends.end_attempt(command.request_key, command.attempt_id)
        self._note_refused_changes()

    @property
    def _counted_at_s(self) -> float:
        """Age from which the retention of ended engines counts."""
        return self.age_s + RETENTION_MARGIN_S

    def _store_turn(self, turn: RetainedTurn) -> None:
        keep_until_s = self.age_s + turn.retention_s + RETENTION_MARGIN_S
        self._turns[turn.turn_id] = StoredTurn(turn, keep_until_s)
        self._turn_bytes += len(turn.content)
        if turn.previous is not None:
            self._extend_chain_retention(turn.previous, self.age_s + turn.retention_s)

    def _extend_chain_retention(self, turn_id: str | None, until_s: float) -> None:
        """Extend the retention of a turn and its predecessors to an age plus the margin."""
        until_s += RETENTION_MARGIN_S
        while turn_id is not None:
            stored = self._turns.get(turn_id)
            if stored is None or stored.keep_until_s >= until_s:
                return
            self._turns[turn_id] = StoredTurn(stored.turn, until_s)
            turn_id = stored.turn.previous

    def _extend_program_retention(self, program: ProgramSpending, retention_s: float) -> None:
        retention_with_margin_s = max(retention_s, MIN_PROGRAM_RETENTION_S) + RETENTION_MARGIN_S
        program.keep_until_s = max(program.keep_until_s, self.age_s + retention_with_margin_s)

    def _forward_usage(self, command: NoteUsage) -> UsageNoted:
        """Forward the grants to the quota ledger; they are not part of the state."""
        if self._on_usage is not None:
            self._on_usage(command.usages, command.group_s)
        return UsageNoted()

    def _advance_age(self, command: AdvanceAge) -> AgeAdvanced:
        self._store_streams(command.begun_streams)
        for forwarded in command.forwarded_events:
            self.outputs.append(forwarded, self._stream_kept_until_s)
        for version in command.served_versions:
            self._versions[version] = self._stream_kept_until_s
        self._count_fates(command.attempt_fates, command.engine_ends)
        if command.target_age_s is not None:
            self._expire(max(self.age_s, command.target_age_s))
        elif command.seconds:
            self._expire(self.age_s + command.seconds)
        return AgeAdvanced(age_s=self.age_s)

    def _store_streams(self, origins: Iterable[StreamOrigin]) -> None:
        """Store where streams began; the first report of a stream applies."""
        keep_until_s = self._stream_kept_until_s
        for origin in origins:
            self._streams.setdefault(origin.stream_id, StoredStream(origin, keep_until_s))

    @property
    def _stream_kept_until_s(self) -> float:
        """Age until which what is stored now of a stream is retained."""
        return self.age_s + STREAM_RETENTION_S + RETENTION_MARGIN_S

    def _count_fates(self, fates: Iterable[AttemptFate], ends: Iterable[EngineEnd]) -> None:
        """Count engines of unknown fate and ended ones; those that live count no longer."""
        for fate in fates:
            if not fate.is_alive:
                self.engine_ends.record_unknown(fate.request_key, fate.instance, self._counted_at_s)
        for end in ends:
            self.engine_ends.record(end.request_key, end.instance, self._counted_at_s)
        for fate in fates:
            if fate.is_alive:
                self.engine_ends.record_alive(fate.request_key, fate.instance)
        self._note_refused_changes()

    def _note_refused_changes(self) -> None:
        if self.engine_ends.revision != self._noted_revision:
            self._noted_revision = self.engine_ends.revision
            self._note_refused()

    def _note_refused(self) -> None:
        self.refused_changes += 1
        if self._refused_listener is not None:
            self._refused_listener()

    def _expire(self, age_s: float) -> None:
        """Advance the age to ``age_s`` and remove what is retained no longer."""
        self.age_s = age_s
        self._note_age()
        self._turns = {
            turn_id: stored
            for turn_id, stored in self._turns.items()
            if stored.keep_until_s >= self.age_s
        }
        self._count_turn_bytes()
        self._programs = {
            program_id: program
            for program_id, program in self._programs.items()
            if program.keep_until_s >= self.age_s
        }
        self._streams = {
            stream_id: stored
            for stream_id, stored in self._streams.items()
            if stored.keep_until_s >= self.age_s
        }
        self._versions = {
            version: keep_until_s
            for version, keep_until_s in self._versions.items()
            if keep_until_s >= self.age_s
        }
        self.engine_ends.expire(self.age_s)
        self.outputs.expire(self.age_s)

    def _count_turn_bytes(self) -> None:
        self._expiries = None
        self._turn_bytes = sum(len(stored.turn.content) for stored in self._turns.values())

    def _note_age(self) -> None:
        if self._age_listener is not None:
            self._age_listener(self.age_s)

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the state at the time of this call, encoded in parts."""
        programs = [
            (program_id, msgspec.structs.replace(program, reserved=dict(program.reserved)))
            for program_id, program in self._programs.items()
        ]
        turns = list(self._turns.values())
        streams = list(self._streams.values())
        usage = self._usage_records.snapshot() if self._usage_records is not None else None
        ends = self.engine_ends.all()
        outputs = self.outputs.all()
        versions = [StoredVersion(*recorded) for recorded in self._versions.items()]
        return self._encode_parts(
            self.age_s, programs, turns, streams, ends, outputs, versions, usage
        )

    @staticmethod
    def _encode_parts(
        age_s: float,
        programs: list[tuple[str, ProgramSpending]],
        turns: list[StoredTurn],
        streams: list[StoredStream],
        ends: list[EndedUnder],
        outputs: list[StoredOutput],
        versions: list[StoredVersion],
        usage: UsageSnapshot | None,
    ) -> Iterator[bytes]:
        yield msgspec.msgpack.encode(_RecordsPart(age_s))
        if usage is not None:
            yield msgspec.msgpack.encode(UsagePart(age_s, usage))
        for part_programs in grouped(programs, MAX_RECORDS_PER_PART, _program_bytes):
            yield msgspec.msgpack.encode(_RecordsPart(age_s, programs=dict(part_programs)))
        for part_turns in grouped(turns, MAX_RECORDS_PER_PART, _turn_bytes):
            yield msgspec.msgpack.encode(_RecordsPart(age_s, turns=part_turns))
        for part_streams in grouped(streams, MAX_RECORDS_PER_PART, _stream_bytes):
            yield msgspec.msgpack.encode(StreamsPart(age_s, part_streams))
        for part_ends in grouped(ends, MAX_RECORDS_PER_PART, _ends_bytes):
            yield msgspec.msgpack.encode(EngineEndsPart(age_s, part_ends))
        for part_outputs in grouped(outputs, MAX_RECORDS_PER_PART, _output_bytes):
            yield msgspec.msgpack.encode(OutputsPart(age_s, part_outputs))
        for part_versions in grouped(versions, MAX_RECORDS_PER_PART, _version_bytes):
            yield msgspec.msgpack.encode(VersionsPart(age_s, part_versions))

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state by that of a snapshot; yields after each part."""
        restored = TurnStateMachine()
        usage: UsageSnapshot | None = None
        for data in parts:
            part = _part_decoder.decode(data)
            restored.age_s = part.age_s
            usage = part.usage or usage
            restored._programs.update(part.programs)
            restored._turns.update({stored.turn.turn_id: stored for stored in part.turns})
            restored._streams.update({stored.origin.stream_id: stored for stored in part.streams})
            restored.engine_ends.restore(part.engine_ends)
            restored.outputs.restore(part.outputs)
            restored._versions.update({s.version: s.keep_until_s for s in part.versions})
            yield
        self.age_s = restored.age_s
        self._note_age()
        self._programs = restored._programs
        self._turns = restored._turns
        self._count_turn_bytes()
        self._streams = restored._streams
        self.engine_ends = restored.engine_ends
        self.outputs = restored.outputs
        self._versions = restored._versions
        self._noted_revision = self.engine_ends.revision
        self._note_refused()
        if usage is not None and self._usage_records is not None:
            self._usage_records.restore(usage)
