"""Command ``soak``: runs the daemons of the relayed path as processes under faults."""

import importlib
from pathlib import Path
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.cli.exit_codes import ExitCode
from passlane.cli.running import RunningCommand
from passlane.errors import ErrorCode, PasslaneError

DEFAULT_DURATION_S = "20"


class SoakCommand(RunningCommand):
    """Runs real processes under load and faults and checks the promises from outside."""

    name = "soak"
    description = "Runs real processes under load and faults; exit code 1 if a promise is broken."
    extra_options: ClassVar[list[Option]] = [
        option("seed", None, "Random seed of load and faults.", flag=False, default="0"),
        option(
            "seconds",
            None,
            "Seconds during which new load starts.",
            flag=False,
            default=DEFAULT_DURATION_S,
        ),
        option(
            "older",
            None,
            "Checkout with an older build installed; every second process starts with it.",
            flag=False,
        ),
        option(
            "profile",
            None,
            "Kind of soak, such as usual, overlapping or clients; docs/operations/soak.md has all.",
            flag=False,
        ),
        option("report", None, "New folder for the report and the processes' logs.", flag=False),
    ]

    def execute_command(self) -> ExitCode:
        """Run the soak."""
        seed = _parse_whole_number("seed", self.option("seed"))
        seconds = _parse_whole_number("seconds", self.option("seconds"))
        report = self.option("report")
        folder = None if report is None else Path(report).resolve()
        if folder is not None and folder.exists() and any(folder.iterdir()):
            raise PasslaneError(ErrorCode.BAD_REQUEST, f"--report: {folder} is not empty")
        older = self.option("older")
        checkout = None if older is None else Path(older)
        soak = importlib.import_module("passlane.soak.run")
        profile = self.option("profile") or soak.USUAL.name
        return self.run_and_report(
            lambda: int(soak.run(seed, float(seconds), folder, checkout, profile))
        )


def _parse_whole_number(name: str, text: str) -> int:
    """Return the value of an option as a whole number; raise ``BAD_REQUEST`` otherwise."""
    if not text.isdecimal():
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"--{name} must be a whole number, not {text!r}")
    return int(text)
