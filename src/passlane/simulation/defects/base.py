"""What a defect is."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from passlane.simulation.cluster import ClusterOptions
from passlane.simulation.replacement import Replacement


@dataclass(frozen=True)
class Defect:
    """A deliberate fault.

    Attributes
    ----------
    promise
        Name of the invariant that it breaks.
    scenario, seed
        A run that shows it; the first of the scenario's seeds that does.
    apply
        Returns the options of a fleet with the fault in it.
    """

    name: str
    promise: str
    scenario: str
    seed: int
    description: str
    apply: Callable[[ClusterOptions], ClusterOptions]


def replacing(*replacements: Replacement) -> Callable[[ClusterOptions], ClusterOptions]:
    """Return an ``apply`` that puts replacements in the product's place."""

    def apply(options: ClusterOptions) -> ClusterOptions:
        return replace(options, replacements=(*options.replacements, *replacements))

    return apply
