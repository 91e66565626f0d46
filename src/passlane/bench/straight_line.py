"""Least-squares lines through measured points."""

from collections.abc import Callable, Iterable, Sequence

import msgspec


class Point(msgspec.Struct, frozen=True):
    """One measured point."""

    x: float
    y: float


class Line(msgspec.Struct, frozen=True):
    """``y = intercept + slope * x`` through ``points``, in the units named.

    ``largest_residual`` is the largest distance of a point from the line, in ``y_unit``.
    """

    name: str
    x_unit: str
    y_unit: str
    intercept: float
    slope: float
    largest_residual: float
    points: tuple[Point, ...]

    def at(self, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept + self.slope * x

    def to_text(self) -> str:
        """Return one line for the terminal."""
        return (
            f"{self.name}: {self.intercept:.4g} + {self.slope:.4g} * x {self.y_unit}, "
            f"x in {self.x_unit} (largest residual {self.largest_residual:.2g})"
        )


def fit_line(name: str, x_unit: str, y_unit: str, points: Sequence[Point]) -> Line:
    """Return the least-squares line through at least two points of different ``x``."""
    count = len(points)
    mean_x = sum(point.x for point in points) / count
    mean_y = sum(point.y for point in points) / count
    variance = sum((point.x - mean_x) ** 2 for point in points)
    covariance = sum((point.x - mean_x) * (point.y - mean_y) for point in points)
    slope = covariance / variance
    intercept = mean_y - slope * mean_x
    residuals = [abs(point.y - intercept - slope * point.x) for point in points]
    return Line(name, x_unit, y_unit, intercept, slope, max(residuals), tuple(points))


def measure_line(
    name: str, x_unit: str, y_unit: str, sizes: Iterable[int], measure: Callable[[int], float]
) -> Line:
    """Measure at each size, in order, and return the line through the results."""
    points = [Point(size, measure(size)) for size in sizes]
    return fit_line(name, x_unit, y_unit, points)
