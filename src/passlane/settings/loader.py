"""Reads and checks the settings file of ``passlaned``.

Every error has the code ``invalid_settings`` and names the file and the key.
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
    """A settings file is invalid; ``problems`` lists every invalid key."""

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
        When the file cannot be read or contains unknown keys or invalid values.
    """
    data = read_toml(path)
    for key, value in overrides.items():
        _set_value(data, key, value)
    return parse_settings(path, data)


def parse_settings(path: Path, data: dict[str, Any]) -> Settings:
    """Return the checked settings in ``data``; ``path`` is used in errors only."""
    settings = convert_settings(path, data, Settings)
    problems = find_problems(settings)
    if problems:
        raise SettingsError(path, problems)
    return settings


def convert_settings(
    path: Path, data: dict[str, Any], settings_class: type[SettingsType]
) -> SettingsType:
    """Return ``data`` as a settings struct; raise ``SettingsError`` if it has other types."""
    try:
        converted = _with_addresses(data, type_info(settings_class), "")
        return msgspec.convert(converted, settings_class)
    except _AddressError as error:
        raise SettingsError(path, [error.problem]) from None
    except msgspec.ValidationError as error:
        raise SettingsError(path, [_problem_of(error)]) from None
    except RecursionError:
        raise SettingsError(path, [SettingsProblem("file", "nested too deeply")]) from None


def read_toml(path: Path) -> dict[str, Any]:
    """Return the contents of a TOML file; raise ``SettingsError`` if it cannot be read."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(path, [SettingsProblem("file", reason)]) from None
    except (ValueError, RecursionError) as error:
        # Besides its own error, tomllib raises these for bytes that are no text, for numbers of
        # thousands of digits and for deep nesting.
        raise SettingsError(path, [SettingsProblem("file", f"not TOML: {error}")]) from None


def _set_value(data: dict[str, Any], dotted_key: str, value: Any) -> None:
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
    """A text is not an address; ``convert_settings`` converts this to a ``SettingsError``."""

    def __init__(self, problem: SettingsProblem) -> None:
        super().__init__(problem.message)
        self.problem = problem


def _with_addresses(value: Any, expected: Type, key: str) -> Any:
    """Return ``value`` with each ``host:port`` text replaced by the fields of an ``Address``.

    Text is only converted where the expected type is an address.
    """
    if isinstance(expected, UnionType):
        members = [t for t in expected.types if isinstance(t, StructType | VarTupleType)]
        return _with_addresses(value, members[0], key) if members else value
    if isinstance(expected, VarTupleType) and isinstance(value, list):
        return [
            _with_addresses(item, expected.item_type, f"{key}[{index}]")
            for index, item in enumerate(value)
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
