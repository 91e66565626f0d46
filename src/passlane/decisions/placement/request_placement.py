"""Chooses the back end for a request: memory of its program first, then load.

Answers "why did this request go there?" for model engines, by the order of preference of
``PlacementRank``; the log line ``backend_chosen`` shows the rank that won. Owns no state: what is
known of a back end is in ``decisions.backends.registry`` and ``decisions.backends.health``, the
preference for the own zone in ``decisions.placement.zone_weights``. No node knows what others have
under way. Source: ``docs/design/relay-placement.md``.
"""

import math
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from passlane.decisions.backends.health import congestion_level
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.placement.shared_parts import engines_of_part
from passlane.decisions.placement.zone_weights import ZoneWeights
from passlane.messages.listing import BackendRecord

FULL_SHARE = 0.5
"""Share of its slots. A node gives an engine at most this much before it turns to the next.
Not measured; chosen."""
PLAIN_FULL_SHARE = 0.33
"""The same for requests without a program. Measured as part of the preference for the own zone
only (see the module)."""
QUEUE_FACTOR = 2.0
"""Multiple of the usual time to a first part. Measured as part of the rule for queues only (see
the module)."""
SHORTEST_QUEUE_S = 0.1
"""Seconds. A request that waits longer than this, and than the multiple above, shows a queue.
Measured as part of the rule for queues only (see the module)."""
LONG_QUEUE_FACTOR = 4.0
"""Multiple of the usual time to a first part. Measured as part of the rule for queues only (see
the module)."""
SHORTEST_LONG_QUEUE_S = 0.25
"""Seconds. A queue beyond this, and beyond the multiple above, is worth reading a program's
history again at another engine. Measured as part of the rule for queues only (see the module)."""
AVOID_S = 0.5
"""Seconds for which a back end is avoided after a failure; doubles with each failure in a row.
Not measured; chosen."""
LONGEST_AVOID_S = 5.0
"""Seconds; the most that this grows to. Not measured; chosen."""


class PlacementRank(NamedTuple):
    """Order of preference; the first difference decides, and lower is better.

    Attributes
    ----------
    is_not_assigned
        It is not the engine at which the request has a place. Whoever gave that sees all nodes.
    is_outlier
        It does worse than most of its service.
    is_avoided
        A connection to it failed lately.
    long_queue
        For how many times ``long_queue_s`` a request has waited there.
    is_elsewhere
        It is not the engine that the program used last. That engine holds what the program
        has read already; to read it again elsewhere takes longer than a short queue.
    short_queue
        For how many times ``short_queue_s`` a request has waited there.
    is_without_part
        It is not to hold the large part that a new program's prompt shares with others.
    fullness
        Requests of this node there, among engines that hold the part; else how many times
        over these fill this node's share of it.
    needs_connection
        No connection to it rests unused, for requests without a program. To open one takes a
        way there and back, holds a slot for a moment, and counts against what the back end
        takes. Not so among engines: nodes that see only their own requests would all fill
        those that they used last.
    negative_score
        Its weighted rendezvous score, negated: a program gets the same engine at every node
        of its zone, the own zone is preferred, and for requests without a program each node
        has an order of its own, so that the nodes of a zone don't all fill the same one first.
    """

    is_not_assigned: bool
    is_outlier: bool
    is_avoided: bool
    long_queue: int
    is_elsewhere: bool
    short_queue: int
    is_without_part: bool
    fullness: int
    needs_connection: bool
    negative_score: float


class NodePlace(msgspec.Struct, frozen=True):
    """Which node places requests, and where it is."""

    name: str
    zone: str


class PlacementKey(msgspec.Struct, frozen=True):
    """What decides where a request goes; ``affinity`` is empty for plain services.

    ``used_last`` is the engine that the request's program used last, at whatever node;
    ``shared_part`` the large part that its prompt shares with others, empty without one;
    ``assigned`` the engine at which the store group's leader gave it a place, empty without.
    """

    affinity: str
    node: NodePlace
    used_last: str = ""
    shared_part: str = ""
    assigned: str = ""

    @property
    def is_plain(self) -> bool:
        """Whether the request goes to a plain back end, which holds nothing of a program."""
        return not self.affinity


class PlacementChoice(msgspec.Struct, frozen=True):
    """A back end that was chosen, and what decided it.

    Attributes
    ----------
    rank
        Its rank; all others ranked behind it.
    candidates
        How many back ends there were to choose from.
    typical_s
        Typical time to the first part of an answer of the service; 0 if unknown.
    """

    load: BackendLoad
    rank: PlacementRank
    candidates: int
    typical_s: float


def long_queue_s(typical_s: float) -> float:
    """Return the wait, in seconds, from which a queue sends a program away from its engine."""
    return max(SHORTEST_LONG_QUEUE_S, LONG_QUEUE_FACTOR * typical_s)


def short_queue_s(typical_s: float) -> float:
    """Return the wait, in seconds, from which a queue sends a new program elsewhere."""
    return max(SHORTEST_QUEUE_S, QUEUE_FACTOR * typical_s)


def choose_backend(
    candidates: Collection[BackendLoad],
    key: PlacementKey,
    tried: Collection[str],
    now: float,
    outliers: Collection[str] = (),
    typical_s: float = 0.0,
    connected: Collection[str] = (),
) -> PlacementChoice | None:
    """Choose the back end of the best rank; ``None`` if each was tried.

    Parameters
    ----------
    tried
        Instances that this request was already sent to.
    outliers
        Instances that do worse than most of their service.
    typical_s
        Typical time to the first part of an answer of the service; 0 if unknown.
    connected
        Instances to which a connection of this node rests unused; only looked at for requests
        without a program.
    """
    fresh = [load for load in candidates if load.record.incarnation not in tried]
    if not fresh:
        return None
    records = [load.record for load in candidates]
    ranking = _Ranking(
        key=key,
        now=now,
        outliers=outliers,
        typical_s=typical_s,
        connected=connected,
        holders=_engines_for_new_program(key, records),
        weights=ZoneWeights.of(records, key.node.zone),
    )
    ranks = [ranking.rank(load) for load in fresh]
    best = min(range(len(fresh)), key=ranks.__getitem__)
    return PlacementChoice(fresh[best], ranks[best], len(fresh), typical_s)


class _Ranking(msgspec.Struct, frozen=True, kw_only=True):
    """What back ends are ranked by for one request at one moment.

    Attributes
    ----------
    holders
        Engines that are to hold the large part of a new program's prompt; empty if that
        does not decide.
    """

    key: PlacementKey
    now: float
    outliers: Collection[str]
    typical_s: float
    connected: Collection[str]
    holders: frozenset[str]
    weights: ZoneWeights

    def rank(self, load: BackendLoad) -> PlacementRank:
        key, instance_id = self.key, load.record.incarnation
        return PlacementRank(
            is_not_assigned=instance_id != key.assigned,
            is_outlier=instance_id in self.outliers,
            is_avoided=load.avoid_until > self.now,
            long_queue=congestion_level(load.health, long_queue_s(self.typical_s), self.now),
            is_elsewhere=instance_id != key.used_last,
            short_queue=congestion_level(load.health, short_queue_s(self.typical_s), self.now),
            is_without_part=bool(self.holders) and instance_id not in self.holders,
            fullness=load.in_flight if self.holders else _fullness(load, key),
            needs_connection=key.is_plain and instance_id not in self.connected,
            negative_score=-self.weights.score(key.affinity or key.node.name, load.record),
        )


def _engines_for_new_program(
    key: PlacementKey, records: Collection[BackendRecord]
) -> frozenset[str]:
    """Return the engines for a new program's shared part; empty if there is none."""
    if not key.shared_part or key.used_last:
        return frozenset()
    return engines_of_part(key.shared_part, records)


def note_failure(load: BackendLoad, now: float) -> None:
    """Avoid a back end for a while, longer with each failure in a row."""
    load.failures += 1
    pause_s = min(LONGEST_AVOID_S, AVOID_S * 2 ** (load.failures - 1))
    load.avoid_until = now + pause_s


def note_success(load: BackendLoad) -> None:
    """Use a back end as before its failures."""
    load.failures = 0
    load.avoid_until = 0.0


def _fullness(load: BackendLoad, key: PlacementKey) -> int:
    """Return how many times over this node's requests fill its part of a back end."""
    share = PLAIN_FULL_SHARE if key.is_plain else FULL_SHARE
    return load.in_flight // max(1, math.ceil(load.record.slots * share))
