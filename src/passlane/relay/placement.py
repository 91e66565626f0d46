"""Chooses the back end for a request: memory of its program first, then load."""

import math
from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from passlane.relay.health import find_outliers
from passlane.relay.registry import BackendLoad

FULL_SHARE = 0.5
"""A node gives an engine at most this share of its slots before it turns to the next."""
AVOID_S = 0.5
LONGEST_AVOID_S = 5.0


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """What decides where a request goes; ``affinity`` is empty for plain services."""

    affinity: str
    own_zone: str


def choose_backend(
    candidates: Collection[BackendLoad],
    key: PlacementKey,
    tried: Collection[str],
    now: float,
) -> BackendLoad | None:
    """Return the back end for the next attempt; ``None`` if each was tried.

    Requests of one program go to the same engine, by rendezvous hashing, because that
    engine holds what they have read already. An engine that is full for this node, or
    that failed lately, comes after all others; so does one that does worse than most.
    """
    fresh = [load for load in candidates if load.record.instance_id not in tried]
    if not fresh:
        return None
    everyone = list(candidates)
    outliers = {
        everyone[index].record.instance_id
        for index in find_outliers([load.health for load in everyone], now)
    }

    def rank(load: BackendLoad) -> tuple[bool, bool, tuple[float, float]]:
        is_outlier = load.record.instance_id in outliers
        order = _affinity_rank(load, key) if key.affinity else _plain_rank(load, key)
        return (is_outlier, _is_avoided(load, now), order)

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
