"""Decides when a caller is told to come back that was refused for an outage.

What is missing (the configuration, the store group's leader) mostly returns soon after it
was lost, and the longer it stays away the longer it is likely to. So a caller is asked to
wait about as long as the outage has lasted: a short outage costs little, and a long one
draws few repeats.
"""

SHORTEST_OUTAGE_RETRY_S = 0.1
LONGEST_OUTAGE_RETRY_S = 1.0
"""Seconds; as documented in ``docs/design/node-bounds.md``. Not measured; chosen."""


def retry_after_outage_s(outage_s: float) -> float:
    """Return the seconds to wait when something has been missing for ``outage_s``."""
    return round(min(LONGEST_OUTAGE_RETRY_S, max(SHORTEST_OUTAGE_RETRY_S, outage_s)), 2)
