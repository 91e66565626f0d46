"""Divides the grace time of a planned stop among its phases.

For: a node, whose planned stop must end before the platform kills the process.
Owns: nothing; the times are computed from the grace time in the settings.
Relies on: the platform to probe readiness and to route clients to other nodes.
"""

import msgspec

MAX_UNREADY_S = 2.2
"""Long enough for two readiness probes in a row to fail, after which no more clients arrive."""
MAX_UNREADY_SHARE = 0.35
"""Limit of the same phase as a share of the grace time; the lower limit applies."""
MAX_SETTLING_S = 0.2
"""Time for settlements in flight to reach the store group."""
MAX_SETTLING_SHARE = 0.1
"""Limit of the same phase as a share of the grace time; the lower limit applies."""
MAX_MARGIN_S = 0.35
"""Time for the process to exit before it is killed."""
MAX_MARGIN_SHARE = 0.25
"""Limit of the same phase as a share of the grace time; the lower limit applies."""


class StopTimes(msgspec.Struct, frozen=True):
    """Durations of the phases of a planned stop, in this order, in seconds.

    Attributes
    ----------
    unready_s
        The node reports that it isn't ready and still serves new requests.
    finish_s
        It accepts no more connections and finishes the requests in flight.
    settling_s
        It waits for settlements in flight to reach the store group.
    """

    unready_s: float
    finish_s: float
    settling_s: float

    @classmethod
    def within(cls, grace_s: float) -> "StopTimes":
        """Return durations that fit into ``grace_s``, the time from the stop signal to the kill."""
        unready_s = min(MAX_UNREADY_S, MAX_UNREADY_SHARE * grace_s)
        settling_s = min(MAX_SETTLING_S, MAX_SETTLING_SHARE * grace_s)
        margin_s = min(MAX_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
        finish_s = grace_s - unready_s - settling_s - margin_s
        return cls(unready_s=unready_s, finish_s=finish_s, settling_s=settling_s)
