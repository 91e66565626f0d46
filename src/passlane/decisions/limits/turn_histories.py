"""Bounds the histories that a store leader sends to nodes at the same time; without I/O or clock.

A small request can name a long chain of turns, so that a few clients make the leader and the nodes
hold many times what they send. Small histories are not bounded here.
"""

from passlane.messages.placement import HistoriesFull

LARGE_HISTORY_BYTES = 400_000
"""Histories from this size on are large."""
MAX_UNDER_WAY_BYTES = 64_000_000
"""Large histories of turns that are being reserved or whose replies are not sent."""
BYTES_PER_S = 75_000_000.0
"""Rate at which a leader sends them."""
MIN_RETRY_AFTER_S = 0.2


class TurnHistories:
    """Counts the large histories under way on a leader.

    Attributes
    ----------
    under_way_bytes
        Sum of their sizes.
    """

    def __init__(self) -> None:
        self.under_way_bytes = 0

    def refusal(self, history_bytes: int) -> HistoriesFull | None:
        """Return why a turn with this history can't be reserved now; ``None`` if it can.

        One that is alone always can.
        """
        would_hold = self.under_way_bytes + history_bytes
        if not self.is_large(history_bytes) or not self.under_way_bytes:
            return None
        if would_hold <= MAX_UNDER_WAY_BYTES:
            return None
        return HistoriesFull(history_bytes, self.under_way_bytes, MAX_UNDER_WAY_BYTES)

    @staticmethod
    def is_large(history_bytes: int) -> bool:
        """Whether a history counts."""
        return history_bytes >= LARGE_HISTORY_BYTES

    def begin(self, history_bytes: int) -> None:
        """Count a large history."""
        self.under_way_bytes += history_bytes

    def end(self, history_bytes: int) -> None:
        """Count it no longer."""
        self.under_way_bytes -= history_bytes

    def retry_after_s(self) -> float:
        """Return the time until those under way are sent."""
        return max(MIN_RETRY_AFTER_S, self.under_way_bytes / BYTES_PER_S)
