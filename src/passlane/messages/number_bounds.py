"""Bounds of whole numbers that callers, operators, backends and the platform write.

Python's ``int`` has no bound, while messages between processes carry 64 bits. A number within
these bounds can be encoded and stored by every process, and so can sums of 2^10 of them. Decoders
check the bounds once, where a value enters the system.
"""

from typing import Annotated

import msgspec

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number that all readers of JSON hold exactly (RFC 8259, section 6)."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
"""A whole number from 0 to ``MAX_WHOLE_NUMBER``."""
