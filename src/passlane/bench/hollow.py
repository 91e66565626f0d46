"""Hollow parts that experiments put around the real membership code.

A hollow node has the real heartbeat loop, lease and configuration view, but serves no
programs; a hollow group applies commands without replicas, after a stated delay.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
from anyio.abc import ByteStream

from passlane.configuration.view import ConfigurationView
from passlane.identifiers import EngineId, Revision
from passlane.membership.events import HandoverRequested, MembershipChange
from passlane.messages.common import Address
from passlane.messages.control import ConfigurationDelta, TargetInFlight
from passlane.node.heartbeat import HeartbeatLoop
from passlane.replication.client import GroupClient
from passlane.replication.interfaces import StateMachine
from passlane.runtime.interfaces import ConnectionHandler, Network
from passlane.settings.model import (
    AddressSettings,
    MembershipSettings,
    ProcessSettings,
    Role,
    Settings,
)

OPERATORS = Address("127.0.0.1", 1)
"""Stands in the settings of hollow processes, which serve no operators."""


class HollowGroup:
    """One replica that leads from the start; a command is applied after ``commit_s``."""

    def __init__(self, machine: StateMachine, commit_s: float = 0.0) -> None:
        self._machine = machine
        self._commit_s = commit_s
        self._index = 0
        self.is_leader = True
        self.leader_address: Address | None = None
        self.term = 1

    async def propose(self, command: bytes, *, may_be_deferred: bool = False) -> bytes:
        """Apply a command after the delay and return its result."""
        await anyio.sleep(self._commit_s)
        self._index += 1
        return self._machine.apply(self._index, command)

    async def read_barrier(self) -> None:
        """Return after the delay of a round to the other replicas."""
        await anyio.sleep(self._commit_s)


class HollowNode:
    """A node without programs: gives up at once what it shall hand over."""

    def __init__(self, settings: Settings, store: GroupClient, source: random.Random) -> None:
        self.configuration = ConfigurationView()
        self.is_draining = False
        self.in_flight_at_drained: tuple[TargetInFlight, ...] = ()
        self.name = settings.process.name
        self.loop = HeartbeatLoop(settings, store, self, source, source.getrandbits(62) + 1)
        self.in_force_at: dict[Revision, float] = {}
        self._changed = anyio.Event()

    def take_configuration(
        self, delta: ConfigurationDelta | None, accepted_revision: Revision
    ) -> None:
        """Take in changes and note when a revision came into force."""
        before = self.configuration.revision_in_force
        if delta is not None:
            self.configuration = self.configuration.apply_delta(delta)
        self.configuration = self.configuration.accept(accepted_revision)
        for revision in range(before + 1, self.configuration.revision_in_force + 1):
            self.in_force_at[Revision(revision)] = anyio.current_time()
        if self.configuration.revision_in_force > before:
            self._changed.set()
            self._changed = anyio.Event()

    async def wait_in_force(self, revision: Revision) -> None:
        """Return once the node acts on ``revision``."""
        while revision not in self.in_force_at:
            await self._changed.wait()

    def take_leaving_engines(self, names: Sequence[EngineId]) -> None:
        """Take no notice: a hollow node has no engines."""

    def take_membership_change(self, change: MembershipChange) -> None:
        """Release a partition as soon as that is asked for."""
        if isinstance(change, HandoverRequested):
            self.loop.release(change.partition)


class CountingStream(ByteStream):
    """Counts the bytes that pass through a stream."""

    def __init__(self, stream: ByteStream, count: Callable[[int], None]) -> None:
        self._stream = stream
        self._count = count

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return bytes that arrived."""
        data = await self._stream.receive(max_bytes)
        self._count(len(data))
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        self._count(len(item))
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """End the outgoing direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes of the stream."""
        return self._stream.extra_attributes


class CountingNetwork:
    """A network that counts the bytes of the connections made through it."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self.bytes = 0

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection whose bytes are counted."""
        return CountingStream(await self._network.connect(address), self._count)

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections, uncounted."""
        await self._network.serve(address, handler)

    def _count(self, size: int) -> None:
        self.bytes += size


def hollow_settings(name: str, region: str, partitions: int) -> Settings:
    """Return settings of a hollow process."""
    return Settings(
        process=ProcessSettings(
            name=name, roles=(Role.NODE,), region=region, zone=region, data_folder="unused"
        ),
        addresses=AddressSettings(internal=OPERATORS, operators=OPERATORS),
        membership=MembershipSettings(partitions=partitions),
    )
