"""Experiments on a whole group: one replica against three, in one process."""

import random
import socket
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import anyio

from passlane.bench.storage_disk import CountingDisk
from passlane.bench.storage_results import AppendResult, Stopwatch
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import Message
from passlane.messages.common import Address
from passlane.replication.replica_host import ReplicaHost
from passlane.runtime.interfaces import Environment
from passlane.runtime.real import build_environment
from passlane.settings.model import GroupSettings, PeerSettings
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

GROUP = "bench"
LOOPBACK = "127.0.0.1"
NEVER = 1_000_000_000
READY_TIMEOUT_S = 20.0
POLL_S = 0.01

ReplyType = TypeVar("ReplyType", bound=Message)


class CountingMachine:
    """A state machine that only counts, so that the group's own cost is measured."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Count the command."""
        self.count += 1
        return b""

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the count."""
        return iter((str(self.count).encode(),))

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Take over a count."""
        for part in parts:
            self.count = int(part)
            yield


@dataclass(frozen=True, slots=True)
class Member:
    """A replica with its own server and connections on loopback."""

    host: ReplicaHost
    disk: CountingDisk
    pool: ConnectionPool
    server: MessageServer


def _free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in sockets:
            probe.bind((LOOPBACK, 0))
        return [probe.getsockname()[1] for probe in sockets]


def group_settings(replicas: int) -> GroupSettings:
    """Return the settings of a group on loopback that takes no snapshots."""
    peers = tuple(
        PeerSettings(name=f"replica-{number}", internal=Address(LOOPBACK, port))
        for number, port in enumerate(_free_ports(replicas))
    )
    return GroupSettings(members=peers, snapshot_every_entries=NEVER)


def build_member(peer: PeerSettings, settings: GroupSettings, folder: Path, seed: int) -> Member:
    """Return one replica with its files below ``folder``."""
    disk = CountingDisk(str(folder / peer.name))
    base = build_environment(folder / peer.name, seed)
    environment = Environment(
        network=base.network,
        http_client=base.http_client,
        http_server=base.http_server,
        disk=disk,
        random=random.Random(seed),
    )
    router = MessageRouter()
    pool = ConnectionPool(environment)
    host = ReplicaHost(
        GROUP, peer.name, settings, CountingMachine(), environment, pool, router, GROUP
    )
    return Member(host, disk, pool, MessageServer(environment, peer.internal, router))


async def _wait_for_leader(members: list[Member]) -> Member:
    """Return the leader once there is one."""
    with anyio.fail_after(READY_TIMEOUT_S):
        while True:
            for member in members:
                if member.host.is_leader:
                    return member
            await anyio.sleep(POLL_S)


async def _propose_until(
    host: ReplicaHost, payload: bytes, deadline: float, watch: Stopwatch
) -> None:
    """Propose again and again until the deadline."""
    while time.perf_counter() < deadline:
        started = time.perf_counter()
        await host.propose(payload)
        watch.note(time.perf_counter() - started)


async def _propose_from_all(
    host: ReplicaHost, payload: bytes, callers: int, duration_s: float, watch: Stopwatch
) -> None:
    """Propose for a while from many callers, each waiting for one proposal at a time.

    Raises
    ------
    PasslaneError
        ``UNAVAILABLE`` when the leader changed, as figures of two leaders mean nothing.
    """
    deadline = time.perf_counter() + duration_s
    async with anyio.create_task_group() as proposing:
        for _ in range(callers):
            proposing.start_soon(_propose_until, host, payload, deadline, watch)
    if not host.is_leader:
        raise PasslaneError(ErrorCode.UNAVAILABLE, "the leader changed during the run")


async def propose_for(host: ReplicaHost, payload: bytes, callers: int, duration_s: float) -> int:
    """Propose for a while from many callers; return how many proposals were applied."""
    watch = Stopwatch()
    await _propose_from_all(host, payload, callers, duration_s, watch)
    return watch.count


async def measure_group_appends(
    root: Path, *, replicas: int, callers: int, payload_bytes: int, duration_s: float
) -> AppendResult:
    """Measure proposals to a group whose replicas share this process, over loopback."""
    settings = group_settings(replicas)
    with tempfile.TemporaryDirectory(dir=root) as folder:
        members = [
            build_member(peer, settings, Path(folder), seed)
            for seed, peer in enumerate(settings.members)
        ]
        async with anyio.create_task_group() as tasks:
            for member in members:
                runs: tuple[Any, ...] = (member.server.run, member.pool.run, member.host.run)
                for run in runs:
                    tasks.start_soon(run)
            leader = await _wait_for_leader(members)
            written, syncs = leader.disk.bytes_written, leader.disk.syncs
            watch = Stopwatch()
            await _propose_from_all(leader.host, bytes(payload_bytes), callers, duration_s, watch)
            result = watch.append_result(
                f"{replicas} replicas" if replicas > 1 else "one replica",
                replicas=replicas,
                callers=callers,
                payload_bytes=payload_bytes,
                written=leader.disk.bytes_written - written,
                syncs=leader.disk.syncs - syncs,
            )
            tasks.cancel_scope.cancel()
    return result
