"""The snapshot of the store's state machine: its format and its codec."""

import msgspec

from passlane.configuration.ledger import ConfigurationLedger
from passlane.identifiers import Revision
from passlane.messages.control import Document
from passlane.messages.store import (
    CallState,
    PartitionAssignment,
    ProgramRecord,
    ProgramState,
    Turn,
)
from passlane.store.accounts import Account
from passlane.store.program import StoredProgram

FORMAT_VERSION = 1
"""Grows with each change of the snapshot's layout."""


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """The region's ledger of documents."""

    accepted: tuple[Document, ...]
    pending: tuple[Document, ...]
    held_revision: Revision
    accepted_revision: Revision
    floor_revision: Revision

    @classmethod
    def of(cls, ledger: ConfigurationLedger) -> "ConfigurationSnapshot":
        """Return what ``ledger`` holds."""
        accepted, pending = ledger.dump()
        return cls(
            accepted=accepted,
            pending=pending,
            held_revision=ledger.held_revision,
            accepted_revision=ledger.accepted_revision,
            floor_revision=ledger.floor_revision,
        )

    def load_into(self, ledger: ConfigurationLedger) -> None:
        """Replace what ``ledger`` holds."""
        ledger.load(
            self.accepted,
            self.pending,
            self.held_revision,
            self.accepted_revision,
            self.floor_revision,
        )


class StoreSnapshot(msgspec.Struct, frozen=True):
    """The whole state: programs in the order of their creation, table, configuration."""

    format_version: int
    programs: tuple[ProgramRecord, ...]
    assignments: tuple[PartitionAssignment, ...]
    table_version: int
    configuration: ConfigurationSnapshot


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoreSnapshot)


def encode_snapshot(snapshot: StoreSnapshot) -> bytes:
    """Return the snapshot as MessagePack."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> StoreSnapshot:
    """Return the snapshot in ``data``.

    Raises
    ------
    ValueError
        When the bytes are no snapshot, or of a format this version does not know.
    """
    try:
        snapshot = _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"not a store snapshot: {error}") from error
    if snapshot.format_version != FORMAT_VERSION:
        raise ValueError(f"store snapshot has unknown format {snapshot.format_version}")
    return snapshot


def program_from_record(record: ProgramRecord, depth: int) -> StoredProgram:
    """Return the program that a record was made of, at ``depth`` levels below its root."""
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
    program.turns = _turns_sharing_bodies(record)
    program.calls = {call.call_id: call for call in record.calls}
    program.holds = {hold.engine_id: hold.incarnation for hold in record.holds}
    for call in record.calls:
        if call.state is CallState.BEGUN:
            program.open_call = call.call_id
    return program


def _turns_sharing_bodies(record: ProgramRecord) -> list[Turn]:
    """Return the turns; an answer's text is held once for its turn and its call."""
    bodies = {call.outcome.body: call.outcome.body for call in record.calls if call.outcome}
    return [
        Turn(role=turn.role, content=bodies[turn.content], name=turn.name)
        if turn.content in bodies
        else turn
        for turn in record.turns
    ]
