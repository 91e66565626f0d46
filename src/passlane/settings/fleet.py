"""Settings of a process that finds its fleet from seeds; TOML, as all of passlane's settings.

The file holds what a machine is told at its start. What the process decides from it stands
in the code of the parts that use it.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from passlane.decisions.admission.loop_lag import LARGEST_SAMPLE_S
from passlane.decisions.admission.node_load import LATE_LOOP_S, VERY_LATE_LOOP_S
from passlane.decisions.admission.reader_buffers import (
    BYTES_FOR_ONE,
    LONGEST_STALL_S,
    SHORTEST_STALL_S,
)
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.settings.checks import SettingsProblem
from passlane.settings.loader import SettingsError, convert_settings, read_toml

MAX_PORT = 65_535
FEWEST_CALLER_BYTES = 4_096
"""One event of usual size still fits."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of sections: an unknown key is an error."""


class FleetProcessSettings(_Section, frozen=True):
    """Who this process is and where its files live; nodes have no data folder."""

    name: str
    role: FleetRole
    zone: str
    data_folder: str = ""
    is_first_start: bool = False


class FleetAddressSettings(_Section, frozen=True):
    """Where this process listens; what its role does not serve is left out."""

    internal: Address
    callers: Address | None = None
    readiness: Address | None = None
    operators: Address | None = None
    metrics: Address | None = None


class BackendListSettings(_Section, frozen=True):
    """The platform's list of back ends and the calls a second that all nodes may make."""

    address: Address
    rate_per_s: float


class FleetTimingSettings(_Section, frozen=True):
    """Bounds in seconds that a stop must keep."""

    grace_s: float = 8.0


class FaultToleranceSettings(_Section, frozen=True):
    """How many machines with a disk may be lost at once with all promises kept."""

    machines: int = 1

    @property
    def voters(self) -> int:
        """Voters that a group needs, so that a majority is left."""
        return 2 * self.machines + 1


class QuotaSettings(_Section, frozen=True):
    """How the limits of tenants are measured.

    Attributes
    ----------
    window_s
        A limit holds within any span of this length, in seconds.
    overage
        Share by which a limit may be exceeded.
    slack_requests
        Requests by which it may be exceeded on top.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack_requests: float = 0.0


class TurnSettings(_Section, frozen=True):
    """How turns of programs are served.

    Attributes
    ----------
    are_placed_by_store
        Whether the leader of the store group orders the turns of all nodes and chooses their
        engines; else each node does by itself.
    """

    are_placed_by_store: bool = False


class MachineSettings(_Section, frozen=True):
    """What the machine has for this process; ``None`` where it isn't told.

    Attributes
    ----------
    memory_mb
        Memory in megabytes, beyond which the process is killed.
    descriptors
        Descriptors that the process may have open.
    """

    memory_mb: float | None = None
    descriptors: float | None = None


class NodeBoundsSettings(_Section, frozen=True):
    """What a node holds for slow readers, and what it takes on; see ``docs/design/node-bounds.md``.

    Attributes
    ----------
    enabled
        Whether a node refuses what it can't carry.
    caller_bytes
        Bytes that one caller may leave unread before its answer waits.
    all_callers_bytes
        Bytes for all callers; 0 takes a share of the machine's memory, if that is told.
    longest_stall_s
        A caller that has taken nothing for so long is ended; more where routes' targets ask for it.
    late_loop_s
        A loop that is so late in the mean keeps new programs away.
    very_late_loop_s
        A loop that is so late in the mean keeps all new requests away.
    most_under_way
        Requests that may be under way at once; 0 for no bound.
    """

    enabled: bool = False
    caller_bytes: int = BYTES_FOR_ONE
    all_callers_bytes: int = 0
    longest_stall_s: float = LONGEST_STALL_S
    late_loop_s: float = LATE_LOOP_S
    very_late_loop_s: float = VERY_LATE_LOOP_S
    most_under_way: int = 0


class FleetSettings(_Section, frozen=True):
    """The whole settings file; ``seeds`` are operators' addresses of control replicas."""

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
    """Return the checked settings of a file; raise ``SettingsError`` otherwise."""
    data: dict[str, Any] = read_toml(path)
    settings = convert_settings(path, data, FleetSettings)
    problems = list(_find_problems(settings))
    if problems:
        raise SettingsError(path, problems)
    return settings


def _find_problems(settings: FleetSettings) -> Iterator[SettingsProblem]:
    role = settings.process.role
    if not settings.seeds:
        yield SettingsProblem("seeds", "expected at least one address")
    if role is FleetRole.NODE:
        for field in ("callers", "readiness"):
            if getattr(settings.addresses, field) is None:
                yield SettingsProblem(f"addresses.{field}", "a node needs it")
    elif not settings.process.data_folder:
        yield SettingsProblem("process.data_folder", "a replica needs a folder")
    if role is FleetRole.CONTROL and settings.addresses.operators is None:
        yield SettingsProblem("addresses.operators", "a control replica needs it")
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
    if bounds.caller_bytes < FEWEST_CALLER_BYTES:
        yield SettingsProblem("node_bounds.caller_bytes", f"expected {FEWEST_CALLER_BYTES} or more")
    if bounds.all_callers_bytes and bounds.all_callers_bytes < bounds.caller_bytes:
        yield SettingsProblem(
            "node_bounds.all_callers_bytes", "expected 0, or caller_bytes or more"
        )
    if bounds.longest_stall_s < SHORTEST_STALL_S:
        yield SettingsProblem("node_bounds.longest_stall_s", f"expected {SHORTEST_STALL_S} or more")
    if not 0 < bounds.late_loop_s < bounds.very_late_loop_s < LARGEST_SAMPLE_S:
        yield SettingsProblem(
            "node_bounds.late_loop_s",
            f"expected more than 0, less than very_late_loop_s, and that below {LARGEST_SAMPLE_S}",
        )
    if bounds.most_under_way < 0:
        yield SettingsProblem("node_bounds.most_under_way", "expected 0 or more")
