"""A disk for experiments: counts syncs and bytes, and can sync on the loop itself."""

import os
from pathlib import Path

from passlane.runtime.disk import RealDisk
from passlane.runtime.interfaces import AppendFile


class CountingFile:
    """An append file that counts; with ``on_loop`` a sync holds up the loop."""

    def __init__(self, disk: "CountingDisk", file: AppendFile, path: str) -> None:
        self._disk = disk
        self._file = file
        self._path = path

    def write(self, data: bytes) -> None:
        """Append and count."""
        self._file.write(data)
        self._disk.bytes_written += len(data)

    async def sync(self) -> None:
        """Sync and count."""
        self._disk.syncs += 1
        if not self._disk.syncs_on_loop:
            await self._file.sync()
            return
        descriptor = os.open(self._path, os.O_WRONLY)
        os.fdatasync(descriptor)
        os.close(descriptor)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class CountingDisk(RealDisk):
    """The real disk with counters; ``syncs_on_loop`` is what a single thread would do."""

    def __init__(self, root: str, *, syncs_on_loop: bool = False) -> None:
        super().__init__(Path(root))
        self.root = root
        self.syncs_on_loop = syncs_on_loop
        self.syncs = 0
        self.bytes_written = 0

    def open_append(self, name: str) -> CountingFile:  # type: ignore[override]
        """Open a file for appending."""
        return CountingFile(self, super().open_append(name), f"{self.root}/{name}")
