"""Sums of the calls in flight at drained targets."""

from collections import Counter
from collections.abc import Iterable

from passlane.messages.control import TargetInFlight


def sum_in_flight(entries: Iterable[TargetInFlight]) -> tuple[TargetInFlight, ...]:
    """Return one entry with the sum of calls for each target, sorted by kind and name."""
    calls: Counter[tuple[str, str]] = Counter()
    for entry in entries:
        calls[entry.target_kind, entry.target] += entry.calls
    return tuple(TargetInFlight(kind, name, calls[kind, name]) for kind, name in sorted(calls))
