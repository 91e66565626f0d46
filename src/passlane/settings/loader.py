"""Reads and checks a daemon's settings file.

Every error carries the code ``invalid_settings``, the file's path and the key.
"""

import re
import tomllib
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec
from msgspec.inspect import CustomType, StructType, Type, UnionType, VarTupleType, type_info

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.settings.checks import SettingsProblem, find_problems
from passlane.settings.model import Settings

SettingsType = TypeVar("SettingsType", bound=msgspec.Struct)

NO_OVERRIDES: Mapping[str, Any] = MappingProxyType({})
_VALIDATION_MESSAGE = re.compile(r"^(?P<text>.*?)(?: - at `\$\.?(?P<key>[^`]*)`)?$")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<field>[^`]+)`")


class SettingsError(PasslaneError):
    """A settings file that cannot be used; ``problems`` names each fault."""

    def __init__(self, path: Path, problems: Sequence[SettingsProblem]) -> None:
        lines = "; ".join(f"{path}: {problem.key}: {problem.message}" for problem in problems)
        super().__init__(ErrorCode.INVALID_SETTINGS, lines)
        self.problems = tuple(problems)


def load_settings(path: Path, overrides: Mapping[str, Any] = NO_OVERRIDES) -> Settings:
    """Return the checked settings of a file.

    Parameters
    ----------
    path
        A TOML file.
    overrides
        Values that replace those of the file, by dotted key, such as
        ``{"process.zone": "zone-a"}``.

    Raises
    ------
    SettingsError
        When the file cannot be read, holds unknown keys or values that don't fit.
    """
    data = read_toml(path)
    for key, value in overrides.items():
        _put(data, key, value)
    return parse_settings(path, data)


def parse_settings(path: Path, data: dict[str, Any]) -> Settings:
    """Return the checked settings held by ``data``; ``path`` stands in errors only."""
    settings = convert_settings(path, data, Settings)
    problems = find_problems(settings)
    if problems:
        raise SettingsError(path, problems)
    return settings


def convert_settings(
    path: Path, data: dict[str, Any], settings_class: type[SettingsType]
) -> SettingsType:
    """Return ``data`` as a struct of settings; raise ``SettingsError`` if it doesn't fit."""
    try:
        converted = _with_addresses(data, type_info(settings_class), "")
        return msgspec.convert(converted, settings_class)
    except _AddressError as error:
        raise SettingsError(path, [error.problem]) from None
    except msgspec.ValidationError as error:
        raise SettingsError(path, [_problem_of(error)]) from None


def read_toml(path: Path) -> dict[str, Any]:
    """Return what a TOML file holds; raise ``SettingsError`` when it cannot be read."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(path, [SettingsProblem("file", reason)]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(path, [SettingsProblem("file", f"not TOML: {error}")]) from None


def _put(data: dict[str, Any], dotted_key: str, value: Any) -> None:
    *sections, name = dotted_key.split(".")
    for section in sections:
        data = data.setdefault(section, {})
    data[name] = value


def _problem_of(error: msgspec.ValidationError) -> SettingsProblem:
    match = _VALIDATION_MESSAGE.match(str(error))
    text = match["text"] if match else str(error)
    key = (match["key"] if match else None) or ""
    if unknown := _UNKNOWN_FIELD.search(text):
        key = f"{key}.{unknown['field']}".lstrip(".")
    return SettingsProblem(key or "file", text)


class _AddressError(Exception):
    """A text that is no address; ``convert_settings`` makes a ``SettingsError`` of it."""

    def __init__(self, problem: SettingsProblem) -> None:
        super().__init__(problem.message)
        self.problem = problem


def _with_addresses(value: Any, expected: Type, key: str) -> Any:
    """Return ``value`` with each ``host:port`` text put in the form of an ``Address``.

    Text is only converted where the settings' types ask for an address.
    """
    if isinstance(expected, UnionType):
        members = [t for t in expected.types if isinstance(t, StructType | VarTupleType)]
        return _with_addresses(value, members[0], key) if members else value
    if isinstance(expected, VarTupleType) and isinstance(value, list):
        return [
            _with_addresses(item, expected.item_type, f"{key}[{place}]")
            for place, item in enumerate(value)
        ]
    if not isinstance(expected, StructType):
        return value
    if expected.cls is Address:
        return _address_fields(value, key)
    if isinstance(value, dict):
        return _fields_with_addresses(value, expected, key)
    return value


def _fields_with_addresses(value: dict[str, Any], expected: StructType, key: str) -> dict[str, Any]:
    types = {field.encode_name: field.type for field in expected.fields}
    unknown: Type = CustomType(object)
    return {
        name: _with_addresses(item, types.get(name, unknown), f"{key}.{name}".lstrip("."))
        for name, item in value.items()
    }


def _address_fields(value: Any, key: str) -> Any:
    if not isinstance(value, str):
        raise _AddressError(SettingsProblem(key, "expected text of the form host:port"))
    try:
        return msgspec.to_builtins(Address.parse(value))
    except ValueError as error:
        raise _AddressError(SettingsProblem(key, str(error))) from None
