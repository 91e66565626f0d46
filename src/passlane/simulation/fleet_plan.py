"""What a simulated fleet consists of, and the settings of its processes."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from passlane.identifiers import TenantId
from passlane.messages.common import Address
from passlane.settings.model import (
    AddressSettings,
    GroupSettings,
    MembershipSettings,
    NodeSettings,
    PeerSettings,
    ProcessSettings,
    Role,
    SecuritySettings,
    Settings,
    TokenSettings,
)

INTERNAL_PORT = 7000
OPERATORS_PORT = 7001
CALLERS_PORT = 7002
ENGINE_PORT = 8000
APPLICATION_PORT = 8001
PLATFORM_PORT = 8002
PLATFORM_HOST = "10.9.0.1"
CALLER_HOST = "10.8.0.1"
OPERATOR_HOST = "10.8.0.2"
OPERATOR_TOKEN = "operator-token-for-simulation"
REGION = "region"
TOOL_PRICE_MICROS = 1_000
"""Price of each run of a tool in simulated fleets."""

GROUP = GroupSettings(heartbeat_s=0.2, election_timeout_s=0.8, snapshot_every_entries=100)
MEMBERSHIP = MembershipSettings(partitions=8, clock_drift_fraction=0.05)
NODE = NodeSettings(
    call_timeout_s=30.0,
    drain_timeout_s=20.0,
    engine_poll_s=2.0,
    platform_list=Address(PLATFORM_HOST, PLATFORM_PORT),
)


def caller_token(tenant: str) -> str:
    """Return the bearer token of a tenant's callers."""
    return f"caller-token-of-{tenant}"


@dataclass(frozen=True)
class FleetPlan:
    """Sizes, zones and timing of a simulated fleet.

    Attributes
    ----------
    zones
        Processes are spread over these in turn.
    stores, nodes, engines, applications
        How many of each; stores also run the control group.
    clock_rates
        For a process by name: how fast its clock runs. Only durations are ever measured,
        so a clock that runs fast shortens every duration in its settings.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    stores: int = 3
    nodes: int = 3
    engines: int = 2
    applications: int = 1
    tenants: tuple[str, ...] = ("shops", "school")
    group: GroupSettings = GROUP
    membership: MembershipSettings = MEMBERSHIP
    node: NodeSettings = NODE
    clock_rates: Mapping[str, float] = field(default_factory=dict)

    def zone_of(self, number: int) -> str:
        """Return the zone of the process with this number."""
        return self.zones[number % len(self.zones)]

    def store_names(self) -> list[str]:
        """Return the names of the processes with the store and control roles."""
        return [f"store-{number}" for number in range(self.stores)]

    def node_names(self) -> list[str]:
        """Return the names of the nodes."""
        return [f"node-{number}" for number in range(self.nodes)]

    def engine_names(self) -> list[str]:
        """Return the names of the engines."""
        return [f"engine-{number}" for number in range(self.engines)]

    def application_names(self) -> list[str]:
        """Return the names of the applications."""
        return [f"application-{number}" for number in range(self.applications)]

    def host_of(self, name: str) -> str:
        """Return the IP number of a process or back end by its name."""
        kind, _, number = name.rpartition("-")
        network = {"store": 1, "node": 2, "engine": 3, "application": 4}[kind]
        return f"10.{network}.0.{int(number) + 1}"

    def zone_of_host(self) -> dict[str, str]:
        """Return the zone of every host of the fleet."""
        names = self.store_names() + self.node_names()
        names += self.engine_names() + self.application_names()
        zones = {self.host_of(name): self.zone_of_name(name) for name in names}
        callers = {PLATFORM_HOST, CALLER_HOST, OPERATOR_HOST}
        return {**zones, **{host: "outside" for host in sorted(callers)}}

    def zone_of_name(self, name: str) -> str:
        """Return the zone of a process or back end."""
        return self.zone_of(int(name.rpartition("-")[2]))

    def callers_address(self, node: str) -> Address:
        """Return where a node serves callers."""
        return Address(self.host_of(node), CALLERS_PORT)

    def operators_address(self, name: str) -> Address:
        """Return where a process serves operators."""
        return Address(self.host_of(name), OPERATORS_PORT)

    def settings_of(self, name: str) -> Settings:
        """Return the settings of a process by its name."""
        host = self.host_of(name)
        is_store = name in self.store_names()
        members = tuple(
            PeerSettings(name=store, internal=Address(self.host_of(store), INTERNAL_PORT))
            for store in self.store_names()
        )
        group = _with_members(self.group, members, self.clock_rates.get(name, 1.0))
        addresses = tuple(member.internal for member in members)
        return Settings(
            process=ProcessSettings(
                name=name,
                roles=(Role.CONTROL, Role.STORE) if is_store else (Role.NODE,),
                region=REGION,
                zone=self.zone_of_name(name),
                data_folder=name,
            ),
            addresses=AddressSettings(
                internal=Address(host, INTERNAL_PORT),
                operators=Address(host, OPERATORS_PORT),
                callers=None if is_store else Address(host, CALLERS_PORT),
            ),
            store_addresses=addresses,
            control_addresses=addresses,
            store_group=group,
            control_group=group,
            membership=_with_clock_rate(self.membership, self.clock_rates.get(name, 1.0)),
            node=self.node,
            security=SecuritySettings(
                callers=tuple(
                    TokenSettings(token=caller_token(tenant), tenant=TenantId(tenant))
                    for tenant in self.tenants
                ),
                operators=(TokenSettings(token=OPERATOR_TOKEN),),
            ),
        )


def _with_members(
    group: GroupSettings, members: tuple[PeerSettings, ...], rate: float
) -> GroupSettings:
    return GroupSettings(
        members=members,
        heartbeat_s=group.heartbeat_s / rate,
        election_timeout_s=group.election_timeout_s / rate,
        snapshot_every_entries=group.snapshot_every_entries,
        max_batch_bytes=group.max_batch_bytes,
        segment_bytes=group.segment_bytes,
        large_log_bytes=group.large_log_bytes,
    )


def _with_clock_rate(membership: MembershipSettings, rate: float) -> MembershipSettings:
    return MembershipSettings(
        heartbeat_s=membership.heartbeat_s / rate,
        lease_s=membership.lease_s / rate,
        clock_drift_fraction=membership.clock_drift_fraction,
        partitions=membership.partitions,
        rejoin_delay_s=membership.rejoin_delay_s / rate,
    )
