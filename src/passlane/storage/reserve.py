"""Disk space that is reserved for a replica whose disk is full.

The space lets the replica still store its votes and the entries that it has accepted.
"""

import errno

from passlane.runtime.interfaces import Disk

RESERVE_BYTES = 2_000_000
"""Size of the reserve: two batches of entries of the maximum size."""

SPACE_RETRY_S = 0.5
"""Interval between attempts to recover space on a full disk."""


def is_disk_full(error: OSError) -> bool:
    """Return whether ``error`` means that the disk or its quota is full."""
    return error.errno in (errno.ENOSPC, errno.EDQUOT)


class DiskReserve:
    """A file that is removed to free space when the disk is full."""

    def __init__(self, disk: Disk, folder: str, size_bytes: int = RESERVE_BYTES) -> None:
        self._disk = disk
        self._name = f"{folder}/reserve"
        self._size_bytes = size_bytes

    async def allocate(self) -> bool:
        """Allocate the space if needed; return whether it is allocated."""
        if self._allocated_bytes() == self._size_bytes:
            return True
        await self.release()
        try:
            file = self._disk.open_append(self._name)
            try:
                file.write(bytes(self._size_bytes))
                await file.sync()
            finally:
                file.close()
        except OSError as error:
            if not is_disk_full(error):
                raise
            await self.release()
            return False
        return True

    async def release(self) -> None:
        """Free the space."""
        await self._disk.remove(self._name)

    def _allocated_bytes(self) -> int:
        """Return the size of the reserve file; 0 if there is none."""
        try:
            return self._disk.open_read(self._name).size
        except FileNotFoundError:
            # The space was freed, or never allocated.
            return 0
