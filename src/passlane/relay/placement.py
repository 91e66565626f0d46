"""Chooses the back end for a request: memory of its program first, then load."""

import math
from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from passlane.relay.health import congestion_level, find_outliers, typical_latency_s
from passlane.relay.registry import BackendLoad

FULL_SHARE = 0.5
"""A node gives an engine at most this share of its slots before it turns to the next."""
QUEUE_FACTOR = 2.0
SHORTEST_QUEUE_S = 0.1
"""A request that waits longer than this, and this multiple of the usual, shows a queue."""
LONG_QUEUE_FACTOR = 4.0
SHORTEST_LONG_QUEUE_S = 0.25
"""A queue that is worth reading a program's history again at another engine."""
AVOID_S = 0.5
LONGEST_AVOID_S = 5.0


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """What decides where a request goes; ``affinity`` is empty for plain services.

    ``used_last`` is the engine that the request's program used last at this node.
    """

    affinity: str
    own_zone: str
    used_last: str | None = None


def choose_backend(
    candidates: Collection[BackendLoad],
    key: PlacementKey,
    tried: Collection[str],
    now: float,
) -> BackendLoad | None:
    """Return the back end for the next attempt; ``None`` if each was tried.

    A program stays with the engine that it used last, because that engine holds what the
    program has read already; to read it again elsewhere takes longer than a short queue.
    A program that is new to this node goes by rendezvous hashing, as at every other node,
    unless requests queue there. An engine that is full for this node, that failed lately
    or that does worse than most comes after all others.
    """
    fresh = [load for load in candidates if load.record.instance_id not in tried]
    if not fresh:
        return None
    everyone = list(candidates)
    health = [load.health for load in everyone]
    outliers = {everyone[index].record.instance_id for index in find_outliers(health, now)}
    typical_s = typical_latency_s(health, now)
    long_s = max(SHORTEST_LONG_QUEUE_S, LONG_QUEUE_FACTOR * typical_s)
    short_s = max(SHORTEST_QUEUE_S, QUEUE_FACTOR * typical_s)

    def rank(load: BackendLoad) -> tuple[bool, bool, int, bool, int, tuple[float, float]]:
        instance_id = load.record.instance_id
        order = _affinity_rank(load, key) if key.affinity else _plain_rank(load, key)
        return (
            instance_id in outliers,
            _is_avoided(load, now),
            congestion_level(load.health, long_s, now),
            instance_id != key.used_last,
            congestion_level(load.health, short_s, now),
            order,
        )

    return min(fresh, key=rank)


def note_failure(load: BackendLoad, now: float) -> None:
    """Avoid a back end for a while, longer with each failure in a row."""
    load.failures += 1
    pause_s = min(LONGEST_AVOID_S, AVOID_S * 2 ** (load.failures - 1))
    load.avoid_until = now + pause_s


def note_success(load: BackendLoad) -> None:
    """Use a back end as before its failures."""
    load.failures = 0
    load.avoid_until = 0.0


def _is_avoided(load: BackendLoad, now: float) -> bool:
    return load.avoid_until > now


def _affinity_rank(load: BackendLoad, key: PlacementKey) -> tuple[float, float]:
    """Rank by how often the engine is full over for this node, then by hash."""
    room = max(1, math.ceil(load.record.slots * FULL_SHARE))
    weight = xxhash.xxh3_64_intdigest(f"{key.affinity}/{load.record.instance_id}".encode())
    return (load.in_flight // room, -float(weight))


def _plain_rank(load: BackendLoad, key: PlacementKey) -> tuple[float, float]:
    """Rank by how full the back end is with this node's requests, then by zone."""
    fullness = load.in_flight / max(1, load.record.slots)
    return (fullness, 0.0 if load.record.zone == key.own_zone else 1.0)
