"""What this process occupies of its machine, as the kernel tells."""

import resource
from pathlib import Path

STATUS_OF_MEMORY = Path("/proc/self/statm")
DESCRIPTORS = Path("/proc/self/fd")
_RESIDENT_FIELD = 1
_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory in bytes; raise ``OSError`` where that isn't told."""
    return int(STATUS_OF_MEMORY.read_bytes().split()[_RESIDENT_FIELD]) * _PAGE_BYTES


def open_descriptors() -> int:
    """Return the open descriptors; raise ``OSError`` where that isn't told."""
    # Listing the folder opens one more.
    return len(list(DESCRIPTORS.iterdir())) - 1
