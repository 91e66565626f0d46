"""Metrics of the scheduler of turns on the replica that leads the store group.

They are for operators and rest on ``TurnScheduler.figures``; no state is owned. The metric keeps
the name ``turn_places`` and the state ``told_to_return``, which operators' charts know: a place is
a slot of an engine, and those told to return were refused and are to retry.
"""

from collections.abc import Callable

from passlane.decisions.scheduling.turn_scheduler import SchedulerFigures, TurnScheduler
from passlane.observability.metrics import Metrics

_STATES: dict[str, Callable[[SchedulerFigures], int]] = {
    "free": lambda figures: max(0, figures.slots - figures.running),
    "running": lambda figures: figures.running,
    "waiting_under_way": lambda figures: figures.waiting_under_way,
    "waiting_new": lambda figures: figures.waiting_new,
    "told_to_return": lambda figures: figures.told_to_return,
}


def expose_slots(metrics: Metrics, scheduler: TurnScheduler) -> None:
    """Show slots and turns of all services together, one series for each state."""
    gauge = metrics.gauge(
        "turn_places", "Places of engines, and turns that run, wait or are to return", ("state",)
    )
    for state, figure in _STATES.items():
        gauge.labels(state).set_function(_sum_of(scheduler, figure))


def _sum_of(
    scheduler: TurnScheduler, figure: Callable[[SchedulerFigures], int]
) -> Callable[[], float]:
    """Return what gives a figure summed over the services."""

    def total() -> float:
        return float(sum(figure(scheduler.figures(name)) for name in scheduler.service_names))

    return total
