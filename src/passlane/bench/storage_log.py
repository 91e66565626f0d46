"""Experiments on the log alone: group commit, stalls of the loop, restart time."""

import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from passlane.bench.storage_disk import CountingDisk
from passlane.bench.storage_results import (
    AppendResult,
    LoopStallResult,
    RestartResult,
    Stopwatch,
)
from passlane.messages.raft import EntryKind, GroupMembership, LogEntry
from passlane.storage.formats import START_OF_LOG, LogPosition
from passlane.storage.log import SegmentedLog
from passlane.storage.snapshots import SnapshotStore

FOLDER = "bench/0001"
GROUP = "bench"
SEGMENT_BYTES = 8_000_000
TICK_S = 0.001

_Append = Callable[[], Awaitable[None]]


def _entry(index: int, payload: bytes) -> LogEntry:
    """Return a command entry."""
    return LogEntry(index=index, term=1, kind=EntryKind.COMMAND, data=payload)


class _LogWriter:
    """Appends for many callers, with a sync of their own or a shared one."""

    def __init__(self, log: SegmentedLog, payload: bytes) -> None:
        self._log = log
        self._payload = payload
        self._index = 0
        self._synced_index = 0
        self._lock = anyio.Lock()
        self._arrived = anyio.Event()
        self._synced = anyio.Event()

    def _append(self) -> int:
        self._index += 1
        self._log.append((_entry(self._index, self._payload),))
        return self._index

    async def append_alone(self) -> None:
        """Append and sync, one caller after the other."""
        async with self._lock:
            self._append()
            await self._log.sync()

    async def append_together(self) -> None:
        """Append and wait for the sync that covers it, shared with others."""
        index = self._append()
        self._arrived.set()
        while self._synced_index < index:
            await self._synced.wait()

    async def sync_for_all(self) -> None:
        """Sync whenever something was appended."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            self._synced_index = (await self._log.sync()).last.index
            done, self._synced = self._synced, anyio.Event()
            done.set()


async def _repeat(append: _Append, deadline: float, watch: Stopwatch) -> None:
    """Append again and again until the deadline."""
    while time.perf_counter() < deadline:
        started = time.perf_counter()
        await append()
        watch.note(time.perf_counter() - started)


async def measure_log_appends(
    root: Path, *, group_commit: bool, callers: int, payload_bytes: int, duration_s: float
) -> AppendResult:
    """Measure appends to one log, each durable before its caller goes on."""
    with tempfile.TemporaryDirectory(dir=root) as folder:
        disk = CountingDisk(folder)
        log, _ = await SegmentedLog.open(disk, FOLDER, GROUP, SEGMENT_BYTES)
        writer = _LogWriter(log, bytes(payload_bytes))
        append = writer.append_together if group_commit else writer.append_alone
        disk.syncs, written = 0, disk.bytes_written
        watch = Stopwatch()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.sync_for_all)
            async with anyio.create_task_group() as appending:
                deadline = time.perf_counter() + duration_s
                for _ in range(callers):
                    appending.start_soon(_repeat, append, deadline, watch)
            result = watch.append_result(
                "group commit" if group_commit else "a sync for each append",
                replicas=1,
                callers=callers,
                payload_bytes=payload_bytes,
                written=disk.bytes_written - written,
                syncs=disk.syncs,
            )
            tasks.cancel_scope.cancel()
        log.close()
    return result


async def measure_loop_stalls(
    root: Path, *, syncs_on_loop: bool, callers: int, payload_bytes: int, duration_s: float
) -> LoopStallResult:
    """Measure how late a timer fires while appends are synced, on the loop or beside it."""
    with tempfile.TemporaryDirectory(dir=root) as folder:
        disk = CountingDisk(folder, syncs_on_loop=syncs_on_loop)
        log, _ = await SegmentedLog.open(disk, FOLDER, GROUP, SEGMENT_BYTES)
        writer = _LogWriter(log, bytes(payload_bytes))
        lateness = Stopwatch()
        longest_s = 0.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.sync_for_all)
            deadline = time.perf_counter() + duration_s
            for _ in range(callers):
                tasks.start_soon(_repeat, writer.append_together, deadline, Stopwatch())
            while time.perf_counter() < deadline:
                started = time.perf_counter()
                await anyio.sleep(TICK_S)
                late_s = max(0.0, time.perf_counter() - started - TICK_S)
                longest_s = max(longest_s, late_s)
                lateness.note(late_s)
            tasks.cancel_scope.cancel()
        log.close()
    return LoopStallResult(
        name="sync on the loop" if syncs_on_loop else "sync on a worker thread",
        p50_ms=lateness.percentile_ms(50),
        p99_ms=lateness.percentile_ms(99),
        longest_ms=round(longest_s * 1_000, 3),
    )


async def measure_restart(
    root: Path, *, entries: int, payload_bytes: int, snapshot_at: int
) -> RestartResult:
    """Measure reading back a log of ``entries``, after a snapshot of ``snapshot_at`` of them.

    The state is the list of commands, so that applying costs next to nothing.
    """
    with tempfile.TemporaryDirectory(dir=root) as folder:
        disk = CountingDisk(folder)
        await _write_history(disk, entries, payload_bytes, snapshot_at)
        names = disk.list_files(FOLDER)
        disk_bytes = sum(len(disk.read(f"{FOLDER}/{name}")) for name in names if name != "reserve")
        started = time.perf_counter()
        snapshot = await SnapshotStore(disk, FOLDER, GROUP).load()
        last = snapshot.last if snapshot is not None else START_OF_LOG
        log, recovered = await SegmentedLog.open(disk, FOLDER, GROUP, SEGMENT_BYTES, last)
        open_s = time.perf_counter() - started
        started = time.perf_counter()
        commands = [entry.data for entry in recovered.entries]
        apply_s = time.perf_counter() - started
        log.close()
        assert len(commands) == entries - snapshot_at
    return RestartResult(
        name="snapshot and tail" if snapshot_at else "log only",
        entries=entries,
        payload_bytes=payload_bytes,
        disk_bytes=disk_bytes,
        open_s=round(open_s, 4),
        apply_s=round(apply_s, 6),
    )


async def _write_history(
    disk: CountingDisk, entries: int, payload_bytes: int, snapshot_at: int
) -> None:
    """Write a log of ``entries``, and a snapshot that makes the first of them needless."""
    log, _ = await SegmentedLog.open(disk, FOLDER, GROUP, SEGMENT_BYTES)
    payload = bytes(payload_bytes)
    for index in range(1, entries + 1):
        log.append((_entry(index, payload),))
    await log.sync()
    if snapshot_at:
        store = SnapshotStore(disk, FOLDER, GROUP)
        # The state holds as much as a thousandth of the commands; most replace others.
        data = bytes(snapshot_at * payload_bytes // 1_000)
        await store.save(LogPosition(snapshot_at, 1), GroupMembership(()), (data,))
        await log.remove_before(snapshot_at)
    log.close()
