"""What a process that holds an earlier list of back ends is told of the newest one.

For: a fleet may have thousands of back ends and hundreds of nodes, and the list changes
whenever one of them comes or leaves. A node that holds a recent list is told what has changed
since; any other gets the whole list. Each update is packed once, however many nodes get it.
Owns: the changes that led to the newest lists, and their packed forms.
Relies on: nothing; no I/O.
"""

import zlib
from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from passlane.messages.listing import BackendChanges, BackendRecord

LISTS_REMEMBERED = 64
"""Changes that a node may have missed and still be told one by one; at most some a second come.

Not measured; chosen.
"""
_COMPRESSION_LEVEL = 1
"""Level of zlib: the fastest, since each change is packed anew. Not measured; chosen."""
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(BackendChanges)


def changes_between(
    before: Iterable[BackendRecord], after: Iterable[BackendRecord]
) -> BackendChanges:
    """Return what turns one list into another."""
    old = {record.instance_id: record for record in before}
    new = {record.instance_id: record for record in after}
    changed = tuple(record for name, record in new.items() if old.get(name) != record)
    return BackendChanges(changed=changed, gone=tuple(name for name in old if name not in new))


def merged(changes: Iterable[BackendChanges]) -> BackendChanges:
    """Return one change that has the effect of all, in their order."""
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
    """Return the list after a change."""
    by_name = {record.instance_id: record for record in records}
    for name in changes.gone:
        by_name.pop(name, None)
    by_name.update((record.instance_id, record) for record in changes.changed)
    return tuple(by_name.values())


def pack(changes: BackendChanges) -> bytes:
    """Return the packed form of a change."""
    return zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> BackendChanges:
    """Return a packed change.

    Raises
    ------
    zlib.error, msgspec.DecodeError
        When the bytes hold none.
    """
    return _decoder.decode(zlib.decompress(data))


class _NumberedChanges(msgspec.Struct, frozen=True):
    """What led to the list of a number from the one before."""

    number: int
    changes: BackendChanges


class ListingUpdates:
    """Updates from the lists of the last numbers to the newest one."""

    def __init__(self) -> None:
        self._changes: deque[_NumberedChanges] = deque(maxlen=LISTS_REMEMBERED)
        self._records: Sequence[BackendRecord] = ()
        self._packed: dict[int, bytes] = {}

    def note_list(self, number: int, records: Sequence[BackendRecord]) -> None:
        """Note the newest list and its number, which is higher than those before."""
        self._changes.append(_NumberedChanges(number, changes_between(self._records, records)))
        self._records = records
        self._packed.clear()

    def since(self, number: int) -> int:
        """Return the number to start from for a process that holds ``number``; 0 for nothing."""
        is_known = any(known.number == number for known in self._changes)
        return number if is_known else 0

    def update_since(self, number: int) -> bytes:
        """Return the packed update from the list of ``number`` to the newest one; 0 for no list."""
        if number not in self._packed:
            self._packed[number] = pack(self._changes_since(number))
        return self._packed[number]

    def _changes_since(self, number: int) -> BackendChanges:
        if number == 0:
            return BackendChanges(changed=tuple(self._records), gone=())
        return merged(known.changes for known in self._changes if known.number > number)
