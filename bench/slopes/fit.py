"""Least-squares lines through measured points."""

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
        per: Unit of x, for example ``"watcher"``.
        unit: Unit of y.
        points: Measured pairs (x, y).
        slope: Increase of y per unit of x.
        intercept: y of the line at x = 0.
        residual: Root mean square of the vertical distances of the points from the
            line, in the unit of y.
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
        per: Unit of x.
        unit: Unit of y.
        points: Pairs (x, y) with at least two different x.

    Returns:
        The line with its points.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = math.sqrt(statistics.fmean(squares))
    return Slope(name, per, unit, tuple(points), slope, intercept, residual)
