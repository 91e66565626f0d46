"""Forms of messages, stored records and settings, as they are encoded.

Names of Python classes and modules play no part: a struct is known by its tag, and by the
names, types, defaults and order of its encoded fields.
"""

import enum
import importlib
import json
import pkgutil
from collections.abc import Iterable
from functools import cache
from typing import Any

import msgspec
from msgspec import inspect

import passlane
from outside.product_source import NOT_OF_THE_PRODUCT
from passlane.messages.registry import decode_any_message
from passlane.settings.fleet import FleetSettings
from passlane.settings.model import Settings

NOT_IMPORTED = ("without_openssl", "fleet_start", "__main__")
"""Modules whose import changes the process."""
UNTAGGED_THAT_ARE_ENCODED = (
    ".messages.",
    ".storage.formats",
    ".snapshot.",
    ".machine.",
    ".control.state.",
    ".configuration.documents",
    ".observability.",
    ".platform.",
    ".api.answers",
    ".api.caller_",
    ".api.operator_",
    ".api.problems",
    ".backends.failures",
    ".policy.facts",
    ".cli.",
)
"""Parts of the names of modules whose untagged structs are recorded; read only for writing."""


@cache
def import_product() -> None:
    """Import every module of what runs in production."""
    for module in pkgutil.walk_packages(passlane.__path__, "passlane."):
        parts = module.name.split(".")
        if parts[1] not in NOT_OF_THE_PRODUCT and parts[-1] not in NOT_IMPORTED:
            importlib.import_module(module.name)


def struct_classes() -> set[type[msgspec.Struct]]:
    """Return every struct of what runs in production."""
    import_product()
    found: set[type[msgspec.Struct]] = set()
    waiting: list[type[msgspec.Struct]] = [msgspec.Struct]
    while waiting:
        children = set(waiting.pop().__subclasses__()) - found
        waiting.extend(children)
        found |= children
    return {struct for struct in found if is_of_the_product(struct)}


def is_of_the_product(defined: type) -> bool:
    """Return whether a class is defined in what runs in production."""
    parts = defined.__module__.split(".")
    return parts[0] == "passlane" and parts[1] not in NOT_OF_THE_PRODUCT


def tagged_forms() -> dict[str, Any]:
    """Return the form of each message, command and result by its tag.

    Classes that others are derived from are never sent or stored themselves.
    """
    forms: dict[str, list[Any]] = {}
    for struct in struct_classes():
        tag = struct.__struct_config__.tag
        if tag is not None and not struct.__subclasses__():
            forms.setdefault(str(tag), []).append(form_of(struct))
    return {tag: sorted(found, key=json.dumps) for tag, found in sorted(forms.items())}


def received_tags() -> list[str]:
    """Return the tags of what a process decodes when it arrives from another."""
    import_product()
    return [tag for tag in tagged_forms() if _is_received(tag)]


def _is_received(tag: str) -> bool:
    try:
        decode_any_message(msgspec.msgpack.encode({"type": tag}))
    except msgspec.ValidationError as error:
        # A known message complains of a missing field, an unknown one of its tag.
        return "$.type" not in str(error)
    return True


def settings_forms() -> dict[str, Any]:
    """Return the forms of the two kinds of settings files."""
    return {"one process": form_of(Settings), "process of a fleet": form_of(FleetSettings)}


def untagged_forms() -> list[Any]:
    """Return the form of each struct without a tag that can be decoded."""
    return _distinct(struct_classes())


def untagged_forms_to_record() -> list[Any]:
    """Return the forms of structs without a tag that are stored, sent or shown."""
    return _distinct(
        struct
        for struct in struct_classes()
        if any(part in f"{struct.__module__}." for part in UNTAGGED_THAT_ARE_ENCODED)
    )


def _distinct(structs: Iterable[type[msgspec.Struct]]) -> list[Any]:
    texts: set[str] = set()
    for struct in structs:
        if struct.__struct_config__.tag is not None:
            continue
        try:
            texts.add(json.dumps(form_of(struct), sort_keys=True))
        except TypeError:
            # Its fields hold what msgspec can't encode, so it is never stored or sent.
            continue
    return [json.loads(text) for text in sorted(texts)]


def form_of(struct: type[msgspec.Struct]) -> Any:
    """Return the form of a struct as data for JSON."""
    return _form(inspect.type_info(struct), ())


def _form(info: Any, above: tuple[type, ...]) -> Any:
    if isinstance(info, inspect.Metadata):
        return _form(info.type, above)
    if isinstance(info, inspect.StructType):
        return _struct_form(info, above)
    if isinstance(info, inspect.EnumType):
        return {"enum": sorted(str(member.value) for member in info.cls)}
    if isinstance(info, inspect.UnionType):
        return {"union": sorted((_form(t, above) for t in info.types), key=json.dumps)}
    return _other_form(info, above)


def _struct_form(info: inspect.StructType, above: tuple[type, ...]) -> Any:
    if info.cls in above:
        return {"recursive": len(above) - above.index(info.cls)}
    inner = (*above, info.cls)
    fields = [
        [
            field.encode_name,
            _form(field.type, inner),
            "required" if field.required else _default_of(field),
        ]
        for field in info.fields
    ]
    return {
        "tag": info.tag,
        "tag_field": info.tag_field,
        "array": info.array_like,
        "strict": info.forbid_unknown_fields,
        "omits_defaults": info.cls.__struct_config__.omit_defaults,
        "fields": fields,
    }


def _other_form(info: Any, above: tuple[type, ...]) -> Any:
    named: dict[str, Any] = {}
    for key in getattr(info, "__struct_fields__", ()):
        value = getattr(info, key)
        if isinstance(value, inspect.Type):
            named[key] = _form(value, above)
        elif isinstance(value, tuple) and value and isinstance(value[0], inspect.Type):
            named[key] = [_form(part, above) for part in value]
        elif value is not None and not isinstance(value, type):
            named[key] = value if isinstance(value, bool | int | float | str) else repr(value)
    kind = type(info).__name__
    return [kind, named] if named else kind


def _default_of(field: inspect.Field) -> Any:
    if field.default is msgspec.NODEFAULT:
        return _as_data(field.default_factory())
    if isinstance(field.default, enum.Enum):
        return repr(field.default.value)
    return _as_data(field.default)


def _as_data(value: Any) -> Any:
    try:
        return json.loads(msgspec.json.encode(value))
    except TypeError:
        return type(value).__name__
