"""Finds the lines that other experiments have fitted, in their JSON reports."""

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from passlane.bench.straight_line import Line


class MissingSlopeError(Exception):
    """The reports do not hold just one line of the name that an estimate needs."""


@dataclass(frozen=True, slots=True)
class MeasuredLine:
    """A line and the experiment that fitted it."""

    experiment: str
    line: Line


class Slopes:
    """The lines of all reports, in a stable order."""

    def __init__(self, lines: Sequence[MeasuredLine]) -> None:
        self.lines = tuple(lines)

    def find(self, experiment: str, name: str, x_unit: str | None = None) -> MeasuredLine:
        """Return a line by its experiment and name, and what it runs over if that is needed.

        Raises
        ------
        MissingSlopeError
            When there is no such line, or more than one.
        """
        found = [
            measured
            for measured in self.lines
            if measured.experiment == experiment
            and measured.line.name == name
            and x_unit in (None, measured.line.x_unit)
        ]
        if len(found) != 1:
            raise MissingSlopeError(f"{experiment} has {len(found)} lines {name!r}")
        return found[0]

    def find_prefix(self, experiment: str, prefix: str) -> MeasuredLine:
        """Return the line whose name begins so; raise ``MissingSlopeError`` as ``find``."""
        names = {
            measured.line.name
            for measured in self.lines
            if measured.experiment == experiment and measured.line.name.startswith(prefix)
        }
        if len(names) != 1:
            raise MissingSlopeError(f"{experiment} has {len(names)} lines {prefix!r}...")
        return self.find(experiment, names.pop())


def load_slopes(folder: Path) -> Slopes:
    """Return all lines of the reports ``EXPERIMENT.json`` in ``folder``."""
    return Slopes(
        [
            MeasuredLine(path.stem, line)
            for path in sorted(folder.glob("*.json"))
            for line in _lines_within(json.loads(path.read_bytes()))
        ]
    )


def _lines_within(value: Any) -> Iterator[Line]:
    """Yield each object in a JSON value that has the fields of a line."""
    if isinstance(value, dict):
        if set(Line.__struct_fields__) <= value.keys():
            yield msgspec.convert(value, Line)
            return
        value = list(value.values())
    if isinstance(value, list):
        for item in value:
            yield from _lines_within(item)
