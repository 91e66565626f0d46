"""The commands that list and run scenarios."""

import contextlib
import io
import unittest

import msgspec
from cleo.testers.command_tester import CommandTester

from passlane.cli.proofs import SimulationListCommand, SimulationRunCommand
from passlane.simulation import cli
from passlane.simulation.execution import RunResult, Violation
from passlane.simulation.scenarios.catalog import SCENARIOS


def result(scenario, seed, *violations):
    return RunResult(
        scenario=scenario,
        seed=seed,
        violations=tuple(Violation("order", detail) for detail in violations),
        digest="d",
        events=("what happened",),
        log_lines=("a line",),
        virtual_s=1.0,
        cpu_s=0.1,
        calls=1,
        answered=1,
    )


class ListTest(unittest.TestCase):
    def execute(self, arguments):
        tester = CommandTester(SimulationListCommand())
        return tester.execute(arguments), tester.io.fetch_output()

    def test_text_has_a_line_for_each_scenario(self):
        code, output = self.execute("")
        self.assertEqual(code, 0)
        for name in SCENARIOS:
            self.assertIn(f"\n{name} ", f"\n{output}")

    def test_json_has_all_scenarios(self):
        code, output = self.execute("--output json")
        self.assertEqual(code, 0)
        listing = msgspec.json.decode(output, type=cli.Listing)
        self.assertEqual([one.name for one in listing.scenarios], list(SCENARIOS))


class RunTest(unittest.TestCase):
    def test_bad_options_are_refused(self):
        for arguments in ("--jobs 0", "--jobs x", "--seeds 2-1"):
            with self.subTest(arguments=arguments):
                tester = CommandTester(SimulationRunCommand())
                self.assertEqual(tester.execute(arguments), 2)

    def test_unknown_names_are_refused(self):
        with contextlib.redirect_stdout(io.StringIO()) as output:
            self.assertEqual(cli.run("none", [0]), cli.EXIT_UNKNOWN)
            self.assertEqual(cli.run("undisturbed", [0], "none"), cli.EXIT_UNKNOWN)
        self.assertEqual(output.getvalue().count("unknown"), 2)

    def test_all_broken_seeds_are_counted_and_events_shown_once(self):
        results = [result("a", 0), result("a", 1, "x"), result("a", 2, "y"), result("b", 0)]
        with contextlib.redirect_stdout(io.StringIO()) as output:
            broken = cli._report_runs(results)
        self.assertEqual(broken, ["a"])
        text = output.getvalue()
        self.assertIn("a: broken with 2 of 3 seeds (1, 2)", text)
        self.assertIn("b: held, 1 seeds", text)
        self.assertEqual(text.count("what happened"), 1)
        self.assertEqual(text.count("promise order"), 2)


if __name__ == "__main__":
    unittest.main()
