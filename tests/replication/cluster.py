"""A cluster of three replicas on a virtual clock with an in-memory transport."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec

from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.messages.common import Address
from passlane.replication.client import GroupClient
from passlane.replication.replica_host import ReplicaHost
from passlane.runtime.interfaces import Environment
from passlane.settings.model import GroupSettings, PeerSettings
from passlane.simulation.disk import SimulatedDisk
from passlane.transport.router import MessageRouter

GROUP = "store"
DELAY_S = 0.001
COMMANDS_IN_PART = 7
DISCOVERY_S = 1.5


class ListMachine:
    """Stores applied commands; the result of a command is their number."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot_parts(self):
        commands = list(self.commands)
        return (
            msgspec.msgpack.encode(commands[start : start + COMMANDS_IN_PART])
            for start in range(0, len(commands), COMMANDS_IN_PART)
        )

    def restore_parts(self, parts):
        commands = []
        for part in parts:
            commands += msgspec.msgpack.decode(part, type=list[bytes])
            yield
        self.commands = commands


class MemoryCaller:
    """Passes messages to the routers of other members; a stopped member does not respond."""

    def __init__(self, cluster, own):
        self._cluster = cluster
        self._own = own

    async def call(self, address, request, reply, *, timeout_s):
        await anyio.sleep(DELAY_S)
        member = self._cluster.reachable(self._own, address)
        if member is None:
            raise PasslaneError(ErrorCode.UNAVAILABLE, f"{address} is down")
        handler = member.router.unary_handler(request)
        with anyio.move_on_after(timeout_s):
            return await handler(request)
        raise PasslaneError(ErrorCode.TIMEOUT, "no answer", verdict=Verdict.MAY_HAVE_RUN)

    async def send(self, address, message):
        await anyio.sleep(DELAY_S)
        member = self._cluster.reachable(self._own, address)
        if member is not None:
            await member.router.one_way_handler(message)(message)


@dataclass
class Member:
    """One process; its disk persists across restarts."""

    peer: PeerSettings
    disk: SimulatedDisk
    router: MessageRouter = field(default_factory=MessageRouter)
    machine: ListMachine = field(default_factory=ListMachine)
    host: ReplicaHost | None = None
    scope: anyio.CancelScope | None = None
    failure: BaseException | None = None


class Cluster:
    """A cluster whose members can be started and killed by name.

    A subclass may run another state machine, and a service on top of each replica.
    """

    machine_class = ListMachine

    async def run_member(self, member):
        await member.host.run()

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int, **settings) -> None:
        self.tasks = tasks
        self.random = random.Random(seed)
        peers = tuple(
            PeerSettings(name=name, internal=Address("127.0.0.1", 7000 + number))
            for number, name in enumerate("abc")
        )
        self.settings = GroupSettings(members=peers, **settings)
        self.members = {
            peer.name: Member(peer, SimulatedDisk(random.Random(seed * 10 + number)))
            for number, peer in enumerate(peers)
        }
        self.cut = set()

    def reachable(self, own, address):
        at_address = (m for m in self.members.values() if m.peer.internal == address)
        member = next(at_address, None)
        if member is None:
            return None
        is_cut = own in self.cut or member.peer.name in self.cut
        return member if member.scope is not None and not is_cut else None

    def start(self, *names, discovers=False):
        """Start members; with ``discovers`` they know the others by discovery alone."""
        for name in names or self.members:
            member = self.members[name]
            member.router, member.machine = MessageRouter(), self.machine_class()
            environment = Environment(
                network=None,
                http_client=None,
                http_server=None,
                disk=member.disk,
                random=random.Random(self.random.random()),
            )
            settings, find_members = self.settings, None
            if discovers:
                settings = msgspec.structs.replace(settings, members=(member.peer,), places=3)
                find_members = self._others_of(name)
            member.host = ReplicaHost(
                GROUP,
                name,
                settings,
                member.machine,
                environment,
                MemoryCaller(self, name),
                member.router,
                GROUP,
                find_members=find_members,
            )
            member.failure = None
            member.scope = anyio.CancelScope()
            self.tasks.start_soon(self._run, member, member.scope)

    def _others_of(self, name):
        """Return a discovery that finds the other members a while after the start."""
        found_at = anyio.current_time() + DISCOVERY_S
        others = [member.peer for member in self.members.values() if member.peer.name != name]
        return lambda: others if anyio.current_time() >= found_at else []

    async def _run(self, member, scope):
        try:
            with scope:
                await self.run_member(member)
        except BaseExceptionGroup as group:
            member.failure = group
        except PasslaneError as error:
            member.failure = error
        finally:
            if member.scope is scope:
                member.scope = None

    def move(self, name, address):
        """Change the address of a member in all settings, effective at the next start."""
        member = self.members[name]
        member.peer = PeerSettings(name=name, internal=address)
        peers = tuple(member.peer for member in self.members.values())
        self.settings = msgspec.structs.replace(self.settings, members=peers)

    def kill(self, name, *, power=True):
        member = self.members[name]
        if power:
            member.disk.lose_power()
        else:
            member.disk.kill_process()
        if member.scope is not None:
            member.scope.cancel()
            member.scope = None

    def client(self):
        addresses = [peer.internal for peer in self.settings.members]
        return GroupClient(MemoryCaller(self, "client"), addresses, self.random)

    def leader(self):
        return next((m for m in self.members.values() if m.scope and m.host.is_leader), None)

    async def until(self, condition, timeout_s=30.0, every_s=0.01):
        """Wait for a condition; fail if it is not true within ``timeout_s`` of virtual time."""
        with anyio.fail_after(timeout_s):
            while True:
                if value := condition():
                    return value
                await anyio.sleep(every_s)

    async def propose(self, command, timeout_s=30.0):
        """Propose to the leader until the command is committed; it may be applied twice."""
        with anyio.fail_after(timeout_s):
            while True:
                leader = await self.until(self.leader, timeout_s)
                try:
                    return await leader.host.propose(command)
                except PasslaneError:
                    await anyio.sleep(0.05)

    async def read(self, timeout_s=30.0):
        """Read the commands on the leader, which may change meanwhile."""
        with anyio.fail_after(timeout_s):
            while True:
                leader = await self.until(self.leader, timeout_s)
                try:
                    await leader.host.read_barrier()
                    return leader.machine.commands
                except PasslaneError:
                    await anyio.sleep(0.05)

    def commands(self, name):
        """The distinct commands that a member has applied, in order."""
        return list(dict.fromkeys(self.members[name].machine.commands))


@asynccontextmanager
async def running_cluster(seed, **settings):
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, seed, **settings)
        cluster.start()
        yield cluster
        tasks.cancel_scope.cancel()
