"""Adds simulated delays between zones, for a fleet whose processes share one machine.

The side that opens a connection delays both directions; the accepting side adds nothing.
"""

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream

from passlane.messages.common import Address
from passlane.runtime.interfaces import ConnectionHandler, Network
from passlane.settings.model import SimulatedDelaySettings


class DelayedNetwork:
    """Wraps a network and delays data to and from a peer by the delay of its zone.

    Parameters
    ----------
    inner
        Network that carries the bytes.
    own_zone
        Zone of this process.
    delays
        Zones by host and the added one-way delays; unlisted hosts get no delay.
    """

    def __init__(self, inner: Network, own_zone: str, delays: SimulatedDelaySettings) -> None:
        self._inner = inner
        self._own_zone = own_zone
        self._delays = delays

    def delay_s(self, host: str) -> float:
        """Return the added one-way delay to a host in seconds."""
        zone = self._delays.zone_of_host.get(host)
        if zone is None:
            return 0.0
        same = zone == self._own_zone
        return self._delays.same_zone_s if same else self._delays.other_zone_s

    async def connect(self, address: Address) -> ByteStream:
        """Open a connection after the delay of one round trip."""
        delay_s = self.delay_s(address.host)
        if delay_s == 0.0:
            return await self._inner.connect(address)
        await anyio.sleep(2 * delay_s)
        return DelayedStream(await self._inner.connect(address), delay_s)

    async def serve(self, address: Address, handler: ConnectionHandler) -> None:
        """Accept connections; see ``Network.serve``."""
        await self._inner.serve(address, handler)


class DelayedStream(ByteStream):
    """Delays the data sent and received on a stream.

    A send returns after its delay, so a channel's writer batches the messages queued in the
    meantime into its next write. This limits the number of writes per second, not their
    size. Each receive is delayed in the same way.
    """

    def __init__(self, inner: ByteStream, delay_s: float) -> None:
        self._inner = inner
        self._delay_s = delay_s

    async def send(self, item: bytes) -> None:
        """Send after the delay."""
        await anyio.sleep(self._delay_s)
        await self._inner.send(item)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Receive data and return it after the delay."""
        data = await self._inner.receive(max_bytes)
        await anyio.sleep(self._delay_s)
        return data

    async def send_eof(self) -> None:
        """Close the outgoing direction."""
        await self._inner.send_eof()

    async def aclose(self) -> None:
        """Close the stream."""
        await self._inner.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes of the wrapped stream."""
        return self._inner.extra_attributes
