"""Crowds of clients that don't behave, at processes of a soak, and the memory of all processes.

Each crowd is a process of its own, ``emulator.misbehaving_clients``; it ends with its time or with
the soak.
"""

import random
import subprocess
import sys
from collections.abc import Sequence

import anyio
import msgspec

from passlane.bench.fleet_process import process_environment
from passlane.emulator.misbehaving_clients import KINDS
from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.platform import names
from passlane.soak.configuration import LOOKUP
from passlane.soak.ledger import Ledger
from passlane.soak.machines import CALLERS_PORT, OPERATORS_PORT, READINESS_PORT, Machine
from passlane.soak.process_memory import MEGABYTE, memory_bytes, resident_bytes, unread_bytes

SHARES = (0.05, 0.2, 1.0)
"""Shares of a kind's connections, drawn alike."""
SAMPLE_PERIOD_S = 0.1


class Crowd(msgspec.Struct, frozen=True):
    """Clients of one kind at one address.

    Attributes
    ----------
    share
        Share of the kind's connections.
    """

    kind: str
    machine: Machine
    address: Address
    path: str
    share: float

    @property
    def name(self) -> str:
        """Kind, size and target, as a report names them."""
        return f"{self.kind} x {self.share:g} at {self.machine.name} {self.path}"


def draw_crowd(choices: random.Random, machines: Sequence[Machine]) -> Crowd:
    """Draw a crowd at a node's or a control replica's address."""
    machine = choices.choice([m for m in machines if m.role is not FleetRole.STORE])
    if machine.role is FleetRole.CONTROL:
        port, path = OPERATORS_PORT, names.PUT_CONFIGURATION_PATH
    else:
        port, path = choices.choice(
            (
                (CALLERS_PORT, f"/{LOOKUP}/x"),
                (CALLERS_PORT, "/nowhere/x"),
                (READINESS_PORT, names.READINESS_PATH),
            )
        )
    kind = choices.choice(sorted(KINDS))
    return Crowd(kind, machine, machine.address(port), path, choices.choice(SHARES))


def crowd_command(crowd: Crowd, seconds: float, fields: Sequence[str] = ()) -> list[str]:
    """Return the command line of a crowd whose requests have these fields."""
    return [
        sys.executable,
        "-m",
        "passlane.emulator.misbehaving_clients",
        crowd.kind,
        crowd.address.host,
        str(crowd.address.port),
        crowd.path,
        str(seconds),
        str(crowd.share),
        *fields,
    ]


async def run_crowd(crowd: Crowd, seconds: float) -> None:
    """Run a crowd; its process ends when this is cancelled."""
    await anyio.run_process(
        crowd_command(crowd, seconds),
        env=process_environment(),
        check=False,
        stderr=subprocess.DEVNULL,
    )


class MemoryWatch:
    """Judges that no process, with what its sockets hold unread, exceeds its machine's memory."""

    def __init__(self, machines: Sequence[Machine], ledger: Ledger) -> None:
        self._machines = machines
        self._ledger = ledger

    async def run(self) -> None:
        """Sample all processes until cancelled."""
        while True:
            for machine in self._machines:
                self._check(machine)
            await anyio.sleep(SAMPLE_PERIOD_S)

    def _check(self, machine: Machine) -> None:
        popen = machine.popen
        resident = resident_bytes(popen.pid) if popen is not None else None
        if resident is None:
            return
        held, bound = resident + unread_bytes(machine.host), memory_bytes(machine)
        detail = f"{held / MEGABYTE:.0f} MB of {bound / MEGABYTE:.0f}"
        is_within = held <= bound
        now = anyio.current_time()
        self._ledger.check("memory-of-machines", is_within, machine.name, detail, now)
