"""Exponential backoff for nodes that lose their lease repeatedly.

It limits reassignments of partitions that a flapping node causes.
"""

from passlane.identifiers import NodeId

MAX_REJOIN_DELAY_S = 60.0
"""Maximum delay of a new lease."""

RESET_AFTER_S = 300.0
"""Time without a lost lease after which the backoff is reset."""


class _LeaseLosses:
    __slots__ = ("count", "last_at")

    def __init__(self) -> None:
        self.count = 0
        self.last_at = float("-inf")


class RejoinBackoff:
    """Computes when a node may get a lease again.

    Parameters
    ----------
    first_delay_s
        Delay after the first loss, in seconds; it doubles with each further loss.
    """

    def __init__(self, first_delay_s: float) -> None:
        self._first_delay_s = first_delay_s
        self._losses: dict[NodeId, _LeaseLosses] = {}

    def record_lease_loss(self, node_id: NodeId, now: float) -> None:
        """Record a lease that ended without a planned stop."""
        losses = self._losses.setdefault(node_id, _LeaseLosses())
        if now - losses.last_at > RESET_AFTER_S:
            losses.count = 0
        losses.count += 1
        losses.last_at = now

    def allowed_at(self, node_id: NodeId) -> float:
        """Return the earliest time at which the node may get a lease."""
        losses = self._losses.get(node_id)
        if losses is None:
            return float("-inf")
        delay_s = self._first_delay_s * 2.0 ** min(losses.count - 1, 16)
        return losses.last_at + min(delay_s, MAX_REJOIN_DELAY_S)

    def expire_losses(self, now: float) -> None:
        """Remove nodes whose last loss is older than ``RESET_AFTER_S``."""
        self._losses = {
            node_id: losses
            for node_id, losses in self._losses.items()
            if now - losses.last_at <= RESET_AFTER_S
        }
