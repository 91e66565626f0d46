"""Byte streams of the simulated network: what is on its way, and when it arrives."""

import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio
import anyio.lowlevel
import trio
from anyio.abc import ByteStream

PIPE_BYTES = 262_144
"""Bytes on their way in one direction before a sender has to wait."""


class Link(Protocol):
    """What a stream needs to know of the network."""

    def is_blocked(self, source: str, destination: str) -> bool:
        """Whether data from one host to another is held back."""
        ...

    def note_send(self, source: str, destination: str, size: int) -> None:
        """Take one send into the hash of the run."""
        ...

    def draw_delay(self, source: str, destination: str) -> float:
        """Return a one-way delay in seconds."""
        ...


class Pipe:
    """One direction of a connection."""

    def __init__(self, network: Link, source: str, destination: str) -> None:
        self._network = network
        self.source = source
        self.destination = destination
        self._parts: deque[tuple[float, bytes]] = deque()
        self._bytes = 0
        self._last_arrival = 0.0
        self._space_made = anyio.Event()
        self._waiting_receiver: anyio.CancelScope | None = None
        self._is_finished = False
        self._is_broken = False

    def wake(self) -> None:
        """Let waiting ends look again."""
        self._space_made.set()
        self._space_made = anyio.Event()
        self._wake_receiver_at(-math.inf)

    def _wake_receiver_at(self, time: float) -> None:
        """Let the receiver look at ``time``, unless it does so earlier anyway."""
        scope = self._waiting_receiver
        if scope is not None and time < scope.deadline:
            scope.deadline = time

    def break_off(self) -> None:
        """Lose what is on its way; both ends see a broken connection."""
        self._is_broken = True
        self._parts.clear()
        self.wake()

    def finish(self) -> None:
        """End the stream after what was sent."""
        self._is_finished = True
        self.wake()

    async def send(self, data: bytes) -> None:
        """Put bytes on their way; wait while too many are."""
        while self._bytes > PIPE_BYTES and not self._is_broken:
            await self._space_made.wait()
        if self._is_broken or self._is_finished:
            raise anyio.BrokenResourceError
        self._network.note_send(self.source, self.destination, len(data))
        arrival = anyio.current_time() + self._network.draw_delay(self.source, self.destination)
        self._last_arrival = max(self._last_arrival, arrival)
        self._parts.append((self._last_arrival, bytes(data)))
        self._bytes += len(data)
        if not self._network.is_blocked(self.source, self.destination):
            self._wake_receiver_at(self._parts[0][0])

    async def receive(self, max_bytes: int) -> bytes:
        """Return bytes that have arrived, waiting for them if need be."""
        while True:
            if self._is_broken:
                raise anyio.BrokenResourceError
            wait_s = self._wait_s()
            if wait_s <= 0.0:
                return self._take(max_bytes)
            with anyio.CancelScope(deadline=anyio.current_time() + wait_s) as scope:
                self._waiting_receiver = scope
                try:
                    # Simulations run on trio; anyio's own would open another scope.
                    await trio.sleep_forever()
                finally:
                    self._waiting_receiver = None

    def _wait_s(self) -> float:
        """Return how long to wait for the next part; infinite until something changes."""
        if self._network.is_blocked(self.source, self.destination):
            return math.inf
        if self._parts:
            return self._parts[0][0] - anyio.current_time()
        return 0.0 if self._is_finished else math.inf

    def _take(self, max_bytes: int) -> bytes:
        if not self._parts:
            raise anyio.EndOfStream
        arrival, part = self._parts.popleft()
        if len(part) > max_bytes:
            self._parts.appendleft((arrival, part[max_bytes:]))
            part = part[:max_bytes]
        self._bytes -= len(part)
        if self._bytes <= PIPE_BYTES:
            self._space_made.set()
            self._space_made = anyio.Event()
        return part


class SimulatedStream(ByteStream):
    """One end of a simulated connection."""

    def __init__(self, incoming: Pipe, outgoing: Pipe) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self._is_closed = False

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return bytes that arrived; see ``anyio.abc.ByteStream``."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        if self._is_closed:
            raise anyio.ClosedResourceError
        return await self._incoming.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send bytes; see ``anyio.abc.ByteStream``."""
        await anyio.lowlevel.checkpoint_if_cancelled()
        if self._is_closed:
            raise anyio.ClosedResourceError
        await self._outgoing.send(item)

    async def send_eof(self) -> None:
        """End the outgoing direction."""
        self._outgoing.finish()

    async def aclose(self) -> None:
        """Close both directions; what was sent still arrives."""
        if not self._is_closed:
            self._is_closed = True
            self._outgoing.finish()
            self._incoming.break_off()
        await anyio.lowlevel.checkpoint()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return no extra attributes."""
        return {}
