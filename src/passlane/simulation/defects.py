"""Deliberate faults, one or more for each promise; they live outside the product."""

from collections.abc import Callable
from dataclasses import dataclass

from passlane.simulation.cluster import ClusterOptions


@dataclass(frozen=True)
class Defect:
    """A deliberate fault.

    Attributes
    ----------
    invariant
        The promise that it breaks.
    scenario
        Where that shows.
    within_seeds
        It is caught within this many seeds, counted from 0.
    apply
        Returns the options of a fleet with the fault in it.
    """

    name: str
    invariant: str
    scenario: str
    within_seeds: int
    description: str
    apply: Callable[[ClusterOptions], ClusterOptions]


DEFECTS: dict[str, Defect] = {}
