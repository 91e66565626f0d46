"""Incremental updates from earlier lists of backends to the newest one.

For: a fleet may have thousands of backends and hundreds of nodes, and the list changes whenever a
backend starts or stops. A node with a recent list receives the changes since; any other receives
the whole list. Each update is packed once, independent of the number of receivers.
Owns: the changes between the newest lists, and their packed forms.
Relies on: nothing; no I/O.
"""

import zlib
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from passlane.messages.listing import BackendChanges, BackendRecord

MAX_RETAINED_CHANGES = 64
"""Changes that are retained for incremental updates; the list changes a few times a second at
most."""
_COMPRESSION_LEVEL = 1
"""Fastest level of zlib, because each change is packed separately."""
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BackendChanges)


def changes_between(
    before: Iterable[BackendRecord], after: Iterable[BackendRecord]
) -> BackendChanges:
    """Return the changes from one list to another."""
    old = {record.instance_id: record for record in before}
    new = {record.instance_id: record for record in after}
    changed = tuple(record for name, record in new.items() if old.get(name) != record)
    return BackendChanges(changed=changed, gone=tuple(name for name in old if name not in new))


def merge_changes(changes: Iterable[BackendChanges]) -> BackendChanges:
    """Merge consecutive changes into one with the same effect."""
    changed: dict[str, BackendRecord] = {}
    gone: dict[str, None] = {}
    for change in changes:
        for record in change.changed:
            changed[record.instance_id] = record
            gone.pop(record.instance_id, None)
        for name in change.gone:
            changed.pop(name, None)
            gone[name] = None
    return BackendChanges(changed=tuple(changed.values()), gone=tuple(gone))


def apply_changes(
    records: Iterable[BackendRecord], changes: BackendChanges
) -> tuple[BackendRecord, ...]:
    """Return the list after the changes."""
    by_name = {record.instance_id: record for record in records}
    for name in changes.gone:
        by_name.pop(name, None)
    by_name.update((record.instance_id, record) for record in changes.changed)
    return tuple(by_name.values())


def pack(changes: BackendChanges) -> bytes:
    """Return the packed form of changes."""
    return zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> BackendChanges:
    """Return unpacked changes.

    Raises
    ------
    zlib.error, msgspec.DecodeError
        When the bytes cannot be decoded.
    """
    return _decoder.decode(zlib.decompress(data))


class _NumberedChanges(msgspec.Struct, frozen=True):
    """The changes from the previous list to the list of this number."""

    number: int
    changes: BackendChanges


class ListingUpdates:
    """Updates from recent lists to the newest one."""

    def __init__(self) -> None:
        self._changes: deque[_NumberedChanges] = deque(maxlen=MAX_RETAINED_CHANGES)
        self._records: Sequence[BackendRecord] = ()
        self._packed: dict[int, bytes] = {}

    def record_list(self, number: int, records: Sequence[BackendRecord]) -> None:
        """Record the newest list and its number, which must be higher than all before."""
        self._changes.append(_NumberedChanges(number, changes_between(self._records, records)))
        self._records = records
        self._packed.clear()

    def since(self, number: int) -> int:
        """Return the base number of an update for a process with list ``number``.

        This is ``number`` itself if its changes are retained, else 0 for an empty list.
        """
        is_retained = any(entry.number == number for entry in self._changes)
        return number if is_retained else 0

    def update_since(self, number: int) -> bytes:
        """Return the packed update from list ``number`` (0: empty list) to the newest one."""
        if number not in self._packed:
            self._packed[number] = pack(self._changes_since(number))
        return self._packed[number]

    def _changes_since(self, number: int) -> BackendChanges:
        if number == 0:
            return BackendChanges(changed=tuple(self._records), gone=())
        return merge_changes(entry.changes for entry in self._changes if entry.number > number)
