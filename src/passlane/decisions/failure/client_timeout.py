"""Estimates when a caller times out on a silent stream, and when a wait for an engine is abandoned.

Times are local monotonic seconds.
"""

from passlane.messages.routes import Route, RouteKind

MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_LATENCY_FACTOR = 4.0
"""Multiple of the route's target latency."""
CLIENT_TIMEOUT_GAP_FACTOR = 8.0
"""Multiple of the route's target gap between two parts of a stream."""


def first_part_due_at(route: Route, silent_since: float, limit_at: float) -> float:
    """Return when a caller that has received nothing since ``silent_since`` times out.

    A caller abandons a stream after the maximum of ``MIN_CLIENT_TIMEOUT_S`` and the multiples of
    the route's target latency and target gap. Other requests run until ``limit_at``.

    Parameters
    ----------
    route
        Route of the request.
    silent_since
        Time since which the caller has received nothing.
    limit_at
        Time at which the deadline or the route's time limit ends the request.
    """
    if route.kind is not RouteKind.STREAM:
        return limit_at
    client_timeout_s = max(
        MIN_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_LATENCY_FACTOR * route.target_latency_s,
        CLIENT_TIMEOUT_GAP_FACTOR * route.target_gap_s,
    )
    return min(limit_at, silent_since + client_timeout_s)


def abandon_at(
    route: Route, *, whole_by: float, silent_since: float, limit_at: float, typical_s: float
) -> float:
    """Return when the remaining time is too short for a complete answer or for its first part.

    Parameters
    ----------
    route
        Route of the request.
    whole_by
        Latest time to begin an answer that completes within the request's time limit.
    silent_since
        Time since which the caller has received nothing.
    limit_at
        Time at which the request's time limit ends it.
    typical_s
        Typical time to the first part of an answer of the service; 0 if unknown.
    """
    due_at = first_part_due_at(route, silent_since, limit_at)
    return min(whole_by, due_at - typical_s)
