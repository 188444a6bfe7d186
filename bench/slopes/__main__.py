"""Measures the marginal costs (slopes) from which docs/CAPACITY.md is calculated.

Usage: ``python -m bench.slopes [family ...]``. A family is a module of this package.
Without arguments every family is measured and the table of figures in the page is
replaced; with arguments the figures are only printed.
"""

__all__ = ["main"]

import asyncio
import importlib
import os
import pathlib
import sys
import time

from bench.slopes.page import replace_between_markers, table

FAMILIES = (
    "idle",
    "watchers",
    "changes",
    "membership",
    "claims",
    "snapshots",
    "streams",
    "records",
)
PAGE = pathlib.Path("docs/CAPACITY.md")


def main(names: list[str]) -> int:
    """Measure and print the slopes; update the page if all families were measured.

    Args:
        names: Families to measure; empty for all.

    Returns:
        Exit code.
    """
    began = time.monotonic()
    load_before = os.getloadavg()[0]
    families = {}
    for name in names or FAMILIES:
        module = importlib.import_module(f"bench.slopes.{name}")
        families[name] = asyncio.run(module.measure())
        for slope in families[name]:
            print(_line(slope), flush=True)
    heading = (
        f"Run of {time.strftime('%Y-%m-%d %H:%M')}, {time.monotonic() - began:.0f} s on"
        f" {os.cpu_count()} cores; load average {load_before:.1f} before,"
        f" {os.getloadavg()[0]:.1f} after (the benchmark's own processes included)."
    )
    print(heading)
    if not names:
        replace_between_markers(PAGE, table(families, heading))
    return 0


def _line(slope) -> str:
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    return (
        f"{slope.name}: {slope.slope:.4g} {slope.unit} per {slope.per},"
        f" {slope.intercept:.4g} at 0, residual {slope.residual:.3g} [{points}]"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
