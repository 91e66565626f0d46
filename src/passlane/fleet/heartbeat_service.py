"""Answers the heartbeats of all processes of the fleet, and the reports of back ends.

For: each process learns addresses, the configuration and the list of back ends in the answers
to its heartbeats (message ``Announce``), so that it needs to know nothing but seeds.
Owns: the packed form of the newest configuration; a heartbeat is held here while there is
nothing new for its sender.
Relies on: ``LeaderState`` for what the leader knows and for being woken by changes.
"""

import anyio

from passlane.fleet.leader_state import LeaderState
from passlane.fleet.state.packed_configuration import PackedConfigurations
from passlane.messages.fleet import Announce, FleetAddresses, FleetRole, FleetView
from passlane.messages.listing import BackendsReported, ReportBackends
from passlane.observability.logging import get_logger

MAX_WAIT_S = 1.5
"""Bound in seconds for how long a heartbeat is held, whatever its sender asks for.

Not measured; chosen: above the 0.8 s that ``follower.WAIT_S`` asks for.
"""

_log = get_logger(__name__)


class HeartbeatService:
    """Notes what processes tell of themselves and tells them of the fleet."""

    def __init__(self, leader: LeaderState) -> None:
        self._leader = leader
        self._packed = PackedConfigurations()

    async def answer_heartbeat(self, heartbeat: Announce) -> FleetView:
        """Note a process and tell it of the fleet; held while there is nothing new for it.

        Raises
        ------
        NotLeaderError
            Also when leadership was lost while the heartbeat was held.
        """
        self._leader.require_leadership()
        now = anyio.current_time()
        if self._leader.directory.note(heartbeat, now):
            self._leader.wake_waiting()
        self._leader.choose_reader()
        if not self._has_news_for(heartbeat):
            await self._wait_for_news(heartbeat, now + min(heartbeat.wait_s, MAX_WAIT_S))
        self._leader.require_leadership()
        return self._view_for(heartbeat)

    async def take_report(self, report: ReportBackends) -> BackendsReported:
        """Take over the list of back ends that a node has read; raise ``NotLeaderError``."""
        self._leader.require_leadership()
        listing = self._leader.listing
        if listing.report(report, anyio.current_time()):
            _log.info("backends_reported", number=listing.number, by=report.name)
            self._leader.wake_waiting()
        return BackendsReported(number=listing.number)

    def _has_news_for(self, heartbeat: Announce) -> bool:
        return (
            self._wants_configuration(heartbeat)
            or self._leader.directory.number != heartbeat.view_number
            or self._wants_list(heartbeat)
            or heartbeat.reads_backends != self._is_reader(heartbeat)
        )

    async def _wait_for_news(self, heartbeat: Announce, deadline: float) -> None:
        while anyio.current_time() < deadline and not self._has_news_for(heartbeat):
            with anyio.CancelScope(deadline=deadline):
                await self._leader.wait_for_change()

    def _view_for(self, heartbeat: Announce) -> FleetView:
        directory = self._leader.directory
        listing = self._leader.listing
        configuration = self._leader.replicated.configuration
        wants_list = self._wants_list(heartbeat)
        since = listing.updates.since(heartbeat.backends_number) if wants_list else 0
        return FleetView(
            number=directory.number,
            addresses=self._addresses_for(heartbeat),
            has_store_leader=bool(directory.stores()),
            node_count=directory.node_count(),
            configuration_version=configuration.version if configuration else 0,
            configuration=self._configuration_for(heartbeat),
            backends_number=listing.number,
            backends_since=since,
            backends_update=listing.updates.update_since(since) if wants_list else None,
            backends_age_s=listing.age_s(anyio.current_time()),
            reads_backends=self._is_reader(heartbeat),
        )

    def _addresses_for(self, heartbeat: Announce) -> FleetAddresses | None:
        """Return the addresses for a process that holds others; most hold the newest."""
        directory = self._leader.directory
        if heartbeat.view_number == directory.number:
            return None
        replicated = self._leader.replicated
        return FleetAddresses(
            controls=directory.controls(),
            stores=directory.stores(),
            store_founders=replicated.store_founders,
            retired_replicas=tuple(sorted(replicated.retired.values())),
        )

    def _wants_list(self, heartbeat: Announce) -> bool:
        uses_backends = heartbeat.role in (FleetRole.NODE, FleetRole.STORE)
        return uses_backends and self._leader.listing.number not in (0, heartbeat.backends_number)

    def _is_reader(self, heartbeat: Announce) -> bool:
        return heartbeat.name == self._leader.listing.reader

    def _configuration_for(self, heartbeat: Announce) -> bytes | None:
        """Return the packed configuration for a node that holds an older one."""
        configuration = self._leader.replicated.configuration
        if configuration is None or not self._wants_configuration(heartbeat):
            return None
        return self._packed.of(configuration)

    def _wants_configuration(self, heartbeat: Announce) -> bool:
        configuration = self._leader.replicated.configuration
        version = configuration.version if configuration is not None else 0
        return heartbeat.role is FleetRole.NODE and version > heartbeat.configuration_version
