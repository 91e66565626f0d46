"""Which models an engine should serve, and the orders that bring it there.

An order's fencing token is the revision of the accepted document that it carries out. So
a store leader that has been replaced, and still acts on an older revision, is refused by
the engine; two leaders that act on the same revision give the same orders, which does no
harm. No state of its own is needed.
"""

from dataclasses import dataclass

from passlane.configuration.documents import EngineBody
from passlane.identifiers import EngineId, Revision
from passlane.messages.backends import EngineLoad, EngineOrder, OrderKind

MODELS_SCOPE = "models"
"""Scope in which an engine compares the tokens of these orders."""

UNLOAD_AFTER_S = 90.0
"""A model that is not wanted any more stays this long while the engine is busy: longer
than a call may take, so that no call in flight loses it."""


@dataclass(frozen=True, slots=True)
class EngineTarget:
    """An engine as the accepted document of ``revision`` wants it."""

    engine_id: EngineId
    body: EngineBody
    revision: Revision


def orders_for(
    target: EngineTarget, load: EngineLoad, wanted_for_s: float
) -> tuple[EngineOrder, ...]:
    """Return the orders that an engine needs to serve exactly the models of its target.

    Parameters
    ----------
    load
        What the engine says it serves; its lag does no harm, since orders may be repeated.
    wanted_for_s
        Seconds since the target came into force, as far as this leader knows.
    """
    wanted, loaded = set(target.body.models), set(load.models)
    orders = [_order(OrderKind.LOAD_MODEL, target, model) for model in sorted(wanted - loaded)]
    is_idle = load.running + load.waiting == 0
    if is_idle or wanted_for_s >= UNLOAD_AFTER_S:
        extra = sorted(loaded - wanted)
        orders += [_order(OrderKind.UNLOAD_MODEL, target, model) for model in extra]
    return tuple(orders)


def _order(kind: OrderKind, target: EngineTarget, model: str) -> EngineOrder:
    return EngineOrder(
        kind=kind, scope=MODELS_SCOPE, fencing_token=int(target.revision), argument=model
    )
