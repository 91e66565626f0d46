"""Bounds of numbers that callers, operators, backends and the platform write.

Python's ``int`` has no bound, while messages between processes carry 64 bits, and a ``float`` may
be infinite. What is within these bounds can be encoded and stored by every process. Decoders check
them once, where a value enters the system.
"""

from typing import Annotated

import msgspec

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
FiniteAmount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
"""A time, a rate or another amount that need not be whole."""
