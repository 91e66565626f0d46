"""Which engines a node watches: a bounded subset, by rendezvous hashing.

Watching all engines would cost a node more than its allowance for control at the size
that is designed for. Each (node, model, engine) has a hash; the highest win. A change of
one engine so changes the subsets only where that engine was or will be among them.
"""

from collections.abc import Mapping

import xxhash

from passlane.configuration.documents import EngineBody
from passlane.identifiers import EngineId

OWN_ZONE_SHARE = 0.5


def watched_engines(
    node_key: str, own_zone: str, engines: Mapping[EngineId, EngineBody], per_model: int
) -> frozenset[EngineId]:
    """Return the engines that a node watches.

    Parameters
    ----------
    node_key
        Distinguishes this node from others, such as its name.
    per_model
        Most engines watched for each model. Up to half of them are taken from the
        node's own zone first, the rest from all zones, so that the loss of a zone
        leaves some.
    """
    models = {model for body in engines.values() for model in body.models}
    watched: set[EngineId] = set()
    for model in models:
        watched |= _watched_for_model(node_key, own_zone, engines, model, per_model)
    return frozenset(watched)


def _watched_for_model(
    node_key: str,
    own_zone: str,
    engines: Mapping[EngineId, EngineBody],
    model: str,
    per_model: int,
) -> set[EngineId]:
    serving = [engine_id for engine_id, body in engines.items() if model in body.models]
    if len(serving) <= per_model:
        return set(serving)
    serving.sort(key=lambda engine_id: _score(node_key, model, engine_id), reverse=True)
    nearby = [engine_id for engine_id in serving if engines[engine_id].zone == own_zone]
    chosen = set(nearby[: int(per_model * OWN_ZONE_SHARE)])
    for engine_id in serving:
        if len(chosen) >= per_model:
            break
        chosen.add(engine_id)
    return chosen


def _score(node_key: str, model: str, engine_id: EngineId) -> int:
    return xxhash.xxh64_intdigest(f"{node_key}/{model}/{engine_id}".encode())
