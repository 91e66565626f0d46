"""Parses document bodies into their structs; errors name the invalid key."""

from typing import Any

import msgspec

from passlane.configuration.documents import BODY_TYPES, DocumentBody, DocumentKind
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address, Amounts
from passlane.messages.control import Document
from passlane.messages.number_bounds import MAX_AMOUNT, MAX_COMPARED_NUMBER, MAX_WHOLE_NUMBER

MAX_NAME_LENGTH = 200
MAX_BODY_CHARACTERS = 200_000

_encoder = msgspec.json.Encoder()
_decoders: dict[DocumentKind, "msgspec.json.Decoder[DocumentBody]"] = {
    kind: msgspec.json.Decoder(body_type) for kind, body_type in BODY_TYPES.items()
}


def parse_kind(kind: str) -> DocumentKind:
    """Return the kind with this name; raise ``INVALID_DOCUMENT`` if there is none."""
    try:
        return DocumentKind(kind)
    except ValueError:
        kinds = ", ".join(member.value for member in DocumentKind)
        raise _invalid(f"unknown kind {kind!r}; kinds are {kinds}") from None


def check_name(name: str) -> None:
    """Raise ``INVALID_DOCUMENT`` unless ``name`` is a valid name of a document."""
    if not name or len(name) > MAX_NAME_LENGTH:
        raise _invalid(f"a name has 1 to {MAX_NAME_LENGTH} characters")
    if "/" in name or not name.isprintable() or name != name.strip():
        raise _invalid("a name has no '/', no control characters and no spaces at its ends")


def parse_body(kind: DocumentKind, body: str) -> DocumentBody:
    """Return the struct for a recorded body (JSON).

    Raises
    ------
    PasslaneError
        ``INVALID_DOCUMENT``, with the key that is invalid.
    """
    if len(body) > MAX_BODY_CHARACTERS:
        raise _invalid(f"a body has {MAX_BODY_CHARACTERS} characters at most")
    try:
        return _decoders[kind].decode(body)
    except msgspec.MsgspecError as error:
        raise _invalid(str(error)) from error


def parse_recorded(document: Document) -> DocumentBody | None:
    """Return the body of a recorded document; ``None`` if it is deleted or cannot be parsed.

    The control group checks documents before it records them. If it has recorded an invalid
    document nevertheless, the other documents must still be usable.
    """
    if document.body is None:
        return None
    try:
        return parse_body(parse_kind(document.kind), document.body)
    except PasslaneError:
        # ConfigurationView.unreadable lists such documents.
        return None


def parse_fields(kind: DocumentKind, fields: dict[str, Any]) -> DocumentBody:
    """Return the struct for the fields of a document file, with ``address = "host:port"``.

    New documents enter here, so their numbers are bounded here alone: a recorded document stays
    valid whatever its numbers are.

    Raises
    ------
    PasslaneError
        ``INVALID_DOCUMENT``, with the key that is invalid.
    """
    try:
        body = msgspec.convert(_with_parsed_address(fields), BODY_TYPES[kind])
    except (ValueError, OverflowError, msgspec.MsgspecError) as error:
        raise _invalid(str(error)) from error
    _check_bounds(body)
    return body


def encode_body(body: DocumentBody) -> str:
    """Return the JSON to record: all fields, including defaults, in a fixed order."""
    return _encoder.encode(body).decode()


def _with_parsed_address(fields: dict[str, Any]) -> dict[str, Any]:
    address = fields.get("address")
    if not isinstance(address, str):
        return fields
    try:
        parsed = Address.parse(address)
    except ValueError as error:
        raise ValueError(f"{error} - at `$.address`") from None
    return {**fields, "address": {"host": parsed.host, "port": parsed.port}}


def _check_bounds(section: msgspec.Struct) -> None:
    """Raise ``INVALID_DOCUMENT`` if a number of a body or of a part of it is beyond its bound."""
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if not _is_bounded(value):
            raise _invalid(
                f"{name}: expected budgets up to {MAX_COMPARED_NUMBER}, other whole numbers up to"
                f" {MAX_WHOLE_NUMBER}, times and rates up to {MAX_AMOUNT:g}"
            )
        parts = value if isinstance(value, tuple) else (value,)
        for part in parts:
            if isinstance(part, msgspec.Struct) and not isinstance(part, Amounts):
                _check_bounds(part)


def _is_bounded(value: object) -> bool:
    if isinstance(value, Amounts):
        return value.is_within(MAX_COMPARED_NUMBER)
    if isinstance(value, int):
        return value <= MAX_WHOLE_NUMBER
    return not isinstance(value, float) or value <= MAX_AMOUNT


def _invalid(message: str) -> PasslaneError:
    return PasslaneError(ErrorCode.INVALID_DOCUMENT, message)
