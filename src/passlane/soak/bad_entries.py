"""Entries of the list of back ends that another writer has made: they name nobody to use."""

from typing import Any

import msgspec

from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.platform.list_format import encode_page

BAD_ID_PREFIX = "unreadable-"
UNKNOWN_STATE = "starting"
NO_TEXT = b"\xff\xfe"
WRONG_VALUES: tuple[Any, ...] = (None, [])
NO_ENTRIES = (b"null", b"[]", b'"entry"')
DIGITS = (20, 400, 5_000)
"""Digits of whole numbers, none of which fits into 64 bits."""
DEPTHS = (3_000, 100_000)
"""Brackets within brackets, beyond what a decoder that recurses follows."""
MALFORMED = (b'{"a" 1}', b"{,}", b"[1 2]")
"""Texts that are no JSON, whose brackets pair."""

_encoder = msgspec.json.Encoder()


def bad_entries(address: Address, service: str, zone: str) -> list[bytes]:
    """Return entries that lack fields, have others or other types, or hold bytes that are no text.

    Each bears an id of its own and the address of a back end that would tell of a request for it.
    """
    names = list(_good_entry(0, address, service, zone))
    entries: list[bytes] = []
    for number, name in enumerate(names):
        for value in WRONG_VALUES:
            changed: dict[str, Any] = _good_entry(number, address, service, zone) | {name: value}
            entries.append(_encoder.encode(changed))
        lacking = _good_entry(number, address, service, zone)
        del lacking[name]
        entries.append(_encoder.encode(lacking))
    good = _encoder.encode(_good_entry(len(names), address, service, zone))
    entries.append(good.replace(_text(BackendState.READY.value), _text(UNKNOWN_STATE)))
    entries.append(good.replace(_text(service), b'"' + NO_TEXT + b'"'))
    entries += [good.replace(b'"slots":1', b'"slots":' + b"9" * digits) for digits in DIGITS]
    return [*entries, *NO_ENTRIES]


def undecodable_entries(address: Address, service: str, zone: str) -> list[bytes]:
    """Return entries that no decoder follows: nested too deep, or malformed."""
    good = _encoder.encode(_good_entry(0, address, service, zone))
    values = [*(b"[" * depth + b"]" * depth for depth in DEPTHS), *MALFORMED]
    return [good.replace(_text(service), value) for value in values]


def _good_entry(number: int, address: Address, service: str, zone: str) -> dict[str, Any]:
    """Return an entry as the platform writes it; its fields have the platform's names."""
    record = BackendRecord(
        instance_id=f"{BAD_ID_PREFIX}{number}",
        service=service,
        address=address,
        zone=zone,
        slots=1,
        state=BackendState.READY,
    )
    page: dict[str, Any] = msgspec.json.decode(encode_page([record]))
    entry: dict[str, Any] = next(iter(page.values()))[0]
    return entry


def _text(value: str) -> bytes:
    return f'"{value}"'.encode()
