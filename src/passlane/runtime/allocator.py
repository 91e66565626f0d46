"""Settings of the C library's allocator."""

import ctypes

MMAP_THRESHOLD_BYTES = 524_288
"""Above the 256 KB that each read of a connection takes for a moment."""
TRIM_THRESHOLD_BYTES = 2_097_152
"""Free memory at the end of the heap that is kept: giving it back after each read is costly."""
_TRIM_THRESHOLD_OPTION = -1
_MMAP_THRESHOLD_OPTION = -3


def return_large_blocks() -> bool:
    """Let the memory of large blocks go back to the system when they are freed.

    Otherwise the allocator, once a block of megabytes was freed, takes later ones from memory that
    it keeps, in between smaller ones. Returns whether the allocator knows the options.
    """
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is None:
        return False
    is_trim_known = set_option(_TRIM_THRESHOLD_OPTION, TRIM_THRESHOLD_BYTES)
    return bool(set_option(_MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES) and is_trim_known)
