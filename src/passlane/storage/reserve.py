"""Space set aside so that a replica can still vote and store accepted entries when full."""

import errno

from passlane.runtime.interfaces import Disk

RESERVE_BYTES = 2_000_000
"""Size of the reserve: room for two of the largest batches of entries."""

SPACE_RETRY_S = 0.5
"""Pause between tries to get space back on a full disk."""


def is_disk_full(error: OSError) -> bool:
    """Return whether ``error`` says that there is no space left."""
    return error.errno in (errno.ENOSPC, errno.EDQUOT)


class DiskReserve:
    """A file that is removed to make room when the disk is full."""

    def __init__(self, disk: Disk, folder: str, size_bytes: int = RESERVE_BYTES) -> None:
        self._disk = disk
        self._name = f"{folder}/reserve"
        self._size_bytes = size_bytes

    async def hold(self) -> bool:
        """Set the space aside; return whether there was enough."""
        if self._held_bytes() == self._size_bytes:
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
        """Give the space back to the disk."""
        await self._disk.remove(self._name)

    def _held_bytes(self) -> int:
        """Return the size of the reserve file."""
        try:
            return self._disk.open_read(self._name).size
        except FileNotFoundError:
            # Given back to the disk, or never held.
            return 0
