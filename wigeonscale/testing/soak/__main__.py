"""Runs seeds of the soak test; the exit code is 1 if an invariant was violated.

Usage: ``python -m wigeonscale.testing.soak [--seeds 1-50] [--seconds 10]
[--classes yes] [--planned]``. Every third seed has traffic classes unless ``--classes``
is given.
"""

__all__ = ["main"]

import argparse
import asyncio
import pathlib
import sys
import tempfile

from wigeonscale.testing.soak.run import run_soak


def main(argv: list[str] | None = None) -> int:
    """Run the seeds one after the other and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="one seed, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=10.0, help="load of each")
    parser.add_argument("--classes", choices=("yes", "no"), help="else by the seed")
    parser.add_argument(
        "--planned", action="store_true", help="planned work and freezes only"
    )
    parser.add_argument("--keep", help="folder for logs; else those of broken runs")
    args = parser.parse_args(argv)
    first, _, last = args.seeds.partition("-")
    has_classes = None if args.classes is None else args.classes == "yes"
    bad = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = _folder(args.keep, seed)
        result = asyncio.run(
            run_soak(
                seed,
                seconds=args.seconds,
                folder=folder,
                has_classes=has_classes,
                is_planned=args.planned,
            )
        )
        verdict = "broken" if result.violations else "kept"
        print(f"seed {seed}: {verdict} {result.answers}", flush=True)
        for promise in result.violations:
            print(f"  {promise} (logs in {folder})", flush=True)
        bad += bool(result.violations)
    print(f"soak: {bad} seeds with a broken promise")
    return 1 if bad else 0


def _folder(keep: str | None, seed: int) -> pathlib.Path:
    if keep is None:
        return pathlib.Path(tempfile.mkdtemp(prefix=f"wigeonscale-soak-{seed}-"))
    folder = pathlib.Path(keep) / f"seed-{seed}"
    folder.mkdir(parents=True)
    return folder


if __name__ == "__main__":
    sys.exit(main())
