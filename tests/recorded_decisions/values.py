"""Canonical form of instructions: their values without the names of classes and fields."""

import dataclasses
import enum
import json
from hashlib import blake2b
from operator import attrgetter
from typing import Any

import msgspec

from recorded_decisions.names import MARKERS, SHORTENED

DIGEST_BYTES = 4


def values_of(item: Any) -> Any:
    """Return all values of ``item`` as nested lists, strings and integers.

    Raises
    ------
    KeyError
        If ``item`` is of a class that has no marker.
    """
    if type(item) in SHORTENED:
        return attrgetter(SHORTENED[type(item)])(item)
    if isinstance(item, msgspec.Struct):
        return _with_marker(item, item.__struct_fields__)
    if dataclasses.is_dataclass(item):
        return _with_marker(item, tuple(field.name for field in dataclasses.fields(item)))
    if isinstance(item, enum.Enum):
        return item.value
    if isinstance(item, float):
        return f"float {item.hex()}"
    return _values_of_collection(item)


def digest_of(items: Any) -> str:
    """Return the digest of the values of ``items`` as hexadecimal digits."""
    text = json.dumps(values_of(items), separators=(",", ":"))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _with_marker(item: Any, names: tuple[str, ...]) -> list[Any]:
    return [MARKERS[type(item)], *(values_of(getattr(item, name)) for name in names)]


def _values_of_collection(item: Any) -> Any:
    if isinstance(item, dict):
        return [[values_of(key), values_of(value)] for key, value in item.items()]
    if isinstance(item, set | frozenset):
        return sorted(values_of(each) for each in item)
    if isinstance(item, list | tuple):
        return [values_of(each) for each in item]
    assert item is None or isinstance(item, str | int), type(item)
    return item
