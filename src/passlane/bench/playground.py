"""``make playground``: the small example's fleet on loopback, kept up until Ctrl-C.

Prints what another terminal needs to talk to it: variables for the operators' command line
and for callers.
"""

import shlex
import signal
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar

import anyio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_process import FleetError
from passlane.emulator.example_files import CONFIGURATION_FILE
from passlane.emulator.program import run_single_command

EXAMPLE = Path(__file__).resolve().parents[3] / "examples" / "small"
VARIABLES_FILE = "variables.sh"
CALLER_TENANT = "corner-shop"


class PlaygroundCommand(Command):
    """Keeps the fleet of an example up until SIGINT or SIGTERM."""

    name = "make playground"
    description = "Runs a fleet on loopback until Ctrl-C."
    options: ClassVar[list[Option]] = [
        option("example", None, "Folder with settings.", flag=False, default=str(EXAMPLE))
    ]

    def handle(self) -> int:
        """Run the fleet and return the exit code."""
        with tempfile.TemporaryDirectory(prefix="passlane-playground-") as folder:
            try:
                with Fleet(Path(self.option("example")), Path(folder)) as fleet:
                    _run(fleet)
            except FleetError as error:
                print(f"playground failed: {error}")
                return 1
        return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the fleet until a signal and return the exit code."""
    return run_single_command(PlaygroundCommand(), arguments)


def _run(fleet: Fleet) -> None:
    """Start the fleet, tell how to reach it, wait for a signal and stop it."""
    fleet.start_all()
    print(f"{len(fleet.processes)} processes started: {', '.join(fleet.processes)}", flush=True)
    fleet.wait_ready()
    fleet.apply_configuration()
    path = _write_variables(fleet)
    print(f"settings, logs and data: {fleet.folder}")
    print(f"in another terminal: source {path}")
    print("Ctrl-C stops it", flush=True)
    anyio.run(_wait_for_signal)
    print("stopping", flush=True)


def _write_variables(fleet: Fleet) -> Path:
    """Write the variables that the command line and callers need; return the file."""
    token = fleet.caller_tokens()[CALLER_TENANT]
    node = fleet.callers_address(fleet.node_names()[0])
    variables = {
        "PASSLANE_SERVER": ",".join(str(address) for address in fleet.operators_addresses()),
        "PASSLANE_TOKEN": fleet.operator_token(),
        "NODE": f"http://{node}",
        "CALLER_TOKEN": token,
        "CONFIGURATION": str(fleet.folder / CONFIGURATION_FILE),
    }
    path = fleet.folder / VARIABLES_FILE
    lines = [f"export {name}={shlex.quote(value)}\n" for name, value in variables.items()]
    path.write_text("".join(lines))
    return path


async def _wait_for_signal() -> None:
    """Return when the terminal or a supervisor asks to stop."""
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return


if __name__ == "__main__":
    sys.exit(main())
