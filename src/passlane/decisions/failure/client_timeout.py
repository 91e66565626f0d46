"""Until when a caller waits for the first part of an answer."""

from passlane.messages.routes import Route, RouteKind

SHORTEST_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0
CLIENT_TIMEOUT_GAPS = 8.0
"""A caller abandons a stream that has been silent for the longest of these: the seconds, the
multiple of its target latency, and that of the longest pause that counts in full."""


def first_part_due_at(route: Route, silent_since: float, limit_at: float) -> float:
    """Return when a caller that has heard nothing since ``silent_since`` leaves.

    Parameters
    ----------
    limit_at
        When its deadline or the route's time limit ends the request at any rate.
    """
    if route.kind is not RouteKind.STREAM:
        return limit_at
    patience_s = max(
        SHORTEST_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * route.target_latency_s,
        CLIENT_TIMEOUT_GAPS * route.target_gap_s,
    )
    return min(limit_at, silent_since + patience_s)
