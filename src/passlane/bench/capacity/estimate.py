"""One worked-out figure: how much of something a role needs at a stated size."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from passlane.bench.capacity.slopes import MeasuredLine


class Term(msgspec.Struct, frozen=True):
    """One summand of an estimate: a measured line taken at ``x``, times ``factor``.

    ``label`` says in words where the factor comes from; empty when it is 1.
    """

    measured: MeasuredLine
    x: float
    factor: float = 1.0
    label: str = ""

    @property
    def value(self) -> float:
        """The summand, in the estimate's unit."""
        return self.measured.line.at(self.x) * self.factor

    def to_text(self) -> str:
        """Return the summand as a formula with its source."""
        line = self.measured.line
        times = f" * {self.label}" if self.label else ""
        return (
            f"({line.intercept:.3g} + {line.slope:.3g} * {self.x:,.4g} {line.x_unit}){times} "
            f"[{self.measured.experiment}: {line.name}]"
        )


@dataclass(frozen=True, slots=True)
class Constant:
    """One summand that is known without a line, such as a measured size of a message."""

    value: float
    label: str

    def to_text(self) -> str:
        """Return what the summand is."""
        return f"{self.value:,.4g} ({self.label})"


class Estimate(msgspec.Struct, frozen=True):
    """A figure at the size that is designed for.

    Attributes
    ----------
    role, quantity
        What needs how much of what.
    value, unit
        The figure; a ``bound``, where there is one, is in the same unit.
    working
        How it was worked out.
    mechanism
        What carries it, and where that is written down.
    """

    role: str
    quantity: str
    value: float
    unit: str
    working: str
    mechanism: str
    bound: float | None = None

    @property
    def fits(self) -> bool | None:
        """Whether the bound is kept; ``None`` without one."""
        return None if self.bound is None else self.value <= self.bound


def estimate_sum(
    role: str,
    quantity: str,
    unit: str,
    terms: Iterable[Term | Constant],
    mechanism: str,
    bound: float | None = None,
) -> Estimate:
    """Return the sum of terms as an estimate."""
    summands = tuple(terms)
    return Estimate(
        role=role,
        quantity=quantity,
        value=sum(term.value for term in summands),
        unit=unit,
        working="; plus ".join(term.to_text() for term in summands),
        mechanism=mechanism,
        bound=bound,
    )
