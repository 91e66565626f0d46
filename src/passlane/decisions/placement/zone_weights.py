"""How strongly a node prefers back ends of its own zone, without overloading them."""

import math
from collections.abc import Iterable

import msgspec

from passlane.decisions.placement.rendezvous import rendezvous_digest
from passlane.messages.listing import BackendRecord

SMALLEST_WEIGHT = 1e-6
"""Back ends that no share falls to are still used when there is no other."""
_HASH_RANGE = float(1 << 64)


class ZoneWeights(msgspec.Struct, frozen=True):
    """Weights of back ends in the own zone and in others.

    Each zone sends about the same; a zone's own back ends take what their part of all
    back ends can carry of that, and the rest is spread over the other zones.
    """

    own_zone: str
    own: float
    other: float

    @classmethod
    def of(cls, records: Iterable[BackendRecord], own_zone: str) -> "ZoneWeights":
        """Return the weights for the back ends of one service."""
        zones = [record.zone for record in records]
        near = zones.count(own_zone)
        far = len(zones) - near
        zone_count = len({*zones, own_zone})
        near_share = min(1.0, near * zone_count / len(zones)) if zones else 0.0
        return cls(
            own_zone=own_zone,
            own=near_share / near if near else 0.0,
            other=(1.0 - near_share) / far if far else 0.0,
        )

    def score(self, key: str, record: BackendRecord) -> float:
        """Return the weighted rendezvous score of a back end; the highest one is preferred.

        For a key that is drawn at random, the chance to score highest is in proportion to
        the weight.
        """
        weight = self.own if record.zone == self.own_zone else self.other
        uniform = (rendezvous_digest(key, record) + 0.5) / _HASH_RANGE
        return -max(weight, SMALLEST_WEIGHT) / math.log(uniform)
