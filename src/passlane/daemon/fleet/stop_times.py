"""How a node spends the time between the request to stop and its end.

For: a planned stop fits between the platform's request and its kill.
Owns: nothing; the times follow from the grace time in the settings.
Relies on: the platform to ask whether the node is ready, and to lead clients elsewhere.
"""

import msgspec

LONGEST_UNREADY_S = 2.2
"""Seconds: enough for the platform to miss two answers in a row and send no more clients.

Not measured; chosen.
"""
UNREADY_SHARE = 0.35
"""Share of the grace time for it, where that is less. Not measured; chosen."""
SETTLING_S = 0.2
"""Seconds in which settlements that were just begun reach the store. Not measured; chosen."""
SETTLING_SHARE = 0.1
"""Share of the grace time for it, where that is less. Not measured; chosen."""
MARGIN_S = 0.5
"""Seconds left for the process to end before it is killed. Not measured; chosen."""
MARGIN_SHARE = 0.25
"""Share of the grace time for it, where that is less. Not measured; chosen."""


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
        """Return times that fit into ``grace_s``, from the request to stop to the kill."""
        unready_s = min(LONGEST_UNREADY_S, UNREADY_SHARE * grace_s)
        settling_s = min(SETTLING_S, SETTLING_SHARE * grace_s)
        margin_s = min(MARGIN_S, MARGIN_SHARE * grace_s)
        finish_s = grace_s - unready_s - settling_s - margin_s
        return cls(unready_s=unready_s, finish_s=finish_s, settling_s=settling_s)
