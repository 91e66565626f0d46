"""Starts the processes of a fleet on loopback, disturbs them and stops them again.

Signals go only to processes that this rig started, by their ids.
"""

import signal
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

import httpcore

from passlane.bench.fleet_files import ProcessKind, copy_example
from passlane.bench.fleet_process import FleetError, FleetProcess, process_environment
from passlane.emulator.example_files import CONFIGURATION_FILE
from passlane.messages.common import Address

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 2.0
STATUS_OK = 200
LOG_LINES_SHOWN = 20


class Fleet:
    """The processes of one example.

    Parameters
    ----------
    example
        Folder with the settings files.
    folder
        Run folder: settings with free ports, data, logs.

    Used as a context manager it stops all that it started, whatever happens.
    """

    def __init__(self, example: Path, folder: Path) -> None:
        self.folder = folder.resolve()
        files = copy_example(example, self.folder)
        self.processes = {file.name: FleetProcess(file) for file in files}

    def __enter__(self) -> Self:
        """Return the fleet; nothing is started yet."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop_all()

    # Who is there.

    def names(self, kind: ProcessKind, role: str | None = None) -> list[str]:
        """Return the names of the processes of a kind, for daemons perhaps of one role."""
        return [
            name
            for name, process in self.processes.items()
            if process.file.kind is kind and (role is None or role in process.file.roles)
        ]

    def running_names(self) -> list[str]:
        """Return the names of the processes that run."""
        return [name for name, process in self.processes.items() if process.is_running]

    def node_names(self) -> list[str]:
        """Return the names of the nodes."""
        return self.names(ProcessKind.DAEMON, "node")

    def callers_address(self, name: str) -> Address:
        """Return a node's address for callers."""
        address = self.processes[name].file.callers
        if address is None:
            raise FleetError(f"{name} is no node")
        return address

    def operators_addresses(self) -> list[Address]:
        """Return the operators' addresses of the running daemons with the control role."""
        return [
            self.processes[name].file.health
            for name in self.names(ProcessKind.DAEMON, "control")
            if self.processes[name].is_running
        ]

    def store_addresses(self) -> list[Address]:
        """Return the internal addresses of the store replicas."""
        settings = self.processes[self.node_names()[0]].file.settings
        fields = tomllib.loads(settings.read_text())
        return [Address.parse(text) for text in fields["store_addresses"]]

    def operator_token(self) -> str:
        """Return the first operators' token of the example."""
        name = self.names(ProcessKind.DAEMON, "control")[0]
        fields = tomllib.loads(self.processes[name].file.settings.read_text())
        return str(fields["security"]["operators"][0]["token"])

    def caller_tokens(self) -> Mapping[str, str]:
        """Return the callers' tokens by tenant."""
        settings = self.processes[self.node_names()[0]].file.settings
        entries = tomllib.loads(settings.read_text())["security"]["callers"]
        return {entry["tenant"]: entry["token"] for entry in entries}

    def repeatable_tools(self) -> frozenset[str]:
        """Return the names of the tools that may run more than once, by the configuration."""
        fields = tomllib.loads((self.folder / CONFIGURATION_FILE).read_text())
        return frozenset(
            tool["name"]
            for document in fields["document"]
            for tool in document.get("tools", ())
            if document["kind"] == "application" and tool.get("repeatable", False)
        )

    # Starting and stopping.

    def start(self, name: str) -> None:
        """Start a process, or start it again after it ended."""
        self.processes[name].start(self.folder)

    def start_all(self) -> None:
        """Start all processes, back ends first."""
        daemons = self.names(ProcessKind.DAEMON)
        others = [name for name in self.processes if name not in daemons]
        for name in others + daemons:
            self.start(name)

    def stop(self, name: str) -> int:
        """Send SIGTERM and return the exit code; SIGKILL if the process takes too long."""
        process = self.processes[name]
        process.ask_to_stop()
        return process.wait_for_end()

    def stop_all(self) -> Mapping[str, int]:
        """Stop all processes, nodes first, and return their exit codes."""
        codes: dict[str, int] = {}
        for group in self._stop_order():
            running = [process for process in group if process.is_running]
            for process in running:
                process.ask_to_stop()
            for process in running:
                codes[process.file.name] = process.wait_for_end()
        return codes

    def kill(self, name: str) -> None:
        """Send SIGKILL and wait for the end."""
        self.processes[name].kill()

    def freeze(self, name: str) -> None:
        """Send SIGSTOP: the process stands still in silence."""
        self.processes[name].signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Send SIGCONT: the process goes on as if no time had passed."""
        self.processes[name].signal(signal.SIGCONT)

    # Watching.

    def wait_ready(self, names: Sequence[str] | None = None) -> float:
        """Wait until processes (all if not named) are ready; return the seconds it took.

        Raises
        ------
        FleetError
            When one has ended, or is not ready in time; the message shows its log.
        """
        began = time.monotonic()
        waiting = list(names or self.processes)
        while waiting:
            waiting = [name for name in waiting if not self._is_ready(name)]
            if waiting and time.monotonic() - began > READY_TIMEOUT_S:
                raise FleetError(f"not ready: {waiting}\n{self.log_tail(waiting[0])}")
            if waiting:
                time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - began

    def log_tail(self, name: str) -> str:
        """Return the last lines that a process wrote."""
        path = self.folder / f"{name}.log"
        if not path.exists():
            return ""
        return "\n".join(path.read_text(errors="replace").splitlines()[-LOG_LINES_SHOWN:])

    # The operators' client.

    def passlane(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run ``passlane`` against the control group and return what it printed."""
        addresses = ",".join(str(address) for address in self.operators_addresses())
        environment = {
            **process_environment(),
            "PASSLANE_SERVER": addresses,
            "PASSLANE_TOKEN": self.operator_token(),
        }
        return subprocess.run(
            [sys.executable, "-m", "passlane.cli.main", *arguments],
            cwd=self.folder,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def apply_configuration(self) -> None:
        """Apply the example's configuration and wait until it is in force everywhere.

        Raises
        ------
        FleetError
            When the client says otherwise.
        """
        done = self.passlane("apply", "-f", CONFIGURATION_FILE, "--wait")
        if done.returncode != 0:
            raise FleetError(f"apply failed ({done.returncode}): {done.stdout}{done.stderr}")

    def _stop_order(self) -> Iterator[list[FleetProcess]]:
        """Yield the processes in groups: nodes, other daemons, back ends."""
        nodes = [self.processes[name] for name in self.node_names()]
        daemons = [self.processes[name] for name in self.names(ProcessKind.DAEMON)]
        yield nodes
        yield [process for process in daemons if process not in nodes]
        yield [process for process in self.processes.values() if process not in daemons]

    def _is_ready(self, name: str) -> bool:
        """Return whether a process answers that it is ready."""
        process = self.processes[name]
        if not process.is_running:
            code = process.popen.returncode if process.popen else None
            raise FleetError(f"{name} ended with {code}\n{self.log_tail(name)}")
        is_daemon = process.file.kind is ProcessKind.DAEMON
        try:
            response = _get(process.file.health, "/readyz" if is_daemon else "/")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False
        return response.status == STATUS_OK or not is_daemon


def _get(address: Address, path: str) -> httpcore.Response:
    """Return the answer to a GET without a token."""
    return httpcore.request("GET", f"http://{address}{path}", extensions=_timeouts())


def _timeouts() -> dict[str, dict[str, float]]:
    """Return the extension that bounds each part of a request."""
    return {"timeout": dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)}
