"""Dependencies of a process of a fleet that are the same for all roles.

For: the classes of the three roles, which are built from one ``FleetContext``.
Owns: nothing; ``FleetDaemon`` owns the components.
Relies on: settings that have been checked.
"""

import msgspec

from passlane.messages.common import Address
from passlane.messages.fleet import Announce
from passlane.observability.metrics import Metrics
from passlane.runtime.interfaces import Environment
from passlane.settings.fleet import FleetSettings
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter


class FleetContext(msgspec.Struct, frozen=True):
    """Components of one process that its role builds on.

    Attributes
    ----------
    started_at
        Local time, in seconds, at which the process started.
    """

    settings: FleetSettings
    environment: Environment
    pool: ConnectionPool
    router: MessageRouter
    metrics: Metrics
    started_at: float = 0.0

    @property
    def replica_name(self) -> str:
        """Name of this process as a replica: its IP address, which the seeds contain as well."""
        return self.settings.addresses.internal.host

    def heartbeat(self) -> Announce:
        """Return the heartbeat fields that are common to all roles."""
        process = self.settings.process
        return Announce(
            name=process.name,
            role=process.role,
            replica_name=self.replica_name,
            address=self.settings.addresses.internal,
            zone=process.zone,
        )

    def seed_addresses(self, settings: FleetSettings | None = None) -> tuple[Address, ...]:
        """Return the seeds' internal addresses; all processes use the same internal port."""
        current = settings or self.settings
        port = current.addresses.internal.port
        return tuple(Address(seed.host, port) for seed in current.seeds)
