"""Splits a server-sent event stream into the data of its events."""

MAX_LINE_BYTES = 256_000
"""Longest line of an event stream; a longer one means a foreign or broken server."""

DATA_PREFIX = b"data:"


class EventLines:
    """Collects bytes as they arrive and gives the data lines that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take more bytes and return the data of each event that is now whole.

        Raises
        ------
        ValueError
            When a line is longer than ``MAX_LINE_BYTES``.
        """
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_LINE_BYTES:
            raise ValueError("a line of the event stream is too long")
        return [line[len(DATA_PREFIX) :].strip() for line in lines if line.startswith(DATA_PREFIX)]
