"""Non-blocking log output to standard output with a bounded buffer.

Lines are buffered and written in batches. When the buffer is full, the oldest lines are
dropped and a ``log_lines_dropped`` line reports their number.
"""

import os
import sys
from collections import deque
from typing import Any

import anyio
from structlog.typing import EventDict, WrappedLogger

from passlane.observability.line_format import encode_line

MAX_BUFFERED_LINES = 2_000
FLUSH_PERIOD_S = 0.5
MAX_WRITE_BYTES = 4_096
"""Limit of a write of several lines. A pipe accepts writes up to this size (``PIPE_BUF``)
atomically, so that a block-wise reader sees only whole lines. A reader of 8 KiB blocks loses most
of the lines of larger writes."""
_EXCLUDED_LEVEL = "debug"


class StandardOutputLog:
    """A structlog processor that buffers lines until ``run`` or ``flush`` writes them.

    Parameters
    ----------
    descriptor
        File descriptor to write to; standard output by default.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._unsent = b""
        self._dropped = 0

    def __call__(self, _logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
        """Buffer a line, unless it is of level debug, and return it to the next processor."""
        if line.get("level") != _EXCLUDED_LEVEL:
            self._add(dict(line))
        return line

    def _add(self, line: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._lines.popleft()
            self._dropped += 1
        self._lines.append(encode_line(line))

    async def run(self) -> None:
        """Write buffered lines at each flush period until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await anyio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor accepts no more."""
        while self._lines or self._unsent:
            if not self._unsent:
                self._unsent = self._next_batch()
            try:
                written = os.write(self._descriptor, self._unsent)
            except OSError:
                # The pipe is full or has no reader; the buffer stays bounded.
                return
            self._unsent = self._unsent[written:]

    def _next_batch(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        if self._dropped:
            parts.append(encode_line({"event": "log_lines_dropped", "count": self._dropped}))
            self._dropped = 0
        while self._lines and (not parts or size + len(self._lines[0]) < MAX_WRITE_BYTES):
            parts.append(self._lines.popleft())
            size += len(parts[-1]) + 1
        return b"\n".join(parts) + b"\n"
