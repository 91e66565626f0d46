"""The ten promises, each judged by what was seen from outside.

A check returns one line for each violation; an empty list means that the promise held.
"""

from collections.abc import Callable
from dataclasses import dataclass

from passlane.simulation.answer_checks import (
    answers_are_whole_and_own,
    charges_run_at_most_once,
    refused_as_not_run_did_not_run,
)
from passlane.simulation.configuration_check import accepted_configuration_stays
from passlane.simulation.departure_checks import (
    leaving_back_ends_get_no_new_work,
    planned_stops_cut_nothing_off,
)
from passlane.simulation.observer import Observations
from passlane.simulation.program_checks import (
    budgets_are_kept,
    calls_run_in_order,
    history_is_kept_and_unmixed,
    no_memory_is_held_after_the_end,
)

Check = Callable[[Observations], list[str]]


@dataclass(frozen=True)
class Invariant:
    """A promise and the check of it."""

    name: str
    promise: str
    check: Check


INVARIANTS: tuple[Invariant, ...] = (
    Invariant("order", "The calls of one program run in order.", calls_run_in_order),
    Invariant("history", "A history is never lost and never mixed.", history_is_kept_and_unmixed),
    Invariant("budget", "A program never spends beyond its budget.", budgets_are_kept),
    Invariant(
        "memory",
        "No engine memory stays held for ended programs.",
        no_memory_is_held_after_the_end,
    ),
    Invariant("answers", "Each caller gets its own whole answer.", answers_are_whole_and_own),
    Invariant("not-run", "What is refused as not run did not run.", refused_as_not_run_did_not_run),
    Invariant(
        "at-most-once", "What may not be repeated runs at most once.", charges_run_at_most_once
    ),
    Invariant(
        "leaving",
        "A leaving back end gets no new work after seconds.",
        leaving_back_ends_get_no_new_work,
    ),
    Invariant("planned-stop", "A planned stop cuts off no request.", planned_stops_cut_nothing_off),
    Invariant(
        "configuration",
        "An accepted configuration is in force everywhere and never reverts.",
        accepted_configuration_stays,
    ),
)
"""One invariant for each promise of the product."""
