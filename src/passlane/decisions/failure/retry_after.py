"""Computes the retry-after time of refused requests, in seconds.

There are three cases: the node can't serve requests (no configuration, no leader of the store
group, or the node is overloaded), the back ends have no free capacity, or the node's list of back
ends is behind that of another node.
"""

MIN_OUTAGE_RETRY_S = 0.1
MAX_OUTAGE_RETRY_S = 1.0
MIN_CAPACITY_RETRY_S = 0.05
"""Longer than a caller needs to connect to another node."""
MAX_CAPACITY_RETRY_S = 0.6
"""Leaves time for an answer within a caller's time limit of one to three seconds."""
ROOM_RETRY_SPREAD = 0.5
"""Maximum share that jitter adds to a retry-after time, also at the upper bound, so that callers
refused together don't retry together."""
LATE_LIST_RETRY_S = 1.0
"""Time until a node's list names the engines that the lists of other nodes name now."""


def retry_after_outage_s(outage_s: float) -> float:
    """Return the retry-after time in an outage that has lasted ``outage_s`` seconds.

    The time equals the outage so far, within bounds: short outages delay callers little, and long
    outages cause few retries.
    """
    return round(min(MAX_OUTAGE_RETRY_S, max(MIN_OUTAGE_RETRY_S, outage_s)), 2)


def retry_after_wait_s(wait_s: float, draw: float) -> float:
    """Return the retry-after time when requests have waited for capacity for ``wait_s`` seconds.

    The shortage is expected to last as long again as it has lasted so far.

    Parameters
    ----------
    wait_s
        Duration of the wait so far, in seconds.
    draw
        Uniform random number from 0 to 1 for jitter.
    """
    bounded_s = min(MAX_CAPACITY_RETRY_S, max(MIN_CAPACITY_RETRY_S, wait_s))
    return round(bounded_s * (1.0 + ROOM_RETRY_SPREAD * draw), 3)
