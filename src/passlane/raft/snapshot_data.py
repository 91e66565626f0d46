"""The encoded state of a snapshot, in memory or on disk."""

import bisect
from typing import Protocol


class SnapshotData(Protocol):
    """Bytes that can be read in slices, such as ``bytes`` or a file on disk.

    The replica never reads the data; its shell reads each chunk when it is sent, so a large
    state is not in memory twice.
    """

    def __len__(self) -> int: ...

    def __getitem__(self, key: slice, /) -> bytes: ...


class ReceivedSnapshotData:
    """A snapshot stored as the received chunks, which are not joined into one buffer."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._starts: list[int] = []
        self._length = 0

    def append(self, chunk: bytes) -> None:
        """Append the next chunk."""
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
            raise ValueError(f"slice step must be 1, got {step}")
        pieces = []
        position = bisect.bisect_right(self._starts, start) - 1
        while start < stop:
            offset = start - self._starts[position]
            piece = self._chunks[position][offset : offset + stop - start]
            pieces.append(piece)
            start += len(piece)
            position += 1
        return b"".join(pieces)
