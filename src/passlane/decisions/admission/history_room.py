"""Bounds the histories of turns that a node holds for its requests; without I/O or clock.

A small request can continue a conversation of many megabytes, which the node holds until the
request has ended.
"""

SHARE_OF_MEMORY = 0.1
"""Share of a machine's memory for histories."""
SMALL_HISTORY_BYTES = 100_000
"""Histories up to this size always fit: usual turns must not wait for a large one to end."""
DEFAULT_BYTES = 256_000_000
RETRY_AFTER_S = 1.0
"""About the time of a turn, after which its history is given back."""


class HistoryRoom:
    """The histories of the requests under way on a node.

    Attributes
    ----------
    held_bytes
        Sum of their sizes.
    refused
        Number of requests whose history did not fit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused = 0

    @classmethod
    def of_machine(cls, memory_bytes: int | None) -> "HistoryRoom":
        """Return a share of a machine's memory; a default if it is unknown."""
        if memory_bytes is None:
            return cls(DEFAULT_BYTES)
        return cls(int(memory_bytes * SHARE_OF_MEMORY))

    def take(self, history_bytes: int) -> bool:
        """Hold a history if it fits; a small one, and one that is alone, always does."""
        is_large = history_bytes > SMALL_HISTORY_BYTES
        if is_large and self.held_bytes and self.held_bytes + history_bytes > self.max_bytes:
            self.refused += 1
            return False
        self.held_bytes += history_bytes
        return True

    def give_back(self, history_bytes: int) -> None:
        """Hold a history no longer."""
        self.held_bytes -= history_bytes
