"""Runs the fault matrix and prints its table; used by ``make matrix``.

Usage: ``python -m wigeonscale.testing.matrix [--fault NAME] [--step NAME]``.
The exit code is 1 if any invariant was violated.
"""

__all__ = ["main"]

import argparse
import asyncio
import dataclasses
import json
import sys
import time

from wigeonscale.testing.matrix.faults import FAULTS
from wigeonscale.testing.matrix.process_runner import (
    run_process_cells,
    uncovered_process_cells,
)
from wigeonscale.testing.matrix.process_runs import PROCESS_CELLS
from wigeonscale.testing.matrix.report import print_table
from wigeonscale.testing.matrix.runner import CellResult, run_cells
from wigeonscale.testing.matrix.steps import STEPS
from wigeonscale.testing.matrix.table import cells

WORKERS = 4


def main(argv: list[str] | None = None) -> int:
    """Run the matrix, or selected rows and columns, and return the exit code."""
    parser = argparse.ArgumentParser(prog="matrix", description=__doc__)
    faults = [*FAULTS, *dict.fromkeys(cell.fault for cell in PROCESS_CELLS)]
    parser.add_argument("--fault", action="append", choices=faults)
    parser.add_argument("--step", action="append", choices=sorted(STEPS))
    parser.add_argument("--worker", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args(argv)
    faults, steps = set(args.fault or faults), set(args.step or STEPS)
    if args.worker:
        asyncio.run(_run_worker(faults, steps))
        return 0
    started_at = time.monotonic()
    results = asyncio.run(_run_in_workers(faults, steps))
    print(f"matrix: {time.monotonic() - started_at:.0f} s", flush=True)
    return print_table(results)


def _chosen(cells, faults: set[str], steps: set[str]) -> list:
    return [cell for cell in cells if cell.fault in faults and cell.step in steps]


async def _run_worker(faults: set[str], steps: set[str]) -> None:
    chosen = _chosen(cells(), faults, steps)
    await run_cells(chosen, on_result=_print_result)
    chosen = _chosen(PROCESS_CELLS, faults, steps)
    await run_process_cells(chosen, on_result=_print_result)


def _print_result(result: CellResult) -> None:
    print(json.dumps(dataclasses.asdict(result)), flush=True)


async def _run_in_workers(faults: set[str], steps: set[str]) -> list[CellResult]:
    """Run each row of cells in its own worker process."""
    semaphore = asyncio.Semaphore(WORKERS)
    rows: dict[str, list[str]] = {}
    for cell in _chosen([*PROCESS_CELLS, *cells()], faults, steps):
        rows.setdefault(cell.fault, []).append(cell.step)
    done = await asyncio.gather(
        *(_run_row(semaphore, fault, steps) for fault, steps in rows.items())
    )
    results = [result for row in done for result in row]
    return results + _chosen(uncovered_process_cells(), faults, steps)


async def _run_row(
    semaphore: asyncio.Semaphore, fault: str, steps: list[str]
) -> list[CellResult]:
    args = ["--worker", "--fault", fault]
    for step in steps:
        args += ["--step", step]
    async with semaphore:
        worker = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wigeonscale.testing.matrix",
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        out, _ = await worker.communicate()
    results = [CellResult(**json.loads(line)) for line in out.splitlines()]
    reported_steps = {result.step for result in results}
    exit_message = f"the worker ended with exit code {worker.returncode}"
    results += [
        CellResult(fault=fault, step=step, runs=1, violations=[exit_message])
        for step in steps
        if step not in reported_steps
    ]
    print(f"matrix: {fault} done", flush=True)
    return results


if __name__ == "__main__":
    sys.exit(main())
