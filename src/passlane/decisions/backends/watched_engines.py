"""Selects the engines that a node watches: a bounded subset, by rendezvous hashing.

The bound limits the control overhead of a node in a large fleet. For each model, a node watches
the engines with the maximum hash of (node, model, engine), so that adding or removing an engine
only changes the subsets that contain it.
"""

from collections import defaultdict
from collections.abc import Mapping

import xxhash

from passlane.configuration.documents import EngineBody
from passlane.identifiers import EngineId

OWN_ZONE_SHARE = 0.5
"""Share of a model's watched engines that are taken from the node's own zone first."""


def watched_engines(
    node_key: str,
    own_zone: str,
    engines: Mapping[EngineId, EngineBody],
    per_model: int,
    leaving: frozenset[EngineId] = frozenset(),
) -> frozenset[EngineId]:
    """Return the engines that a node watches for placing calls.

    Parameters
    ----------
    node_key
        Unique key of this node, such as its name.
    per_model
        Maximum number of engines for each model. Up to half of them are taken from the
        node's own zone first, the rest from all zones, so that some remain if a zone fails.
    leaving
        Engines that get no new calls; others replace them in the subset.
    """
    serving: dict[str, list[EngineId]] = defaultdict(list)
    for engine_id, body in engines.items():
        if engine_id not in leaving:
            for model in body.models:
                serving[model].append(engine_id)
    watched: set[EngineId] = set()
    for model, candidates in serving.items():
        if len(candidates) > per_model:
            candidates.sort(key=lambda one: _score(node_key, model, one), reverse=True)
            candidates = _own_zone_first(own_zone, engines, candidates, per_model)
        watched.update(candidates)
    return frozenset(watched)


def _own_zone_first(
    own_zone: str,
    engines: Mapping[EngineId, EngineBody],
    ranked: list[EngineId],
    per_model: int,
) -> list[EngineId]:
    """Return the top engines of the own zone up to their share, then those of all zones."""
    nearby = [engine_id for engine_id in ranked if engines[engine_id].zone == own_zone]
    chosen = nearby[: int(per_model * OWN_ZONE_SHARE)]
    others = [engine_id for engine_id in ranked if engine_id not in chosen]
    return chosen + others[: per_model - len(chosen)]


def _score(node_key: str, model: str, engine_id: EngineId) -> int:
    return xxhash.xxh64_intdigest(f"{node_key}/{model}/{engine_id}".encode())
