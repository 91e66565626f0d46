"""What the processes of a fleet share, whatever their role.

For: each role is built from one value.
Owns: nothing; the process owns the parts.
Relies on: the settings, which are checked already.
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
    """The parts of one process that its role builds on.

    ``started_at`` is the local time, in seconds, at which the process started.
    """

    settings: FleetSettings
    environment: Environment
    pool: ConnectionPool
    router: MessageRouter
    metrics: Metrics
    started_at: float = 0.0

    @property
    def replica_name(self) -> str:
        """Name of this process among replicas: its IP number, which seeds tell too."""
        return self.settings.addresses.internal.host

    def heartbeat(self) -> Announce:
        """Return what the heartbeat of every process tells of it, whatever its role."""
        process = self.settings.process
        return Announce(
            name=process.name,
            role=process.role,
            replica_name=self.replica_name,
            address=self.settings.addresses.internal,
            zone=process.zone,
        )

    def seed_addresses(self, settings: FleetSettings | None = None) -> tuple[Address, ...]:
        """Return the seeds' internal addresses; internal ports are alike everywhere."""
        used = settings or self.settings
        port = used.addresses.internal.port
        return tuple(Address(seed.host, port) for seed in used.seeds)
