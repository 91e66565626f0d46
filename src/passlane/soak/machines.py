"""The daemons of the relayed path as processes, each on a loopback address of its own.

Addresses ``127.A.B.N`` with the same ports stand for machines. ``A`` and ``B`` follow from this
process's id, so that several soaks can run side by side.
"""

import os
import sys
import time
from collections.abc import Iterable, Mapping
from pathlib import Path

import anyio
import msgspec

from passlane.bench.fleet_files import ProcessFile, ProcessKind
from passlane.bench.fleet_process import FleetProcess, process_environment
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.platform import names
from passlane.soak.configuration import OVERAGE, SLACK_REQUESTS, WINDOW_S, ZONE
from passlane.soak.ledger import Ledger

INTERNAL_PORT = 7000
CALLERS_PORT = 8001
READINESS_PORT = 8002
OPERATORS_PORT = 8003
METRICS_PORT = 8004


class MachineSize(msgspec.Struct, frozen=True):
    """Resources of a machine: memory in megabytes, and file descriptors of a process."""

    memory_mb: int
    descriptors: int


SIZE_OF_ROLE = {
    FleetRole.CONTROL: MachineSize(296, 4_096),
    FleetRole.STORE: MachineSize(320, 8_200),
    FleetRole.NODE: MachineSize(260, 4_100),
}
"""The machines of the smallest sites; stores have those of the smallest site but one."""
HOSTS_OF_ROLE = 60
"""Addresses set apart for the machines of one role."""
GRACE_S = 4.0
"""Time of a planned stop, shorter than usual so that a short soak holds several."""
LIST_RATE_PER_S = 20.0
DAEMON = (sys.executable, "-m", "passlane.daemon.fleet_start")
COME_UP_S = 8.0
"""A process that is younger may still import its code, and end by the signal itself."""
OLDER_PYTHON = Path(".venv") / "bin" / "python"
"""Interpreter of a checkout's installation."""
_NETWORK_PARTS = 250


def daemon_of(checkout: Path) -> tuple[str, ...]:
    """Return the command line that starts any of the daemons of another checkout's installation.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when nothing is installed there.
    """
    python = checkout.resolve() / OLDER_PYTHON
    if not python.is_file():
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"no installation at {python}")
    return (str(python), *DAEMON[1:])


def loopback_network() -> str:
    """Return the first three numbers of the addresses that a soak uses."""
    number = os.getpid()
    second = number // _NETWORK_PARTS % _NETWORK_PARTS + 1
    return f"127.{second}.{number % _NETWORK_PARTS + 1}"


class Machine(FleetProcess):
    """One daemon and the address it runs at; its files outlive its processes.

    Parameters
    ----------
    daemon
        Command line that starts any of the daemons; of the build that it runs from its next
        start on.
    size
        Memory and descriptors that its process is told.
    """

    def __init__(
        self,
        file: ProcessFile,
        role: FleetRole,
        host: str,
        daemon: tuple[str, ...],
        size: MachineSize,
    ) -> None:
        super().__init__(file)
        self.name = file.name
        self.role = role
        self.host = host
        self.size = size
        self.started_at = 0.0
        self.daemon = daemon

    def address(self, port: int) -> Address:
        """Return one of its addresses."""
        return Address(self.host, port)

    def environment(self) -> dict[str, str]:
        """Return the variables that the process is started with."""
        return process_environment() | {names.SETTINGS_VARIABLE: str(self.file.settings)}

    def command(self) -> list[str]:
        """Return the command line."""
        return list(self.daemon)


class Machines:
    """All machines of a soak; ends the processes that it started, by their ids.

    Parameters
    ----------
    network
        First three numbers of their addresses.
    folder
        Holds settings, output and data.
    processes
        How many there are of each role.
    sizes
        Memory and descriptors of the machines of each role.
    """

    def __init__(
        self,
        network: str,
        folder: Path,
        list_address: Address,
        daemon: tuple[str, ...],
        processes: Mapping[FleetRole, int],
        sizes: Mapping[FleetRole, MachineSize] = SIZE_OF_ROLE,
    ) -> None:
        self._folder = folder
        self._list_address = list_address
        self.all: list[Machine] = []
        for place, role in enumerate(FleetRole):
            for number in range(1, processes[role] + 1):
                name = f"{role.value}-{number}"
                host = f"{network}.{HOSTS_OF_ROLE * place + number}"
                settings = folder / f"{name}.toml"
                health = Address(host, OPERATORS_PORT)
                file = ProcessFile(name, ProcessKind.DAEMON, settings, health)
                self.all.append(Machine(file, role, host, daemon, sizes[role]))

    def of_role(self, role: FleetRole) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.all if machine.role is role]

    def start(self, machine: Machine) -> None:
        """Start a machine's process, the first time as one that was never started."""
        machine.file.settings.write_text(self._settings_of(machine))
        machine.start(self._folder)
        machine.started_at = time.monotonic()

    async def stop(self, machine: Machine, ledger: Ledger) -> None:
        """Ask a process to stop and wait for its end; one that has come up must exit with 0."""
        has_come_up = time.monotonic() - machine.started_at > COME_UP_S
        machine.ask_to_stop()
        code = await anyio.to_thread.run_sync(machine.wait_for_end)
        if has_come_up:
            now = anyio.current_time()
            ledger.check("exit-code", code == 0, machine.name, f"exit code {code}", now)

    def end_all(self) -> None:
        """Kill what still runs."""
        for machine in self.all:
            if machine.popen is not None:
                machine.kill()

    def _settings_of(self, machine: Machine) -> str:
        seeds = [str(m.address(OPERATORS_PORT)) for m in self.of_role(FleetRole.CONTROL)]
        return "\n".join(_settings_lines(machine, seeds, self._list_address)) + "\n"


def _settings_lines(machine: Machine, seeds: Iterable[str], list_address: Address) -> Iterable[str]:
    quoted_seeds = ", ".join(f'"{seed}"' for seed in seeds)
    yield f"seeds = [{quoted_seeds}]"
    yield "[process]"
    yield f'name = "{machine.name}"'
    yield f'role = "{machine.role.value}"'
    yield f'zone = "{ZONE}"'
    if machine.role is not FleetRole.NODE:
        yield f'data_folder = "data/{machine.name}"'
    yield f"is_first_start = {'true' if machine.starts == 0 else 'false'}"
    yield "[addresses]"
    yield f'internal = "{machine.address(INTERNAL_PORT)}"'
    if machine.role is FleetRole.NODE:
        yield f'callers = "{machine.address(CALLERS_PORT)}"'
        yield f'readiness = "{machine.address(READINESS_PORT)}"'
    if machine.role is FleetRole.CONTROL:
        yield f'operators = "{machine.address(OPERATORS_PORT)}"'
    if machine.role is not FleetRole.CONTROL:
        yield f'metrics = "{machine.address(METRICS_PORT)}"'
    yield "[machine]"
    yield f"memory_mb = {machine.size.memory_mb}"
    yield f"descriptors = {machine.size.descriptors}"
    yield "[backend_list]"
    yield f'address = "{list_address}"'
    yield f"rate_per_s = {LIST_RATE_PER_S}"
    yield "[timing]"
    yield f"grace_s = {GRACE_S}"
    yield "[quotas]"
    yield f"window_s = {WINDOW_S}"
    yield f"overage = {OVERAGE}"
    yield f"slack_requests = {SLACK_REQUESTS}"
    yield "[turns]"
    yield "are_placed_by_store = true"
