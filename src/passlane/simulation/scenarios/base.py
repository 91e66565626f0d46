"""What a scenario is, and the load that most of them run under."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio

from passlane.simulation.callers import CallScript, ProgramScript
from passlane.simulation.cluster import Cluster, ClusterOptions
from passlane.simulation.fleet_plan import FleetPlan

QUIET_S = 12.0
"""Time to settle: longer than two tries of any loop that repeats what has failed."""
CONFIGURATION_QUIET_S = 20.0
"""Time to settle where it is judged whether changes are in force everywhere in time."""
LOAD_PROGRAMS = 6
LOAD_CALLS = 6
TOOL_EVERY = 3
SPREAD_S = 2.0
CHANGED_KIND = "tenant"
"""Kind of the documents that scenarios change; nothing in the load depends on them."""

ScenarioBody = Callable[[Cluster], Awaitable[None]]


@dataclass(frozen=True)
class Scenario:
    """A named scenario.

    Attributes
    ----------
    promises
        Names of the invariants that the failure endangers most; all are checked.
    failure
        What goes wrong, in one line.
    body
        Runs on a started fleet; when it returns the fleet is healed and judged.
    must_answer
        Fraction of the load's calls that must have been answered in the end.
    may_leave_doubt
        Whether a charge may end in doubt: its leader may be lost while the charge runs, and
        the simulated tool tells nobody afterwards whether it ran.
    """

    name: str
    promises: tuple[str, ...]
    failure: str
    body: ScenarioBody
    plan: FleetPlan = field(default_factory=FleetPlan)
    options: ClusterOptions = field(default_factory=ClusterOptions)
    must_answer: float = 1.0
    may_leave_doubt: bool = False

    @property
    def quiet_s(self) -> float:
        """Time to settle after all is healed, in seconds."""
        return CONFIGURATION_QUIET_S if "configuration" in self.promises else QUIET_S


def load_script(
    cluster: Cluster, number: int, calls: int = LOAD_CALLS, padding_bytes: int = 0
) -> ProgramScript:
    """Return a program of model calls with a charge now and then, drawn by the seed."""
    source = cluster.random
    scripts = [
        CallScript(
            is_tool=place % TOOL_EVERY == TOOL_EVERY - 1,
            is_streamed=source.random() < 0.5,
            max_tokens=source.choice((8, 32, 64)),
            pause_s=source.uniform(0.0, 1.0),
            padding_bytes=padding_bytes,
        )
        for place in range(calls)
    ]
    tenants = cluster.plan.tenants
    return ProgramScript(tenant=tenants[number % len(tenants)], calls=scripts)


@asynccontextmanager
async def load(
    cluster: Cluster,
    programs: int = LOAD_PROGRAMS,
    calls: int = LOAD_CALLS,
    padding_bytes: int = 0,
) -> AsyncIterator[None]:
    """Run programs in the background; wait for all of them on leaving."""
    async with anyio.create_task_group() as tasks:
        for number in range(programs):
            script = load_script(cluster, number, calls, padding_bytes)
            delay_s = cluster.random.uniform(0.0, SPREAD_S)
            tasks.start_soon(_run_later, cluster, f"load-{number}", script, delay_s)
        yield


async def _run_later(cluster: Cluster, name: str, script: ProgramScript, delay_s: float) -> None:
    await anyio.sleep(delay_s)
    await cluster.callers.run_program(name, script)


def numbered_document(number: int) -> dict[str, Any]:
    """Return a valid body of a document of kind ``CHANGED_KIND``, different for each number."""
    return {"service": "service", "max_programs": 1 + number}


async def pause(cluster: Cluster, shortest_s: float, longest_s: float) -> None:
    """Sleep for a time drawn by the seed."""
    await anyio.sleep(cluster.random.uniform(shortest_s, longest_s))


async def wait_for_leader(cluster: Cluster, group: str) -> str:
    """Return the process that leads a group, waiting for an election if need be."""
    for _ in range(600):
        leader = cluster.leader_of(group)
        if leader is not None:
            return leader
        await anyio.sleep(0.1)
    raise TimeoutError(f"nobody leads {group}")
