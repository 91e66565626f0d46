"""Bounds of whole numbers that callers, operators, backends and the platform write.

Python's ``int`` has no bound, while messages between processes carry 64 bits. A number within
these bounds can be encoded and stored by every process, and so can sums of ``MAX_SUMMANDS`` of
them. Decoders check the bounds once, where a value enters the system.
"""

from typing import Annotated

import msgspec

from passlane.errors import ErrorCode, PasslaneError

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that all readers of JSON hold exactly (RFC 8259, section 6)."""
MAX_SUMMANDS = 2**10
"""Numbers whose sum still fits into 63 bits, the signed whole numbers of messages."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""A whole number from 0 to ``MAX_WHOLE_NUMBER``."""


def parse_count(text: str) -> int:
    """Return the whole number in a text of decimal digits, with spaces around it at most.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when the text is not a whole number from 0 to ``MAX_WHOLE_NUMBER``.
    """
    digits = text.strip(" \t")
    if digits.isascii() and digits.isdecimal() and len(digits) <= len(str(MAX_WHOLE_NUMBER)):
        number = int(digits)
        if number <= MAX_WHOLE_NUMBER:
            return number
    raise PasslaneError(
        ErrorCode.BAD_REQUEST, f"expected a whole number from 0 to {MAX_WHOLE_NUMBER}"
    )
