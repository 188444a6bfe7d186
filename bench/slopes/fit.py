"""Straight lines through measured points."""

__all__ = ["Slope", "fit"]

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost measured at several sizes, and the line through it.

    Attributes:
        name: What was measured, for example ``"control/watcher/cpu"``.
        per: What one step along x is, for example ``"watcher"``.
        unit: Unit of y.
        points: (x, y) as measured.
        slope: Growth of y for one more x.
        intercept: y at x = 0, by the line.
        residual: Root mean square distance of the points from the line, in the
            unit of y.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float


def fit(name: str, per: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through points.

    Args:
        name: What was measured.
        per: What one step along x is.
        unit: Unit of y.
        points: (x, y) with at least two different x.

    Returns:
        The line with its points.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = math.sqrt(statistics.fmean(squares))
    return Slope(name, per, unit, tuple(points), slope, intercept, residual)
