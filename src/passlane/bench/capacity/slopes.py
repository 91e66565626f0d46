"""Finds the lines that other experiments have fitted, in their JSON reports."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from passlane.bench.straight_line import Line


class MissingSlopeError(Exception):
    """A report holds no line of the name that an estimate needs."""


class Slopes:
    """Lines by the name of their report and their own name."""

    def __init__(self, lines: dict[tuple[str, str], Line]) -> None:
        self._lines = lines

    def line(self, experiment: str, name: str) -> Line:
        """Return the line ``name`` of an experiment; raise ``MissingSlopeError``."""
        line = self._lines.get((experiment, name))
        if line is None:
            known = sorted(known for owner, known in self._lines if owner == experiment)
            raise MissingSlopeError(f"{experiment} has no line {name!r}, only {known}")
        return line

    def all_lines(self) -> Iterator[tuple[str, Line]]:
        """Yield each line with the name of its experiment, in a stable order."""
        for experiment, name in sorted(self._lines):
            yield experiment, self._lines[experiment, name]


def load_slopes(folder: Path) -> Slopes:
    """Return all lines of the reports ``EXPERIMENT.json`` in ``folder``."""
    lines: dict[tuple[str, str], Line] = {}
    for path in sorted(folder.glob("*.json")):
        for line in _lines_within(json.loads(path.read_bytes())):
            lines[path.stem, line.name] = line
    return Slopes(lines)


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
