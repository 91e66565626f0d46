"""The scheduling experiment: repeatable, the same load for all, and its measures."""

import io
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path
from unittest import mock

import msgspec

from passlane.bench.baselines import Strategy
from passlane.bench.cache_waste import SAMPLE_S, CacheWaste
from passlane.bench.event_heap import EventHeap
from passlane.bench.plots import plot_results
from passlane.bench.results import RunResult, format_row
from passlane.bench.scheduling import run_many, run_one
from passlane.bench.virtual_engine import VirtualEngine
from passlane.bench.virtual_fleet import (
    FLOOD_TENANT,
    PLATFORM_LAG_S,
    RunPlan,
    Scenario,
    VirtualFleet,
)
from passlane.bench.virtual_node import CallResult
from passlane.bench.workloads import TOP_UP
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.identifiers import EngineId, ProgramId


def plan(strategy: Strategy, scenario: Scenario) -> RunPlan:
    return RunPlan(
        deployment=TOP_UP,
        strategy=strategy,
        scenario=scenario,
        programs_per_s=4.0,
        seed=7,
        duration_s=6.0,
        warm_up_s=1.0,
    )


class RepeatTest(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self):
        for strategy in (Strategy.PASSLANE, Strategy.ROUND_ROBIN):
            with self.subTest(strategy):
                first = run_one(plan(strategy, Scenario.STEADY))
                self.assertEqual(first, run_one(plan(strategy, Scenario.STEADY)))
                self.assertGreater(first.program.count, 10)

    def test_all_strategies_get_the_same_programs_and_run_the_same_scheduler(self):
        programs = []
        for strategy in Strategy:
            fleet = VirtualFleet(plan(strategy, Scenario.BURSTS))
            fleet.run()
            programs.append(sorted((one.plan.name, one.plan.starts_at) for one in fleet.results))
            self.assertTrue(all(isinstance(node.scheduler, Scheduler) for node in fleet.nodes))
        self.assertEqual([programs[0]] * len(programs), programs)

    def test_report_and_plot_are_written(self):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            plans = [plan(strategy, Scenario.STEADY) for strategy in Strategy]
            with redirect_stdout(io.StringIO()) as table:
                results = run_many(plans, folder, "some")
            for result in results:
                self.assertIn(format_row(result), table.getvalue())
            written = msgspec.json.decode((folder / "some.json").read_bytes(), type=list[RunResult])
            self.assertEqual(results, written)
            plot_results(results, folder)
            self.assertGreater((folder / "scheduling-topup.png").stat().st_size, 10_000)


class ScenarioTest(unittest.TestCase):
    def test_leaving_engine_gets_no_call_once_the_nodes_were_told(self):
        fleet = VirtualFleet(plan(Strategy.PASSLANE, Scenario.ENGINE_LEAVES))
        leaving = fleet.engines[EngineId("engine-0")]
        submitted_at = []
        with mock.patch.object(
            leaving,
            "submit",
            lambda submission, on_finish: (
                submitted_at.append(fleet.heap.now)
                or VirtualEngine.submit(leaving, submission, on_finish)
            ),
        ):
            fleet.run()
        told_at = fleet.plan.duration_s / 3 + PLATFORM_LAG_S
        self.assertGreater(len(submitted_at), 5)
        self.assertLess(max(submitted_at), told_at + TOP_UP.zone_delay_s)
        self.assertGreater(fleet.heap.now, told_at + 5.0)

    def test_others_than_the_flooding_tenant_all_complete(self):
        fleet = VirtualFleet(plan(Strategy.PASSLANE, Scenario.FLOOD))
        fleet.run()
        others = [one for one in fleet.results if one.plan.tenant != FLOOD_TENANT]
        self.assertGreater(len(others), 5)
        self.assertTrue(all(one.completed for one in others))


class _Model:
    """Only what the measure reads of an engine."""

    def __init__(self) -> None:
        self.model = self
        self.cache = self
        self.engine_id = EngineId("e1")
        self.entries: dict[ProgramId, int] = {}

    def tokens_by_program(self) -> dict[ProgramId, int]:
        return self.entries


class CacheWasteTest(unittest.TestCase):
    def setUp(self):
        self.heap = EventHeap()
        self.engine = _Model()
        self.waste = CacheWaste(self.heap, [self.engine])
        self.waste.start()

    def call(self, program: str, prompt: int, cached: int) -> None:
        result = CallResult(True, EngineId("e1"), prompt, cached, 10)
        self.waste.record_call(ProgramId(program), result)

    def pass_time(self, seconds: float) -> None:
        end = self.heap.now + seconds
        self.heap.run(end, lambda: False)
        self.heap.now = end

    def test_recomputed_and_needed_tokens(self):
        self.call("p", 100, 0)
        self.call("p", 150, 109)
        self.assertEqual((0, 141), (self.waste.recomputed_tokens, self.waste.needed_tokens))
        self.call("p", 200, 0)
        self.assertEqual((159, 182), (self.waste.recomputed_tokens, self.waste.needed_tokens))

    def test_memory_counts_as_used_only_when_a_later_call_finds_it(self):
        self.engine.entries = {ProgramId("back"): 100, ProgramId("gone"): 50}
        self.waste.record_last_call(ProgramId("gone"))
        self.pass_time(10 * SAMPLE_S)
        self.call("back", 150, 100)
        self.assertEqual(10 * SAMPLE_S * 50, self.waste.idle_token_seconds)
        self.assertEqual(10 * SAMPLE_S * 50, self.waste.unused_token_seconds)


if __name__ == "__main__":
    unittest.main()
