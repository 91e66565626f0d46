"""A line is fitted by least squares through what was measured, in the sizes' order."""

import unittest

from passlane.bench.straight_line import Point, fit_line, measure_line


class FitLineTest(unittest.TestCase):
    def test_points_on_a_line_give_that_line(self) -> None:
        fitted = fit_line("a", "calls", "bytes", [Point(0.0, 3.0), Point(2.0, 7.0)])
        self.assertEqual((3.0, 2.0, 0.0), (fitted.intercept, fitted.slope, fitted.largest_residual))
        self.assertEqual(23.0, fitted.at(10.0))

    def test_points_beside_the_line_give_the_least_squares_and_the_residual(self) -> None:
        points = [Point(0.0, 0.0), Point(1.0, 3.0), Point(2.0, 0.0)]
        fitted = fit_line("a", "calls", "bytes", points)
        self.assertEqual((1.0, 0.0, 2.0), (fitted.intercept, fitted.slope, fitted.largest_residual))


class MeasureLineTest(unittest.TestCase):
    def test_each_size_is_measured_once_in_order(self) -> None:
        asked: list[int] = []

        def measure(size: int) -> float:
            asked.append(size)
            return 1.0 + 2.0 * size

        measured = measure_line("a", "calls", "bytes", (4, 1, 2), measure)
        self.assertEqual([4, 1, 2], asked)
        self.assertEqual((Point(4, 9.0), Point(1, 3.0), Point(2, 5.0)), measured.points)
        self.assertAlmostEqual(2.0, measured.slope)
        self.assertAlmostEqual(1.0, measured.intercept)


if __name__ == "__main__":
    unittest.main()
