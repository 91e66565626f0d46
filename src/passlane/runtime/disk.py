"""The real disk: files below one data folder, durable once synced.

Syncing can take seconds, so it runs on worker threads and does not block the event loop.
File names are durable too: after a file is created, replaced or removed, its folder is
synced.
"""

import errno
import os
import weakref
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path, PurePosixPath
from typing import TypeVar

import anyio
import anyio.to_thread

from passlane.runtime.worker_thread import WorkerThread

TEMPORARY_SUFFIX = ".new"
"""Suffix of a temporary file that is written before it replaces the target file."""

SYNC_INTERVAL_BYTES = 4_000_000
"""A file written in parts is synced at this interval, so that no single large sync delays
the syncs of the log."""

MAX_SYNC_THREADS = 8
"""Maximum number of concurrent blocking operations on one data folder."""


Result = TypeVar("Result")


def _sync_folder(folder: Path) -> None:
    """Sync ``folder``, which makes the names in it durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _create_folder(folder: Path) -> None:
    """Create ``folder`` and its parents; each new name is durable on return."""
    if folder.is_dir():
        return
    _create_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    _sync_folder(folder.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of ``data``, since ``os.write`` may write only a part of it."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


class _ReplacementFile:
    """A temporary file that atomically replaces its target; used on worker threads."""

    def __init__(self, path: Path) -> None:
        _create_folder(path.parent)
        self._path = path
        self._temporary_path = path.with_name(path.name + TEMPORARY_SUFFIX)
        self._unsynced_bytes = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._descriptor = os.open(self._temporary_path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Append ``data``; sync after each ``SYNC_INTERVAL_BYTES``."""
        _write_all(self._descriptor, data)
        self._unsynced_bytes += len(data)
        if self._unsynced_bytes >= SYNC_INTERVAL_BYTES:
            os.fdatasync(self._descriptor)
            self._unsynced_bytes = 0

    def commit(self) -> None:
        """Sync the file, rename it to its target and sync the folder."""
        os.fsync(self._descriptor)
        self._close()
        self._temporary_path.rename(self._path)
        _sync_folder(self._path.parent)

    def abandon(self) -> None:
        """Remove the temporary file unless it was committed."""
        self._close()
        self._temporary_path.unlink(missing_ok=True)

    def _close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def _truncate_file(path: Path, length: int) -> None:
    """Truncate and sync a file; runs on a worker thread."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove_file(path: Path) -> None:
    """Remove a file and sync its folder; runs on a worker thread."""
    if not path.exists():
        return
    path.unlink()
    _sync_folder(path.parent)


class RealReadableFile:
    """A file opened for reading; see ``ReadableFile``."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        self._size = os.fstat(self._descriptor).st_size
        weakref.finalize(self, os.close, self._descriptor)

    @property
    def size(self) -> int:
        """Length in bytes when the file was opened."""
        return self._size

    def read_at(self, offset: int, length: int) -> bytes:
        """Return up to ``length`` bytes from ``offset`` on; fewer at the end of the file."""
        parts = []
        while length > 0:
            part = os.pread(self._descriptor, length, offset)
            if not part:
                break
            parts.append(part)
            offset += len(part)
            length -= len(part)
        return b"".join(parts)


class RealAppendFile:
    """A file opened for appending; see ``AppendFile``.

    A write that fails partway, as on a full disk, is rolled back.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._sync_thread = WorkerThread(self._sync)
        self._name_is_durable = path.exists()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)
        self._size = os.fstat(self._descriptor).st_size

    def write(self, data: bytes) -> None:
        """Append ``data``; on failure raise ``OSError`` and restore the previous length."""
        try:
            _write_all(self._descriptor, data)
        except OSError:
            os.ftruncate(self._descriptor, self._size)
            raise
        self._size += len(data)

    async def sync(self) -> None:
        """Return when all data written before the call is durable."""
        await self._sync_thread.run()

    def _sync(self) -> None:
        """Sync the data and, the first time, the file name; runs on a worker thread."""
        os.fdatasync(self._descriptor)
        if not self._name_is_durable:
            _sync_folder(self._path.parent)
            self._name_is_durable = True

    def close(self) -> None:
        """Close the file without syncing."""
        self._sync_thread.stop()
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class RealDisk:
    """Files below ``root``; see ``passlane.runtime.interfaces.Disk``."""

    def __init__(self, root: Path) -> None:
        self._root = root
        self._limiter: anyio.CapacityLimiter | None = None

    def list_files(self, folder: str) -> list[str]:
        """Return the sorted names of the files in ``folder``; empty if it is missing."""
        path = self._path(folder)
        if not path.is_dir():
            return []
        names = [entry.name for entry in path.iterdir() if entry.is_file()]
        return sorted(name for name in names if not name.endswith(TEMPORARY_SUFFIX))

    def read(self, name: str) -> bytes:
        """Return the whole file; raise ``FileNotFoundError`` if it is missing."""
        return self._path(name).read_bytes()

    def open_read(self, name: str) -> RealReadableFile:
        """Open a file for reading; raise ``FileNotFoundError`` if it is missing."""
        return RealReadableFile(self._path(name))

    def open_append(self, name: str) -> RealAppendFile:
        """Open a file for appending; create it and its folders if they are missing."""
        path = self._path(name)
        _create_folder(path.parent)
        return RealAppendFile(path)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace the file with ``data``, atomically and durably."""
        await self.replace_with_parts(name, (data,))

    async def replace_with_parts(self, name: str, parts: Iterable[bytes]) -> None:
        """Replace the file with the concatenated ``parts``, atomically and durably.

        Each part is produced on the event loop and written on a worker thread.
        """
        file = await self._run_blocking(partial(_ReplacementFile, self._path(name)))
        try:
            for part in parts:
                await self._run_blocking(partial(file.write, part))
            await self._run_blocking(file.commit)
        except BaseException:
            file.abandon()
            raise

    async def truncate(self, name: str, length: int) -> None:
        """Truncate the file to ``length`` bytes, durably."""
        await self._run_blocking(partial(_truncate_file, self._path(name), length))

    async def remove(self, name: str) -> None:
        """Remove the file, durably; do nothing if it is missing."""
        await self._run_blocking(partial(_remove_file, self._path(name)))

    async def _run_blocking(self, function: Callable[[], Result]) -> Result:
        """Run a blocking function on a worker thread."""
        return await anyio.to_thread.run_sync(function, limiter=self._thread_limiter())

    def _thread_limiter(self) -> anyio.CapacityLimiter:
        """Return the limiter, created on first use because it needs a running event loop."""
        if self._limiter is None:
            self._limiter = anyio.CapacityLimiter(MAX_SYNC_THREADS)
        return self._limiter

    def _path(self, name: str) -> Path:
        """Return the path of ``name``; reject names that leave the root."""
        parts = PurePosixPath(name)
        if parts.is_absolute() or ".." in parts.parts:
            raise OSError(errno.EINVAL, f"file name must be relative and without '..': {name!r}")
        return self._root / parts
