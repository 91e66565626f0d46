"""What the leader of the control group remembers of the processes that send heartbeats.

For: views of the fleet (who is reached where), and the choice of the store group's initial
members.
Owns: the newest heartbeat (message ``Announce``) of each process, and the members of the
store group as its leader told them last. Soft state; no I/O, the time is an argument.
Relies on: heartbeats alone.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from passlane.messages.fleet import Announce, FleetRole, NamedAddress

FORGET_AFTER_S = 6.0
"""Seconds of silence after which a process is no longer counted.

Not measured; chosen: some heartbeats long (one each 0.8 s, ``follower.WAIT_S``).
"""
FOUNDING_PAUSE_S = 1.5
"""Seconds without a new store process after which the store group is formed.

Not measured; chosen (``docs/design/platform.md``): machines of one deployment start together.
"""


class _Known(msgspec.Struct):
    """The newest heartbeat of a process, when it first came from this address, and when last."""

    heartbeat: Announce
    first_at: float
    last_at: float


class _Addresses(msgspec.Struct, frozen=True):
    """Control replicas' addresses as they are under one number of the directory."""

    number: int
    controls: tuple[NamedAddress, ...]


class FleetDirectory:
    """Processes by name; soft state that a new leader gathers anew.

    ``number`` grows whenever an address that others need has changed. Nobody needs a
    node's: if each node that comes back were news to all others, a new leader would have
    the square of their number to tell.
    """

    def __init__(self, first_number: int) -> None:
        self.number = first_number
        self._known: dict[str, _Known] = {}
        self._group_members: tuple[NamedAddress, ...] = ()
        self._addresses = _Addresses(first_number - 1, ())

    def note(self, heartbeat: Announce, now: float) -> bool:
        """Take over a heartbeat; return whether the view of the fleet has changed.

        ``now`` is the local time in seconds.
        """
        self._forget_silent(now)
        known = self._known.get(heartbeat.name)
        is_new = known is None or known.heartbeat.address != heartbeat.address
        first_at = now if known is None or is_new else known.first_at
        self._known[heartbeat.name] = _Known(heartbeat, first_at, now)
        members = heartbeat.group_members
        is_new_replica = is_new and heartbeat.role is not FleetRole.NODE
        has_changed = is_new_replica or bool(members and members != self._group_members)
        if members:
            self._group_members = members
        if has_changed:
            self.number += 1
        return has_changed

    def _forget_silent(self, now: float) -> None:
        silent = [n for n, known in self._known.items() if now - known.last_at > FORGET_AFTER_S]
        for name in silent:
            if self._known.pop(name).heartbeat.role is not FleetRole.NODE:
                self.number += 1

    def stores(self) -> tuple[NamedAddress, ...]:
        """Return the members of the store group as its leader told them last; empty before.

        Spares are left out: nobody has anything to ask them.
        """
        return self._group_members

    def controls(self) -> tuple[NamedAddress, ...]:
        """Return the control replicas that send heartbeats."""
        return self._current_addresses().controls

    def _current_addresses(self) -> _Addresses:
        """Return the replicas' addresses, gathered once for each number."""
        if self._addresses.number != self.number:
            controls = {self._address_of(known) for known in self._of_role(FleetRole.CONTROL)}
            self._addresses = _Addresses(self.number, tuple(sorted(controls)))
        return self._addresses

    def node_count(self) -> int:
        """Return how many nodes send heartbeats."""
        return len(self._of_role(FleetRole.NODE))

    def node_names(self) -> list[str]:
        """Return the names of the nodes that send heartbeats."""
        return [known.heartbeat.name for known in self._of_role(FleetRole.NODE)]

    def store_names(self) -> list[str]:
        """Return the names of the store machines that send heartbeats."""
        return [known.heartbeat.name for known in self._of_role(FleetRole.STORE)]

    def announcement_of(self, name: str) -> Announce | None:
        """Return the newest heartbeat (``Announce``) of this machine, if there is one."""
        known = self._known.get(name)
        return known.heartbeat if known is not None else None

    def founders_due(self, now: float, places: int) -> tuple[NamedAddress, ...]:
        """Return the initial members of the store group, or none while more may come.

        They are ``places`` at most, spread over zones, and go into ``FoundStoreGroup``. Only
        replicas whose disks never held anything are taken.
        """
        stores = [k for k in self._of_role(FleetRole.STORE) if k.heartbeat.may_found]
        if not stores or now - max(known.first_at for known in stores) < FOUNDING_PAUSE_S:
            return ()
        members = _spread_over_zones(known.heartbeat for known in stores)[:places]
        return tuple(sorted(NamedAddress(m.replica_name, m.address) for m in members))

    def _of_role(self, role: FleetRole) -> list[_Known]:
        return [known for known in self._known.values() if known.heartbeat.role is role]

    @staticmethod
    def _address_of(known: _Known) -> NamedAddress:
        heartbeat = known.heartbeat
        return NamedAddress(name=heartbeat.replica_name, address=heartbeat.address)


def _spread_over_zones(heartbeats: Iterable[Announce]) -> list[Announce]:
    """Return heartbeats in an order in which zones take turns."""
    ranks: Counter[str] = Counter()
    ranked = []
    for heartbeat in sorted(heartbeats, key=lambda known: known.replica_name):
        ranked.append((ranks[heartbeat.zone], heartbeat.zone, heartbeat))
        ranks[heartbeat.zone] += 1
    ranked.sort(key=lambda entry: entry[:2])
    return [heartbeat for _, _, heartbeat in ranked]
