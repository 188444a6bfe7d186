"""Benchmark figures, their bounds and their printed form."""

__all__ = ["Figure", "print_figures", "violations"]

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: What was measured, for example ``"placement/hard/achieved"``.
        value: The measured value.
        unit: Its unit, for example ``"ratio"``, ``"us"`` or ``"MB"``.
        low: Smallest value allowed, or None. Only counts and ratios have bounds;
            times depend on the machine and are only reported.
        high: Largest value allowed, or None.
    """

    name: str
    value: float
    unit: str
    low: float | None = None
    high: float | None = None

    def within_bounds(self) -> bool:
        """Return whether the figure is within its bounds."""
        above = self.low is None or self.value >= self.low
        below = self.high is None or self.value <= self.high
        return above and below


def print_figures(figures: Iterable[Figure]) -> None:
    """Print one line per figure, with its bounds and whether it is within them."""
    for figure in figures:
        bounds = _bounds_text(figure)
        print(f"{figure.name:<58} {figure.value:>12.4g} {figure.unit:<10} {bounds}")


def violations(figures: Iterable[Figure]) -> list[Figure]:
    """Return the figures outside their bounds."""
    return [figure for figure in figures if not figure.within_bounds()]


def _bounds_text(figure: Figure) -> str:
    if figure.low is None and figure.high is None:
        return ""
    low = "" if figure.low is None else f"{figure.low:g} <= "
    high = "" if figure.high is None else f" <= {figure.high:g}"
    verdict = "ok" if figure.within_bounds() else "OUT OF BOUNDS"
    return f"[{low}x{high}] {verdict}"
