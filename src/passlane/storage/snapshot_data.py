"""A snapshot's encoded state on the disk, checked whenever a piece of it is read.

A replica reads its snapshot long after it was written, to send it to another. A bit
that the disk lost meanwhile must not reach the other replica, so a checksum of each
block is kept in memory: 4 bytes for every 256 KB.
"""

import google_crc32c

from passlane.runtime.interfaces import ReadableFile
from passlane.storage.formats import storage_corrupt

BLOCK_BYTES = 256_000


class BlockChecksums:
    """CRC-32C of each block of a stream of bytes, which is added in pieces of any size."""

    def __init__(self, block_bytes: int = BLOCK_BYTES) -> None:
        self.block_bytes = block_bytes
        self._whole_blocks: list[int] = []
        self._open_block = 0
        self.length = 0

    def add(self, data: bytes) -> None:
        """Count the next piece."""
        offset = 0
        while offset < len(data):
            room = self.block_bytes - self.length % self.block_bytes
            piece = data[offset : offset + room]
            self._open_block = google_crc32c.extend(self._open_block, piece)
            self.length += len(piece)
            offset += len(piece)
            if self.length % self.block_bytes == 0:
                self._whole_blocks.append(self._open_block)
                self._open_block = 0

    def matches(self, block: int, data: bytes) -> bool:
        """Return whether ``data`` is the block of that number."""
        if block < len(self._whole_blocks):
            expected = self._whole_blocks[block]
            expected_bytes = self.block_bytes
        else:
            expected = self._open_block
            expected_bytes = self.length % self.block_bytes
        return len(data) == expected_bytes and google_crc32c.value(data) == expected


class FileSnapshotData:
    """The bytes of ``file`` from ``start`` on; implements ``SnapshotData``.

    Parameters
    ----------
    checksums
        Taken when the bytes were written or first read.
    """

    def __init__(self, file: ReadableFile, start: int, checksums: BlockChecksums) -> None:
        self._file = file
        self._start = start
        self._checksums = checksums
        self._last_block: tuple[int, bytes] | None = None

    def __len__(self) -> int:
        return self._checksums.length

    def __getitem__(self, key: slice, /) -> bytes:
        """Return a contiguous slice.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when the disk gives other bytes than were written.
        """
        begin, end, step = key.indices(len(self))
        if step != 1:
            raise ValueError("only contiguous slices can be read")
        if begin >= end:
            return b""
        block_bytes = self._checksums.block_bytes
        first_block = begin // block_bytes
        last_block = (end - 1) // block_bytes
        blocks = b"".join(self._block(number) for number in range(first_block, last_block + 1))
        skipped = first_block * block_bytes
        return blocks[begin - skipped : end - skipped]

    def _block(self, number: int) -> bytes:
        """Return a block that passed its checksum; the last one read is kept."""
        if self._last_block is not None and self._last_block[0] == number:
            return self._last_block[1]
        block_bytes = self._checksums.block_bytes
        data = self._file.read_at(self._start + number * block_bytes, block_bytes)
        if not self._checksums.matches(number, data):
            raise storage_corrupt(f"block {number} of a snapshot was damaged on the disk")
        self._last_block = (number, data)
        return data
