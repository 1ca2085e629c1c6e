"""Least-squares fits from which the figures of docs/CAPACITY.md are computed."""

import unittest

from benchmarks.capacity.fitting import Point, fit_line, fit_plane


class FitTests(unittest.TestCase):
    def test_line_fit_recovers_coefficients_and_r2(self):
        """Collinear points give the exact line; scattered points lower ``r2``."""
        exact = fit_line([Point(x, 3 + 2 * x) for x in (1, 4, 9)])
        self.assertAlmostEqual(exact.slope, 2)
        self.assertAlmostEqual(exact.base, 3)
        self.assertAlmostEqual(exact.r2, 1)
        noisy = fit_line([Point(1, 0), Point(2, 9), Point(3, 1)])
        self.assertLess(noisy.r2, 0.2)

    def test_line_fit_requires_three_points(self):
        """A line through two points always fits exactly, so ``r2`` says nothing."""
        with self.assertRaises(ValueError):
            fit_line([Point(1, 1), Point(2, 2)])

    def test_plane_fit_separates_two_variables(self):
        """The costs per request and per token are separate coefficients."""
        rows = [
            (r, t, 0.5 + 2 * r + 0.25 * t) for r, t in ((1, 5), (2, 3), (4, 4), (6, 9))
        ]
        plane = fit_plane(rows)
        self.assertAlmostEqual(plane.first, 2)
        self.assertAlmostEqual(plane.second, 0.25)
        self.assertAlmostEqual(plane.base, 0.5)
