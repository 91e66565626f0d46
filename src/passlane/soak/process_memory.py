"""What a process and its sockets hold, from the operating system's files under ``/proc``."""

import os
import socket
import struct
from pathlib import Path

from passlane.soak.machines import Machine

MEGABYTE = 1_000_000
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_RESIDENT_FIELD = 1
_SOCKETS = Path("/proc/net/tcp")
_LOCAL_FIELD = 1
_STATE_FIELD = 3
_QUEUES_FIELD = 4
_LISTENING = "0A"


def resident_bytes(process_id: int) -> int | None:
    """Return the resident memory of a process; ``None`` if it has ended."""
    try:
        fields = Path(f"/proc/{process_id}/statm").read_text().split()
    except OSError:
        return None
    return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES if fields else None


def open_descriptors(process_id: int) -> int:
    """Return how many descriptors a process has open; 0 if it has ended."""
    try:
        return sum(1 for _ in Path(f"/proc/{process_id}/fd").iterdir())
    except OSError:
        return 0


def unread_bytes(host: str) -> int:
    """Return the bytes that have arrived at sockets of a host's address and are not read."""
    address = f"{struct.unpack('=I', socket.inet_aton(host))[0]:08X}:"
    total = 0
    with _SOCKETS.open() as table:
        next(table)
        for line in table:
            fields = line.split(None, _QUEUES_FIELD + 1)
            if fields[_LOCAL_FIELD].startswith(address) and fields[_STATE_FIELD] != _LISTENING:
                total += int(fields[_QUEUES_FIELD].partition(":")[2], 16)
    return total


def memory_bytes(machine: Machine) -> int:
    """Return the memory of a machine."""
    return machine.size.memory_mb * MEGABYTE
