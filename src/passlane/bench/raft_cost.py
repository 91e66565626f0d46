"""Processor time, messages and bytes of one appended command, by the size of the group.

Drives plain replicas over an ideal network and disk, so that only the state machine and
the codec of messages are measured. Sockets, syncs and the applied state machine come on
top; see the storage experiments.
"""

import time
from pathlib import Path

import msgspec

from passlane.bench.raft_metered_group import GROUP, MeteredGroup
from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.messages.raft import SnapshotRequest
from passlane.raft.events import CommandsProposed, MessageReceived, TimeAdvanced

GROUP_SIZES = (1, 3, 5, 7)
BATCH_SIZES = (1, 16)
COMMAND_BYTES = (250, 4_000)
COMMANDS = 4_000
REPEATS = 4
SNAPSHOT_MEGABYTES = (100, 300, 1_000)
_SNAPSHOT_EVERY = 1_000
_SNAPSHOT_INDEX = 1_000_000
_CHUNK_BYTES = 256_000
_BYTES_PER_MEGABYTE = 1_000_000
_NANOSECONDS_PER_MICROSECOND = 1_000
_IDLE_S = 60.0
_NANOSECONDS_PER_SECOND = 1_000_000_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class AppendCost(msgspec.Struct, frozen=True):
    """What one appended command costs, from the proposal to the application everywhere.

    Attributes
    ----------
    batch
        Commands proposed, and synced, at once.
    leader_microseconds, follower_microseconds
        Processor time of the leader, and of one follower.
    messages, message_bytes
        Sent by all replicas together, as encoded, without the transport's framing.
    """

    replicas: int
    batch: int
    command_bytes: int
    leader_microseconds: float
    follower_microseconds: float
    messages: float
    message_bytes: float

    def to_text(self) -> str:
        """Return one line for the terminal."""
        return (
            f"{self.replicas} replicas, {self.batch:2} x {self.command_bytes:4} bytes: leader "
            f"{self.leader_microseconds:6.1f} us, follower {self.follower_microseconds:6.1f} us, "
            f"{self.messages:5.2f} messages, {self.message_bytes:7.0f} bytes a command"
        )


class IdleCost(msgspec.Struct, frozen=True):
    """What a group without work sends and computes in a second, at the usual heartbeat.

    ``core_percent`` is the leader's share of one core.
    """

    replicas: int
    messages_per_s: float
    bytes_per_s: float
    core_percent: float

    def to_text(self) -> str:
        """Return one line for the terminal."""
        return (
            f"{self.replicas} replicas, idle: {self.messages_per_s:.0f} messages and "
            f"{self.bytes_per_s:.0f} bytes a second, leader {self.core_percent:.2f}% of a core"
        )


class SnapshotCost(msgspec.Struct, frozen=True):
    """Longest time for which a follower that receives a snapshot holds up its loop."""

    megabytes: int
    longest_step_ms: float

    def to_text(self) -> str:
        """Return one line for the terminal."""
        return f"snapshot of {self.megabytes} MB: longest step {self.longest_step_ms:.2f} ms"


class RaftCostReport(msgspec.Struct, frozen=True):
    """All points, and lines over the number of followers."""

    points: tuple[AppendCost, ...]
    lines: tuple[Line, ...]
    idle: tuple[IdleCost, ...]
    snapshots: tuple[SnapshotCost, ...]


def run(report: Path | None) -> int:
    """Measure, print and write ``raft-cost.json``."""
    points = [
        measure_best(replicas, batch, command_bytes)
        for command_bytes in COMMAND_BYTES
        for batch in BATCH_SIZES
        for replicas in GROUP_SIZES
    ]
    lines = [
        _leader_line([p for p in points if (p.batch, p.command_bytes) == (batch, command_bytes)])
        for command_bytes in COMMAND_BYTES
        for batch in BATCH_SIZES
    ]
    idle = [measure_idle(replicas) for replicas in GROUP_SIZES]
    snapshots = [measure_snapshot(megabytes) for megabytes in SNAPSHOT_MEGABYTES]
    for point in points:
        print(point.to_text())
    for line in lines:
        print(line.to_text())
    for cost in idle:
        print(cost.to_text())
    for snapshot in snapshots:
        print(snapshot.to_text())
    content = RaftCostReport(tuple(points), tuple(lines), tuple(idle), tuple(snapshots))
    write_report(report, "raft-cost.json", content)
    return 0


def measure_best(replicas: int, batch: int, command_bytes: int) -> AppendCost:
    """Return the cheapest of some measurements, which other work disturbed the least."""
    costs = [measure(replicas, batch, command_bytes) for _ in range(REPEATS)]
    return min(costs, key=lambda cost: cost.leader_microseconds)


def measure(replicas: int, batch: int, command_bytes: int, commands: int = COMMANDS) -> AppendCost:
    """Return the cost of an appended command in a group of so many replicas."""
    group = MeteredGroup(replicas)
    proposal = CommandsProposed(tuple(range(batch)), (bytes(command_bytes),) * batch)
    group.run(group.leader, proposal)
    group.reset()
    for number in range(commands // batch):
        group.run(group.leader, proposal)
        if number % (_SNAPSHOT_EVERY // batch) == 0:
            _compact(group)
    done = commands // batch * batch
    follower_nanoseconds = [follower.nanoseconds for follower in group.followers]
    follower = sum(follower_nanoseconds) / len(follower_nanoseconds) if follower_nanoseconds else 0
    return AppendCost(
        replicas=replicas,
        batch=batch,
        command_bytes=command_bytes,
        leader_microseconds=group.leader.nanoseconds / done / _NANOSECONDS_PER_MICROSECOND,
        follower_microseconds=follower / done / _NANOSECONDS_PER_MICROSECOND,
        messages=group.messages / done,
        message_bytes=group.message_bytes / done,
    )


def measure_idle(replicas: int) -> IdleCost:
    """Return the cost of heartbeats alone."""
    group = MeteredGroup(replicas)
    group.reset()
    began = group.now
    while group.now < began + _IDLE_S:
        group.now = group.leader.replica.next_deadline()
        group.run(group.leader, TimeAdvanced())
    return IdleCost(
        replicas=replicas,
        messages_per_s=group.messages / _IDLE_S,
        bytes_per_s=group.message_bytes / _IDLE_S,
        core_percent=group.leader.nanoseconds / _NANOSECONDS_PER_SECOND / _IDLE_S * 100,
    )


def measure_snapshot(megabytes: int) -> SnapshotCost:
    """Return the longest step of a follower that receives a snapshot in chunks."""
    group = MeteredGroup(2)
    leader, follower = group.replicas
    chunk = bytes(_CHUNK_BYTES)
    chunks = megabytes * _BYTES_PER_MEGABYTE // _CHUNK_BYTES
    longest_ns = 0
    for number in range(chunks):
        request = SnapshotRequest(
            group=GROUP,
            sender=leader.replica_id,
            receiver=follower.replica_id,
            term=leader.replica.term,
            last_index=_SNAPSHOT_INDEX,
            last_term=leader.replica.term,
            membership=leader.replica.membership,
            offset=number * _CHUNK_BYTES,
            data=chunk,
            is_last=number == chunks - 1,
        )
        began = time.thread_time_ns()
        follower.replica.handle(MessageReceived(request), group.now)
        longest_ns = max(longest_ns, time.thread_time_ns() - began)
    return SnapshotCost(megabytes, longest_ns / _NANOSECONDS_PER_MILLISECOND)


def _compact(group: MeteredGroup) -> None:
    for replica in group.replicas:
        replica.compact(group.now)


def _leader_line(points: list[AppendCost]) -> Line:
    first = points[0]
    name = f"leader, {first.batch} x {first.command_bytes} bytes"
    by_followers = [Point(p.replicas - 1, p.leader_microseconds) for p in points]
    return fit_line(name, "followers", "us", by_followers)
