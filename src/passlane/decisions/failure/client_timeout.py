"""Decides until when a caller bears a silent stream, and when a wait for an engine is hopeless.

Times are local, in seconds. Source: ``docs/design/plain-back-ends.md``, "Waiting".
"""

from passlane.messages.routes import Route, RouteKind

SHORTEST_CLIENT_TIMEOUT_S = 2.0
"""Seconds. Not measured; chosen."""
CLIENT_TIMEOUT_TARGETS = 4.0
"""Multiple of the route's target latency. Not measured; chosen."""
CLIENT_TIMEOUT_GAPS = 8.0
"""Multiple of the route's longest pause that counts in full. A caller abandons a stream that has
been silent for the longest of these three. Not measured; chosen."""


def first_part_due_at(route: Route, silent_since: float, limit_at: float) -> float:
    """Return when a caller that has heard nothing since ``silent_since`` leaves.

    Parameters
    ----------
    limit_at
        When its deadline or the route's time limit ends the request at any rate.
    """
    if route.kind is not RouteKind.STREAM:
        return limit_at
    client_timeout_s = max(
        SHORTEST_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * route.target_latency_s,
        CLIENT_TIMEOUT_GAPS * route.target_gap_s,
    )
    return min(limit_at, silent_since + client_timeout_s)


def hopeless_at(
    route: Route, *, whole_by: float, silent_since: float, limit_at: float, typical_s: float
) -> float:
    """Return when what is left is too little for a whole answer, or for its first part.

    Parameters
    ----------
    whole_by
        When an answer has to begin to be whole within the request's time.
    silent_since
        Since when its caller has heard nothing.
    limit_at
        When the request's time ends.
    typical_s
        Typical time to the first part of an answer of its service; 0 if unknown.
    """
    due_at = first_part_due_at(route, silent_since, limit_at)
    return min(whole_by, due_at - typical_s)
