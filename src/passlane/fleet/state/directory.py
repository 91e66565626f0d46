"""The control leader's directory of the processes that send heartbeats.

For: views of the fleet (the addresses of its processes), and the choice of the store group's
initial members.
Owns: the newest heartbeat (message ``Announce``) of each process, and the members of the store
group last reported by its leader. Soft state; no I/O, the time is an argument.
Relies on: heartbeats alone.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from passlane.messages.fleet import Announce, FleetRole, NamedAddress

EXPIRE_AFTER_S = 6.0
"""Time without a heartbeat after which a process is removed; several heartbeat intervals
(``follower.HEARTBEAT_WAIT_S``)."""
FORMATION_QUIET_S = 1.5
"""Time without a new store process after which the store group is formed; the machines of a
deployment start together."""


class _TrackedProcess(msgspec.Struct):
    """A process's newest heartbeat, and the times of its first and last one from this address."""

    heartbeat: Announce
    first_at: float
    last_at: float


class _Addresses(msgspec.Struct, frozen=True):
    """The control replicas' addresses at one number of the directory."""

    number: int
    controls: tuple[NamedAddress, ...]


class FleetDirectory:
    """Processes by name; soft state that a new leader rebuilds from heartbeats.

    ``number`` is incremented whenever an address that other processes need has changed. No process
    needs the address of a node; otherwise, the updates that a new leader sends would grow with the
    square of the number of nodes.
    """

    def __init__(self, first_number: int) -> None:
        self.number = first_number
        self._processes: dict[str, _TrackedProcess] = {}
        self._group_members: tuple[NamedAddress, ...] = ()
        self._addresses = _Addresses(first_number - 1, ())

    def record_heartbeat(self, heartbeat: Announce, now: float) -> bool:
        """Record a heartbeat; return whether the view of the fleet has changed.

        ``now`` is the local time in seconds.
        """
        self._expire_silent(now)
        process = self._processes.get(heartbeat.name)
        is_new = process is None or process.heartbeat.address != heartbeat.address
        first_at = now if process is None or is_new else process.first_at
        self._processes[heartbeat.name] = _TrackedProcess(heartbeat, first_at, now)
        members = heartbeat.group_members
        is_new_replica = is_new and heartbeat.role is not FleetRole.NODE
        has_changed = is_new_replica or bool(members and members != self._group_members)
        if members:
            self._group_members = members
        if has_changed:
            self.number += 1
        return has_changed

    def _expire_silent(self, now: float) -> None:
        silent = [
            n for n, process in self._processes.items() if now - process.last_at > EXPIRE_AFTER_S
        ]
        for name in silent:
            if self._processes.pop(name).heartbeat.role is not FleetRole.NODE:
                self.number += 1

    def stores(self) -> tuple[NamedAddress, ...]:
        """Return the members of the store group last reported by its leader; empty before.

        Spares are not included, because they receive no requests.
        """
        return self._group_members

    def controls(self) -> tuple[NamedAddress, ...]:
        """Return the control replicas that send heartbeats."""
        return self._current_addresses().controls

    def _current_addresses(self) -> _Addresses:
        """Return the control replicas' addresses, computed once for each number."""
        if self._addresses.number != self.number:
            controls = {self._address_of(process) for process in self._of_role(FleetRole.CONTROL)}
            self._addresses = _Addresses(self.number, tuple(sorted(controls)))
        return self._addresses

    def node_count(self) -> int:
        """Return the number of nodes that send heartbeats."""
        return len(self._of_role(FleetRole.NODE))

    def node_names(self) -> list[str]:
        """Return the names of the nodes that send heartbeats."""
        return [process.heartbeat.name for process in self._of_role(FleetRole.NODE)]

    def store_names(self) -> list[str]:
        """Return the names of the store machines that send heartbeats."""
        return [process.heartbeat.name for process in self._of_role(FleetRole.STORE)]

    def heartbeat_of(self, name: str) -> Announce | None:
        """Return the newest heartbeat of a machine; ``None`` if there is none."""
        process = self._processes.get(name)
        return process.heartbeat if process is not None else None

    def initial_store_members(self, now: float, max_members: int) -> tuple[NamedAddress, ...]:
        """Return the initial members of the store group; empty while more may register.

        At most ``max_members`` members are chosen, spread over zones. Only replicas whose disks
        never stored any data are eligible.
        """
        stores = [store for store in self._of_role(FleetRole.STORE) if store.heartbeat.may_found]
        if not stores or now - max(process.first_at for process in stores) < FORMATION_QUIET_S:
            return ()
        members = _spread_over_zones(process.heartbeat for process in stores)[:max_members]
        return tuple(sorted(NamedAddress(m.replica_name, m.address) for m in members))

    def _of_role(self, role: FleetRole) -> list[_TrackedProcess]:
        return [process for process in self._processes.values() if process.heartbeat.role is role]

    @staticmethod
    def _address_of(process: _TrackedProcess) -> NamedAddress:
        heartbeat = process.heartbeat
        return NamedAddress(name=heartbeat.replica_name, address=heartbeat.address)


def _spread_over_zones(heartbeats: Iterable[Announce]) -> list[Announce]:
    """Return heartbeats in an order that alternates between zones."""
    ranks: Counter[str] = Counter()
    ranked = []
    for heartbeat in sorted(heartbeats, key=lambda announcement: announcement.replica_name):
        ranked.append((ranks[heartbeat.zone], heartbeat.zone, heartbeat))
        ranks[heartbeat.zone] += 1
    ranked.sort(key=lambda entry: entry[:2])
    return [heartbeat for _, _, heartbeat in ranked]
