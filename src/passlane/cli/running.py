"""Base class of the commands that run something long which prints as it goes."""

import contextlib
import io
import sys
from collections.abc import Callable, Mapping
from typing import TextIO

import msgspec

from passlane.cli.command import OutputCommand
from passlane.cli.exit_codes import ExitCode

_EXIT_CODES = {0: ExitCode.OK, 2: ExitCode.USAGE}


class RunReport(msgspec.Struct, frozen=True):
    """JSON output of a run.

    Attributes
    ----------
    passed
        Whether the run ended with exit code 0.
    lines
        What it printed; also shown on the error stream while it goes on.
    results
        JSON files that it wrote, by their names.
    """

    passed: bool
    lines: tuple[str, ...]
    results: Mapping[str, msgspec.Raw] = {}


class LineCollector(io.TextIOBase):
    """Keeps the text that is printed and passes it on.

    Parameters
    ----------
    destination
        Shows the text meanwhile.
    """

    def __init__(self, destination: TextIO) -> None:
        super().__init__()
        self._destination = destination
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        """Take in a piece of text."""
        self._parts.append(text)
        return self._destination.write(text)

    def flush(self) -> None:
        """Show what was printed so far."""
        self._destination.flush()

    def lines(self) -> tuple[str, ...]:
        """Return all lines so far."""
        return tuple("".join(self._parts).splitlines())


class RunningCommand(OutputCommand):
    """Prints what the run prints, or with ``--output json`` one report at its end."""

    def run_and_report(
        self,
        action: Callable[[], int],
        read_results: Callable[[], Mapping[str, msgspec.Raw]] = dict,
    ) -> ExitCode:
        """Run ``action`` and return the exit code that its own code stands for.

        Parameters
        ----------
        action
            Prints text and returns 0, 1 for a failure or 2 for an unknown name.
        read_results
            Returns the JSON files that the action wrote; asked once it has ended.
        """
        if not self.wants_json:
            return exit_code_of_run(action())
        collector = LineCollector(sys.stderr)
        with contextlib.redirect_stdout(collector):
            code = action()
        self.show_json(RunReport(code == 0, collector.lines(), read_results()))
        return exit_code_of_run(code)


def exit_code_of_run(code: int) -> ExitCode:
    """Return the exit code of the command line for that of a run."""
    return _EXIT_CODES.get(code, ExitCode.FAILED)
