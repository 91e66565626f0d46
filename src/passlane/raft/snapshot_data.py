"""The encoded state of a snapshot, wherever its bytes are kept."""

from typing import Protocol


class SnapshotData(Protocol):
    """Bytes that are read in slices; ``bytes`` will do, and so will a file on the disk.

    A replica only passes it on and cuts chunks from it, so a state of gigabytes need not
    be in memory twice.
    """

    def __len__(self) -> int: ...

    def __getitem__(self, key: slice, /) -> bytes: ...
