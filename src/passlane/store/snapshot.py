"""The snapshot of the store's state machine: its format and its codec.

A snapshot consists of a header, parts with documents, and parts with programs in the
order of their creation. Parts are small, so that encoding one blocks the event loop only
for milliseconds; only a program with a very long history makes a larger part.
"""

from collections.abc import Iterator

import msgspec

from passlane.configuration.ledger import ConfigurationLedger
from passlane.identifiers import ProgramId, Revision
from passlane.messages.control import Document
from passlane.messages.snapshot_parts import MAX_PART_BYTES, grouped
from passlane.messages.store import (
    CallState,
    PartitionAssignment,
    ProgramRecord,
    ProgramState,
    Turn,
)
from passlane.store.accounts import Account
from passlane.store.assignments import AssignmentTable
from passlane.store.program import StoredProgram
from passlane.store.program_table import ProgramTable
from passlane.store.snapshot_capture import SnapshotCapture

FORMAT_VERSION = 2
"""Increased with each change of the snapshot's layout."""

MAX_DOCUMENTS_PER_PART = 500

ITEMS_PER_PART = 200
"""A part ends with the program whose turns and calls bring it to this number of items, or to
``MAX_PART_BYTES``."""


class ConfigurationHeader(msgspec.Struct, frozen=True):
    """Revisions of the region's ledger of documents."""

    held_revision: Revision
    accepted_revision: Revision
    floor_revision: Revision

    @classmethod
    def of(cls, ledger: ConfigurationLedger) -> "ConfigurationHeader":
        """Return the revisions of ``ledger``."""
        return cls(
            held_revision=ledger.held_revision,
            accepted_revision=ledger.accepted_revision,
            floor_revision=ledger.floor_revision,
        )

    def load_into(
        self, ledger: ConfigurationLedger, accepted: list[Document], pending: list[Document]
    ) -> None:
        """Replace the contents of ``ledger``."""
        ledger.load(
            tuple(accepted),
            tuple(pending),
            self.held_revision,
            self.accepted_revision,
            self.floor_revision,
        )


class SnapshotHeader(msgspec.Struct, frozen=True, tag="head"):
    """The first part: the partition table and the revisions of the configuration."""

    format_version: int
    assignments: tuple[PartitionAssignment, ...]
    table_version: int
    configuration: ConfigurationHeader


class AcceptedDocuments(msgspec.Struct, frozen=True, tag="accepted"):
    """Some of the accepted documents."""

    documents: tuple[Document, ...]


class PendingDocuments(msgspec.Struct, frozen=True, tag="pending"):
    """Some of the pending documents."""

    documents: tuple[Document, ...]


class Programs(msgspec.Struct, frozen=True, tag="programs", omit_defaults=True):
    """Some of the programs; a sub-agent comes after its parent.

    ``ended_backends`` has the numbers of ended back ends of programs in this part and those before,
    where there are any. Older builds pass over it.
    """

    records: tuple[ProgramRecord, ...]
    ended_backends: dict[ProgramId, int] = {}


SnapshotPart = SnapshotHeader | AcceptedDocuments | PendingDocuments | Programs

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[SnapshotPart] = msgspec.msgpack.Decoder(SnapshotPart)


def header_of(assignments: AssignmentTable, configuration: ConfigurationLedger) -> SnapshotHeader:
    """Return the header of a snapshot."""
    return SnapshotHeader(
        format_version=FORMAT_VERSION,
        assignments=assignments.all(),
        table_version=assignments.version,
        configuration=ConfigurationHeader.of(configuration),
    )


def encode_parts(
    header: SnapshotHeader,
    accepted: tuple[Document, ...],
    pending: tuple[Document, ...],
    capture: SnapshotCapture,
    ended_backends: dict[ProgramId, int],
) -> Iterator[bytes]:
    """Yield all parts as MessagePack; each is encoded on demand."""
    yield _encoder.encode(header)
    for documents in _groups_of_documents(accepted):
        yield _encoder.encode(AcceptedDocuments(documents))
    for documents in _groups_of_documents(pending):
        yield _encoder.encode(PendingDocuments(documents))
    for records in _groups_of_records(capture):
        yield _encoder.encode(Programs(records))
    if ended_backends:
        yield _encoder.encode(Programs((), ended_backends))


def _groups_of_documents(documents: tuple[Document, ...]) -> Iterator[tuple[Document, ...]]:
    return grouped(documents, MAX_DOCUMENTS_PER_PART, _document_bytes)


def _groups_of_records(capture: SnapshotCapture) -> Iterator[tuple[ProgramRecord, ...]]:
    group: list[ProgramRecord] = []
    items = 0
    group_bytes = 0
    for record in capture.records():
        group.append(record)
        items += 1 + len(record.turns) + len(record.calls)
        group_bytes += _program_bytes(record)
        if items >= ITEMS_PER_PART or group_bytes >= MAX_PART_BYTES:
            yield tuple(group)
            group, items, group_bytes = [], 0, 0
    if group:
        yield tuple(group)


def _document_bytes(document: Document) -> int:
    return len(document.body or "")


def _program_bytes(record: ProgramRecord) -> int:
    """Return about the encoded size of a record: its texts."""
    turn_bytes = sum(len(turn.content) for turn in record.turns)
    return turn_bytes + sum(len(call.outcome.body) for call in record.calls if call.outcome)


class RestoredState:
    """The state built from the parts of a snapshot, which are added in order."""

    def __init__(self) -> None:
        self._header: SnapshotHeader | None = None
        self.accepted: list[Document] = []
        self.pending: list[Document] = []
        self.programs = ProgramTable()

    def add(self, data: bytes) -> None:
        """Add the next part.

        Raises
        ------
        ValueError
            When the bytes are not a part or have an unknown format.
        """
        try:
            part = _decoder.decode(data)
        except msgspec.DecodeError as error:
            raise ValueError(f"not a part of a store snapshot: {error}") from error
        match part:
            case SnapshotHeader():
                self._set_header(part)
            case AcceptedDocuments():
                self.accepted.extend(part.documents)
            case PendingDocuments():
                self.pending.extend(part.documents)
            case Programs():
                for record in part.records:
                    self._add_program(record)
                for program_id, ended in part.ended_backends.items():
                    self._set_ended_backends(program_id, ended)

    def header(self) -> SnapshotHeader:
        """Return the header; raise ``ValueError`` if it was not added."""
        if self._header is None:
            raise ValueError("the store snapshot has no header")
        return self._header

    def _set_header(self, header: SnapshotHeader) -> None:
        if header.format_version != FORMAT_VERSION:
            raise ValueError(
                f"store snapshot has format {header.format_version}, expected {FORMAT_VERSION}"
            )
        self._header = header

    def _add_program(self, record: ProgramRecord) -> None:
        parent = None if record.parent_id is None else self.programs.find(record.parent_id)
        depth = 0 if parent is None else parent.depth + 1
        self.programs.add(program_from_record(record, depth))

    def _set_ended_backends(self, program_id: ProgramId, ended: int) -> None:
        program = self.programs.find(program_id)
        if program is None:
            raise ValueError(f"the store snapshot has no program {program_id} of an earlier part")
        program.ended_backends = ended


def program_from_record(record: ProgramRecord, depth: int) -> StoredProgram:
    """Return the program of a record, ``depth`` levels below its root program."""
    program = StoredProgram(
        program_id=record.program_id,
        tenant_id=record.tenant_id,
        partition=record.partition,
        budget=record.budget,
        budget_owner=record.budget_owner,
        parent_id=record.parent_id,
        depth=depth,
        deadline_s=record.deadline_s,
    )
    program.account = Account(program.account.limit, record.reserved, record.spent)
    program.state = ProgramState(record.state)
    program.next_sequence = record.next_sequence
    program.turns = _turns_sharing_strings(record)
    program.calls = {call.call_id: call for call in record.calls}
    program.holds = {hold.engine_id: hold.incarnation for hold in record.holds}
    for call in record.calls:
        if call.state is CallState.BEGUN:
            program.open_call = call.call_id
    return program


def _turns_sharing_strings(record: ProgramRecord) -> list[Turn]:
    """Return the turns; a turn equal to a call's body shares its string."""
    bodies = {call.outcome.body: call.outcome.body for call in record.calls if call.outcome}
    return [
        Turn(role=turn.role, content=bodies[turn.content], name=turn.name)
        if turn.content in bodies
        else turn
        for turn in record.turns
    ]
