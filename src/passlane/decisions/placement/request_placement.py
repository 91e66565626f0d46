"""Chooses the back end for a request: memory of its program first, then load."""

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
"""A node gives an engine at most this share of its slots before it turns to the next."""
PLAIN_FULL_SHARE = 0.33
"""The same for back ends that are no model engines."""
QUEUE_FACTOR = 2.0
SHORTEST_QUEUE_S = 0.1
"""A request that waits longer than this, and this multiple of the usual, shows a queue."""
LONG_QUEUE_FACTOR = 4.0
SHORTEST_LONG_QUEUE_S = 0.25
"""A queue that is worth reading a program's history again at another engine."""
AVOID_S = 0.5
LONGEST_AVOID_S = 5.0


class PlacementRank(NamedTuple):
    """Order of preference; the first difference decides, and lower is better."""

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


def choose_backend(
    candidates: Collection[BackendLoad],
    key: PlacementKey,
    tried: Collection[str],
    now: float,
    outliers: Collection[str] = (),
    typical_s: float = 0.0,
    connected: Collection[str] = (),
) -> PlacementChoice | None:
    """Choose the back end for the next attempt; ``None`` if each was tried.

    An engine at which the request has a place goes first: whoever gave it sees all nodes.
    Else a program stays with the engine that it used last, because that engine holds what the
    program has read already; to read it again elsewhere takes longer than a short queue.
    A new program whose prompt shares a large part with others goes to the least used of
    the engines that hold this part. Any other goes by rendezvous hashing, as at every
    other node of its zone, unless requests queue there, and back ends of the own zone are
    preferred. An engine that is full for this node, that failed lately or that does worse
    than most comes after all others. Among plain back ends with room, one to which a
    connection rests unused goes first: to open one takes a way there and back, holds a slot
    for a moment, and counts against what the back end takes. Not so among engines: nodes that
    see only their own requests would all fill those that they used last. Among plain back
    ends each node has an order of its own, so that the nodes of a zone don't all fill the
    same one first.

    Parameters
    ----------
    tried
        Instances that this request was already sent to.
    outliers
        Instances that do worse than most of their service.
    typical_s
        Typical time to the first part of an answer of the service; 0 if unknown.
    connected
        Instances to which a connection of this node rests unused; only looked at for plain
        back ends.
    """
    fresh = [load for load in candidates if load.record.instance_id not in tried]
    if not fresh:
        return None
    long_s = max(SHORTEST_LONG_QUEUE_S, LONG_QUEUE_FACTOR * typical_s)
    short_s = max(SHORTEST_QUEUE_S, QUEUE_FACTOR * typical_s)
    records = [load.record for load in candidates]
    holders = _engines_for_new_program(key, records)
    weights = ZoneWeights.of(records, key.node.zone)

    def rank(load: BackendLoad) -> PlacementRank:
        instance_id = load.record.instance_id
        return PlacementRank(
            is_not_assigned=instance_id != key.assigned,
            is_outlier=instance_id in outliers,
            is_avoided=load.avoid_until > now,
            long_queue=congestion_level(load.health, long_s, now),
            is_elsewhere=instance_id != key.used_last,
            short_queue=congestion_level(load.health, short_s, now),
            is_without_part=bool(holders) and instance_id not in holders,
            fullness=load.in_flight if holders else _fullness(load, key),
            needs_connection=key.is_plain and instance_id not in connected,
            negative_score=-weights.score(key.affinity or key.node.name, load.record),
        )

    ranks = [rank(load) for load in fresh]
    best = min(range(len(fresh)), key=ranks.__getitem__)
    return PlacementChoice(fresh[best], ranks[best], len(fresh), typical_s)


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
