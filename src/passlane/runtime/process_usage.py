"""Resource usage of this process as reported by the kernel."""

import resource
from pathlib import Path

MEMORY_STATUS_PATH = Path("/proc/self/statm")
DESCRIPTORS_PATH = Path("/proc/self/fd")
_RESIDENT_FIELD = 1
_PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the resident memory in bytes; raise ``OSError`` if it is not available."""
    return int(MEMORY_STATUS_PATH.read_bytes().split()[_RESIDENT_FIELD]) * _PAGE_BYTES


def open_descriptors() -> int:
    """Return the number of open descriptors; raise ``OSError`` if it is not available."""
    # Listing the folder opens one descriptor itself.
    return len(list(DESCRIPTORS_PATH.iterdir())) - 1


def descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
