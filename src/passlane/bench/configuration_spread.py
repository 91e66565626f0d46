"""Time until a change of configuration is in force on 400 nodes, on a virtual clock.

Changes come at random times, whether or not earlier ones are in force. Two times are
taken of each: from the operator's request until the control group accepts the change,
and from then until the last node acts on it.
"""

import random
import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
import msgspec

from passlane.bench.configuration_fleet import REGIONS, ConfigurationFleet, wait_in_force
from passlane.bench.report_files import write_report
from passlane.identifiers import Revision
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.runner import run_simulation

NODES = 400
CHANGES = 12
SECONDS_A_DAY = 86_400.0
DAILY_CHANGES = 9_500
BOUND_S = 12.0
"""Time in which a change is to be in force everywhere."""

SETTLE_S = 8.0
"""Time for all nodes to join before the first change."""
DISTURBED_NODES = 20
CUT_S = 20.0
BURST_INTERVAL_S = 0.25
RUN_LIMIT_S = 600.0
"""Virtual seconds after which a scenario is given up as hanging."""
RING_LINES = 1_000
REPORT_FILE = "configuration-spread.json"


@dataclass(frozen=True)
class SpreadScenario:
    """What disturbs the spread.

    Attributes
    ----------
    interval_s
        Mean time between two changes.
    lost_nodes, cut_nodes
        Nodes that die just before the first change, or are cut off for ``CUT_S``.
    cuts_region, cuts_region_late
        Whether a region is cut off from the control group for ``CUT_S``, from before the
        first change, or from the moment at which that was accepted.
    """

    name: str
    interval_s: float = SECONDS_A_DAY / DAILY_CHANGES
    lost_nodes: int = 0
    cut_nodes: int = 0
    cuts_region: bool = False
    cuts_region_late: bool = False


SCENARIOS = (
    SpreadScenario("9,500 changes a day"),
    SpreadScenario("burst", interval_s=BURST_INTERVAL_S),
    SpreadScenario("nodes lost", lost_nodes=DISTURBED_NODES),
    SpreadScenario("nodes cut off", cut_nodes=DISTURBED_NODES),
    SpreadScenario("region cut off before", cuts_region=True),
    SpreadScenario("region cut off after acceptance", cuts_region_late=True),
)


class ChangeTimes(msgspec.Struct, frozen=True):
    """Seconds that one change took.

    ``acceptance_s`` counts from the request, ``in_force_s`` from the acceptance until all
    nodes that were not cut off acted on it.
    """

    acceptance_s: float
    in_force_s: float

    @property
    def total_s(self) -> float:
        """Seconds from the request until the change was in force."""
        return self.acceptance_s + self.in_force_s


class SpreadResult(msgspec.Struct, frozen=True):
    """What one scenario measured.

    ``catch_up_s`` is the time, in seconds, from the end of the cut until the nodes that
    were cut off by themselves acted on the first change; 0 without such nodes.
    """

    scenario: str
    nodes: int
    changes: tuple[ChangeTimes, ...]
    median_s: float
    highest_s: float
    highest_acceptance_s: float
    highest_in_force_s: float
    over_bound: int
    catch_up_s: float


class SpreadReport(msgspec.Struct, frozen=True):
    """All scenarios, and the time in which a change is to be in force."""

    bound_s: float
    results: tuple[SpreadResult, ...]


class _Run:
    """One scenario in a fleet."""

    def __init__(self, fleet: ConfigurationFleet, scenario: SpreadScenario) -> None:
        self._fleet = fleet
        self._scenario = scenario
        self._healed_at = 0.0
        self._cut_off = fleet.nodes[: scenario.cut_nodes]
        self._times: list[ChangeTimes] = []
        self._catch_up_s = 0.0

    async def run(self) -> SpreadResult:
        """Make all changes and wait until they are in force."""
        self._disturb()
        source = random.Random(self._scenario.name)
        async with anyio.create_task_group() as changes:
            for number in range(CHANGES):
                changes.start_soon(self._change, number)
                await anyio.sleep(source.expovariate(1.0 / self._scenario.interval_s))
        return self._result()

    def _disturb(self) -> None:
        scenario = self._scenario
        self._fleet.lose_nodes(scenario.lost_nodes)
        self._fleet.world.cut_nodes.update(node.name for node in self._cut_off)
        if scenario.cuts_region:
            self._fleet.world.cut_regions.add(REGIONS[0])

    async def _heal_later(self) -> None:
        await anyio.sleep(CUT_S)
        self._fleet.world.cut_nodes.clear()
        self._fleet.world.cut_regions.clear()
        self._healed_at = anyio.current_time()

    async def _change(self, number: int) -> None:
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            if number == 0 and not self._scenario.cuts_region_late:
                tasks.start_soon(self._heal_later)
            revision = await self._fleet.put(number)
            accepted_at = await self._fleet.wait_accepted(revision)
            if number == 0 and self._scenario.cuts_region_late:
                self._fleet.world.cut_regions.add(REGIONS[0])
                tasks.start_soon(self._heal_later)
            reachable = [node for node in self._fleet.nodes if node not in self._cut_off]
            in_force_at = await wait_in_force(reachable, revision)
            self._times.append(
                ChangeTimes(round(accepted_at - began_at, 3), round(in_force_at - accepted_at, 3))
            )
            if number == 0 and self._cut_off:
                await self._measure_catch_up(revision)

    async def _measure_catch_up(self, revision: Revision) -> None:
        caught_up_at = await wait_in_force(self._cut_off, revision)
        self._catch_up_s = round(caught_up_at - self._healed_at, 3)

    def _result(self) -> SpreadResult:
        totals = sorted(times.total_s for times in self._times)
        return SpreadResult(
            scenario=self._scenario.name,
            nodes=len(self._fleet.nodes),
            changes=tuple(self._times),
            median_s=round(totals[len(totals) // 2], 3),
            highest_s=round(totals[-1], 3),
            highest_acceptance_s=max(times.acceptance_s for times in self._times),
            highest_in_force_s=max(times.in_force_s for times in self._times),
            over_bound=sum(total > BOUND_S for total in totals),
            catch_up_s=self._catch_up_s,
        )


async def _run_scenario(scenario: SpreadScenario) -> SpreadResult:
    async with anyio.create_task_group() as tasks:
        fleet = ConfigurationFleet(tasks, NODES)
        await anyio.sleep(SETTLE_S)
        joined = sum(node.loop.has_lease for node in fleet.nodes)
        if joined != NODES:
            raise RuntimeError(f"only {joined} of {NODES} nodes have a lease")
        with anyio.fail_after(RUN_LIMIT_S):
            result = await _Run(fleet, scenario).run()
        tasks.cancel_scope.cancel()
    return result


def measure_spread(scenario: SpreadScenario) -> SpreadResult:
    """Run one scenario."""
    return run_simulation(partial(_run_scenario, scenario), seed=1)


def run(report: Path | None) -> int:
    """Measure, print and write ``configuration-spread.json``."""
    configure_logging(RingLog(RING_LINES))
    results = []
    for scenario in SCENARIOS:
        row = measure_spread(scenario)
        results.append(row)
        print(
            f"{row.scenario}: {len(row.changes)} changes on {row.nodes} nodes, median "
            f"{row.median_s:.2f} s, highest {row.highest_s:.2f} s (accepted after at most "
            f"{row.highest_acceptance_s:.2f} s, in force at most {row.highest_in_force_s:.2f} s "
            f"later), {row.over_bound} over {BOUND_S:g} s, catch-up {row.catch_up_s:.2f} s",
            flush=True,
        )
    write_report(report, REPORT_FILE, SpreadReport(BOUND_S, tuple(results)))
    return 0


if __name__ == "__main__":
    sys.exit(run(None))
