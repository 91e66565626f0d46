"""The settings file of ``passlaned``, as typed structs; field names end in their unit."""

import enum

import msgspec

from passlane.identifiers import TenantId
from passlane.messages.common import Address


class Role(enum.StrEnum):
    """Role of a daemon; one process may have several."""

    NODE = "node"
    STORE = "store"
    CONTROL = "control"


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the sections; an unknown key is an error."""


class ProcessSettings(_Section, frozen=True):
    """Identity of this process and the folder of its files."""

    name: str
    roles: tuple[Role, ...]
    region: str
    zone: str
    data_folder: str


class AddressSettings(_Section, frozen=True):
    """Addresses on which this process listens; ``host:port`` in the file.

    Attributes
    ----------
    internal
        Messages of other passlane processes.
    operators
        HTTP of operators, with metrics and health.
    callers
        HTTP of callers; nodes only.
    """

    internal: Address
    operators: Address
    callers: Address | None = None


class PeerSettings(_Section, frozen=True):
    """A configured replica of a group."""

    name: str
    internal: Address


LARGE_LOG_BYTES = 16_000_000


class GroupSettings(_Section, frozen=True):
    """Timing and initial members of a replicated group.

    Attributes
    ----------
    members
        The initial voters.
    election_timeout_s
        An election starts after a random time between one and two timeouts without a leader.
    first_election_share
        Share of the election timeout that applies to the first elections after a start.
    places
        Number of voters that a group maintains; without it, each replica that requests to vote
        becomes a voter.
    large_log_bytes
        Growth of the log from which a snapshot is due whatever the number of entries, and bytes
        of the log that stay in memory behind a snapshot.
    """

    members: tuple[PeerSettings, ...] = ()
    heartbeat_s: float = 0.05
    election_timeout_s: float = 0.3
    first_election_share: float = 1.0
    places: int | None = None
    snapshot_every_entries: int = 5_000
    max_batch_bytes: int = 1_000_000
    segment_bytes: int = 8_000_000
    large_log_bytes: int = LARGE_LOG_BYTES


class ControlSettings(_Section, frozen=True):
    """Conditions under which the control group accepts a change.

    Attributes
    ----------
    regions
        Regions in each of which a change must be stored first; empty means the process's own.
    """

    regions: tuple[str, ...] = ()


class MembershipSettings(_Section, frozen=True):
    """Leases of nodes and the assignment of partitions."""

    heartbeat_s: float = 0.5
    lease_s: float = 2.0
    clock_drift_fraction: float = 0.01
    partitions: int = 64
    rejoin_delay_s: float = 1.0


class NodeSettings(_Section, frozen=True):
    """Limits and intervals of a node.

    Attributes
    ----------
    engine_poll_s
        Interval for engines that the node uses; it grows if all polls would exceed
        ``max_engine_polls_per_s``.
    idle_engine_poll_s
        The same for other engines.
    platform_list
        Address of the platform's list of machines, from which the leader of the region's store
        group reads which machines are about to be removed. It is set for processes with the store
        role; a node doesn't read it. Without it no list is read.
    """

    max_body_bytes: int = 1_000_000
    max_queued_calls: int = 1_000
    call_timeout_s: float = 60.0
    drain_timeout_s: float = 30.0
    engine_poll_s: float = 0.25
    idle_engine_poll_s: float = 2.0
    max_engine_polls_per_s: float = 4.0
    watched_engines_per_model: int = 8
    trace_file: str | None = None
    trace_redacts_content: bool = True
    platform_list: Address | None = None


class TokenSettings(_Section, frozen=True):
    """A bearer token; ``tenant`` is set for tokens of callers only."""

    token: str
    tenant: TenantId | None = None


class SecuritySettings(_Section, frozen=True):
    """Bearer tokens of callers and operators; never logged."""

    callers: tuple[TokenSettings, ...] = ()
    operators: tuple[TokenSettings, ...] = ()


class ObservabilitySettings(_Section, frozen=True):
    """Size of the ring log and the folder to which it is dumped on failures."""

    ring_lines: int = 10_000
    dump_folder: str = "ring"


class SimulatedDelaySettings(_Section, frozen=True):
    """Added one-way network delay to peers by their zone, to simulate zones on one machine."""

    zone_of_host: dict[str, str] = {}
    same_zone_s: float = 0.0
    other_zone_s: float = 0.0


class Settings(_Section, frozen=True):
    """The settings file.

    Attributes
    ----------
    store_addresses
        Internal addresses of the region's store replicas.
    control_addresses
        Internal addresses of the control replicas.
    """

    process: ProcessSettings
    addresses: AddressSettings
    store_addresses: tuple[Address, ...] = ()
    control_addresses: tuple[Address, ...] = ()
    store_group: GroupSettings = GroupSettings()
    control_group: GroupSettings = GroupSettings()
    control: ControlSettings = ControlSettings()
    membership: MembershipSettings = MembershipSettings()
    node: NodeSettings = NodeSettings()
    security: SecuritySettings = SecuritySettings()
    observability: ObservabilitySettings = ObservabilitySettings()
    delays: SimulatedDelaySettings = SimulatedDelaySettings()
