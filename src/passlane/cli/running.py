"""Base class of long-running commands that print while they run."""

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
        Lines that the run printed; also written to stderr while it runs.
    results
        JSON files that the run wrote, by file name.
    """

    passed: bool
    lines: tuple[str, ...]
    results: Mapping[str, msgspec.Raw] = {}


class LineCollector(io.TextIOBase):
    """Text stream that keeps what is written and forwards it.

    Parameters
    ----------
    destination
        Stream that receives the text as it is written.
    """

    def __init__(self, destination: TextIO) -> None:
        super().__init__()
        self._destination = destination
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        """Keep and forward ``text``; return the number of characters written."""
        self._parts.append(text)
        return self._destination.write(text)

    def flush(self) -> None:
        """Flush the destination."""
        self._destination.flush()

    def lines(self) -> tuple[str, ...]:
        """Return all lines written so far."""
        return tuple("".join(self._parts).splitlines())


class RunningCommand(OutputCommand):
    """A command that prints the output of a run, or one report with ``--output json``."""

    def run_and_report(
        self,
        action: Callable[[], int],
        read_results: Callable[[], Mapping[str, msgspec.Raw]] = dict,
    ) -> ExitCode:
        """Run ``action`` and map its return value to an exit code.

        Parameters
        ----------
        action
            Prints text and returns 0 for success, 1 for a failure or 2 for an unknown name.
        read_results
            Returns the JSON files that the action wrote; called after the action.
        """
        if not self.wants_json:
            return exit_code_of_run(action())
        collector = LineCollector(sys.stderr)
        with contextlib.redirect_stdout(collector):
            code = action()
        self.show_json(RunReport(code == 0, collector.lines(), read_results()))
        return exit_code_of_run(code)


def exit_code_of_run(code: int) -> ExitCode:
    """Map the return value of a run to an exit code of the command line."""
    return _EXIT_CODES.get(code, ExitCode.FAILED)
