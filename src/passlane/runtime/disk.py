"""The real disk: files below one folder, durable once synced.

Syncing may take milliseconds to seconds, so it runs on a worker thread while the
loop goes on; see docs/design/storage.md. Names end up durable too: whenever a file
was made, replaced or removed, its folder is synced.
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
"""Ending of a file that is being written beside the one it will replace."""

SYNC_EVERY_BYTES = 4_000_000
"""A file written in parts is synced as it grows, so that no sync has gigabytes to write
while syncs of the log wait behind it."""

MAX_SYNC_THREADS = 8
"""Most files of one data folder that are synced at the same time."""


Result = TypeVar("Result")


def _sync_folder(folder: Path) -> None:
    """Make the names in ``folder`` durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _make_folder(folder: Path) -> None:
    """Make ``folder`` and its parents; each new name is durable on return."""
    if folder.is_dir():
        return
    _make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    _sync_folder(folder.parent)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of ``data``; ``os.write`` may write only a part of it."""
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]


class _ReplacementFile:
    """A file written beside the one that it replaces at the end (worker thread)."""

    def __init__(self, path: Path) -> None:
        _make_folder(path.parent)
        self._path = path
        self._beside = path.with_name(path.name + TEMPORARY_SUFFIX)
        self._unsynced_bytes = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        self._descriptor = os.open(self._beside, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Append ``data``, and sync when enough has gathered."""
        _write_all(self._descriptor, data)
        self._unsynced_bytes += len(data)
        if self._unsynced_bytes >= SYNC_EVERY_BYTES:
            os.fdatasync(self._descriptor)
            self._unsynced_bytes = 0

    def put_in_place(self) -> None:
        """Sync, rename, sync the folder."""
        os.fsync(self._descriptor)
        self._close()
        self._beside.rename(self._path)
        _sync_folder(self._path.parent)

    def abandon(self) -> None:
        """Remove the file if it was not put in place."""
        self._close()
        self._beside.unlink(missing_ok=True)

    def _close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def _truncate_file(path: Path, length: int) -> None:
    """Cut and sync (worker thread)."""
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove_file(path: Path) -> None:
    """Unlink and sync the folder (worker thread)."""
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

    A write that fails half-way, as on a full disk, is taken back whole.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._sync_thread = WorkerThread(self._sync)
        self._name_is_durable = path.exists()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)
        self._size = os.fstat(self._descriptor).st_size

    def write(self, data: bytes) -> None:
        """Append ``data``; raise ``OSError`` and leave the file as it was on failure."""
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
        """Sync the data and, the first time, the name (worker thread)."""
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
        """Return the sorted names of the files in ``folder``; empty if there is none."""
        path = self._path(folder)
        if not path.is_dir():
            return []
        names = [entry.name for entry in path.iterdir() if entry.is_file()]
        return sorted(name for name in names if not name.endswith(TEMPORARY_SUFFIX))

    def read(self, name: str) -> bytes:
        """Return the whole file; raise ``FileNotFoundError`` if there is none."""
        return self._path(name).read_bytes()

    def open_read(self, name: str) -> RealReadableFile:
        """Open a file for reading; raise ``FileNotFoundError`` if there is none."""
        return RealReadableFile(self._path(name))

    def open_append(self, name: str) -> RealAppendFile:
        """Open a file for appending; make it and its folders if there is none."""
        path = self._path(name)
        _make_folder(path.parent)
        return RealAppendFile(path)

    async def replace(self, name: str, data: bytes) -> None:
        """Put ``data`` in place of the file, whole and durable or not at all."""
        await self.replace_with_parts(name, (data,))

    async def replace_with_parts(self, name: str, parts: Iterable[bytes]) -> None:
        """Put the joined ``parts`` in place of the file, whole and durable or not at all.

        Each part is taken from ``parts`` on the loop and written on a worker thread.
        """
        file = await self._run(partial(_ReplacementFile, self._path(name)))
        try:
            for part in parts:
                await self._run(partial(file.write, part))
            await self._run(file.put_in_place)
        except BaseException:
            file.abandon()
            raise

    async def truncate(self, name: str, length: int) -> None:
        """Cut the file to ``length`` bytes, durably."""
        await self._run(partial(_truncate_file, self._path(name), length))

    async def remove(self, name: str) -> None:
        """Remove the file, durably; do nothing if there is none."""
        await self._run(partial(_remove_file, self._path(name)))

    async def _run(self, function: Callable[[], Result]) -> Result:
        """Run a blocking function on a worker thread."""
        return await anyio.to_thread.run_sync(function, limiter=self._thread_limiter())

    def _thread_limiter(self) -> anyio.CapacityLimiter:
        """Return the limiter, made on first use because it needs a running loop."""
        if self._limiter is None:
            self._limiter = anyio.CapacityLimiter(MAX_SYNC_THREADS)
        return self._limiter

    def _path(self, name: str) -> Path:
        """Return the path of ``name``; refuse names that lead out of the root."""
        parts = PurePosixPath(name)
        if parts.is_absolute() or ".." in parts.parts:
            raise OSError(errno.EINVAL, f"not a name below the data folder: {name!r}")
        return self._root / parts
