"""Damping of nodes that lose their lease again and again."""

from passlane.identifiers import NodeId

MAX_REJOIN_DELAY_S = 60.0
"""Longest time, in seconds, that a node is kept waiting for a lease."""

FORGIVE_AFTER_S = 300.0
"""Seconds without losing a lease after which earlier losses no longer count."""


class _Losses:
    __slots__ = ("count", "last_at")

    def __init__(self) -> None:
        self.count = 0
        self.last_at = float("-inf")


class RejoinDamper:
    """Decides from when on a node may have a lease again.

    Parameters
    ----------
    first_delay_s
        Delay after the first loss; it doubles with each further one.
    """

    def __init__(self, first_delay_s: float) -> None:
        self._first_delay_s = first_delay_s
        self._losses: dict[NodeId, _Losses] = {}

    def lease_lost(self, node_id: NodeId, now: float) -> None:
        """Count a lease that ended without a planned stop."""
        losses = self._losses.setdefault(node_id, _Losses())
        if now - losses.last_at > FORGIVE_AFTER_S:
            losses.count = 0
        losses.count += 1
        losses.last_at = now

    def allowed_at(self, node_id: NodeId) -> float:
        """Return the time from which the node may have a lease."""
        losses = self._losses.get(node_id)
        if losses is None:
            return float("-inf")
        delay_s = self._first_delay_s * 2.0 ** min(losses.count - 1, 16)
        return losses.last_at + min(delay_s, MAX_REJOIN_DELAY_S)

    def forget_old(self, now: float) -> None:
        """Drop nodes that have not lost a lease for long."""
        self._losses = {
            node_id: losses
            for node_id, losses in self._losses.items()
            if now - losses.last_at <= FORGIVE_AFTER_S
        }
