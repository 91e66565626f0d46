"""Stores one digest for each step of a run, and compares later runs with them."""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from recorded_decisions.names import MARKERS
from recorded_decisions.values import digest_of, values_of

FOLDER = Path(__file__).resolve().parent
DIGESTS_IN_LINE = 10


class Step(NamedTuple):
    """One event that a machine handled, and its output.

    ``kind`` names the kind of event; ``event`` is printed if the step differs.
    """

    kind: str
    now: float
    event: Any
    given: Any


class Reached(NamedTuple):
    """How often a run reached each kind of event and each marker of the output."""

    events: Counter[str]
    markers: Counter[str]


class DifferentStepError(AssertionError):
    """Reports the first step that differs from the recorded run."""


def record(name: str, steps: Iterable[Step]) -> None:
    """Write the digests of a run to its file."""
    digests = [digest_of(step.given) for step in steps]
    lines = [
        " ".join(digests[begin : begin + DIGESTS_IN_LINE])
        for begin in range(0, len(digests), DIGESTS_IN_LINE)
    ]
    _path_of(name).write_text("\n".join(lines) + "\n")


def compare(name: str, steps: Iterable[Step]) -> Reached:
    """Compare a run with its recorded digests; return what it reached.

    Raises
    ------
    DifferentStepError
        At the first step that differs.
    """
    recorded = _path_of(name).read_text().split()
    reached = Reached(Counter(), Counter())
    for number, (expected, step) in enumerate(itertools.zip_longest(recorded, steps)):
        if step is None or expected != digest_of(step.given):
            raise DifferentStepError(_difference(name, number, step))
        reached.events[step.kind] += 1
        reached.markers.update(_markers_in(values_of(step.given)))
    return reached


def _difference(name: str, number: int, step: Step | None) -> str:
    if step is None:
        return f"{name}: the run ends before step {number}, which is recorded"
    return (
        f"{name}: step {number} differs ({step.kind} at {step.now!r})\n"
        f"event: {step.event!r}\ngiven: {step.given!r}"
    )


def _markers_in(values: Any) -> Iterator[str]:
    if not isinstance(values, list):
        return
    if values and values[0] in MARKERS.values():
        yield values[0]
    for value in values:
        yield from _markers_in(value)


def _path_of(name: str) -> Path:
    return FOLDER / f"{name}.digests"
