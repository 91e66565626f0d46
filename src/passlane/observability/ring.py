"""Ring buffer of the most recent log lines, dumped to disk after a failure."""

from collections import deque
from typing import Any

import structlog
from structlog.typing import EventDict, WrappedLogger

from passlane.observability.line_format import encode_line
from passlane.runtime.interfaces import Disk


class RingLog:
    """Retains the most recent log lines of a process.

    Parameters
    ----------
    max_lines
        Number of retained lines; older lines are discarded.
    """

    def __init__(self, max_lines: int) -> None:
        self._lines: deque[dict[str, Any]] = deque(maxlen=max_lines)

    def add(self, line: EventDict) -> None:
        """Add one line."""
        self._lines.append(dict(line))

    def lines(self, newest: int | None = None) -> list[bytes]:
        """Return the most recent lines (all by default), oldest first, encoded as JSON."""
        lines = list(self._lines)
        if newest is not None:
            lines = lines[-newest:] if newest > 0 else []
        return [encode_line(line) for line in lines]

    async def write_out(self, disk: Disk, folder: str, reason: str) -> str:
        """Write all lines to a new file in ``folder`` and return its name.

        Raises
        ------
        OSError
            When the file cannot be written.
        """
        existing = len(disk.list_files(folder))
        name = f"{folder}/{existing + 1:06d}-{reason}.jsonl"
        await disk.replace(name, b"\n".join(self.lines()) + b"\n")
        return name


class RingProcessor:
    """Last structlog processor: adds the line to a ring buffer and ends processing."""

    def __init__(self, ring: RingLog) -> None:
        self._ring = ring

    def __call__(self, _logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
        """Add the line and drop the event, so that structlog prints nothing."""
        self._ring.add(line)
        raise structlog.DropEvent
