"""What the newest view told this process of the fleet's machines.

For: every part that needs addresses of control or store replicas, the number of nodes, or
whether the control group still answers.
Owns: the newest ``FleetView`` and the addresses of the last one that had any.
Relies on: nothing; the follower hands over each view.
"""

import anyio

from passlane.messages.common import Address
from passlane.messages.fleet import FleetAddresses, FleetView, NamedAddress
from passlane.observability.logging import get_logger

LOST_AFTER_S = 2.5
"""Seconds without an answer of the control group's leader after which it counts as lost.

Not measured; chosen: longer than a leader is replaced in, so that an election is no loss.
"""

_log = get_logger(__name__)


class HeldView:
    """The view of the fleet that this process holds.

    Attributes
    ----------
    has_seen_store_leader
        Whether any view so far told of a leader of the store group.
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
    def is_told_to_read_backends(self) -> bool:
        """Whether the newest view told this process to read the list of back ends for all."""
        return self._view is not None and self._view.reads_backends

    @property
    def reads_backends(self) -> bool:
        """Whether this process is to read the list for all: it was told so and isn't cut off."""
        return self.is_told_to_read_backends and not self.is_lost

    @property
    def is_lost(self) -> bool:
        """Whether the control group's leader was not heard for longer than it is replaced in."""
        confirmed_at = self._confirmed_at
        return confirmed_at is None or anyio.current_time() - confirmed_at >= LOST_AFTER_S

    @property
    def controls(self) -> tuple[Address, ...]:
        """Addresses of the control replicas as last told of; empty before."""
        return tuple(member.address for member in self._addresses.controls)

    @property
    def stores(self) -> tuple[NamedAddress, ...]:
        """Members of the store group as last told of.

        A new leader of the control group does not know them before the heartbeat of the store
        group's leader; those known before count on meanwhile.
        """
        return self._stores

    @property
    def initial_stores(self) -> tuple[NamedAddress, ...]:
        """The initial members of the store group; some may be gone.

        A new leader of the control group knows them before the first heartbeat of a store.
        """
        return self._addresses.store_founders

    @property
    def retired_replicas(self) -> tuple[str, ...]:
        """Names of store replicas that are never to join again."""
        return self._addresses.retired_replicas

    @property
    def node_count(self) -> int:
        """How many nodes there are; at least 1."""
        return max(1, self._view.node_count) if self._view is not None else 1

    async def wait_for_change(self) -> None:
        """Return when the view has changed."""
        await self._changed.wait()

    def take_over(self, view: FleetView) -> bool:
        """Take over a view; return whether its number is new."""
        has_changed = self._view is None or view.number != self._view.number
        self._view = view
        if view.addresses is not None:
            self._addresses = view.addresses
            self._stores = view.addresses.stores or self._stores
        # A new leader of the control group hears of the store's leader a moment later.
        self._confirmed_at = anyio.current_time()
        self.has_seen_store_leader = self.has_seen_store_leader or view.has_store_leader
        return has_changed

    def note_change(self) -> None:
        """Log the view held now and wake those who wait for a change."""
        _log.info(
            "fleet_view",
            number=self.number,
            controls=[member.name for member in self._addresses.controls],
            stores=[member.name for member in self._addresses.stores],
            nodes=self._view.node_count if self._view is not None else 0,
        )
        self._changed.set()
        self._changed = anyio.Event()
