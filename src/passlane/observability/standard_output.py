"""Log lines on standard output: bounded, and never blocking.

Lines are gathered and written together. What standard output doesn't take at once waits;
when too much waits, the oldest lines go and a line tells how many.
"""

import os
import sys
from collections import deque
from typing import Any

import anyio
import msgspec
from structlog.typing import EventDict, WrappedLogger

MAX_WAITING_LINES = 2_000
FLUSH_PERIOD_S = 0.5
MAX_WRITE_BYTES = 4_096
"""Bytes of one write, if it holds more than one line: what a pipe takes whole or not at all
(``PIPE_BUF``), so that whoever reads in blocks sees whole lines. Of writes of up to 60,000 bytes
a reader of blocks of 8 KiB lost what was beyond, 14 to 17 lines were left of each half second."""
_HIDDEN_LEVEL = "debug"

_encoder = msgspec.json.Encoder(enc_hook=str)


class StandardOutputLog:
    """A processor of structlog that keeps lines until ``run`` writes them."""

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._unsent = b""
        self._dropped = 0

    def __call__(self, _logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
        """Keep a line for writing and pass it on."""
        if line.get("level") != _HIDDEN_LEVEL:
            self._add(dict(line))
        return line

    def _add(self, line: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_WAITING_LINES:
            self._lines.popleft()
            self._dropped += 1
        self._lines.append(_encoder.encode(line))

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Write what standard output takes now."""
        while self._lines or self._unsent:
            if not self._unsent:
                self._unsent = self._next_block()
            try:
                written = os.write(self._descriptor, self._unsent)
            except OSError:
                # Nobody reads just now, or ever: the bound on lines keeps this harmless.
                return
            self._unsent = self._unsent[written:]

    def _next_block(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self._dropped:
            parts.append(_encoder.encode({"event": "log_lines_dropped", "count": self._dropped}))
            self._dropped = 0
        while self._lines and (not parts or size + len(self._lines[0]) < MAX_WRITE_BYTES):
            parts.append(self._lines.popleft())
            size += len(parts[-1]) + 1
        return b"\n".join(parts) + b"\n"
