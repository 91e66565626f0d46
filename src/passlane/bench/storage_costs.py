"""What an append costs at the leader and at a follower: ``passlane bench run storage-costs``.

Three replicas run in one process, each with an event loop on a thread of its own, so
that the processor time of each can be told apart.
"""

import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
from anyio.from_thread import BlockingPortal, start_blocking_portal

from passlane.bench.report_files import write_report
from passlane.bench.storage_group import (
    Member,
    build_member,
    group_settings,
    propose_for,
)
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.raft import EntryKind, LogEntry
from passlane.raft.log_view import LogView

REPLICAS = 3
PAYLOAD_BYTES = (100, 1_000, 4_000, 16_000)
USUAL_PAYLOAD_BYTES = 2_000
CALLERS = (1, 2, 4, 8, 16, 64)
MANY_CALLERS = 64
WARM_UP_S = 0.3
DURATION_S = 2.0
READY_TIMEOUT_S = 20.0
POLL_S = 0.01
HELD_ENTRIES = 5_000
MICROSECONDS = 1e6
REPORT_FILE = "storage-costs.json"


class StorageCosts(msgspec.Struct, frozen=True):
    """The lines measured.

    Attributes
    ----------
    leader_by_payload, follower_by_payload, syncs_by_payload
        Processor time of an append by its size, many of them in a batch: on the loops of
        leader and follower, and on the worker threads of one replica.
    leader_by_batches, follower_by_batches, syncs_by_batches
        The same by the syncs that the leader made for an append: 1 when each append
        comes alone, little when many share one. Appends of ``USUAL_PAYLOAD_BYTES``.
    disk_by_payload
        Bytes that one replica writes for an append, by its size.
    memory_by_payload
        Bytes that an entry takes in memory, until a snapshot lets it go.
    """

    leader_by_payload: Line
    follower_by_payload: Line
    syncs_by_payload: Line
    leader_by_batches: Line
    follower_by_batches: Line
    syncs_by_batches: Line
    disk_by_payload: Line
    memory_by_payload: Line

    def lines(self) -> tuple[Line, ...]:
        """Return all lines."""
        return tuple(getattr(self, name) for name in self.__struct_fields__)


@dataclass(frozen=True, slots=True)
class _Cost:
    """Means over the appends of one run; times in microseconds."""

    leader_us: float
    follower_us: float
    sync_threads_us: float
    disk_bytes: float
    syncs: float


class _ReplicaThread:
    """A replica on an event loop of its own thread."""

    def __init__(self, portal: BlockingPortal, build: Callable[[], Member]) -> None:
        self.portal = portal
        self.member = portal.call(build)
        self._clock = time.pthread_getcpuclockid(portal.call(threading.get_ident))
        runs = (self.member.server.run, self.member.pool.run, self.member.host.run)
        self._tasks: list[Future[None]] = [portal.start_task_soon(run) for run in runs]

    def loop_cpu_s(self) -> float:
        """Return the processor time that the loop's thread has used."""
        return time.clock_gettime(self._clock)

    def stop(self) -> None:
        """Cancel the replica."""
        for task in self._tasks:
            task.cancel()


@contextmanager
def _running_replicas(folder: Path) -> Iterator[list[_ReplicaThread]]:
    """Run a group, each replica on its own thread; stop it at the end."""
    settings = group_settings(REPLICAS)
    threads = []
    with ExitStack() as stack:
        for seed, peer in enumerate(settings.members):
            portal = stack.enter_context(start_blocking_portal())
            build = partial(build_member, peer, settings, folder, seed)
            thread = _ReplicaThread(portal, build)
            stack.callback(thread.stop)
            threads.append(thread)
        yield threads


def _wait_for_leader(threads: list[_ReplicaThread]) -> _ReplicaThread:
    """Return the thread of the leader once there is one."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        for thread in threads:
            if thread.member.host.is_leader:
                return thread
        time.sleep(POLL_S)
    raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader was elected")


def _measure(root: Path, *, payload_bytes: int, callers: int) -> _Cost:
    """Measure one run."""
    with (
        tempfile.TemporaryDirectory(dir=root) as folder,
        _running_replicas(Path(folder)) as threads,
    ):
        leader = _wait_for_leader(threads)
        payload = bytes(payload_bytes)
        leader.portal.call(propose_for, leader.member.host, payload, callers, WARM_UP_S)
        before = [thread.loop_cpu_s() for thread in threads]
        process_before = time.process_time()
        written, syncs = leader.member.disk.bytes_written, leader.member.disk.syncs
        count = leader.portal.call(propose_for, leader.member.host, payload, callers, DURATION_S)
        process_s = time.process_time() - process_before
        loops_s = [
            thread.loop_cpu_s() - start for thread, start in zip(threads, before, strict=True)
        ]
        leader_s = loops_s[threads.index(leader)]
        follower_s = (sum(loops_s) - leader_s) / (REPLICAS - 1)
        return _Cost(
            leader_us=leader_s / count * MICROSECONDS,
            follower_us=follower_s / count * MICROSECONDS,
            sync_threads_us=(process_s - sum(loops_s)) / REPLICAS / count * MICROSECONDS,
            disk_bytes=(leader.member.disk.bytes_written - written) / count,
            syncs=(leader.member.disk.syncs - syncs) / count,
        )


def _memory_of_entry(payload_bytes: int) -> float:
    """Return the bytes that a replica holds for each entry after its snapshot."""
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.Decoder(LogEntry).decode
    log = LogView(0, 0, ())
    payload = bytes(payload_bytes)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for index in range(1, HELD_ENTRIES + 1):
        # Decoded, as it comes from the leader or from the disk.
        log.append((decode(encode(LogEntry(index, 1, EntryKind.COMMAND, payload))),))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / HELD_ENTRIES


def measure_costs(root: Path) -> StorageCosts:
    """Measure all lines below ``root``."""
    by_payload = {
        size: _measure(root, payload_bytes=size, callers=MANY_CALLERS) for size in PAYLOAD_BYTES
    }
    by_callers = [
        _measure(root, payload_bytes=USUAL_PAYLOAD_BYTES, callers=callers) for callers in CALLERS
    ]

    def payload_line(name: str, unit: str, value: Callable[[_Cost], float]) -> Line:
        points = [Point(size, value(cost)) for size, cost in by_payload.items()]
        return fit_line(name, "bytes of the command", unit, points)

    def batch_line(name: str, value: Callable[[_Cost], float]) -> Line:
        points = [Point(cost.syncs, value(cost)) for cost in by_callers]
        return fit_line(name, "syncs per append", "us per append", points)

    memory = [Point(size, _memory_of_entry(size)) for size in PAYLOAD_BYTES]
    per_append = "us per append"
    return StorageCosts(
        leader_by_payload=payload_line("leader's loop", per_append, lambda c: c.leader_us),
        follower_by_payload=payload_line("a follower's loop", per_append, lambda c: c.follower_us),
        syncs_by_payload=payload_line("sync threads", per_append, lambda c: c.sync_threads_us),
        leader_by_batches=batch_line("leader's loop", lambda c: c.leader_us),
        follower_by_batches=batch_line("a follower's loop", lambda c: c.follower_us),
        syncs_by_batches=batch_line("sync threads", lambda c: c.sync_threads_us),
        disk_by_payload=payload_line("disk", "bytes per append", lambda c: c.disk_bytes),
        memory_by_payload=fit_line("memory", "bytes of the command", "bytes per entry", memory),
    )


def run(folder: Path | None) -> int:
    """Measure, print and write ``storage-costs.json``."""
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as root:
        costs = measure_costs(Path(root))
    for line in costs.lines():
        print(line.to_text())
        print("  " + ", ".join(f"{point.x:.4g}: {point.y:.4g}" for point in line.points))
    write_report(folder, REPORT_FILE, costs)
    return 0
