"""Base class of messages, and their codec (MessagePack with msgspec).

A message is encoded as a map whose key ``type`` holds the class name, which selects the
class when a union of message classes is decoded.
"""

from typing import Any

import msgspec

from passlane.errors import ErrorCode, PasslaneError

MAX_REASON_CHARACTERS = 120
"""Maximum length of the encoder's reason in an error."""


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Base of every message, command and result; immutable, tagged by class name."""


_encoder = msgspec.msgpack.Encoder()


def encode_message(message: msgspec.Struct) -> bytes:
    """Return the MessagePack encoding of ``message``, including its type tag.

    Raises
    ------
    PasslaneError
        ``INTERNAL`` when a value has no encoding: a whole number beyond 64 bits, text with lone
        surrogates, another type, or nesting too deep.
    """
    try:
        return _encoder.encode(message)
    except (OverflowError, TypeError, ValueError, RecursionError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise PasslaneError(
            ErrorCode.INTERNAL,
            f"{type(message).__name__} can't be encoded: expected whole numbers of 64 bits and"
            f" text of Unicode characters, got: {reason}",
        ) from error


def message_decoder(union: Any) -> "msgspec.msgpack.Decoder[Any]":
    """Return a strict decoder for ``union``, a class or a union of message classes.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        Raised by the decoder when the bytes are not a valid message of one of the classes.
    """
    return msgspec.msgpack.Decoder(union)
