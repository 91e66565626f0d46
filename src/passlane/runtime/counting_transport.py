"""A transport that counts what is written to it."""

import asyncio
from typing import Any


class CountingTransport(asyncio.Transport):
    """Hands all on to another transport.

    Attributes
    ----------
    written_bytes
        Bytes written so far.
    """

    def __init__(self, inner: asyncio.Transport) -> None:
        super().__init__()
        self._inner = inner
        self.written_bytes = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes, and count them."""
        self.written_bytes += len(data)
        self._inner.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what the other transport tells of itself."""
        return self._inner.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Whether the connection closes or is closed."""
        return self._inner.is_closing()

    def close(self) -> None:
        """Close once all is written."""
        self._inner.close()

    def abort(self) -> None:
        """Close at once; what isn't written is dropped."""
        self._inner.abort()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand what comes to another protocol."""
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that gets what comes."""
        return self._inner.get_protocol()

    def is_reading(self) -> bool:
        """Whether bytes are read."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Read no more for now."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self._inner.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set from which size of the buffer on writers wait, and until which."""
        self._inner.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the socket hasn't taken."""
        return self._inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return both limits of the buffer."""
        return self._inner.get_write_buffer_limits()

    def can_write_eof(self) -> bool:
        """Whether the connection can be closed in one direction."""
        return self._inner.can_write_eof()

    def write_eof(self) -> None:
        """Close the connection in one direction."""
        self._inner.write_eof()
