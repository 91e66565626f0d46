"""A snapshot's encoded state on the disk, verified on each read.

A replica may send its snapshot to another one long after it was written. To detect
damage on the disk in between, the checksum of each block is kept in memory: 4 bytes for
every 256 KB.
"""

import google_crc32c

from passlane.runtime.interfaces import ReadableFile
from passlane.storage.formats import storage_corrupt

BLOCK_BYTES = 256_000


class BlockChecksums:
    """CRC-32C of each block of a byte stream; the stream is added in pieces of any size."""

    def __init__(self, block_bytes: int = BLOCK_BYTES) -> None:
        self.block_bytes = block_bytes
        self._block_checksums: list[int] = []
        self._partial_block_checksum = 0
        self.length = 0

    def add(self, data: bytes) -> None:
        """Add the next piece of the stream."""
        offset = 0
        while offset < len(data):
            missing_bytes = self.block_bytes - self.length % self.block_bytes
            piece = data[offset : offset + missing_bytes]
            self._partial_block_checksum = google_crc32c.extend(self._partial_block_checksum, piece)
            self.length += len(piece)
            offset += len(piece)
            if self.length % self.block_bytes == 0:
                self._block_checksums.append(self._partial_block_checksum)
                self._partial_block_checksum = 0

    def matches(self, block: int, data: bytes) -> bool:
        """Return whether ``data`` has the length and checksum of block number ``block``."""
        if block < len(self._block_checksums):
            expected = self._block_checksums[block]
            expected_bytes = self.block_bytes
        else:
            expected = self._partial_block_checksum
            expected_bytes = self.length % self.block_bytes
        return len(data) == expected_bytes and google_crc32c.value(data) == expected


class FileSnapshotData:
    """The bytes of ``file`` from offset ``start`` on; implements ``SnapshotData``.

    Parameters
    ----------
    checksums
        Checksums of these bytes, computed when they were written or first read.
    """

    def __init__(self, file: ReadableFile, start: int, checksums: BlockChecksums) -> None:
        self._file = file
        self._start = start
        self._checksums = checksums
        self._cached_block: tuple[int, bytes] | None = None

    def __len__(self) -> int:
        return self._checksums.length

    def __getitem__(self, key: slice, /) -> bytes:
        """Return a contiguous slice.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when a block does not match its checksum.
        """
        begin, end, step = key.indices(len(self))
        if step != 1:
            raise ValueError("only slices with a step of 1 can be read")
        if begin >= end:
            return b""
        block_bytes = self._checksums.block_bytes
        first_block = begin // block_bytes
        last_block = (end - 1) // block_bytes
        blocks = b"".join(self._block(number) for number in range(first_block, last_block + 1))
        skipped = first_block * block_bytes
        return blocks[begin - skipped : end - skipped]

    def _block(self, number: int) -> bytes:
        """Return a verified block; the last one read is cached."""
        if self._cached_block is not None and self._cached_block[0] == number:
            return self._cached_block[1]
        block_bytes = self._checksums.block_bytes
        data = self._file.read_at(self._start + number * block_bytes, block_bytes)
        if not self._checksums.matches(number, data):
            raise storage_corrupt(f"block {number} of the snapshot does not match its checksum")
        self._cached_block = (number, data)
        return data
