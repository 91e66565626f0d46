"""Bounds of numbers that callers, operators, backends and the platform write.

Python's ``int`` has no bound, while messages between processes carry 64 bits, and a ``float`` may
be infinite. What is within these bounds can be encoded and stored by every process. Decoders check
them once, where a value enters the system.
"""

from typing import Annotated

import msgspec

from passlane.errors import ErrorCode, PasslaneError

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that all readers of JSON hold exactly (RFC 8259, section 6). The sum of a
thousand of them fits into the 63 bits of ``MAX_COMPARED_NUMBER``."""
MAX_COMPARED_NUMBER = 2**63 - 1
"""Largest signed number of 64 bits, which some systems write for "no limit"."""
MAX_AMOUNT = 2.0**63
"""``MAX_COMPARED_NUMBER`` as a ``float``; sums and products with seconds stay finite."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""A whole number that is added up or multiplied."""
ComparedNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_COMPARED_NUMBER)]
"""A whole number that is compared with others, and never added up."""
SignedNumber = Annotated[int, msgspec.Meta(ge=-(2**63), le=MAX_COMPARED_NUMBER)]
"""A whole number that is compared with others, where a negative one has no meaning of its own."""
FiniteNumber = Annotated[float, msgspec.Meta(gt=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""A time, where a negative one has no meaning of its own."""
FiniteAmount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
"""A time, a rate or another amount that need not be whole."""


def parse_count(text: str, most: int = MAX_WHOLE_NUMBER) -> int:
    """Return the whole number in decimal digits, with leading zeros and spaces around it at most.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when the text is not a whole number from 0 to ``most``.
    """
    digits = text.strip(" \t")
    if digits.isascii() and digits.isdecimal():
        # Python converts no text of thousands of digits.
        significant = digits.lstrip("0") or "0"
        if len(significant) <= len(str(most)) and int(significant) <= most:
            return int(significant)
    raise PasslaneError(ErrorCode.BAD_REQUEST, f"expected a whole number from 0 to {most}")


def bounded(number: int) -> int:
    """Return a sum or a product, or ``MAX_COMPARED_NUMBER`` if it is beyond that.

    What is bounded still exceeds each ``ComparedNumber``, or equals the largest one.
    """
    return min(number, MAX_COMPARED_NUMBER)
