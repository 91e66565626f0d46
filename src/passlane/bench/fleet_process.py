"""One process of a fleet: started, signalled and awaited by its id."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from passlane.bench.fleet_files import ProcessFile, ProcessKind

STOP_TIMEOUT_S = 40.0
SOURCE_FOLDER = Path(__file__).resolve().parents[2]


class FleetError(Exception):
    """The fleet did not do what the rig waits for."""


@dataclass
class FleetProcess:
    """A process of the fleet; ``popen`` is set while it has been started."""

    file: ProcessFile
    popen: "subprocess.Popen[bytes] | None" = None
    starts: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and not ended."""
        return self.popen is not None and self.popen.poll() is None

    def start(self, folder: Path) -> None:
        """Start the process in the run folder; its output is added to its log there.

        Raises
        ------
        FleetError
            When it runs already.
        """
        if self.is_running:
            raise FleetError(f"{self.file.name} runs already")
        self.starts += 1
        with (folder / f"{self.file.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                self.command(), cwd=folder, env=self.environment(), stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process was started here and still runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def ask_to_stop(self) -> None:
        """Send SIGTERM, also to a process that stands still."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def wait_for_end(self) -> int:
        """Return the exit code; kill the process if it does not end in time."""
        if self.popen is None:
            return 0
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def environment(self) -> dict[str, str]:
        """Return the variables that the process is started with."""
        return process_environment()

    def command(self) -> list[str]:
        """Return the command line."""
        settings = str(self.file.settings)
        if self.file.kind is ProcessKind.DAEMON:
            return [sys.executable, "-m", "passlane.daemon.main", "--settings", settings]
        return [
            sys.executable,
            "-m",
            "passlane.emulator.main",
            self.file.kind.value,
            "--settings",
            settings,
            "--incarnation",
            str(self.starts),
        ]


def process_environment() -> dict[str, str]:
    """Return the environment in which processes run the same code as the rig."""
    return {**os.environ, "PYTHONPATH": str(SOURCE_FOLDER)}
