"""A simulated disk that keeps only what was synced, and fails as asked.

It implements ``passlane.runtime.interfaces.Disk``. Failures are brought about by
``lose_power``, ``kill_process``, ``flip_bit``, ``wipe`` and by setting
``capacity_bytes``; all randomness comes from the generator given to it.
"""

import errno
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio
import anyio.lowlevel


@dataclass(slots=True)
class _File:
    """A file's bytes, and how many of them (and whether its name) are durable."""

    content: bytearray = field(default_factory=bytearray)
    durable_length: int = 0
    name_is_durable: bool = False


class SimulatedAppendFile:
    """A file of a ``SimulatedDisk`` opened for appending."""

    def __init__(self, disk: "SimulatedDisk", name: str, file: _File) -> None:
        self._disk = disk
        self._name = name
        self._file = file
        self._incarnation = disk.incarnation
        self._is_open = True

    def write(self, data: bytes) -> None:
        """Append ``data`` whole; raise ``OSError`` (``ENOSPC``) and change nothing if full."""
        self._check_open()
        self._disk.check_writable()
        self._disk.take_space(len(data))
        self._file.content += data

    async def sync(self) -> None:
        """Make what is written now durable, after the disk's delay."""
        self._check_open()
        length = len(self._file.content)
        await self._disk.delay()
        self._check_open()
        self._file.durable_length = max(self._file.durable_length, length)
        self._file.name_is_durable = True

    def close(self) -> None:
        """Close the file without syncing."""
        self._is_open = False

    def _check_open(self) -> None:
        """Refuse use after a close, or by a process that a crash has ended."""
        if not self._is_open or self._incarnation != self._disk.incarnation:
            raise OSError(errno.EBADF, f"{self._name} is closed")


class SimulatedReadableFile:
    """A file of a ``SimulatedDisk`` opened for reading."""

    def __init__(self, disk: "SimulatedDisk", name: str, file: _File) -> None:
        self._disk = disk
        self._name = name
        self._file = file

    @property
    def size(self) -> int:
        """Length in bytes."""
        return len(self._file.content)

    def read_at(self, offset: int, length: int) -> bytes:
        """Return up to ``length`` bytes from ``offset`` on, as they are on the disk now."""
        self._disk.check_readable(self._name)
        return bytes(self._file.content[offset : offset + length])


class SimulatedDisk:
    """Files in memory with the durability of a real disk.

    Parameters
    ----------
    source
        Decides what a crash keeps of unsynced writes, and the length of syncs.
    capacity_bytes
        Total size of all files; ``None`` for no bound. May be changed at any time.
    sync_s
        Shortest and longest time of one sync, in seconds of the virtual clock.

    Attributes
    ----------
    incarnation
        Grows with each crash; files opened before it are dead.
    unreadable
        Names of files that cannot be read any more, as when a sector has gone bad.
    refuses_writes
        Whether appending fails, as with a broken controller.
    keeps_unsynced
        Whether a crash may keep a part of what was not synced; it loses all of that else.
    """

    def __init__(
        self,
        source: random.Random,
        *,
        capacity_bytes: int | None = None,
        sync_s: tuple[float, float] = (0.0002, 0.0008),
    ) -> None:
        self._random = source
        self._files: dict[str, _File] = {}
        self.capacity_bytes = capacity_bytes
        self.sync_s = sync_s
        self._unfinished_bytes = 0
        self.incarnation = 0
        self.unreadable: set[str] = set()
        self.refuses_writes = False
        self.keeps_unsynced = True

    # The interface of ``Disk``.

    def list_files(self, folder: str) -> list[str]:
        """Return the sorted names of the files in ``folder``; empty if there is none."""
        prefix = f"{folder}/"
        names = [name.removeprefix(prefix) for name in self._files if name.startswith(prefix)]
        return sorted(name for name in names if "/" not in name)

    def read(self, name: str) -> bytes:
        """Return the whole file; raise ``FileNotFoundError`` if there is none."""
        content = self._existing(name).content
        self.check_readable(name)
        return bytes(content)

    def open_read(self, name: str) -> SimulatedReadableFile:
        """Open a file for reading; raise ``FileNotFoundError`` if there is none."""
        return SimulatedReadableFile(self, name, self._existing(name))

    def open_append(self, name: str) -> SimulatedAppendFile:
        """Open a file for appending; make it if there is none."""
        file = self._files.setdefault(name, _File())
        return SimulatedAppendFile(self, name, file)

    async def replace(self, name: str, data: bytes) -> None:
        """Put ``data`` in place of the file, whole and durable or not at all."""
        await self.replace_with_parts(name, (data,))

    async def replace_with_parts(self, name: str, parts: Iterable[bytes]) -> None:
        """Put the joined ``parts`` in place of the file, whole and durable or not at all."""
        incarnation = self.incarnation
        content = bytearray()
        try:
            for part in parts:
                self.take_space(len(part))
                content += part
                self._unfinished_bytes += len(part)
                await anyio.lowlevel.checkpoint()
                self._check_alive(incarnation)
            await self.delay()
            self._check_alive(incarnation)
        finally:
            if incarnation == self.incarnation:
                self._unfinished_bytes -= len(content)
        self._files[name] = _File(content, len(content), name_is_durable=True)
        self.unreadable.discard(name)

    async def truncate(self, name: str, length: int) -> None:
        """Cut the file to ``length`` bytes, durably."""
        incarnation = self.incarnation
        await self.delay()
        self._check_alive(incarnation)
        file = self._existing(name)
        del file.content[length:]
        file.durable_length = len(file.content)
        file.name_is_durable = True

    async def remove(self, name: str) -> None:
        """Remove the file, durably; do nothing if there is none."""
        incarnation = self.incarnation
        await self.delay()
        self._check_alive(incarnation)
        self._files.pop(name, None)

    # What goes wrong.

    def lose_power(self) -> None:
        """Stop the machine: unsynced writes are lost, or kept in part and torn."""
        self.kill_process()
        for name in list(self._files):
            file = self._files[name]
            if not file.name_is_durable and self._random.random() < 0.5:
                del self._files[name]
                continue
            self._tear(file)

    def kill_process(self) -> None:
        """End the process that uses the disk; what it wrote stays, synced or not."""
        self.incarnation += 1
        self._unfinished_bytes = 0

    def flip_bit(self, name: str, offset: int) -> None:
        """Change one bit of a file."""
        self._existing(name).content[offset] ^= 1 << self._random.randrange(8)

    def wipe(self) -> None:
        """Lose all files, as when the disk is replaced."""
        self.kill_process()
        self._files.clear()
        self.unreadable.clear()

    # Used by open files.

    def check_readable(self, name: str) -> None:
        """Raise ``OSError`` with ``EIO`` if the file cannot be read any more."""
        if name in self.unreadable:
            raise OSError(errno.EIO, "the simulated disk cannot read", name)

    def check_writable(self) -> None:
        """Raise ``OSError`` with ``EIO`` if nothing can be appended."""
        if self.refuses_writes:
            raise OSError(errno.EIO, "the simulated disk cannot write")

    def take_space(self, size: int) -> None:
        """Raise ``OSError`` with ``ENOSPC`` if ``size`` more bytes do not fit."""
        if self.capacity_bytes is not None and self.used_bytes() + size > self.capacity_bytes:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")

    def file_names(self) -> list[str]:
        """Return the sorted names of all files."""
        return sorted(self._files)

    def used_bytes(self) -> int:
        """Return the size of all files and of those being written to replace one."""
        finished = sum(len(file.content) for file in self._files.values())
        return finished + self._unfinished_bytes

    async def delay(self) -> None:
        """Wait as long as a sync takes."""
        await anyio.sleep(self._random.uniform(*self.sync_s))

    def _tear(self, file: _File) -> None:
        """Keep a random part of the unsynced bytes, the last of them perhaps garbled."""
        unsynced = len(file.content) - file.durable_length
        kept = self._random.randint(0, unsynced) if self.keeps_unsynced else 0
        del file.content[file.durable_length + kept :]
        if kept and self._random.random() < 0.5:
            garbled = self._random.randint(1, kept)
            file.content[-garbled:] = bytes(garbled)
        file.durable_length = len(file.content)
        file.name_is_durable = True

    def _existing(self, name: str) -> _File:
        """Return a file; raise ``FileNotFoundError`` if there is none."""
        if name not in self._files:
            raise FileNotFoundError(errno.ENOENT, "no such simulated file", name)
        return self._files[name]

    def _check_alive(self, incarnation: int) -> None:
        """Refuse to finish an operation begun by a process that a crash has ended."""
        if incarnation != self.incarnation:
            raise OSError(errno.EBADF, "the machine stopped during this operation")
