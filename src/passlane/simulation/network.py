"""A simulated network: byte streams with delays by zone, cuts, resets and silence.

Data is never lost or reordered inside a connection, as with TCP. A cut holds data
back until it heals, as retransmission would; a broken connection loses what is on
its way. Each process sees the network through a ``HostNetwork`` of its own.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, TaskGroup

from passlane.messages.common import Address
from passlane.runtime.interfaces import ConnectionHandler
from passlane.simulation.event_log import EventLog
from passlane.simulation.streams import Pipe, SimulatedStream

JITTER_FRACTION = 0.2
FIRST_RESEND_S = 1.0
"""After this long TCP sends an opening packet again that was lost."""


@dataclass(frozen=True)
class DelayModel:
    """One-way delays in seconds, by the zones of both ends."""

    zone_of_host: Mapping[str, str]
    same_zone_s: float = 0.0002
    other_zone_s: float = 0.0015

    def delay_s(self, source: str, destination: str) -> float:
        """Return the delay from one host to another, without jitter."""
        if source == destination:
            return 0.0
        same = self.zone_of_host.get(source) == self.zone_of_host.get(destination)
        return self.same_zone_s if same else self.other_zone_s


class _Connection:
    """A connection between two hosts."""

    def __init__(self, network: "SimulatedNetwork", client: str, server: str) -> None:
        self.hosts = frozenset({client, server})
        self.pipes = (Pipe(network, client, server), Pipe(network, server, client))
        self.client_end = SimulatedStream(self.pipes[1], self.pipes[0])
        self.server_end = SimulatedStream(self.pipes[0], self.pipes[1])

    def break_off(self) -> None:
        for pipe in self.pipes:
            pipe.break_off()

    def wake(self) -> None:
        for pipe in self.pipes:
            pipe.wake()


@dataclass(frozen=True)
class _Listener:
    host: str
    handler: ConnectionHandler
    tasks: TaskGroup


class SimulatedNetwork:
    """All hosts, their listeners and connections, and the faults between them.

    Parameters
    ----------
    random_source
        Draws the jitter of delays.
    delays
        One-way delays between hosts.
    event_log
        Its hash takes in every send, so that two runs that differ anywhere differ there.
    """

    def __init__(
        self,
        random_source: random.Random,
        delays: DelayModel,
        event_log: EventLog | None = None,
    ) -> None:
        self._random = random_source
        self._delays = delays
        self._event_log = event_log or EventLog()
        self._listeners: dict[Address, _Listener] = {}
        self._connections: list[_Connection] = []
        self._blocked: set[tuple[str, str]] = set()
        self._isolated: set[str] = set()
        self._half_open: list[tuple[str, _Connection]] = []
        self._changed = anyio.Event()

    def host(self, name: str) -> "HostNetwork":
        """Return the network as the process on host ``name`` (an IP number) sees it."""
        return HostNetwork(self, name)

    # Faults.

    def block(self, source: str, destination: str) -> None:
        """Hold back all that goes from one host to another (a one-way cut)."""
        self._blocked.add((source, destination))

    def cut(self, some: set[str], others: set[str]) -> None:
        """Cut two sets of hosts off from each other, in silence."""
        for one in sorted(some):
            for other in sorted(others):
                self.block(one, other)
                self.block(other, one)

    def isolate(self, host: str) -> None:
        """Hold back all that goes to or from a host, as when its machine is gone or frozen."""
        self._isolated.add(host)

    def reconnect(self, host: str) -> None:
        """End the isolation of a host; connections of its former process are reset."""
        self._isolated.discard(host)
        self._reset_half_open(host)
        self._wake_all()

    def heal(self) -> None:
        """End all cuts between hosts; isolated hosts stay so."""
        self._blocked.clear()
        self._wake_all()

    def break_connections(self, host: str) -> None:
        """Reset the connections of a host."""
        for connection in list(self._connections):
            if host in connection.hosts:
                self._connections.remove(connection)
                connection.break_off()

    def drop_connections(self, host: str, *, reset_peers: bool) -> None:
        """End all connections of a host's process, which is dead.

        With ``reset_peers`` the other ends see it at once. Without, they see nothing until
        the host answers again; then what they send is answered by a reset.
        """
        for connection in [c for c in self._connections if host in c.hosts]:
            if reset_peers:
                self._connections.remove(connection)
                connection.break_off()
            else:
                self._half_open.append((host, connection))

    def _reset_half_open(self, host: str) -> None:
        for entry in [entry for entry in self._half_open if entry[0] == host]:
            self._half_open.remove(entry)
            if entry[1] in self._connections:
                self._connections.remove(entry[1])
            entry[1].break_off()

    def remove_listeners(self, host: str) -> None:
        """Forget what listens on a host, as when its process dies."""
        for address in [a for a, entry in self._listeners.items() if entry.host == host]:
            del self._listeners[address]

    def is_blocked(self, source: str, destination: str) -> bool:
        """Whether data from one host to another is held back."""
        if source == destination:
            return False
        if source in self._isolated or destination in self._isolated:
            return True
        return (source, destination) in self._blocked

    def note_send(self, source: str, destination: str, size: int) -> None:
        """Take one send into the hash of the run."""
        self._event_log.fingerprint(f"send {source} {destination} {size}")

    def draw_delay(self, source: str, destination: str) -> float:
        """Return a one-way delay with jitter."""
        base = self._delays.delay_s(source, destination)
        return base * (1.0 + JITTER_FRACTION * self._random.random())

    # Connections.

    def _wake_all(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        for connection in self._connections:
            connection.wake()

    async def connect(self, client: str, address: Address) -> ByteStream:
        """Open a connection; wait in silence while the way is cut."""
        await self._wait_until_open(client, address.host)
        await anyio.sleep(self.draw_delay(client, address.host))
        await anyio.sleep(self.draw_delay(address.host, client))
        await self._wait_until_open(client, address.host)
        listener = self._listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens at {address}")
        connection = _Connection(self, client, address.host)
        self._connections.append(connection)
        listener.tasks.start_soon(self._serve_connection, listener, connection)
        return connection.client_end

    async def _wait_until_open(self, client: str, server: str) -> None:
        """Wait as TCP does: an opening packet that was lost is sent again ever later."""
        pause_s = FIRST_RESEND_S
        while self.is_blocked(client, server) or self.is_blocked(server, client):
            await anyio.sleep(pause_s)
            pause_s *= 2.0

    async def _serve_connection(self, listener: _Listener, connection: _Connection) -> None:
        try:
            await listener.handler(connection.server_end)
        finally:
            if connection in self._connections:
                self._connections.remove(connection)
            await anyio.aclose_forcefully(connection.server_end)

    async def serve(self, host: str, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections at ``address`` until cancelled."""
        if address in self._listeners:
            raise OSError(f"{address} is in use")
        async with anyio.create_task_group() as tasks:
            listener = _Listener(host, handler, tasks)
            self._listeners[address] = listener
            try:
                await anyio.sleep_forever()
            finally:
                if self._listeners.get(address) is listener:
                    del self._listeners[address]


class HostNetwork:
    """The network as one process sees it; implements ``runtime.interfaces.Network``."""

    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network = network
        self._host = host

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection; raise ``OSError`` when that fails."""
        return await self._network.connect(self._host, address)

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections and run ``handler`` for each until cancelled."""
        await self._network.serve(self._host, address, handler)
