"""Encodes log lines as JSON; a value without an encoding never fails the call that logs it."""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_REPLACED_CHARACTERS = 300
"""Maximum length of the text in place of a value that has no encoding."""

_encoder = msgspec.json.Encoder(enc_hook=str)


def encode_line(line: Mapping[str, Any]) -> bytes:
    """Return a line as JSON.

    A whole number beyond Python's limit of digits, text with lone surrogates, or nesting too deep
    is replaced by text: what can be shown of it, or its type and the error.
    """
    try:
        return _encoder.encode(line)
    except (ValueError, TypeError, RecursionError):
        return _encoder.encode({name: _encodable(value) for name, value in line.items()})


def _encodable(value: Any) -> Any:
    try:
        _encoder.encode(value)
    except UnicodeEncodeError:
        return repr(value)[:MAX_REPLACED_CHARACTERS].encode("ascii", "backslashreplace").decode()
    except (ValueError, TypeError, RecursionError) as error:
        return f"{type(value).__name__} that can't be encoded ({type(error).__name__})"
    return value
