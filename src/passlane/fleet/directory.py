"""What the leader of the control group remembers of the processes that announce themselves."""

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
    """Replicas' addresses as they are under one number of the directory."""

    number: int
    stores: tuple[NamedAddress, ...]
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
        self._addresses = _Addresses(first_number - 1, (), ())

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
        """Return the store replicas: those that announce themselves, and the group's members."""
        return self._current_addresses().stores

    def controls(self) -> tuple[NamedAddress, ...]:
        """Return the control replicas that announce themselves."""
        return self._current_addresses().controls

    def _current_addresses(self) -> _Addresses:
        """Return the replicas' addresses, gathered once for each number."""
        if self._addresses.number != self.number:
            stores = {self._address_of(known) for known in self._of_role(FleetRole.STORE)}
            controls = {self._address_of(known) for known in self._of_role(FleetRole.CONTROL)}
            self._addresses = _Addresses(
                number=self.number,
                stores=tuple(sorted(stores | set(self._group_members))),
                controls=tuple(sorted(controls)),
            )
        return self._addresses

    def node_count(self) -> int:
        """Return how many nodes announce themselves."""
        return len(self._of_role(FleetRole.NODE))

    def node_names(self) -> list[str]:
        """Return the names of the nodes that announce themselves."""
        return [known.announcement.name for known in self._of_role(FleetRole.NODE)]

    def store_count(self) -> int:
        """Return how many store processes announce themselves."""
        return len(self._of_role(FleetRole.STORE))

    def announcement_of(self, name: str) -> Announce | None:
        """Return the newest announcement of the machine of this name."""
        known = self._known.get(name)
        return known.announcement if known is not None else None

    def group_members(self) -> tuple[NamedAddress, ...]:
        """Return the members of the store group as its leader told them last."""
        return self._group_members

    def founders_due(self, now: float) -> tuple[NamedAddress, ...]:
        """Return the first members of the store group, or none while more may come."""
        stores = [k for k in self._of_role(FleetRole.STORE) if k.announcement.may_found]
        if not stores or now - max(known.first_at for known in stores) < FOUNDING_PAUSE_S:
            return ()
        return tuple(sorted(self._address_of(known) for known in stores))

    def _of_role(self, role: FleetRole) -> list[_Known]:
        return [known for known in self._known.values() if known.announcement.role is role]

    @staticmethod
    def _address_of(known: _Known) -> NamedAddress:
        announcement = known.announcement
        return NamedAddress(name=announcement.replica_name, address=announcement.address)
