"""Which engines a node watches: a bounded subset, by rendezvous hashing.

Watching all engines would cost a node more than its allowance for control at the size
that is designed for. Each (node, model, engine) has a hash; the highest win. A change of
one engine so changes the subsets only where that engine was or will be among them.
"""

from collections import defaultdict
from collections.abc import Mapping

import xxhash

from passlane.configuration.documents import EngineBody
from passlane.identifiers import EngineId

OWN_ZONE_SHARE = 0.5


def watched_engines(
    node_key: str,
    own_zone: str,
    engines: Mapping[EngineId, EngineBody],
    per_model: int,
    leaving: frozenset[EngineId] = frozenset(),
) -> frozenset[EngineId]:
    """Return the engines that a node watches in order to place calls on them.

    Parameters
    ----------
    node_key
        Distinguishes this node from others, such as its name.
    per_model
        Most engines watched for each model. Up to half of them are taken from the
        node's own zone first, the rest from all zones, so that the loss of a zone
        leaves some.
    leaving
        Engines that get no new work; others take their places.
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
            candidates = _nearby_first(own_zone, engines, candidates, per_model)
        watched.update(candidates)
    return frozenset(watched)


def _nearby_first(
    own_zone: str,
    engines: Mapping[EngineId, EngineBody],
    ranked: list[EngineId],
    per_model: int,
) -> list[EngineId]:
    """Return the best of the own zone up to their share, then the best of all zones."""
    nearby = [engine_id for engine_id in ranked if engines[engine_id].zone == own_zone]
    chosen = nearby[: int(per_model * OWN_ZONE_SHARE)]
    others = [engine_id for engine_id in ranked if engine_id not in chosen]
    return chosen + others[: per_model - len(chosen)]


def _score(node_key: str, model: str, engine_id: EngineId) -> int:
    return xxhash.xxh64_intdigest(f"{node_key}/{model}/{engine_id}".encode())
