"""Follows the fleet: announces this process and takes over configuration and addresses."""

import random as random_module
from collections.abc import Callable, Sequence

import anyio

from passlane.errors import PasslaneError
from passlane.fleet.state.listing_updates import apply_changes
from passlane.fleet.state.listing_updates import unpack as unpack_backends
from passlane.fleet.state.packed_configuration import unpack
from passlane.messages.common import Address, NotLeaderError
from passlane.messages.fleet import Announce, FleetAddresses, FleetView, NamedAddress
from passlane.messages.listing import BackendRecord, BackendsReported, ReportBackends
from passlane.messages.routes import RouteConfiguration
from passlane.observability.logging import get_logger
from passlane.transport.interfaces import Caller
from passlane.transport.replica_search import ReplicaSearch, SearchPauses

WAIT_S = 0.8
"""The leader holds an announcement for this long when there is nothing new."""
ANSWER_MARGIN_S = 0.5
SEARCH_PAUSES = SearchPauses(first_s=0.04, longest_s=0.25, growth=1.3)
"""After a loss of all processes a leader is elected within some tenths of a second."""
LOST_AFTER_S = 2.5
SHORTEST_PERIOD_S = 0.05
REPORT_TIMEOUT_S = 0.5

BackendsListener = Callable[[Sequence[BackendRecord], float], None]
"""Takes a list of back ends and the local time at which it was last known to be right."""

_log = get_logger(__name__)


class FleetFollower:
    """Keeps what this process knows of the fleet up to date.

    Parameters
    ----------
    announcement
        Returns what this process tells of itself now; version, view and wait are filled in.
    seeds
        Internal addresses of some control replicas, right at the time of the start.
    """

    def __init__(
        self,
        announcement: Callable[[], Announce],
        seeds: Sequence[Address],
        caller: Caller,
        random: random_module.Random,
    ) -> None:
        self._announcement = announcement
        self._seeds = tuple(seeds)
        self._caller = caller
        self._random = random
        self._leader: Address | None = None
        self._hint: Address | None = None
        self._listeners: list[Callable[[RouteConfiguration], None]] = []
        self._backends_listener: BackendsListener | None = None
        self._backends: tuple[BackendRecord, ...] = ()
        self._backends_number = 0
        # What this process told as the reader; the same list as the one held, in the
        # platform's order.
        self._reported: tuple[BackendRecord, ...] = ()
        self._reported_number = 0
        self._changed = anyio.Event()
        self._addresses = FleetAddresses()
        self._stores: tuple[NamedAddress, ...] = ()
        self.view: FleetView | None = None
        self.configuration: RouteConfiguration | None = None
        self._has_configuration = anyio.Event()
        self.has_seen_store_leader = False
        self._confirmed_at: float | None = None
        self._search = ReplicaSearch(
            self._candidates, self._try_to_follow, self._has_leader, SEARCH_PAUSES, random
        )

    def on_configuration(self, listener: Callable[[RouteConfiguration], None]) -> None:
        """Call ``listener`` with each newer configuration."""
        self._listeners.append(listener)

    def on_backends(self, listener: BackendsListener) -> None:
        """Call ``listener`` with the list of back ends whenever it is confirmed."""
        self._backends_listener = listener

    @property
    def reads_backends(self) -> bool:
        """Whether this process is to read the list of back ends for all."""
        return self.view is not None and self.view.reads_backends and not self.is_lost

    async def report_backends(self, records: tuple[BackendRecord, ...]) -> None:
        """Tell the leader of the control group what the platform lists now."""
        is_held = self._reported_number > 0 and records == self._reported
        try:
            number = await self._send_report(self._reported_number, None if is_held else records)
            if is_held and number != self._reported_number:
                number = await self._send_report(0, records)
            self._reported = records
            self._reported_number = number
        except PasslaneError as error:
            _log.info("backends_not_reported", code=error.code.value)

    async def _send_report(self, number: int, records: tuple[BackendRecord, ...] | None) -> int:
        report = ReportBackends(name=self._announcement().name, number=number, records=records)
        address = self._next_control()
        answer = await self._caller.call(
            address, report, BackendsReported, timeout_s=REPORT_TIMEOUT_S
        )
        return answer.number

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Take over seeds of a reloaded settings file."""
        self._seeds = tuple(seeds)

    @property
    def is_lost(self) -> bool:
        """Whether the control group's leader was not heard for longer than it is replaced in."""
        confirmed_at = self._confirmed_at
        return confirmed_at is None or anyio.current_time() - confirmed_at >= LOST_AFTER_S

    @property
    def controls(self) -> tuple[Address, ...]:
        """Control replicas to turn to: those last told of, then the seeds."""
        addresses = [member.address for member in self._addresses.controls]
        return tuple(dict.fromkeys([*addresses, *self._seeds]))

    @property
    def stores(self) -> tuple[NamedAddress, ...]:
        """Members of the store group as last told of.

        A new leader of the control group does not know them before the store group's leader
        has announced itself; those known before count on meanwhile.
        """
        return self._stores

    @property
    def store_founders(self) -> tuple[NamedAddress, ...]:
        """The first members of the store group; some may be gone.

        A new leader of the control group knows them before any store has announced itself.
        """
        return self._addresses.store_founders

    @property
    def retired_replicas(self) -> tuple[str, ...]:
        """Names of store replicas that are never to join again."""
        return self._addresses.retired_replicas

    @property
    def node_count(self) -> int:
        """How many nodes there are; at least 1."""
        return max(1, self.view.node_count) if self.view is not None else 1

    async def wait_for_change(self) -> None:
        """Return when the view has changed."""
        await self._changed.wait()

    async def wait_for_configuration(self) -> None:
        """Return once there is a configuration."""
        await self._has_configuration.wait()

    async def run(self) -> None:
        """Announce and follow until cancelled."""
        while True:
            if self._leader is None:
                await self._search.run()
                continue
            started = anyio.current_time()
            if await self._try_to_follow(self._leader):
                shortest_end = started + SHORTEST_PERIOD_S
                await anyio.sleep(max(0.0, shortest_end - anyio.current_time()))

    def _has_leader(self) -> bool:
        return self._leader is not None

    def _candidates(self) -> tuple[Address, ...]:
        hints = (self._hint,) if self._hint is not None else ()
        return tuple(dict.fromkeys([*hints, *self.controls]))

    async def _try_to_follow(self, address: Address) -> bool:
        """Announce to a replica and take over its view; return whether there was one."""
        try:
            view = await self._announce_to(address)
        except PasslaneError as error:
            self._note_failure(error, address)
            return False
        self._leader = address
        self._take_over(view)
        return True

    def _next_control(self) -> Address:
        """Return the leader if it is known, else any control replica."""
        return self._leader or self._random.choice(self.controls)

    async def _announce_to(self, address: Address) -> FleetView:
        own = self._announcement()
        request = Announce(
            name=own.name,
            role=own.role,
            replica_name=own.replica_name,
            address=own.address,
            zone=own.zone,
            may_found=own.may_found,
            group_members=own.group_members,
            configuration_version=self.configuration.version if self.configuration else 0,
            view_number=self.view.number if self.view is not None else 0,
            backends_number=self._backends_number,
            reads_backends=self.view is not None and self.view.reads_backends,
            wait_s=WAIT_S,
        )
        return await self._caller.call(
            address, request, FleetView, timeout_s=WAIT_S + ANSWER_MARGIN_S
        )

    def _note_failure(self, error: PasslaneError, address: Address) -> None:
        """Leave a replica that doesn't lead; it may tell which one does."""
        if isinstance(error, NotLeaderError) and error.leader is not None:
            self._hint = error.leader
        if self._leader == address:
            _log.info("control_lost", address=str(address), code=error.code.value)
            self._leader = None

    def _take_over(self, view: FleetView) -> None:
        """Take over a view; an older configuration than the one held has no effect."""
        has_changed = self.view is None or view.number != self.view.number
        self.view = view
        if view.addresses is not None:
            self._addresses = view.addresses
            self._stores = view.addresses.stores or self._stores
        # A new leader of the control group hears of the store's leader a moment later.
        self._confirmed_at = anyio.current_time()
        self.has_seen_store_leader = self.has_seen_store_leader or view.has_store_leader
        self._take_over_backends(view)
        if view.configuration is not None:
            self._take_over_configuration(unpack(view.configuration))
        if has_changed:
            _log.info(
                "fleet_view",
                number=view.number,
                controls=[member.name for member in self._addresses.controls],
                stores=[member.name for member in self._addresses.stores],
                nodes=view.node_count,
            )
            self._changed.set()
            self._changed = anyio.Event()

    def _take_over_configuration(self, configuration: RouteConfiguration) -> None:
        held = self.configuration.version if self.configuration is not None else 0
        if configuration.version <= held:
            return
        self.configuration = configuration
        self._has_configuration.set()
        _log.info("configuration_in_force", version=configuration.version, before=held)
        for listener in self._listeners:
            listener(configuration)

    def _update_backends(self, view: FleetView, update: bytes) -> None:
        """Bring the list up to date; an update of a list that is not held has no effect."""
        if view.backends_since not in (0, self._backends_number):
            _log.info("backends_update_ignored", since=view.backends_since)
            return
        held = self._backends if view.backends_since else ()
        self._backends = apply_changes(held, unpack_backends(update))
        self._backends_number = view.backends_number

    def _take_over_backends(self, view: FleetView) -> None:
        """Take over the list of back ends, or note that the one held is still right."""
        if view.backends_update is not None:
            self._update_backends(view, view.backends_update)
        is_held = view.backends_number == self._backends_number and self._backends_number > 0
        if self._backends_listener is None or view.backends_age_s is None or not is_held:
            return
        self._backends_listener(self._backends, anyio.current_time() - view.backends_age_s)
