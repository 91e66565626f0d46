"""Starts the programs of ``deploy/system.toml`` as processes on loopback addresses.

Each machine has an address 127.A.B.N of its own; the ports are alike on all machines. Settings
have the form of ``deploy/settings.toml``. Only the standard library is used.
"""

import asyncio
import contextlib
import os
import shlex
import signal
import subprocess
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
INTERNAL_PORT = 7380
FRONT_PORT = 8149
READINESS_PORT = 8141
CONTROL_PORT = 8144
METRICS_PORT = 9464
ZONES = ("zone-a", "zone-b", "zone-c")
HOSTS = {"control": 10, "store": 30, "node": 50}
BOUNDS = {
    "contact_ms": 3000,
    "catch_up_s": 4.4,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "recovery_s": 12,
}
"""Figures of the small site files, as far as the cases use them."""


def loopback_network() -> str:
    """Return the first three numbers of this test's addresses; they follow from its process id."""
    number = os.getpid()
    return f"127.{number // 250 % 250 + 1}.{number % 250 + 1}"


class Machine:
    """One machine: its settings, its data and the process that runs on it."""

    def __init__(self, fleet: "Fleet", role: str, number: int) -> None:
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.host = f"{fleet.network}.{HOSTS[role] + number}"
        self.starts = 0
        self.is_held = False
        """Whether the test itself keeps the machine down."""
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; the whole system starts for the first time with the first start."""
        path = self.fleet.folder / f"{self.name}.toml"
        path.write_text(self._settings())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PASSLANE_BOOT": str(path),
        }
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                shlex.split(self.fleet.commands[self.role]),
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.starts += 1

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def peak_memory_mb(self) -> float:
        """Return the largest resident memory of the process so far."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(lines[0].split()[1]) / 1000 if lines else 0.0

    def _settings(self) -> str:
        quoted = ", ".join(f'"{seed}"' for seed in self.fleet.seeds())
        lines = [f"seeds = [{quoted}]", "[process]", f'name = "{self.name}"']
        lines += [f'role = "{self.role}"', f'zone = "{self.zone}"']
        data = "" if self.role == "node" else str(self.fleet.folder / "data" / self.name)
        lines += [f'data_folder = "{data}"']
        lines += [f"is_first_start = {'true' if self.starts == 0 else 'false'}"]
        lines += ["[addresses]", f'internal = "{self.host}:{INTERNAL_PORT}"']
        if self.role == "node":
            lines += [f'callers = "{self.host}:{FRONT_PORT}"']
            lines += [f'readiness = "{self.host}:{READINESS_PORT}"']
        if self.role == "control":
            lines += [f'operators = "{self.host}:{CONTROL_PORT}"']
        lines += [f'metrics = "{self.host}:{METRICS_PORT}"']
        lines += ["[backend_list]", f'address = "{self.fleet.list_address}"', "rate_per_s = 44.0"]
        lines += ["[timing]", f"grace_s = {BOUNDS['grace_s']}"]
        lines += ["[machine]", "memory_mb = 320", "descriptors = 4100"]
        lines += ["[fault_tolerance]", "machines = 1", "[turns]", "are_placed_by_store = true"]
        return "\n".join(lines) + "\n"


class Fleet:
    """All machines of a small deployment: three controls, three stores and some nodes."""

    def __init__(self, folder: Path, network: str, list_address: str, nodes: int = 2) -> None:
        self.folder = folder
        self.network = network
        self.list_address = list_address
        self._keeper: asyncio.Task[None] | None = None
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {role: roles[role]["run"] for role in HOSTS}
        counts = {"control": 3, "store": 3, "node": nodes}
        self.machines = [
            Machine(self, role, number)
            for role, count in counts.items()
            for number in range(1, count + 1)
        ]

    def of(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines if machine.role == role]

    def seeds(self) -> list[str]:
        """Return the seeds: the control addresses of three machines."""
        return [f"{machine.host}:{CONTROL_PORT}" for machine in self.of("control")]

    def start_all(self) -> None:
        """Start every machine."""
        for machine in self.machines:
            machine.start()

    def keep_running(self, record: "Record") -> None:
        """Start each process that ends again after a short delay, as the platform does."""
        self._keeper = asyncio.create_task(self._restart_ended(record))

    async def stop_restarting(self) -> None:
        """Leave processes that end as they are."""
        if self._keeper is not None:
            self._keeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._keeper
            self._keeper = None

    async def _restart_ended(self, record: "Record") -> None:
        while True:
            await asyncio.sleep(1.0)
            for machine in self.machines:
                if machine.process is not None and not machine.is_running and not machine.is_held:
                    code = machine.process.returncode
                    record.write(f"{machine.name} had ended by itself ({code}), started again")
                    machine.start()

    def kill_all(self) -> None:
        """Kill every process at the same moment."""
        running = [machine for machine in self.machines if machine.is_running]
        for machine in running:
            machine.signal(signal.SIGKILL)
        for machine in running:
            assert machine.process is not None
            machine.process.wait()

    def end(self) -> None:
        """End what still runs."""
        for machine in self.machines:
            if machine.is_running:
                machine.signal(signal.SIGCONT)
        self.kill_all()


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
