"""Least-squares fits of lines and planes, with their coefficient of determination."""

from __future__ import annotations

from typing import Sequence

from attrs import frozen

__all__ = ["Fit", "Point", "PlaneFit", "fit_line", "fit_plane"]


@frozen
class Point:
    """A measurement ``y`` at size ``x``."""

    x: float
    y: float


@frozen
class Fit:
    """The line ``y = base + slope * x``.

    :param r2: the share of the variance that the line explains, at most 1.
    """

    slope: float
    base: float
    r2: float
    points: tuple[Point, ...]

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.base + self.slope * x


@frozen
class PlaneFit:
    """The plane ``y = base + first * x1 + second * x2``."""

    first: float
    second: float
    base: float
    r2: float


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the least-squares line through three points or more."""
    if len(points) < 3:
        raise ValueError(f"a line fit needs at least 3 points, got {len(points)}")
    mean_x = sum(point.x for point in points) / len(points)
    mean_y = sum(point.y for point in points) / len(points)
    spread = sum((point.x - mean_x) ** 2 for point in points)
    slope = sum((p.x - mean_x) * (p.y - mean_y) for p in points) / spread
    base = mean_y - slope * mean_x
    r2 = _r2(
        [point.y for point in points], [base + slope * point.x for point in points]
    )
    return Fit(slope, base, r2, tuple(points))


def fit_plane(rows: Sequence[tuple[float, float, float]]) -> PlaneFit:
    """Return the least-squares plane through four ``(x1, x2, y)`` rows or more."""
    if len(rows) < 4:
        raise ValueError(f"a plane fit needs at least 4 rows, got {len(rows)}")
    sums = [[0.0] * 4 for _ in range(3)]
    for first, second, value in rows:
        terms = (1.0, first, second)
        for i in range(3):
            for j in range(3):
                sums[i][j] += terms[i] * terms[j]
            sums[i][3] += terms[i] * value
    base, first_slope, second_slope = _solve(sums)
    fitted = [base + first_slope * x1 + second_slope * x2 for x1, x2, _ in rows]
    return PlaneFit(
        first_slope, second_slope, base, _r2([row[2] for row in rows], fitted)
    )


def _solve(rows: list[list[float]]) -> tuple[float, float, float]:
    """Solve three linear equations by Gauss-Jordan elimination with pivoting."""
    for i in range(3):
        pivot = max(range(i, 3), key=lambda k: abs(rows[k][i]))
        rows[i], rows[pivot] = rows[pivot], rows[i]
        for k in range(3):
            if k != i:
                factor = rows[k][i] / rows[i][i]
                rows[k] = [a - factor * b for a, b in zip(rows[k], rows[i])]
    return (
        rows[0][3] / rows[0][0],
        rows[1][3] / rows[1][1],
        rows[2][3] / rows[2][2],
    )


def _r2(values: Sequence[float], fitted: Sequence[float]) -> float:
    mean = sum(values) / len(values)
    total = sum((value - mean) ** 2 for value in values)
    if total == 0:
        return 1.0
    return 1 - sum((a - b) ** 2 for a, b in zip(values, fitted)) / total
