"""Finds where HTTP messages may end in received bytes, so that each is parsed on its own.

A parser that gets several requests at once makes objects for all of them before the first is
answered. Bytes are therefore given to it up to the next place where a message may end: the end of
a body of known length, or else the next empty line, which ends a head, the last chunk and trailers.
"""

END_OF_LINES = b"\r\n\r\n"
_OVERLAP = len(END_OF_LINES) - 1


class MessageFraming:
    """Position in the bytes of one connection.

    Attributes
    ----------
    body_left
        Bytes that are missing from a body of known length; 0 outside of such a body.
    """

    def __init__(self) -> None:
        self.body_left = 0
        self._tail = b""

    def slice_end(self, data: bytes, start: int, most: int) -> int:
        """Return the end of the next slice from ``start`` on, at most ``most`` bytes behind it.

        Bodies of known length are not cut into slices of ``most`` bytes.
        """
        if self.body_left:
            return min(len(data), start + self.body_left)
        limit = min(len(data), start + most)
        if self._tail:
            joined = self._tail + data[start : start + _OVERLAP]
            found = joined.find(END_OF_LINES)
            if found >= 0:
                return min(limit, start + found + len(END_OF_LINES) - len(self._tail))
        found = data.find(END_OF_LINES, start, limit)
        return limit if found < 0 else found + len(END_OF_LINES)

    def parsed(self, data: bytes, start: int, end: int) -> None:
        """Record that a slice was given to the parser."""
        if self.body_left:
            self.body_left -= end - start
            return
        tail = self._tail + data[max(start, end - _OVERLAP) : end]
        self._tail = b"" if data.endswith(END_OF_LINES, start, end) else tail[-_OVERLAP:]
