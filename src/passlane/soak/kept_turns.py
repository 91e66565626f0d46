"""Conversations that pause and hold large turns, while the leading store is restarted in series.

Judges that the stores' age of the state follows the clock, and that stores stay within their
memory. That no kept turn is lost is judged by the ledger, as for all callers.
"""

import random
import re
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.messages.common import Address
from passlane.messages.fleet import FleetRole
from passlane.soak.callers import Call, Callers
from passlane.soak.client import SoakClient
from passlane.soak.configuration import LONG, RETENTION_S
from passlane.soak.faults import Faults
from passlane.soak.ledger import Ledger
from passlane.soak.machines import METRICS_PORT, SIZE_OF_ROLE, Machine, Machines
from passlane.soak.programs import AMPLE_BUDGET_TURNS, PROGRAM_KINDS, Line

DIALOGUES_PER_S = 2.0
LARGE_SHARE = 0.1
LARGE_BYTES = (500_000, 3_300_000)
LONGEST_PAUSE_S = RETENTION_S - 5.0
"""Turns are gone on from before their retention time is over, tries included."""
LEADER_LASTS_S = (1.0, 6.0)
READ_INTERVAL_S = 0.5
READ_TIMEOUT_S = 1.0
AGE_SLACK_S = 1.5
"""Time by which two reads of the age may differ from real time: its interval and the reads."""
LEAST_AGE_SHARE = 0.3
"""Share of real time by which the age advances at least, whatever fails."""
SHORTEST_JUDGED_S = 8.0

_LEADS = re.compile(rb'^passlane_replica_leads\{group="turns"\} 1', re.MULTILINE)
_AGE = re.compile(rb"^passlane_turn_state_age_seconds ([0-9.e+-]+)", re.MULTILINE)
_PEAK_MEMORY = re.compile(r"^VmHWM:\s+([0-9]+) kB", re.MULTILINE)


class KeptDialogues:
    """Dialogues of two turns with a pause between; some first turns are large."""

    def __init__(self, callers: Callers, ledger: Ledger, seed: int) -> None:
        self._callers = callers
        self._ledger = ledger
        self._seed = seed
        self._random = random.Random(f"{seed} kept turns")

    async def run(self, tasks: TaskGroup, load_s: float) -> None:
        """Begin dialogues for some seconds; each goes on before the load ends."""
        ends_at = anyio.current_time() + load_s
        number = 0
        while anyio.current_time() < ends_at:
            number += 1
            left_s = ends_at - anyio.current_time()
            pause_s = self._random.uniform(0.0, min(LONGEST_PAUSE_S, left_s))
            tasks.start_soon(self._converse, number, self._drawn_padding(), pause_s)
            await anyio.sleep(self._random.expovariate(DIALOGUES_PER_S))

    def _drawn_padding(self) -> bytes:
        if self._random.random() >= LARGE_SHARE:
            return b""
        return b"." * self._random.randint(*LARGE_BYTES)

    async def _converse(self, number: int, padding: bytes, pause_s: float) -> None:
        program_id = f"kept-{self._seed}-{number}"
        line = Line(program_id, PROGRAM_KINDS[LONG], AMPLE_BUDGET_TURNS)
        self._ledger.begin_program(program_id, line.budget, anyio.current_time())
        first = _padded(line.turn("0"), padding)
        result = await self._callers.make(first)
        if not result.is_success:
            return
        line.go_on_from(first, result.request_id)
        await anyio.sleep(pause_s)
        await self._callers.make(line.turn("1"))


def _padded(turn: Call, padding: bytes) -> Call:
    return msgspec.structs.replace(
        turn, body=turn.body + padding, expected_body=turn.expected_body + padding
    )


class StoreWatch:
    """Restarts the leading store again and again, and judges age and memory of all stores."""

    def __init__(
        self, machines: Machines, faults: Faults, client: SoakClient, ledger: Ledger, seed: int
    ) -> None:
        self._stores = machines.of_role(FleetRole.STORE)
        self._faults = faults
        self._client = client
        self._ledger = ledger
        self._random = random.Random(f"{seed} leaders")
        self._first_read: tuple[float, float] | None = None
        self._last_read = (0.0, 0.0)

    async def run(self) -> None:
        """Read the stores' metrics until cancelled."""
        while True:
            for store in self._stores:
                await self._read_age(store)
                self._check_memory(store)
            await anyio.sleep(READ_INTERVAL_S)

    async def restart_leaders(self) -> None:
        """Restart whoever leads, one after the other, until cancelled."""
        while True:
            await anyio.sleep(self._random.uniform(*LEADER_LASTS_S))
            leader = await self._leader()
            if leader is not None:
                await self._faults.restart_leader(leader)

    def check_progress(self) -> None:
        """Judge that the age has advanced over the whole time."""
        if self._first_read is None:
            return
        elapsed_s = self._last_read[0] - self._first_read[0]
        advanced_s = self._last_read[1] - self._first_read[1]
        if elapsed_s < SHORTEST_JUDGED_S:
            return
        detail = f"the age advanced by {advanced_s:.1f} s in {elapsed_s:.1f} s"
        goes_on = advanced_s >= LEAST_AGE_SHARE * elapsed_s
        self._ledger.check("age-goes-on", goes_on, "", detail, self._last_read[0])

    async def _metrics_of(self, store: Machine) -> bytes:
        address: Address = store.address(METRICS_PORT)
        answer = await self._client.get(address, "/metrics", READ_TIMEOUT_S)
        return answer.body if answer is not None else b""

    async def _leader(self) -> Machine | None:
        for store in self._stores:
            if store.is_running and _LEADS.search(await self._metrics_of(store)):
                return store
        return None

    async def _read_age(self, store: Machine) -> None:
        """Compare a store's age with the first one that was read."""
        asked_at = anyio.current_time()
        found = _AGE.search(await self._metrics_of(store)) if store.is_running else None
        if found is None:
            return
        age_s = float(found[1])
        if self._first_read is None:
            self._first_read = (asked_at, age_s)
        now = anyio.current_time()
        elapsed_s, advanced_s = now - self._first_read[0], age_s - self._first_read[1]
        detail = f"{store.name}: the age advanced by {advanced_s:.1f} s in {elapsed_s:.1f} s"
        is_true = advanced_s <= elapsed_s + AGE_SLACK_S
        self._ledger.check("age-not-ahead", is_true, store.name, detail, now)
        if age_s > self._last_read[1]:
            self._last_read = (now, age_s)

    def _check_memory(self, store: Machine) -> None:
        peak_mb = _peak_memory_mb(store)
        if peak_mb is None:
            return
        memory_mb = SIZE_OF_ROLE[FleetRole.STORE].memory_mb
        detail = f"{store.name}: {peak_mb:.0f} MB of {memory_mb}"
        now = anyio.current_time()
        is_within = peak_mb <= memory_mb
        self._ledger.check("memory-of-stores", is_within, store.name, detail, now)


def _peak_memory_mb(machine: Machine) -> float | None:
    """Return the largest resident memory of a process; ``None`` if it does not run."""
    if machine.popen is None:
        return None
    try:
        status = Path(f"/proc/{machine.popen.pid}/status").read_text()
    except OSError:
        return None  # It has ended meanwhile.
    found = _PEAK_MEMORY.search(status)
    return int(found[1]) / 1000 if found is not None else None
