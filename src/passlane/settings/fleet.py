"""Settings of a process of a fleet, which finds the other processes from seeds.

The file is TOML. It contains the settings of one machine; values derived from them are computed by
the code that uses them.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from passlane.decisions.admission.loop_lag import MAX_SAMPLE_S
from passlane.decisions.admission.node_load import LATE_LOOP_S, VERY_LATE_LOOP_S
from passlane.decisions.admission.reader_buffers import (
    BYTES_FOR_ONE,
    MAX_STALL_S,
    MIN_STALL_S,
)
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.settings.checks import SettingsProblem, find_unbounded_numbers
from passlane.settings.loader import SettingsError, convert_settings, read_toml

MAX_PORT = 65_535
BYTES_PER_MEGABYTE = 1_000_000
MIN_CALLER_BYTES = 4_096
"""Large enough for an event of usual size."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the sections; an unknown key is an error."""


class FleetProcessSettings(_Section, frozen=True):
    """Identity of this process and the folder of its files; nodes have no data folder."""

    name: str
    role: FleetRole
    zone: str
    data_folder: str = ""
    is_first_start: bool = False


class FleetAddressSettings(_Section, frozen=True):
    """Addresses on which this process listens; ``None`` for those that its role doesn't serve."""

    internal: Address
    callers: Address | None = None
    readiness: Address | None = None
    operators: Address | None = None
    metrics: Address | None = None


class BackendListSettings(_Section, frozen=True):
    """Address of the platform's list of backends, and the rate limit of all nodes' calls for it."""

    address: Address
    rate_per_s: float


class FleetTimingSettings(_Section, frozen=True):
    """Time limit of a planned stop.

    Attributes
    ----------
    grace_s
        Seconds between the stop signal and the kill.
    """

    grace_s: float = 8.0


class FaultToleranceSettings(_Section, frozen=True):
    """Number of machines with a disk that may fail at the same time while all guarantees hold."""

    machines: int = 1

    @property
    def voters(self) -> int:
        """Voters that a group needs to keep a majority."""
        return 2 * self.machines + 1


class QuotaSettings(_Section, frozen=True):
    """Measurement and tolerance of the rate limits of tenants.

    Attributes
    ----------
    window_s
        Length in seconds of the sliding window to which a limit applies.
    overage
        Share by which a limit may be exceeded.
    slack_requests
        Requests by which a limit may be exceeded in addition.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack_requests: float = 0.0


class TurnSettings(_Section, frozen=True):
    """Scheduling of the turns of programs.

    Attributes
    ----------
    are_placed_by_store
        Whether the leader of the store group orders the turns of all nodes and chooses their
        engines. Otherwise each node does so for its own turns.
    """

    are_placed_by_store: bool = False


class MachineSettings(_Section, frozen=True):
    """Resources of the machine for this process; ``None`` where they aren't configured.

    Attributes
    ----------
    memory_mb
        Memory limit in megabytes; a process that exceeds it is killed.
    descriptors
        Maximum number of open file descriptors.
    """

    memory_mb: float | None = None
    descriptors: float | None = None

    @property
    def memory_bytes(self) -> int | None:
        """Memory limit in bytes; ``None`` where it isn't configured."""
        return int(self.memory_mb * BYTES_PER_MEGABYTE) if self.memory_mb is not None else None

    @property
    def max_descriptors(self) -> int | None:
        """Maximum number of open file descriptors as a whole number."""
        return int(self.descriptors) if self.descriptors is not None else None


class NodeBoundsSettings(_Section, frozen=True):
    """Bounds on buffered answers of slow readers, and on the load at which a node admits requests.

    Attributes
    ----------
    enabled
        Whether the node refuses requests beyond its capacity.
    caller_bytes
        Maximum unread bytes of one caller; beyond it, writing the answer blocks.
    all_callers_bytes
        Maximum unread bytes of all callers; 0 for a share of the machine's memory, if that is
        configured.
    longest_stall_s
        Time in seconds after which a caller that reads nothing is disconnected; extended if the
        target latency of a route requires it.
    late_loop_s
        Mean lag in seconds of the event loop above which the node refuses new programs.
    very_late_loop_s
        Mean lag in seconds of the event loop above which the node refuses all new requests.
    most_under_way
        Maximum number of requests in flight; 0 for no bound.
    """

    enabled: bool = False
    caller_bytes: int = BYTES_FOR_ONE
    all_callers_bytes: int = 0
    longest_stall_s: float = MAX_STALL_S
    late_loop_s: float = LATE_LOOP_S
    very_late_loop_s: float = VERY_LATE_LOOP_S
    most_under_way: int = 0


class FleetSettings(_Section, frozen=True):
    """The settings file.

    Attributes
    ----------
    seeds
        Operators' addresses of some control replicas.
    """

    process: FleetProcessSettings
    addresses: FleetAddressSettings
    seeds: tuple[Address, ...]
    backend_list: BackendListSettings
    timing: FleetTimingSettings = FleetTimingSettings()
    fault_tolerance: FaultToleranceSettings = FaultToleranceSettings()
    quotas: QuotaSettings = QuotaSettings()
    turns: TurnSettings = TurnSettings()
    machine: MachineSettings = MachineSettings()
    node_bounds: NodeBoundsSettings = NodeBoundsSettings()


def load_fleet_settings(path: Path) -> FleetSettings:
    """Return the checked settings of a file; raise ``SettingsError`` if they are invalid."""
    data: dict[str, Any] = read_toml(path)
    settings = convert_settings(path, data, FleetSettings)
    problems = list(_find_problems(settings))
    if problems:
        raise SettingsError(path, problems)
    return settings


def _find_problems(settings: FleetSettings) -> Iterator[SettingsProblem]:
    yield from find_unbounded_numbers(settings)
    role = settings.process.role
    if not settings.seeds:
        yield SettingsProblem("seeds", "expected at least one address")
    if role is FleetRole.NODE:
        for field in ("callers", "readiness"):
            if getattr(settings.addresses, field) is None:
                yield SettingsProblem(f"addresses.{field}", "required for the role node")
    elif not settings.process.data_folder:
        yield SettingsProblem("process.data_folder", "required for the roles store and control")
    if role is FleetRole.CONTROL and settings.addresses.operators is None:
        yield SettingsProblem("addresses.operators", "required for the role control")
    if settings.fault_tolerance.machines < 0:
        yield SettingsProblem("fault_tolerance.machines", "expected 0 or more")
    if settings.quotas.window_s <= 0:
        yield SettingsProblem("quotas.window_s", "expected a positive number")
    for field in ("overage", "slack_requests"):
        if getattr(settings.quotas, field) < 0:
            yield SettingsProblem(f"quotas.{field}", "expected 0 or more")
    if settings.backend_list.rate_per_s <= 0:
        yield SettingsProblem("backend_list.rate_per_s", "expected a positive number")
    yield from _find_machine_problems(settings.machine)
    yield from _find_bounds_problems(settings.node_bounds)
    if not 0 < settings.addresses.internal.port <= MAX_PORT:
        yield SettingsProblem("addresses.internal", "expected a port from 1 to 65535")


def _find_machine_problems(machine: MachineSettings) -> Iterator[SettingsProblem]:
    for field in ("memory_mb", "descriptors"):
        value = getattr(machine, field)
        if value is not None and value <= 0:
            yield SettingsProblem(f"machine.{field}", "expected a positive number")


def _find_bounds_problems(bounds: NodeBoundsSettings) -> Iterator[SettingsProblem]:
    if bounds.caller_bytes < MIN_CALLER_BYTES:
        yield SettingsProblem("node_bounds.caller_bytes", f"expected {MIN_CALLER_BYTES} or more")
    if bounds.all_callers_bytes and bounds.all_callers_bytes < bounds.caller_bytes:
        yield SettingsProblem(
            "node_bounds.all_callers_bytes", "expected 0, or caller_bytes or more"
        )
    if bounds.longest_stall_s < MIN_STALL_S:
        yield SettingsProblem("node_bounds.longest_stall_s", f"expected {MIN_STALL_S} or more")
    if not 0 < bounds.late_loop_s < bounds.very_late_loop_s < MAX_SAMPLE_S:
        yield SettingsProblem(
            "node_bounds.late_loop_s",
            f"expected more than 0, less than very_late_loop_s, and that below {MAX_SAMPLE_S}",
        )
    if bounds.most_under_way < 0:
        yield SettingsProblem("node_bounds.most_under_way", "expected 0 or more")
