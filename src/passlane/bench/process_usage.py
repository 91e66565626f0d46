"""Reads what a process uses from the operating system's files under ``/proc``."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = resource.getpagesize()
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
"""Positions in ``/proc/PID/stat``, counted after the name in parentheses."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor time since the start, in seconds, and resident memory, in bytes."""

    cpu_s: float
    resident_bytes: int


def read_usage(process_id: int) -> ProcessUsage:
    """Return what a running process uses; raise ``OSError`` if there is none."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return ProcessUsage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
