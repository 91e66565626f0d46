"""Deliberate faults, one or more for each promise; they live outside the product."""

from collections.abc import Callable
from dataclasses import dataclass

from passlane.simulation.cluster import ClusterOptions


@dataclass(frozen=True)
class Defect:
    """A deliberate fault.

    Attributes
    ----------
    promise
        Name of the invariant that it breaks.
    scenario, seed
        Where that shows.
    apply
        Returns the options of a fleet with the fault in it.
    """

    name: str
    promise: str
    scenario: str
    seed: int
    description: str
    apply: Callable[[ClusterOptions], ClusterOptions]


DEFECTS: dict[str, Defect] = {}
