"""Checks of settings beyond the types of single fields."""

import ipaddress
import re
from collections.abc import Iterator

import msgspec

from passlane.messages.common import Address
from passlane.messages.number_bounds import MAX_AMOUNT
from passlane.settings.model import GroupSettings, Role, Settings

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
MAX_PORT = 65_535
MIN_LEASE_HEARTBEATS = 2.0
"""A lease must be longer than this many heartbeats, or one lost message ends it."""
MIN_ELECTION_HEARTBEATS = 3.0
MAX_CLOCK_DRIFT_FRACTION = 0.2
MIN_TOKEN_LENGTH = 8
MAX_VALUE_CHARACTERS = 30
"""Characters of a value in a message."""

_MAY_BE_ZERO = frozenset(
    {"delays.same_zone_s", "delays.other_zone_s", "membership.clock_drift_fraction"}
)


class SettingsProblem(msgspec.Struct, frozen=True):
    """An invalid setting: its dotted key and what was expected."""

    key: str
    message: str


def find_problems(settings: Settings) -> list[SettingsProblem]:
    """Return all problems of settings that have the right types; empty if there are none."""
    return [
        *_process_problems(settings),
        *_number_problems(settings, ""),
        *_address_problems(settings, ""),
        *_role_problems(settings),
        *_timing_problems(settings),
        *_security_problems(settings),
    ]


def _process_problems(settings: Settings) -> Iterator[SettingsProblem]:
    for field in ("name", "region", "zone"):
        value = getattr(settings.process, field)
        if not NAME_PATTERN.match(value):
            yield SettingsProblem(
                f"process.{field}", "expected 1 to 63 letters, digits, dots, dashes, underscores"
            )
    if not settings.process.data_folder:
        yield SettingsProblem("process.data_folder", "expected a path, got an empty text")
    if not settings.process.roles:
        yield SettingsProblem("process.roles", "expected at least one role")
    if len(set(settings.process.roles)) != len(settings.process.roles):
        yield SettingsProblem("process.roles", "a role occurs more than once")


def find_unbounded_numbers(section: msgspec.Struct, prefix: str = "") -> Iterator[SettingsProblem]:
    """Find numbers of a section and of those within it that are beyond 64 bits, or NaN."""
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if isinstance(value, msgspec.Struct):
            yield from find_unbounded_numbers(value, f"{prefix}{name}.")
        elif isinstance(value, int | float) and not -MAX_AMOUNT <= value <= MAX_AMOUNT:
            yield SettingsProblem(
                f"{prefix}{name}", f"expected a number from {-MAX_AMOUNT:g} to {MAX_AMOUNT:g}"
            )


def _number_problems(section: msgspec.Struct, prefix: str) -> Iterator[SettingsProblem]:
    """Find numbers that are not positive and finite; only a few settings may be zero."""
    for name in section.__struct_fields__:
        value = getattr(section, name)
        key = f"{prefix}{name}"
        if isinstance(value, Address):
            continue
        if isinstance(value, msgspec.Struct):
            yield from _number_problems(value, f"{key}.")
        elif isinstance(value, int | float) and not isinstance(value, bool):
            is_in_range = value >= 0 if key in _MAY_BE_ZERO else value > 0
            if not is_in_range or value > MAX_AMOUNT:
                shown = str(value)[:MAX_VALUE_CHARACTERS]
                yield SettingsProblem(key, f"expected a positive number, got {shown}")


def _address_problems(value: object, key: str) -> Iterator[SettingsProblem]:
    if isinstance(value, Address):
        yield from _check_address(value, key)
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield from _address_problems(item, f"{key}[{index}]")
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            yield from _address_problems(getattr(value, name), f"{key}.{name}".lstrip("."))


def _check_address(address: Address, key: str) -> Iterator[SettingsProblem]:
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        yield SettingsProblem(key, f"expected an IP address, got {address.host!r}")
    if not 0 < address.port <= MAX_PORT:
        yield SettingsProblem(key, f"expected a port from 1 to {MAX_PORT}, got {address.port}")


def _role_problems(settings: Settings) -> Iterator[SettingsProblem]:
    roles = settings.process.roles
    if Role.NODE in roles and settings.addresses.callers is None:
        yield SettingsProblem("addresses.callers", "required for the role node")
    if Role.NODE in roles and not settings.store_addresses:
        yield SettingsProblem("store_addresses", "required for the role node")
    if Role.STORE in roles and not settings.control_addresses:
        yield SettingsProblem("control_addresses", "required for the role store")
    if Role.STORE in roles:
        yield from _group_problems(settings, settings.store_group, "store_group")
    if Role.CONTROL in roles:
        yield from _group_problems(settings, settings.control_group, "control_group")


def _group_problems(
    settings: Settings, group: GroupSettings, key: str
) -> Iterator[SettingsProblem]:
    if not group.members:
        yield SettingsProblem(f"{key}.members", "expected the initial members of the group")
    names = [member.name for member in group.members]
    if len(set(names)) != len(names):
        yield SettingsProblem(f"{key}.members", "a name occurs more than once")
    for member in group.members:
        is_own = member.name == settings.process.name
        if is_own and member.internal != settings.addresses.internal:
            yield SettingsProblem(
                f"{key}.members", f"{member.name} has another address than addresses.internal"
            )


def _timing_problems(settings: Settings) -> Iterator[SettingsProblem]:
    membership = settings.membership
    if membership.lease_s <= MIN_LEASE_HEARTBEATS * membership.heartbeat_s:
        yield SettingsProblem(
            "membership.lease_s", f"expected more than {MIN_LEASE_HEARTBEATS:g} heartbeat_s"
        )
    if membership.clock_drift_fraction > MAX_CLOCK_DRIFT_FRACTION:
        yield SettingsProblem(
            "membership.clock_drift_fraction", f"expected at most {MAX_CLOCK_DRIFT_FRACTION}"
        )
    for key, group in (
        ("store_group", settings.store_group),
        ("control_group", settings.control_group),
    ):
        if group.election_timeout_s < MIN_ELECTION_HEARTBEATS * group.heartbeat_s:
            yield SettingsProblem(
                f"{key}.election_timeout_s",
                f"expected at least {MIN_ELECTION_HEARTBEATS:g} heartbeat_s",
            )


def _security_problems(settings: Settings) -> Iterator[SettingsProblem]:
    for section in ("callers", "operators"):
        tokens = [entry.token for entry in getattr(settings.security, section)]
        for index, token in enumerate(tokens):
            if len(token) < MIN_TOKEN_LENGTH:
                # The message must not contain the token.
                yield SettingsProblem(
                    f"security.{section}[{index}].token",
                    f"expected at least {MIN_TOKEN_LENGTH} characters",
                )
        if len(set(tokens)) != len(tokens):
            yield SettingsProblem(f"security.{section}", "a token occurs more than once")
    for index, entry in enumerate(settings.security.callers):
        if entry.tenant is None:
            yield SettingsProblem(
                f"security.callers[{index}].tenant", "required for the token of a caller"
            )
