"""The lines that docs/CAPACITY.md is worked out from."""

import unittest

from benchmarks.capacity.fitting import Point, fit_line, fit_plane


class FitTests(unittest.TestCase):
    def test_line_is_found_and_its_fit_told(self):
        """Points on a line give it back; points off it lower the fit."""
        exact = fit_line([Point(x, 3 + 2 * x) for x in (1, 4, 9)])
        self.assertAlmostEqual(exact.slope, 2)
        self.assertAlmostEqual(exact.base, 3)
        self.assertAlmostEqual(exact.r2, 1)
        noisy = fit_line([Point(1, 0), Point(2, 9), Point(3, 1)])
        self.assertLess(noisy.r2, 0.2)

    def test_two_sizes_are_no_line(self):
        """A slope from two points would hide that it is none."""
        with self.assertRaises(ValueError):
            fit_line([Point(1, 1), Point(2, 2)])

    def test_plane_parts_two_causes(self):
        """Costs of requests and of tokens are told apart."""
        rows = [
            (r, t, 0.5 + 2 * r + 0.25 * t) for r, t in ((1, 5), (2, 3), (4, 4), (6, 9))
        ]
        plane = fit_plane(rows)
        self.assertAlmostEqual(plane.first, 2)
        self.assertAlmostEqual(plane.second, 0.25)
        self.assertAlmostEqual(plane.base, 0.5)
