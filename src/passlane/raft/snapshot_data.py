"""The encoded state of a snapshot, wherever its bytes are kept."""

import bisect
from typing import Protocol


class SnapshotData(Protocol):
    """Bytes that are read in slices; ``bytes`` will do, and so will a file on the disk.

    A replica only passes it on, and its shell reads the chunks that are sent, so a state of
    gigabytes need not be in memory twice.
    """

    def __len__(self) -> int: ...

    def __getitem__(self, key: slice, /) -> bytes: ...


class ReceivedSnapshotData:
    """A snapshot in the chunks in which it arrived, which are never copied together."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._starts: list[int] = []
        self._length = 0

    def append(self, chunk: bytes) -> None:
        """Add the chunk that follows."""
        if not chunk:
            return
        self._chunks.append(chunk)
        self._starts.append(self._length)
        self._length += len(chunk)

    def __len__(self) -> int:
        return self._length

    def __getitem__(self, key: slice, /) -> bytes:
        start, stop, step = key.indices(self._length)
        if step != 1:
            raise ValueError("only slices of consecutive bytes can be read")
        pieces = []
        position = bisect.bisect_right(self._starts, start) - 1
        while start < stop:
            offset = start - self._starts[position]
            piece = self._chunks[position][offset : offset + stop - start]
            pieces.append(piece)
            start += len(piece)
            position += 1
        return b"".join(pieces)
