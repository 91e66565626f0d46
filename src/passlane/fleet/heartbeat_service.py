"""Answers the heartbeats of all processes of the fleet, and the reports of backends.

For: each process receives addresses, the configuration and the list of backends in the answers to
its heartbeats (message ``Announce``), so that seed addresses suffice to start it.
Owns: the packed form of the newest configuration, and the heartbeats whose answers are delayed
until there is an update for their senders (long polling).
Relies on: ``LeaderState`` for the leader's state and for notifications of changes.
"""

import anyio

from passlane.fleet.leader_state import LeaderState
from passlane.fleet.state.packed_configuration import PackedConfigurations
from passlane.messages.fleet import Announce, FleetAddresses, FleetRole, FleetView
from passlane.messages.listing import BackendsReported, ReportBackends
from passlane.observability.logging import get_logger

MAX_WAIT_S = 1.5
"""Upper bound of a heartbeat's requested wait; above ``follower.HEARTBEAT_WAIT_S``."""

_log = get_logger(__name__)


class HeartbeatService:
    """Records the heartbeats of processes and answers them with views of the fleet."""

    def __init__(self, leader: LeaderState) -> None:
        self._leader = leader
        self._packed = PackedConfigurations()

    async def answer_heartbeat(self, heartbeat: Announce) -> FleetView:
        """Record a heartbeat and return the view; waits while there is no update for the sender.

        Raises
        ------
        NotLeaderError
            When this replica does not lead, or lost leadership during the wait.
        """
        self._leader.require_leadership()
        now = anyio.current_time()
        if self._leader.directory.record_heartbeat(heartbeat, now):
            self._leader.notify_changed()
        self._leader.choose_reader()
        if not self._has_update_for(heartbeat):
            await self._wait_for_update(heartbeat, now + min(heartbeat.wait_s, MAX_WAIT_S))
        self._leader.require_leadership()
        return self._view_for(heartbeat)

    async def receive_report(self, report: ReportBackends) -> BackendsReported:
        """Record the list of backends that a node has read.

        Raises
        ------
        NotLeaderError
            When this replica does not lead.
        """
        self._leader.require_leadership()
        listing = self._leader.listing
        if listing.report(report, anyio.current_time()):
            _log.info("backends_reported", number=listing.number, by=report.name)
            self._leader.notify_changed()
        return BackendsReported(number=listing.number)

    def _has_update_for(self, heartbeat: Announce) -> bool:
        return (
            self._needs_configuration(heartbeat)
            or self._leader.directory.number != heartbeat.view_number
            or self._needs_list(heartbeat)
            or heartbeat.reads_backends != self._is_reader(heartbeat)
        )

    async def _wait_for_update(self, heartbeat: Announce, deadline: float) -> None:
        while anyio.current_time() < deadline and not self._has_update_for(heartbeat):
            with anyio.CancelScope(deadline=deadline):
                await self._leader.wait_for_change()

    def _view_for(self, heartbeat: Announce) -> FleetView:
        directory = self._leader.directory
        listing = self._leader.listing
        configuration = self._leader.replicated.configuration
        needs_list = self._needs_list(heartbeat)
        since = listing.updates.since(heartbeat.backends_number) if needs_list else 0
        return FleetView(
            number=directory.number,
            addresses=self._addresses_for(heartbeat),
            has_store_leader=bool(directory.stores()),
            node_count=directory.node_count(),
            configuration_version=configuration.version if configuration else 0,
            configuration=self._configuration_for(heartbeat),
            backends_number=listing.number,
            backends_since=since,
            backends_update=listing.updates.update_since(since) if needs_list else None,
            backends_age_s=listing.age_s(anyio.current_time()),
            reads_backends=self._is_reader(heartbeat),
        )

    def _addresses_for(self, heartbeat: Announce) -> FleetAddresses | None:
        """Return the addresses, or ``None`` if the process already has the newest ones."""
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

    def _needs_list(self, heartbeat: Announce) -> bool:
        uses_backends = heartbeat.role in (FleetRole.NODE, FleetRole.STORE)
        return uses_backends and self._leader.listing.number not in (0, heartbeat.backends_number)

    def _is_reader(self, heartbeat: Announce) -> bool:
        return heartbeat.name == self._leader.listing.reader

    def _configuration_for(self, heartbeat: Announce) -> bytes | None:
        """Return the packed configuration for a node that has an older one, else ``None``."""
        configuration = self._leader.replicated.configuration
        if configuration is None or not self._needs_configuration(heartbeat):
            return None
        return self._packed.of(configuration)

    def _needs_configuration(self, heartbeat: Announce) -> bool:
        configuration = self._leader.replicated.configuration
        version = configuration.version if configuration is not None else 0
        return heartbeat.role is FleetRole.NODE and version > heartbeat.configuration_version
