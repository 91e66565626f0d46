"""Settings of a process that finds its fleet from seeds; TOML, as all of passlane's settings.

The file holds what a machine is told at its start. What the process decides from it stands
in the code of the parts that use it.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.settings.checks import SettingsProblem
from passlane.settings.loader import SettingsError, convert_settings, read_toml

MAX_PORT = 65_535


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
    if not 0 < settings.addresses.internal.port <= MAX_PORT:
        yield SettingsProblem("addresses.internal", "expected a port from 1 to 65535")
