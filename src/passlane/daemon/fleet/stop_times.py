"""How a node spends the time between the request to stop and its end."""

import msgspec

LONGEST_UNREADY_S = 2.2
"""Long enough for the platform to miss two answers in a row and send no more clients."""
UNREADY_SHARE = 0.35
SETTLING_S = 0.2
"""Settlements that were just begun reach the store in this time."""
SETTLING_SHARE = 0.1
MARGIN_S = 0.5
MARGIN_SHARE = 0.25
"""Left for the process to end before it is killed."""


class StopTimes(msgspec.Struct, frozen=True):
    """Parts of a planned stop, in this order, in seconds.

    Attributes
    ----------
    unready_s
        The node says that it isn't ready and serves what still comes.
    finish_s
        It takes no more connections and finishes what is under way.
    settling_s
        It lets settlements reach the store.
    """

    unready_s: float
    finish_s: float
    settling_s: float

    @classmethod
    def within(cls, grace_s: float) -> "StopTimes":
        """Return times that fit between the request to stop and the kill after it."""
        unready_s = min(LONGEST_UNREADY_S, UNREADY_SHARE * grace_s)
        settling_s = min(SETTLING_S, SETTLING_SHARE * grace_s)
        margin_s = min(MARGIN_S, MARGIN_SHARE * grace_s)
        finish_s = grace_s - unready_s - settling_s - margin_s
        return cls(unready_s=unready_s, finish_s=finish_s, settling_s=settling_s)
