"""Summaries of latencies for reports."""

from collections.abc import Iterable

import msgspec


class LatencySummary(msgspec.Struct, frozen=True):
    """Quantiles in seconds; all 0 when there were no values."""

    count: int
    mean: float
    p50: float
    p95: float
    p99: float
    highest: float


def summarize(values: Iterable[float]) -> LatencySummary:
    """Return the summary of values in seconds."""
    ordered = sorted(values)
    if not ordered:
        return LatencySummary(0, 0.0, 0.0, 0.0, 0.0, 0.0)
    return LatencySummary(
        count=len(ordered),
        mean=sum(ordered) / len(ordered),
        p50=_quantile(ordered, 0.50),
        p95=_quantile(ordered, 0.95),
        p99=_quantile(ordered, 0.99),
        highest=ordered[-1],
    )


def _quantile(ordered: list[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of all do not exceed."""
    place = max(0, -(-int(share * 1000) * len(ordered) // 1000) - 1)
    return ordered[place]
