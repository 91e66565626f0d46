"""This process's copy of the newest view of the fleet.

For: every component that needs addresses of control or store replicas, the number of nodes, or
whether the control group still answers.
Owns: the newest ``FleetView`` and the addresses of the last one that had any.
Relies on: nothing; the follower passes each view.
"""

import anyio

from passlane.messages.common import Address
from passlane.messages.fleet import FleetAddresses, FleetView, NamedAddress
from passlane.observability.logging import get_logger

STALE_AFTER_S = 2.5
"""Time without an answer of the control group's leader after which the view is stale; longer than
an election."""

_log = get_logger(__name__)


class CachedView:
    """The cached view of the fleet.

    Attributes
    ----------
    has_seen_store_leader
        Whether any view so far reported a leader of the store group.
    """

    def __init__(self) -> None:
        self._view: FleetView | None = None
        self._addresses = FleetAddresses()
        self._stores: tuple[NamedAddress, ...] = ()
        self._confirmed_at: float | None = None
        self._changed = anyio.Event()
        self.has_seen_store_leader = False

    @property
    def number(self) -> int:
        """Number of the view; 0 before the first."""
        return self._view.number if self._view is not None else 0

    @property
    def is_assigned_reader(self) -> bool:
        """Whether the newest view assigns this process to read the list of backends for all."""
        return self._view is not None and self._view.reads_backends

    @property
    def reads_backends(self) -> bool:
        """Whether this process must read the list: it is the assigned reader and not cut off."""
        return self.is_assigned_reader and not self.is_stale

    @property
    def is_stale(self) -> bool:
        """Whether the control group's leader has not answered for longer than an election."""
        confirmed_at = self._confirmed_at
        return confirmed_at is None or anyio.current_time() - confirmed_at >= STALE_AFTER_S

    @property
    def controls(self) -> tuple[Address, ...]:
        """Addresses of the control replicas in the last view; empty before the first."""
        return tuple(member.address for member in self._addresses.controls)

    @property
    def stores(self) -> tuple[NamedAddress, ...]:
        """Members of the store group in the last view that had any.

        A new leader of the control group does not know them before the heartbeat of the store
        group's leader; until then the previous members remain valid.
        """
        return self._stores

    @property
    def initial_stores(self) -> tuple[NamedAddress, ...]:
        """The initial members of the store group; some may have left it.

        They are replicated, so a new leader of the control group knows them before the first
        heartbeat of a store.
        """
        return self._addresses.store_founders

    @property
    def retired_replicas(self) -> tuple[str, ...]:
        """Names of store replicas that must never join again."""
        return self._addresses.retired_replicas

    @property
    def node_count(self) -> int:
        """Number of nodes; at least 1."""
        return max(1, self._view.node_count) if self._view is not None else 1

    async def wait_for_change(self) -> None:
        """Wait for the next change of the view."""
        await self._changed.wait()

    def apply(self, view: FleetView) -> bool:
        """Replace the cached view; return whether its number is new."""
        has_changed = self._view is None or view.number != self._view.number
        self._view = view
        if view.addresses is not None:
            self._addresses = view.addresses
            self._stores = view.addresses.stores or self._stores
        self._confirmed_at = anyio.current_time()
        # A new leader of the control group may not know the store group's leader yet.
        self.has_seen_store_leader = self.has_seen_store_leader or view.has_store_leader
        return has_changed

    def publish_change(self) -> None:
        """Log the cached view and notify the tasks that wait for a change."""
        _log.info(
            "fleet_view",
            number=self.number,
            controls=[member.name for member in self._addresses.controls],
            stores=[member.name for member in self._addresses.stores],
            nodes=self._view.node_count if self._view is not None else 0,
        )
        self._changed.set()
        self._changed = anyio.Event()
