"""Entries of the list of back ends that another writer has made: they name nobody to use."""

from passlane.messages.common import Address

BAD_ID_PREFIX = "unreadable-"


def bad_entries(address: Address, service: str, zone: str) -> list[bytes]:
    """Return entries that lack fields, have others or other types, or hold bytes that are no text.

    Each bears an id of its own and the address of a back end that would tell of a request for it.
    """
    fields = {
        b"service": _text(service),
        b"address": _text(str(address)),
        b"zone": _text(zone),
        b"version": _text("v1"),
        b"slots": b"1",
        b"state": _text("ready"),
        b"cold_left_ms": b"0",
    }
    changes: list[dict[bytes, bytes]] = [
        {b"state": _text("starting")},
        {b"slots": _text("4")},
        {b"zone": b"null"},
        {b"born": b"1.5"},
        {b"version": b"[]"},
        {b"service": b'"\xff\xfe"'},
    ]
    entries = [fields | change for change in changes]
    entries += [{name: fields[name] for name in fields if name != left_out} for left_out in fields]
    numbered = (
        entry | {b"id": _text(f"{BAD_ID_PREFIX}{number}")} for number, entry in enumerate(entries)
    )
    return [_entry(entry) for entry in numbered] + [b"null", b"[]", b'"entry"']


def _text(value: str) -> bytes:
    return f'"{value}"'.encode()


def _entry(fields: dict[bytes, bytes]) -> bytes:
    return b"{" + b",".join(b'"%s":%s' % pair for pair in fields.items()) + b"}"
