"""The replicated state machine of the control group: documents by version.

Each change gets the next revision and is pending until it is accepted. ``AcceptRevision``
advances the accepted revision, which never decreases. A command with a retained
idempotency key gets the result of the first command with that key.
"""

from collections.abc import Iterable, Iterator

import msgspec

from passlane.configuration.ledger import ConfigurationLedger
from passlane.configuration.parsing import check_name, parse_body, parse_kind
from passlane.configuration.references import ReferenceIndex
from passlane.control.state.idempotency import (
    MAX_RETAINED_KEYS,
    IdempotencyTable,
    KeyedCommand,
    KeyedResult,
    digest_of,
    repeated_result,
)
from passlane.control.state.snapshot import (
    FORMAT_VERSION,
    ControlSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from passlane.control.state.withdrawals import (
    Withdrawal,
    effective_changes,
    max_acceptable_revision,
)
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import Revision
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.control import (
    AcceptRevision,
    ControlCommand,
    ControlDone,
    ControlRefusal,
    ControlResult,
    Document,
    PutDocument,
    PutResult,
    SetRegions,
    VersionConflict,
    WithdrawChange,
)

MAX_PENDING_CHANGES = 10_000
"""Maximum number of pending changes, which accumulate while a region is unreachable."""

_command_decoder = message_decoder(ControlCommand)


class ControlStateMachine:
    """Documents, pending changes, regions and idempotency keys (a ``StateMachine``)."""

    def __init__(
        self,
        *,
        max_pending_changes: int = MAX_PENDING_CHANGES,
        retained_keys: int = MAX_RETAINED_KEYS,
    ) -> None:
        self._max_pending_changes = max_pending_changes
        self._keys = IdempotencyTable(retained_keys)
        self._references = ReferenceIndex()
        self._withdrawals: tuple[Withdrawal, ...] = ()
        self.ledger = ConfigurationLedger()
        self.regions: tuple[str, ...] = ()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result."""
        try:
            decoded = _command_decoder.decode(command)
        except msgspec.MsgspecError as error:
            refusal = ControlRefusal(code=ErrorCode.BAD_REQUEST.value, message=str(error))
            return encode_message(refusal)
        return encode_message(self.execute(decoded))

    def execute(self, command: ControlCommand) -> ControlResult:
        """Apply one command and return its result."""
        if isinstance(command, AcceptRevision):
            return self._accept(command.revision)
        if isinstance(command, SetRegions):
            self.regions = tuple(sorted(set(command.regions)))
            return ControlDone()
        return self._execute_idempotent(command)

    def acceptable_revision(self, prepared_revision: Revision) -> Revision:
        """Return the maximum revision to accept if all regions have ``prepared_revision``."""
        return max_acceptable_revision(
            Revision(min(prepared_revision, self.ledger.held_revision)),
            self.ledger.accepted_revision,
            self._withdrawals,
        )

    def take_snapshot(self) -> bytes:
        """Return the encoded state."""
        accepted, pending = self.ledger.dump()
        return encode_snapshot(
            ControlSnapshot(
                format_version=FORMAT_VERSION,
                newest_revision=self.ledger.held_revision,
                accepted_revision=self.ledger.accepted_revision,
                floor_revision=self.ledger.floor_revision,
                regions=self.regions,
                accepted=accepted,
                pending=pending,
                withdrawals=self._withdrawals,
                remembered=self._keys.dump(),
            )
        )

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the encoded state as one part; it is small compared with that of a store."""
        return iter((self.take_snapshot(),))

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state with that of a snapshot; yield once after reading its parts."""
        data = b"".join(parts)
        yield
        self.restore_snapshot(data)

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        snapshot = decode_snapshot(data)
        self.ledger.load(
            snapshot.accepted,
            snapshot.pending,
            snapshot.newest_revision,
            snapshot.accepted_revision,
            snapshot.floor_revision,
        )
        self.regions = snapshot.regions
        self._withdrawals = snapshot.withdrawals
        self._keys.load(snapshot.remembered)
        self._references = ReferenceIndex.of(self.ledger.newest_documents())

    def _execute_idempotent(self, command: KeyedCommand) -> KeyedResult:
        if not command.idempotency_key:
            return _refusal(ErrorCode.BAD_REQUEST, "an idempotency key is needed")
        retained = self._keys.find(command.idempotency_key)
        if retained is not None:
            if retained.digest != digest_of(command):
                return _refusal(
                    ErrorCode.IDEMPOTENCY_MISMATCH, "the key was used for another change"
                )
            return repeated_result(retained, command)
        result = self._apply_change(command)
        self._keys.record(command, result)
        return result

    def _apply_change(self, command: KeyedCommand) -> KeyedResult:
        try:
            if isinstance(command, PutDocument):
                return self._put(command)
            return self._withdraw(command)
        except PasslaneError as error:
            return _refusal(error.code, error.message)

    def _put(self, command: PutDocument) -> KeyedResult:
        if self.ledger.pending_count >= self._max_pending_changes:
            raise PasslaneError(
                ErrorCode.QUEUE_FULL, f"{self._max_pending_changes} changes are pending already"
            )
        kind = parse_kind(command.kind)
        check_name(command.name)
        newest = self.ledger.newest(command.kind, command.name)
        exists = newest is not None and newest.body is not None
        current_version = newest.version if newest is not None and exists else 0
        if command.expected_version != current_version:
            return VersionConflict(
                kind=command.kind,
                name=command.name,
                current_version=current_version,
                current=newest if exists else None,
                accepted_revision=self.ledger.accepted_revision,
            )
        if command.body is None and not exists:
            raise PasslaneError(ErrorCode.NOT_FOUND, "there is no such document")
        if command.body is not None:
            parse_body(kind, command.body)
        return PutResult(document=self._append(command.kind, command.name, command.body))

    def _withdraw(self, command: WithdrawChange) -> KeyedResult:
        change = self.ledger.pending_change(command.revision)
        if change is None:
            return self._refuse_withdrawal(command.revision)
        changes = self.ledger.pending_changes_of(change.kind, change.name)
        effective = effective_changes(changes, self._withdrawals)
        if change not in effective:
            raise PasslaneError(
                ErrorCode.VERSION_CONFLICT, "the change is withdrawn, or withdraws another"
            )
        if effective[-1] != change:
            raise PasslaneError(
                ErrorCode.VERSION_CONFLICT,
                f"revision {effective[-1].revision} changed it again; withdraw that first",
            )
        earlier = (
            effective[-2]
            if len(effective) > 1
            else self.ledger.accepted_version(change.kind, change.name)
        )
        restored = self._append(change.kind, change.name, earlier.body if earlier else None)
        self._withdrawals += (Withdrawal(change.revision, restored.revision),)
        return PutResult(document=restored)

    def _refuse_withdrawal(self, revision: Revision) -> ControlRefusal:
        if 0 < revision <= self.ledger.accepted_revision:
            return _refusal(
                ErrorCode.VERSION_CONFLICT, "the change is accepted; submit a new one instead"
            )
        return _refusal(ErrorCode.NOT_FOUND, "there is no such change")

    def _append(self, kind: str, name: str, body: str | None) -> Document:
        parsed = None if body is None else parse_body(parse_kind(kind), body)
        problem = self._references.broken_reference(kind, name, parsed)
        if problem is not None:
            raise PasslaneError(ErrorCode.INVALID_DOCUMENT, problem)
        newest = self.ledger.newest(kind, name)
        document = Document(
            kind=kind,
            name=name,
            version=self._next_version(newest),
            revision=Revision(self.ledger.held_revision + 1),
            body=body,
        )
        self.ledger.append(document)
        self._references.put(kind, name, parsed)
        return document

    def _next_version(self, newest: Document | None) -> int:
        """Return a version above all earlier versions of the document.

        A document whose deletion marker was dropped has no record. Its last version was at
        most the revision of the deletion, which is at most the floor.
        """
        if newest is not None:
            return newest.version + 1
        return self.ledger.floor_revision + 1

    def _accept(self, revision: Revision) -> ControlResult:
        self.ledger.accept(self.acceptable_revision(revision))
        self._withdrawals = tuple(
            withdrawal
            for withdrawal in self._withdrawals
            if withdrawal.restored_by > self.ledger.accepted_revision
        )
        return ControlDone()


def _refusal(code: ErrorCode, message: str) -> ControlRefusal:
    return ControlRefusal(code=code.value, message=message)
