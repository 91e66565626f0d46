"""Weights by which a node prefers back ends of its own zone without overloading them."""

import math
from collections.abc import Iterable

import msgspec

from passlane.decisions.placement.rendezvous import rendezvous_digest
from passlane.messages.listing import BackendRecord

MIN_WEIGHT = 1e-6
"""Minimum weight, so that back ends without a share are used if there is no other."""
_HASH_RANGE = float(1 << 64)


class ZoneWeights(msgspec.Struct, frozen=True):
    """Weights of a back end in the own zone and in another zone.

    Assumes that all zones send the same load. The back ends of the own zone get as much of its
    load as their share of all back ends can serve; the rest is spread over the other zones.
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
        """Return the weighted rendezvous score of a back end; the maximum is preferred.

        For a random key, the probability of the maximum score is proportional to the weight.
        """
        weight = self.own if record.zone == self.own_zone else self.other
        uniform = (rendezvous_digest(key, record) + 0.5) / _HASH_RANGE
        return -max(weight, MIN_WEIGHT) / math.log(uniform)
