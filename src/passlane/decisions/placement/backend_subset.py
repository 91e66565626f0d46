"""Subsetting: selects the few back ends of a plain service that a node prefers.

Connections stay idle for a few seconds only, so a node that spreads its calls over all back ends
has to open many. A subset keeps them few and in use.

The subset is the top of each node's own weighted rendezvous order. Each back end is in about the
same number of subsets, the own zone is preferred up to its capacity, and the removal of a back end
only affects the nodes that preferred it.
"""

from collections.abc import Sequence

from passlane.decisions.placement.request_placement import NodeLocation
from passlane.decisions.placement.zone_weights import ZoneWeights
from passlane.messages.listing import BackendRecord

SUBSET_SIZE = 16
"""Maximum number of back ends in the preferred subset of a node."""


def subset_order(records: Sequence[BackendRecord], node: NodeLocation) -> tuple[str, ...]:
    """Return the incarnations of a service's back ends in a node's order of preference."""
    weights = ZoneWeights.of(records, node.zone)
    ordered = sorted(records, key=lambda record: weights.score(node.name, record), reverse=True)
    return tuple(record.incarnation for record in ordered)
