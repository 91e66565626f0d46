"""The promises, each judged by what was seen from outside.

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
from passlane.simulation.ended_engine_checks import calls_end_few_engines
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
    """The name of a promise and the check of it."""

    name: str
    check: Check


INVARIANTS: tuple[Invariant, ...] = (
    Invariant("order", calls_run_in_order),
    Invariant("history", history_is_kept_and_unmixed),
    Invariant("budget", budgets_are_kept),
    Invariant("memory", no_memory_is_held_after_the_end),
    Invariant("answers", answers_are_whole_and_own),
    Invariant("ended-engines", calls_end_few_engines),
    Invariant("not-run", refused_as_not_run_did_not_run),
    Invariant("at-most-once", charges_run_at_most_once),
    Invariant("leaving", leaving_back_ends_get_no_new_work),
    Invariant("planned-stop", planned_stops_cut_nothing_off),
    Invariant("configuration", accepted_configuration_stays),
)
"""One invariant for each promise of the product, in the order of ``docs/PROMISES.md``."""
