"""The small example's fleet, changed so that a node's costs can be measured on it.

Two nodes remain; engines answer as long as they are asked to, so that ``max_tokens``
decides an answer's length, and keep every program's cache.
"""

import re
import shutil
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio

from passlane.bench.fleet import Fleet, FleetError
from passlane.bench.process_replay import ProcessReplayFleet, process_replay_fleet
from passlane.bench.process_usage import read_usage
from passlane.emulator.caller import Caller
from passlane.identifiers import ProgramId
from passlane.messages.common import Address
from passlane.programs.partitions import partition_of
from passlane.runtime.interfaces import HttpClient

EXAMPLE = Path(__file__).resolve().parents[3] / "examples" / "small"
NODES = ("node-1", "node-2")
ENGINES = ("engine-1", "engine-2")
TENANT = "corner-shop"
MODEL = "agent"
REMOVED = ("node-3",)
SETTINGS_OF_ENGINES = (
    (r"answer_tokens_min = \d+", "answer_tokens_min = 100000"),
    (r"answer_tokens_max = \d+", "answer_tokens_max = 100000"),
    (r"cache_tokens = \d+", "cache_tokens = 4000000"),
)
SETTINGS_OF_TENANTS = (
    (r"tokens = \d+, calls = \d+", "tokens = 2000000, calls = 4000"),
    (
        r'(service = "counter"\n)',
        r"\1calls_per_second = 10000.0" + "\n" + "max_programs = 100000\n",
    ),
    (r"cache_tokens = \d+", "cache_tokens = 4000000"),
)
IDLE_MEASURED_S = 5.0
STEP_S = 0.003
"""Time of one engine step with one request in it, without the part for each sequence."""


def write_example(folder: Path) -> Path:
    """Write the changed example into ``folder`` and return it."""
    shutil.copytree(EXAMPLE, folder)
    for name in REMOVED:
        (folder / f"{name}.toml").unlink()
    for path in folder.glob("engine-*.toml"):
        _change(path, SETTINGS_OF_ENGINES)
    _change(folder / "configuration.toml", SETTINGS_OF_TENANTS)
    return folder


def _change(path: Path, settings: tuple[tuple[str, str], ...]) -> None:
    text = path.read_text()
    for pattern, value in settings:
        text = re.sub(pattern, value, text)
    path.write_text(text)


@dataclass(frozen=True)
class MeasuredProgram:
    """A program, the node that leads it, and the other one."""

    program_id: str
    leader: Address
    other: Address


class NodeFleet:
    """A running fleet as the measurements use it.

    Attributes
    ----------
    http
        Sends the callers' requests.
    idle_core
        Share of a core that all nodes together take without any call.
    """

    def __init__(self, fleet: Fleet, replay: ProcessReplayFleet, http: HttpClient) -> None:
        self._fleet = fleet
        self._replay = replay
        self._token = fleet.caller_tokens()[TENANT]
        self._made = 0
        self._leaders: tuple[str, ...] = ()
        self.http = http
        self.idle_core = 0.0

    async def measure_idle(self) -> None:
        """Measure what the nodes take with nothing to do."""
        before = self.cpu_s()
        await anyio.sleep(IDLE_MEASURED_S)
        self.idle_core = (self.cpu_s() - before) / IDLE_MEASURED_S

    def cpu_s(self) -> float:
        """Return the processor time that all nodes have used, in seconds."""
        return sum(read_usage(self._process_id(name)).cpu_s for name in NODES)

    def resident_bytes(self) -> int:
        """Return the resident memory of all nodes together."""
        return sum(read_usage(self._process_id(name)).resident_bytes for name in NODES)

    def _process_id(self, name: str) -> int:
        popen = self._fleet.processes[name].popen
        if popen is None:
            raise FleetError(f"{name} does not run")
        return popen.pid

    def engine_address(self) -> Address:
        """Return the address of an engine."""
        return self._fleet.processes[ENGINES[0]].file.health

    def caller(self, address: Address) -> Caller:
        """Return a caller that speaks to one node."""
        return Caller(self.http, [address], self._token)

    async def create_programs(self, count: int) -> list[MeasuredProgram]:
        """Create programs, a few at a time, and return them."""
        self._leaders = await self._replay.leaders()
        programs: list[MeasuredProgram] = []
        limiter = anyio.CapacityLimiter(8)

        async def create(number: int) -> None:
            async with limiter:
                programs.append(await self._create(number))

        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                self._made += 1
                tasks.start_soon(create, self._made)
        return programs

    async def _create(self, number: int) -> MeasuredProgram:
        first = self._fleet.callers_address(NODES[0])
        result = await self.caller(first).create_program(f"measured-{number}")
        if not result.succeeded:
            raise FleetError(f"no program: {result.code} {result.message}")
        leader = self._leaders[partition_of(ProgramId(result.answer), len(self._leaders))]
        other = next(name for name in NODES if name != leader)
        address = self._fleet.callers_address
        return MeasuredProgram(result.answer, address(leader), address(other))


@asynccontextmanager
async def running_node_fleet(folder: Path, http: HttpClient) -> AsyncIterator[NodeFleet]:
    """Start the fleet below ``folder`` and stop it at the end."""
    with Fleet(write_example(folder / "example"), folder / "run") as fleet:
        fleet.start_all()
        fleet.wait_ready()
        fleet.apply_configuration()
        async with process_replay_fleet(fleet) as replay:
            yield NodeFleet(fleet, replay, http)
