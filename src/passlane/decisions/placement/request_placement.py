"""Selects the back end of a request: health first, then cached prefix, load and zone.

Back ends are compared by ``PlacementRank``; the log line ``backend_chosen`` shows the rank of the
selected one. Owns no state: load and health are in ``decisions.backends.registry`` and
``decisions.backends.health``, the preference for the own zone is in
``decisions.placement.zone_weights``. A node only sees its own requests, not those of others.
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

NODE_SLOT_SHARE = 0.5
"""Share of an engine's slots that one node fills before it prefers the next engine."""
PLAIN_NODE_SLOT_SHARE = 0.33
"""Share of a back end's slots that one node fills, for requests without a program."""
QUEUE_FACTOR = 2.0
"""Multiple of the typical time to the first part of an answer above which a wait is a queue."""
MIN_QUEUE_S = 0.1
"""Minimum wait in seconds that counts as a queue."""
LONG_QUEUE_FACTOR = 4.0
"""Multiple of the typical time to the first part above which a wait is a long queue."""
MIN_LONG_QUEUE_S = 0.25
"""Minimum wait in seconds that counts as a long queue. Beyond it, computing a program's history
at another engine is faster than waiting."""
AVOID_S = 0.5
"""Seconds for which a back end is avoided after a failure; doubles with each consecutive one."""
MAX_AVOID_S = 5.0
"""Maximum time in seconds for which a back end is avoided after failures."""
MAX_DOUBLINGS = 4
"""Doublings of ``AVOID_S`` that exceed ``MAX_AVOID_S``."""


class PlacementRank(NamedTuple):
    """Rank of a back end; fields are compared in order, and lower values are preferred.

    Attributes
    ----------
    is_not_assigned
        It is not the engine at which the leader, which sees all nodes, assigned a slot.
    is_outlier
        It is an outlier of its service.
    is_avoided
        A connection to it failed recently.
    long_queue
        Wait of a request there, in multiples of ``long_queue_s``.
    is_elsewhere
        It is not the engine that the program used last. That engine has the program's history
        cached; computing it elsewhere takes longer than a short queue.
    short_queue
        Wait of a request there, in multiples of ``short_queue_s``.
    is_without_part
        It is not selected to cache the large shared prefix of a new program's prompt.
    fullness
        Number of this node's requests there, among engines selected for the shared prefix;
        otherwise that number in multiples of this node's share of the slots.
    needs_connection
        There is no idle connection to it, for requests without a program. Opening one takes a
        round trip and uses a slot. Ignored for engines, since each node would fill the engines
        that it used last.
    negative_score
        Negated weighted rendezvous score. A program gets the same engine at every node of a
        zone, and the own zone is preferred. For requests without a program the order differs
        between nodes, so that the nodes of a zone do not all fill the same back end first.
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


class NodeLocation(msgspec.Struct, frozen=True):
    """Name and zone of the node that places requests."""

    name: str
    zone: str


class PlacementKey(msgspec.Struct, frozen=True):
    """Properties of a request that determine its placement.

    Attributes
    ----------
    affinity
        Program id, which is the key for the rendezvous order; empty for plain services.
    node
        Node that places the request.
    used_last
        Engine that the program used last, at any node; empty without one.
    shared_part
        Id of the large prefix that the prompt shares with others; empty without one.
    assigned
        Engine at which the store group's leader assigned a slot; empty without one.
    """

    affinity: str
    node: NodeLocation
    used_last: str = ""
    shared_part: str = ""
    assigned: str = ""

    @property
    def is_plain(self) -> bool:
        """Whether the request is for a plain back end, which caches nothing of a program."""
        return not self.affinity


class PlacementChoice(msgspec.Struct, frozen=True):
    """The selected back end and the values that determined it.

    Attributes
    ----------
    rank
        Rank of the selected back end, the minimum of all candidates.
    candidates
        Number of back ends to choose from.
    typical_s
        Typical time to the first part of an answer, in seconds; 0 if unknown.
    """

    load: BackendLoad
    rank: PlacementRank
    candidates: int
    typical_s: float


def long_queue_s(typical_s: float) -> float:
    """Return the wait, in seconds, above which a program leaves its engine."""
    return max(MIN_LONG_QUEUE_S, LONG_QUEUE_FACTOR * typical_s)


def short_queue_s(typical_s: float) -> float:
    """Return the wait, in seconds, above which a new program avoids an engine."""
    return max(MIN_QUEUE_S, QUEUE_FACTOR * typical_s)


def choose_backend(
    candidates: Collection[BackendLoad],
    key: PlacementKey,
    tried: Collection[str],
    now: float,
    outliers: Collection[str] = (),
    typical_s: float = 0.0,
    connected: Collection[str] = (),
) -> PlacementChoice | None:
    """Choose the back end with the minimum rank; ``None`` if all were tried.

    Parameters
    ----------
    tried
        Incarnations to which this request was already sent.
    outliers
        Incarnations that are outliers.
    typical_s
        Typical time to the first part of an answer, in seconds; 0 if unknown.
    connected
        Incarnations to which this node has an idle connection; only used for requests without a
        program.
    """
    untried = [load for load in candidates if load.record.incarnation not in tried]
    if not untried:
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
    ranks = [ranking.rank(load) for load in untried]
    best = min(range(len(untried)), key=ranks.__getitem__)
    return PlacementChoice(untried[best], ranks[best], len(untried), typical_s)


class _Ranking(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs for ranking the back ends for one request.

    Attributes
    ----------
    holders
        Engines selected to cache the shared prefix of a new program's prompt; empty if that
        does not apply.
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
    """Return the engines for a new program's shared prefix; empty if there is none."""
    if not key.shared_part or key.used_last:
        return frozenset()
    return engines_of_part(key.shared_part, records)


def record_failure(load: BackendLoad, now: float) -> None:
    """Avoid a back end for some time, with exponential backoff on consecutive failures."""
    load.failures += 1
    pause_s = min(MAX_AVOID_S, AVOID_S * 2 ** min(load.failures - 1, MAX_DOUBLINGS))
    load.avoid_until = now + pause_s


def record_success(load: BackendLoad) -> None:
    """Reset the failures of a back end, so that it is no longer avoided."""
    load.failures = 0
    load.avoid_until = 0.0


def _fullness(load: BackendLoad, key: PlacementKey) -> int:
    """Return this node's requests at a back end in multiples of its share of the slots."""
    share = PLAIN_NODE_SLOT_SHARE if key.is_plain else NODE_SLOT_SHARE
    return load.in_flight // max(1, math.ceil(load.record.slots * share))
