"""Estimates add up, slopes are found in reports, and a page takes the tables."""

import json
import tempfile
import unittest
from pathlib import Path

from passlane.bench.capacity.estimate import Constant, Estimate, Term, estimate_sum
from passlane.bench.capacity.page import (
    BEGIN_MARK,
    END_MARK,
    PageError,
    figures_text,
    replace_figures,
)
from passlane.bench.capacity.slopes import MeasuredLine, MissingSlopeError, Slopes, load_slopes
from passlane.bench.straight_line import Line, Point


def line(name: str, x_unit: str = "calls", intercept: float = 2.0, slope: float = 0.5) -> Line:
    points = (Point(0.0, intercept), Point(10.0, intercept + 10 * slope))
    return Line(name, x_unit, "bytes", intercept, slope, 0.0, points)


class FolderTest(unittest.TestCase):
    """A test with an empty folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="passlane-capacity-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)


class TermTest(unittest.TestCase):
    def test_value_is_the_line_at_x_times_the_factor(self) -> None:
        measured = MeasuredLine("some", line("a call"))
        self.assertEqual(502.0, Term(measured, 1_000.0).value)
        self.assertEqual(1_506.0, Term(measured, 1_000.0, 3.0, "3 replicas").value)

    def test_text_names_the_formula_its_factor_and_its_source(self) -> None:
        measured = MeasuredLine("some", line("a call"))
        self.assertEqual(
            "(2 + 0.5 * 1,000 calls) [some: a call]", Term(measured, 1_000.0).to_text()
        )
        self.assertEqual(
            "(2 + 0.5 * 1,000 calls) * 3 replicas [some: a call]",
            Term(measured, 1_000.0, 3.0, "3 replicas").to_text(),
        )

    def test_constant_is_written_with_what_it_is(self) -> None:
        self.assertEqual("1,234 (a message)", Constant(1_234.0, "a message").to_text())


class EstimateTest(unittest.TestCase):
    def estimate(self, bound: float | None) -> Estimate:
        terms = [Term(MeasuredLine("some", line("a call")), 10.0), Constant(3.0, "a message")]
        return estimate_sum("node", "memory", "bytes", iter(terms), "a cache", bound)

    def test_sum_adds_values_and_joins_their_working(self) -> None:
        expected = Estimate(
            role="node",
            quantity="memory",
            value=10.0,
            unit="bytes",
            working="(2 + 0.5 * 10 calls) [some: a call]; plus 3 (a message)",
            mechanism="a cache",
            bound=20.0,
        )
        self.assertEqual(expected, self.estimate(20.0))

    def test_bound_is_kept_up_to_its_value(self) -> None:
        fits = [self.estimate(bound).fits for bound in (None, 9.9, 10.0, 10.1)]
        self.assertEqual([None, False, True, True], fits)


class SlopesTest(FolderTest):
    def write(self, experiment: str, content: object) -> None:
        (self.folder / f"{experiment}.json").write_text(json.dumps(content))

    def as_fields(self, fitted: Line) -> dict[str, object]:
        points = [{"x": point.x, "y": point.y} for point in fitted.points]
        fields = {name: getattr(fitted, name) for name in Line.__struct_fields__}
        return {**fields, "points": points}

    def test_lines_are_found_at_any_depth_of_a_report(self) -> None:
        first, second, third = line("first"), line("second"), line("third")
        self.write("b", [self.as_fields(third)])
        self.write(
            "a",
            {
                "seconds": 3.0,
                "direct": self.as_fields(first),
                "nested": {"rows": [{"slope": 1.0}, [self.as_fields(second)], None]},
            },
        )
        expected = (MeasuredLine("a", first), MeasuredLine("a", second), MeasuredLine("b", third))
        self.assertEqual(expected, load_slopes(self.folder).lines)

    def test_line_is_found_by_experiment_name_and_unit(self) -> None:
        per_call, per_node = line("memory", "calls"), line("memory", "nodes")
        other = line("memory", "calls", slope=9.0)
        self.write("a", [self.as_fields(per_call), self.as_fields(per_node)])
        self.write("b", [self.as_fields(other)])
        slopes = load_slopes(self.folder)
        self.assertEqual(per_node, slopes.find("a", "memory", "nodes").line)
        self.assertEqual(other, slopes.find("b", "memory").line)

    def test_duplicate_and_missing_lines_are_refused(self) -> None:
        self.write("a", [self.as_fields(line("memory")), self.as_fields(line("memory"))])
        slopes = load_slopes(self.folder)
        with self.assertRaisesRegex(MissingSlopeError, "a has 2 lines 'memory'"):
            slopes.find("a", "memory")
        with self.assertRaisesRegex(MissingSlopeError, "a has 2 lines 'memory'"):
            slopes.find_prefix("a", "mem")
        with self.assertRaisesRegex(MissingSlopeError, "a has 0 lines 'disk'"):
            slopes.find("a", "disk")

    def test_prefix_must_fit_just_one_name(self) -> None:
        self.write("a", [self.as_fields(line("memory, 3")), self.as_fields(line("memory, 5"))])
        slopes = load_slopes(self.folder)
        self.assertEqual("memory, 5", slopes.find_prefix("a", "memory, 5").line.name)
        with self.assertRaisesRegex(MissingSlopeError, "a has 2 lines 'memory'..."):
            slopes.find_prefix("a", "memory")


class PageTest(FolderTest):
    def setUp(self) -> None:
        super().setUp()
        self.page = self.folder / "capacity.md"

    def test_text_round_the_marks_is_kept_when_figures_are_replaced(self) -> None:
        self.page.write_text(f"before\n{BEGIN_MARK}\nold\n{END_MARK}\nafter\n")
        for figures in ("new", "newer"):
            replace_figures(self.page, figures)
            expected = f"before\n{BEGIN_MARK}\n\n{figures}\n{END_MARK}\nafter\n"
            self.assertEqual(expected, self.page.read_text())

    def test_page_without_both_marks_in_order_is_refused_and_left_alone(self) -> None:
        for text in ("none", f"x {BEGIN_MARK} y", f"x {END_MARK} y", f"{END_MARK}{BEGIN_MARK}"):
            with self.subTest(text):
                self.page.write_text(text)
                with self.assertRaises(PageError):
                    replace_figures(self.page, "new")
                self.assertEqual(text, self.page.read_text())

    def test_tables_say_what_fits_and_where_it_comes_from(self) -> None:
        measured = MeasuredLine("some", line("a call"))
        estimates = [
            Estimate("node", "memory", 2e6, "bytes", "working", "a cache", 1e6),
            Estimate("node", "processor", 0.5, "core", "working", "a loop", 1.0),
        ]
        text = figures_text(estimates, Slopes([measured]))
        self.assertIn("| memory | 2 MB | 1 MB | **no** | working | a cache |", text)
        self.assertIn(
            "| processor | 50% of a core | 100% of a core | yes | working | a loop |", text
        )
        self.assertIn("| `some` | a call | 0: 2, 10: 7 | 2 + 0.5 * calls, in bytes | 0 |", text)
        self.assertEqual(1, text.count("### node\n"))


if __name__ == "__main__":
    unittest.main()
