"""The few back ends of a plain service that a node uses first.

Load that this answers: 61 nodes before 5 back ends. Connections rest unused for a few seconds
only; a node that spreads ten calls a second over all back ends needs several connections at
each. A subset keeps them few and busy.

The subset is the top of a weighted rendezvous order of the node's own: each back end is in
about the same number of nodes' subsets, the own zone goes first as far as its back ends can
carry it, and when a back end leaves only the nodes that preferred it change, each to another
next one. A node does not know its rank among the nodes, so an exact spread can't be had
without messages.
"""

from collections.abc import Sequence

from passlane.decisions.placement.request_placement import NodePlace
from passlane.decisions.placement.zone_weights import ZoneWeights
from passlane.messages.listing import BackendRecord

SUBSET_SIZE = 16
"""Two back ends: a call that one of them refuses has one more that is likely connected."""


def subset_order(records: Sequence[BackendRecord], node: NodePlace) -> tuple[str, ...]:
    """Return the instances of a service in the order in which a node prefers them."""
    weights = ZoneWeights.of(records, node.zone)
    ordered = sorted(records, key=lambda record: weights.score(node.name, record), reverse=True)
    return tuple(record.incarnation for record in ordered)
