"""Decides when a refused caller is told to come back, in seconds.

Two cases: something is missing (the configuration, the store group's leader, the node's own
strength), or the back ends have no room. The answer to the caller bears the result.
"""

SHORTEST_OUTAGE_RETRY_S = 0.1
LONGEST_OUTAGE_RETRY_S = 1.0
"""Seconds; bounds as in ``docs/design/node-bounds.md``. Measured only together with the wait at
a start (``docs/measurements/further-deployment.md``, "early listening, waiting, times to come
back")."""
SHORTEST_ROOM_RETRY_S = 0.05
"""Seconds. A caller's way to another node takes some milliseconds and a new connection. Not
measured; chosen."""
LONGEST_ROOM_RETRY_S = 0.6
"""Seconds. Callers have one to three seconds; a longer pause leaves no time for an answer. Not
measured; chosen."""
ROOM_RETRY_SPREAD = 0.5
"""Times to come back are lengthened by up to this share, also the longest one, so that callers
that were refused together don't return together. Not measured; chosen."""


def retry_after_outage_s(outage_s: float) -> float:
    """Return the seconds to wait when something has been missing for ``outage_s``.

    What is missing mostly returns soon after it was lost, and the longer it stays away the
    longer it is likely to. So a caller is asked to wait about as long as the outage has
    lasted: a short outage costs little, and a long one draws few repeats.
    """
    return round(min(LONGEST_OUTAGE_RETRY_S, max(SHORTEST_OUTAGE_RETRY_S, outage_s)), 2)


def retry_after_wait_s(wait_s: float, draw: float) -> float:
    """Return the seconds to wait when requests have waited for room for ``wait_s``.

    Room is missing for about as long again as it has been.

    Parameters
    ----------
    draw
        Uniform from 0 to 1; spreads the callers.
    """
    within_s = min(LONGEST_ROOM_RETRY_S, max(SHORTEST_ROOM_RETRY_S, wait_s))
    return round(within_s * (1.0 + ROOM_RETRY_SPREAD * draw), 3)
