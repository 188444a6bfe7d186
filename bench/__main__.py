"""Runs every benchmark module; ``make bench`` calls it.

Usage: ``python -m bench [module ...]``. A benchmark module is a module
of this package that defines ``measure() -> list[Figure]``.
"""

__all__ = ["main"]

import argparse
import importlib
import sys

from bench.report import print_figures, violations

MODULES: tuple[str, ...] = (
    "rules",
    "placement",
    "loads",
    "arrivals",
    "routing",
    "prefixes",
    "overload",
    "shares",
    "replication",
    "planned_stops",
    "pipeline",
    "prefill",
    "relay",
    "recovery",
)


def main(argv: list[str]) -> int:
    """Run the named benchmark modules, or all of them, and return the exit code.

    Args:
        argv: Module names within ``bench``; empty for all.

    Returns:
        0 when every figure is within its bounds, else 1.
    """
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    known = ", ".join(MODULES)
    parser.add_argument("module", nargs="*", help=f"one of {known}; default: all")
    failed = []
    for name in parser.parse_args(argv).module or MODULES:
        print(f"# {name}", flush=True)
        figures = importlib.import_module(f"bench.{name}").measure()
        print_figures(figures)
        failed += violations(figures)
    print(f"bench: out_of_bounds={len(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
