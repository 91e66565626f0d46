"""A ring of the newest log lines in memory, written out when something goes wrong."""

from collections import deque
from typing import Any

import msgspec
import structlog
from structlog.typing import EventDict, WrappedLogger

from passlane.runtime.interfaces import Disk

_encoder = msgspec.json.Encoder(enc_hook=str)


class RingLog:
    """Keeps the newest lines of a process.

    Parameters
    ----------
    max_lines
        Lines kept; older ones are forgotten.
    """

    def __init__(self, max_lines: int) -> None:
        self._lines: deque[dict[str, Any]] = deque(maxlen=max_lines)

    def add(self, line: EventDict) -> None:
        """Keep one line."""
        self._lines.append(dict(line))

    def lines(self, newest: int | None = None) -> list[bytes]:
        """Return the newest lines (all by default), oldest first, each as JSON."""
        lines = list(self._lines)
        if newest is not None:
            lines = lines[-newest:] if newest > 0 else []
        return [_encoder.encode(line) for line in lines]

    async def write_out(self, disk: Disk, folder: str, reason: str) -> str:
        """Write all lines to a new file and return its name.

        Raises
        ------
        OSError
            When the disk refuses.
        """
        existing = len(disk.list_files(folder))
        name = f"{folder}/{existing + 1:06d}-{reason}.jsonl"
        await disk.replace(name, b"\n".join(self.lines()) + b"\n")
        return name


class RingProcessor:
    """Last processor of structlog: keeps the line in a ring and prints nothing."""

    def __init__(self, ring: RingLog) -> None:
        self._ring = ring

    def __call__(self, _logger: WrappedLogger, _method: str, line: EventDict) -> EventDict:
        """Keep the line and stop."""
        self._ring.add(line)
        raise structlog.DropEvent
