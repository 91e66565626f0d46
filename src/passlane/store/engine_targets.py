"""Computes the orders that make an engine serve its configured models.

The fencing token of an order is the revision of the accepted document behind it. The
engine therefore refuses orders of a replaced store leader that acts on an older revision.
Two leaders that act on the same revision send the same orders, which are idempotent. The
module keeps no state.
"""

from dataclasses import dataclass

from passlane.configuration.documents import EngineBody
from passlane.identifiers import EngineId, Revision
from passlane.messages.backends import EngineLoad, EngineOrder, OrderKind

MODELS_SCOPE = "models"
"""Scope in which an engine compares the fencing tokens of these orders."""

UNLOAD_AFTER_S = 90.0
"""Delay before a busy engine unloads a model that is no longer configured; above the
maximum duration of a call, so that no call in flight loses its model."""


@dataclass(frozen=True, slots=True)
class EngineTarget:
    """The desired state of an engine, from the accepted document of ``revision``."""

    engine_id: EngineId
    body: EngineBody
    revision: Revision


def orders_for(
    target: EngineTarget, load: EngineLoad, target_age_s: float
) -> tuple[EngineOrder, ...]:
    """Return the orders after which an engine serves exactly the models of its target.

    Parameters
    ----------
    load
        Load report of the engine. It may be stale, because orders are idempotent.
    target_age_s
        Seconds since this leader first used the target.
    """
    configured, loaded = set(target.body.models), set(load.models)
    orders = [_order(OrderKind.LOAD_MODEL, target, model) for model in sorted(configured - loaded)]
    is_idle = load.running + load.waiting == 0
    if is_idle or target_age_s >= UNLOAD_AFTER_S:
        extra = sorted(loaded - configured)
        orders += [_order(OrderKind.UNLOAD_MODEL, target, model) for model in extra]
    return tuple(orders)


def _order(kind: OrderKind, target: EngineTarget, model: str) -> EngineOrder:
    return EngineOrder(
        kind=kind, scope=MODELS_SCOPE, fencing_token=int(target.revision), argument=model
    )
