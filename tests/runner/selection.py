"""Which modules a run takes, in which parts, and which of them must run alone."""

import ast
import math
from fnmatch import fnmatch
from pathlib import Path

import msgspec

ALL_MODULES = "test_*.py"
ALONE_MARKER = "RUNS_ALONE"
"""Name of a module's constant that tells why no other marked module may run beside it."""
PART_BYTES = 12_000
"""Source of a module for each of its parts; a larger module is run in several processes."""


class Unit(msgspec.Struct, frozen=True):
    """What one process runs: the test classes of a module, or each ``parts``-th of them."""

    module: str
    source_bytes: int
    runs_alone: bool = False
    part: int = 0
    parts: int = 1

    @property
    def name(self) -> str:
        """The module, and the part of it if there are several."""
        if self.parts == 1:
            return self.module
        return f"{self.module} (part {self.part + 1} of {self.parts})"


def select_units(tests: Path, selected: str) -> list[Unit]:
    """Return the units of a folder below ``tests`` or of the files that fit a pattern.

    The largest come first, so that none of them is begun when the rest is done.
    """
    if (tests / selected).is_dir():
        files = [
            path for path in (tests / selected).rglob("*.py") if fnmatch(path.name, ALL_MODULES)
        ]
    else:
        files = [path for path in tests.rglob("*.py") if fnmatch(path.name, selected)]
    units = [unit for path in sorted(files) for unit in units_of(tests, path)]
    return sorted(units, key=lambda unit: unit.source_bytes, reverse=True)


def units_of(tests: Path, path: Path) -> list[Unit]:
    """Return the units of one module; one that runs alone stays whole."""
    source = path.read_text()
    module = ".".join(path.relative_to(tests).with_suffix("").parts)
    if is_marked(source):
        return [Unit(module, len(source), runs_alone=True)]
    parts = math.ceil(len(source) / PART_BYTES)
    return [Unit(module, len(source), part=part, parts=parts) for part in range(parts)]


def is_marked(source: str) -> bool:
    """Tell whether a module assigns the marker; its code is not run for that."""
    return any(
        isinstance(target, ast.Name) and target.id == ALONE_MARKER
        for statement in ast.parse(source).body
        if isinstance(statement, ast.Assign)
        for target in statement.targets
    )
