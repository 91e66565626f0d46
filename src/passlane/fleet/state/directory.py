"""What the leader of the control group remembers of the processes that announce themselves."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from passlane.messages.fleet import Announce, FleetRole, NamedAddress

FORGET_AFTER_S = 6.0
"""A process that was silent for this long is no longer counted."""
FOUNDING_PAUSE_S = 1.5
"""The store group is founded once no further store process came for this long."""


class _Known(msgspec.Struct):
    """The newest announcement of a process and when it came."""

    announcement: Announce
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

    def note(self, announcement: Announce, now: float) -> bool:
        """Take over an announcement; return whether the view of the fleet has changed."""
        self._forget_silent(now)
        known = self._known.get(announcement.name)
        is_new = known is None or known.announcement.address != announcement.address
        first_at = now if known is None or is_new else known.first_at
        self._known[announcement.name] = _Known(announcement, first_at, now)
        members = announcement.group_members
        is_new_replica = is_new and announcement.role is not FleetRole.NODE
        has_changed = is_new_replica or bool(members and members != self._group_members)
        if members:
            self._group_members = members
        if has_changed:
            self.number += 1
        return has_changed

    def _forget_silent(self, now: float) -> None:
        silent = [n for n, known in self._known.items() if now - known.last_at > FORGET_AFTER_S]
        for name in silent:
            if self._known.pop(name).announcement.role is not FleetRole.NODE:
                self.number += 1

    def stores(self) -> tuple[NamedAddress, ...]:
        """Return the members of the store group as its leader told them last; empty before.

        Spares are left out: nobody has anything to ask them.
        """
        return self._group_members

    def controls(self) -> tuple[NamedAddress, ...]:
        """Return the control replicas that announce themselves."""
        return self._current_addresses().controls

    def _current_addresses(self) -> _Addresses:
        """Return the replicas' addresses, gathered once for each number."""
        if self._addresses.number != self.number:
            controls = {self._address_of(known) for known in self._of_role(FleetRole.CONTROL)}
            self._addresses = _Addresses(self.number, tuple(sorted(controls)))
        return self._addresses

    def node_count(self) -> int:
        """Return how many nodes announce themselves."""
        return len(self._of_role(FleetRole.NODE))

    def node_names(self) -> list[str]:
        """Return the names of the nodes that announce themselves."""
        return [known.announcement.name for known in self._of_role(FleetRole.NODE)]

    def store_names(self) -> list[str]:
        """Return the names of the store machines that announce themselves."""
        return [known.announcement.name for known in self._of_role(FleetRole.STORE)]

    def announcement_of(self, name: str) -> Announce | None:
        """Return the newest announcement of the machine of this name."""
        known = self._known.get(name)
        return known.announcement if known is not None else None

    def founders_due(self, now: float, places: int) -> tuple[NamedAddress, ...]:
        """Return the first ``places`` members of the store group, or none while more may come.

        They are spread over zones.
        """
        stores = [k for k in self._of_role(FleetRole.STORE) if k.announcement.may_found]
        if not stores or now - max(known.first_at for known in stores) < FOUNDING_PAUSE_S:
            return ()
        founders = _spread_over_zones(known.announcement for known in stores)[:places]
        return tuple(sorted(NamedAddress(f.replica_name, f.address) for f in founders))

    def _of_role(self, role: FleetRole) -> list[_Known]:
        return [known for known in self._known.values() if known.announcement.role is role]

    @staticmethod
    def _address_of(known: _Known) -> NamedAddress:
        announcement = known.announcement
        return NamedAddress(name=announcement.replica_name, address=announcement.address)


def _spread_over_zones(announcements: Iterable[Announce]) -> list[Announce]:
    """Return announcements in an order in which zones take turns."""
    ranks: Counter[str] = Counter()
    ranked = []
    for announcement in sorted(announcements, key=lambda known: known.replica_name):
        ranked.append((ranks[announcement.zone], announcement.zone, announcement))
        ranks[announcement.zone] += 1
    ranked.sort(key=lambda entry: entry[:2])
    return [announcement for _, _, announcement in ranked]
