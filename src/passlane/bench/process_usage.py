"""Reads what a process uses from the operating system's files under ``/proc``."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
"""Positions in ``/proc/PID/stat``, counted after the name in parentheses."""


def processor_time_s(process_id: int) -> float:
    """Return a process's processor time since its start; raise ``OSError`` if there is none."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / _TICKS_PER_S
