"""Links between the processes of a fleet, which a test cuts and joins.

Each process connects to the others through relays of its own on loopback. A cut link passes nothing
on in either direction, and its connections stay open, as in a network that loses all packets. What
was sent follows once the link is joined.
"""

import json
import math
import sys
from pathlib import Path

import anyio

from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.soak.machines import INTERNAL_PORT, OPERATORS_PORT
from passlane.soak.proxy import FaultyProxy, ProxyMode
from processes.linked_start import LINKS_SUFFIX

RELAY_HOST = 199
FIRST_RELAY_PORT = 20_000
LIST = "list"
LINKED_DAEMON = (sys.executable, str(Path(__file__).with_name("linked_start.py")))

LAG_GROWTH = 0.6
"""Seconds by which a lag grows in a second; bytes still arrive all the time."""
MAX_LAG_S = 3.0
MAX_PIECES_ON_THE_WAY = 10_000


class Relay(FaultyProxy):
    """A relay that may let the bytes of its source arrive late, and later and later."""

    def __init__(self, name, address, target):
        super().__init__(name, address, target)
        self._lags_from = math.inf

    def set_lagging(self, is_lagging):
        self._lags_from = anyio.current_time() if is_lagging else math.inf

    async def _pump(self, source, sink, is_request):
        if not is_request:
            await super()._pump(source, sink, is_request)
            return
        on_the_way, arriving = anyio.create_memory_object_stream(MAX_PIECES_ON_THE_WAY)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._deliver, arriving, sink)
            async with on_the_way:
                await self._receive(source, on_the_way)

    async def _receive(self, source, on_the_way):
        try:
            while True:
                data = await source.receive()
                now = anyio.current_time()
                lag_s = min(MAX_LAG_S, max(0.0, now - self._lags_from) * LAG_GROWTH)
                on_the_way.send_nowait((now + lag_s, data))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def _deliver(self, arriving, sink):
        async with arriving:
            try:
                async for due_at, data in arriving:
                    await anyio.sleep_until(due_at)
                    await self._hold()
                    await sink.send(data)
                await sink.send_eof()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                return


class Links:
    """The links from processes to each other and to the platform's list, by their names."""

    def __init__(self, network, folder, list_address):
        self._host = f"{network}.{RELAY_HOST}"
        self._folder = folder
        self._list_address = list_address
        self._relays = {}
        self._relay_count = 0

    def connect(self, machines, tasks):
        """Set up the links of all processes, before they are started."""
        for source in machines:
            addresses = {}
            for target in machines:
                if target is not source:
                    addresses |= self._relay(source.name, target.name, _addresses_of(target))
            addresses |= self._relay(source.name, LIST, [self._list_address])
            path = self._folder / f"{source.name}{LINKS_SUFFIX}"
            path.write_text(json.dumps(addresses))
        for relays in self._relays.values():
            for relay in relays:
                tasks.start_soon(relay.run)

    def _relay(self, source, target, addresses):
        """Add relays before the addresses of a target; return theirs by the target's."""
        relays = []
        for address in addresses:
            own = Address(self._host, FIRST_RELAY_PORT + self._relay_count)
            self._relay_count += 1
            relays.append(Relay(f"{source} to {target}", own, address))
        self._relays[source, target] = relays
        return {
            str(address): [relay.address.host, relay.address.port]
            for address, relay in zip(addresses, relays, strict=True)
        }

    def cut(self, source, *targets):
        """Cut a process off from targets, in both directions."""
        self._set_mode(source, targets, ProxyMode.SILENT)

    def lose(self, source, *targets):
        """Lose what a process sends to targets; what they send to it arrives."""
        for target in targets:
            for relay in self._relays[source, target]:
                relay.set_mode(ProxyMode.SILENT)

    def let_lag(self, source, target, *, is_lagging=True):
        """Let what a process sends to a target arrive later and later, up to ``MAX_LAG_S``."""
        for relay in self._relays[source, target]:
            relay.set_lagging(is_lagging)

    def join_all(self):
        """Join all processes, and let nothing lag."""
        for relays in self._relays.values():
            for relay in relays:
                relay.set_lagging(False)
                relay.set_mode(ProxyMode.PASS)

    def _set_mode(self, source, targets, mode):
        for target in targets:
            for pair in ((source, target), (target, source)):
                for relay in self._relays.get(pair, ()):
                    relay.set_mode(mode)


def _addresses_of(machine):
    addresses = [machine.address(INTERNAL_PORT)]
    if machine.role is FleetRole.CONTROL:
        addresses.append(machine.address(OPERATORS_PORT))
    return addresses
