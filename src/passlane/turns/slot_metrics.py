"""Metrics of the turn scheduler on the replica that leads the store group.

They are for operators and are computed from ``TurnScheduler.stats``; no state is owned. The
metric ``turn_places`` and its state ``told_to_return`` keep the names that operators' charts use:
a place is a slot of an engine, and ``told_to_return`` counts refused programs that are to retry.
"""

from collections.abc import Callable

from passlane.decisions.scheduling.turn_scheduler import SchedulerStats, TurnScheduler
from passlane.observability.metrics import Metrics

_STATES: dict[str, Callable[[SchedulerStats], int]] = {
    "free": lambda stats: max(0, stats.slots - stats.running),
    "running": lambda stats: stats.running,
    "waiting_under_way": lambda stats: stats.waiting_under_way,
    "waiting_new": lambda stats: stats.waiting_new,
    "told_to_return": lambda stats: stats.told_to_return,
}


def register_slot_metrics(metrics: Metrics, scheduler: TurnScheduler) -> None:
    """Register the gauge of slots and turns, summed over services, with one series per state."""
    gauge = metrics.gauge(
        "turn_places", "Places of engines, and turns that run, wait or are to return", ("state",)
    )
    for state, figure in _STATES.items():
        gauge.labels(state).set_function(_sum_over_services(scheduler, figure))


def _sum_over_services(
    scheduler: TurnScheduler, figure: Callable[[SchedulerStats], int]
) -> Callable[[], float]:
    """Return a function that computes the sum of a figure over the services."""

    def total() -> float:
        return float(sum(figure(scheduler.stats(name)) for name in scheduler.service_names))

    return total
