"""An asyncio transport that counts the bytes written to it."""

import asyncio
from typing import Any


class CountingTransport(asyncio.Transport):
    """Forwards all calls to another transport and counts written bytes.

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
        """Write bytes and count them."""
        self.written_bytes += len(data)
        self._inner.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the wrapped transport."""
        return self._inner.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._inner.is_closing()

    def close(self) -> None:
        """Close after all buffered bytes are written."""
        self._inner.close()

    def abort(self) -> None:
        """Close immediately and drop buffered bytes."""
        self._inner.abort()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives incoming data."""
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives incoming data."""
        return self._inner.get_protocol()

    def is_reading(self) -> bool:
        """Return whether the transport is reading."""
        return self._inner.is_reading()

    def pause_reading(self) -> None:
        """Pause reading."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._inner.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer sizes in bytes at which writers pause and resume."""
        self._inner.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the socket has not accepted yet."""
        return self._inner.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and high limits of the write buffer in bytes."""
        return self._inner.get_write_buffer_limits()

    def can_write_eof(self) -> bool:
        """Return whether the outgoing direction can be closed on its own."""
        return self._inner.can_write_eof()

    def write_eof(self) -> None:
        """Close the outgoing direction."""
        self._inner.write_eof()
