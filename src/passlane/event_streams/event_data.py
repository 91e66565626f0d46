"""Parses the data fields of a server-sent event stream as its bytes arrive.

Owns the bytes of the line that is still incomplete.
"""

MAX_LINE_BYTES = 256_000
"""Bytes; a longer line means that the server is not an engine or is faulty."""

DATA_PREFIX = b"data:"


class EventDataParser:
    """Buffers bytes and returns the data of complete lines."""

    def __init__(self) -> None:
        self._partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes and return the data of each data line that is now complete.

        Raises
        ------
        ValueError
            When an incomplete line exceeds ``MAX_LINE_BYTES``.
        """
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_LINE_BYTES:
            raise ValueError(f"event stream line exceeds {MAX_LINE_BYTES} bytes")
        return [line[len(DATA_PREFIX) :].strip() for line in lines if line.startswith(DATA_PREFIX)]
