"""The four kinds of replicas whose files are kept, and how one is run on such files.

All that the tests of stored data use of the product is imported here.
"""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import msgspec

from passlane.control.state.machine import ControlStateMachine
from passlane.daemon.fleet.store import TURN_GROUP
from passlane.daemon.passlaned.parts import store_group_name
from passlane.daemon.shared.replicas import CONTROL_FOLDER, CONTROL_GROUP, STORE_FOLDER
from passlane.errors import ErrorCode, PasslaneError
from passlane.fleet.state.machine import FleetStateMachine
from passlane.messages.common import Address
from passlane.replication.interfaces import StateMachine
from passlane.replication.replica_host import ReplicaHost
from passlane.runtime.disk import RealDisk
from passlane.runtime.interfaces import Environment
from passlane.settings.model import GroupSettings, PeerSettings
from passlane.store.machine import StoreStateMachine
from passlane.transport.router import MessageRouter
from passlane.turns.state.machine import TurnStateMachine

KEPT = Path(__file__).resolve().parent / "kept"
FILES = "files"
EXPECTATION = "expectation.json"
OWN = PeerSettings(name="replica-a", internal=Address("127.0.0.1", 7101))
ZONE = "zone-a"
ELECTION_TIMEOUT_S = 0.05
LONGEST_WAIT_S = 20.0
POLL_S = 0.005
NEVER = 1_000_000
"""Entries after which a replica takes a snapshot, where it is to take none."""
SEGMENT_BYTES = 500
"""So small that each kept log has several segments."""


class ReplicaKind(msgspec.Struct, frozen=True):
    """A kind of replica: its group and folder, its machine, and how many voters it keeps."""

    name: str
    group: str
    folder: str
    make_machine: Callable[[list[bytes]], StateMachine]
    places: int | None = None


class Expectation(msgspec.Struct, frozen=True):
    """What is known of kept files; all bytes are as the writer encoded them.

    Attributes
    ----------
    commands, results
        All commands in their order, and the result of each.
    state
        Parts of a snapshot of the state after all of them.
    heard
        What the machine told its listener while it was recovered from the files.
    """

    replica_id: str
    members: Any
    commands: list[bytes]
    results: list[bytes]
    state: list[bytes]
    heard: list[bytes]


def _turn_machine(heard: list[bytes]) -> StateMachine:
    """Return a machine of turns that tells what was granted to tenants."""
    return TurnStateMachine(
        lambda usages, group_s: heard.append(msgspec.msgpack.encode((usages, group_s)))
    )


KINDS = (
    ReplicaKind("led_control", CONTROL_GROUP, CONTROL_FOLDER, lambda _: ControlStateMachine()),
    ReplicaKind("led_store", store_group_name("mx"), STORE_FOLDER, lambda _: StoreStateMachine()),
    ReplicaKind("relayed_control", CONTROL_GROUP, CONTROL_FOLDER, lambda _: FleetStateMachine()),
    ReplicaKind("relayed_store", TURN_GROUP, STORE_FOLDER, _turn_machine, places=3),
)


class NobodyElse:
    """A caller that reaches nobody."""

    async def call(self, address: Address, request: Any, reply: Any, *, timeout_s: float) -> Any:
        raise PasslaneError(ErrorCode.UNAVAILABLE, f"{address} is down")

    async def send(self, address: Address, message: Any) -> None:
        return None


class RunningReplica(msgspec.Struct):
    """A replica that leads its group of one, and what its machine told its listener."""

    host: ReplicaHost
    machine: StateMachine
    heard: list[bytes]

    def state(self) -> list[bytes]:
        """Return the parts of a snapshot of the state."""
        return list(self.machine.snapshot_parts())


@asynccontextmanager
async def running(
    kind: ReplicaKind, data_folder: Path, *, snapshot_every: int = NEVER
) -> AsyncIterator[RunningReplica]:
    """Run a replica on the files below ``data_folder``; it leads when this is entered."""
    heard: list[bytes] = []
    machine = kind.make_machine(heard)
    host = _host(kind, machine, data_folder, snapshot_every)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(host.run)
        await until(lambda: host.is_leader)
        yield RunningReplica(host, machine, heard)
        tasks.cancel_scope.cancel()


async def until(condition: Callable[[], object]) -> None:
    """Return once a condition holds; fail if that takes long."""
    with anyio.fail_after(LONGEST_WAIT_S):
        while True:
            if condition():
                return
            await anyio.sleep(POLL_S)


def _host(
    kind: ReplicaKind, machine: StateMachine, data_folder: Path, snapshot_every: int
) -> ReplicaHost:
    settings = GroupSettings(
        members=(OWN,),
        heartbeat_s=ELECTION_TIMEOUT_S / 5,
        election_timeout_s=ELECTION_TIMEOUT_S,
        places=kind.places,
        snapshot_every_entries=snapshot_every,
        segment_bytes=SEGMENT_BYTES,
    )
    environment = Environment(
        network=None,
        http_client=None,
        http_server=None,
        disk=RealDisk(data_folder),
        random=random.Random(1),
    )
    return ReplicaHost(
        kind.group,
        OWN.name,
        settings,
        machine,
        environment,
        NobodyElse(),
        MessageRouter(),
        kind.folder,
        zone=ZONE,
    )


def read_expectation(kind: ReplicaKind) -> Expectation:
    """Return what is known of the kept files of a kind of replica."""
    content = (KEPT / kind.name / EXPECTATION).read_bytes()
    return msgspec.json.decode(content, type=Expectation)
