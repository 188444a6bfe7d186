"""Runs the matrix cells that need real processes, one after the other."""

__all__ = ["run_process_cells", "uncovered_process_cells"]

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

from wigeonscale.testing.matrix.process_runs import PROCESS_CELLS, ProcessCell, Run
from wigeonscale.testing.matrix.processes import Processes
from wigeonscale.testing.matrix.runner import CellResult
from wigeonscale.testing.matrix.steps import STEPS

RUN_TIMEOUT_S = 240.0
NOT_REACHABLE = (
    "a step inside a process can't be met from outside; see the rows in one process"
)

logger = logging.getLogger(__name__)


def uncovered_process_cells() -> list[CellResult]:
    """Return the cells of the real-process rows that have no runs."""
    covered = {(cell.fault, cell.step) for cell in PROCESS_CELLS}
    faults = dict.fromkeys(cell.fault for cell in PROCESS_CELLS)
    return [
        CellResult(fault=fault, step=step, reason=NOT_REACHABLE)
        for fault in faults
        for step in STEPS
        if (fault, step) not in covered
    ]


async def run_process_cells(
    cells: Iterable[ProcessCell], *, on_result: Callable[[CellResult], None]
) -> None:
    """Run cells one after the other; a violation leads to a new deployment.

    Args:
        cells: The cells.
        on_result: Called with the result of each cell.
    """
    system: Processes | None = None
    try:
        for cell in cells:
            result = CellResult(fault=cell.fault, step=cell.step)
            started_at = time.monotonic()
            for name, run in cell.runs.items():
                system, found = await _run(system, run)
                result.runs += 1
                result.violations += [f"{name}: {violation}" for violation in found]
                if found:
                    await system.close()
                    system = None
            result.seconds = time.monotonic() - started_at
            on_result(result)
    finally:
        if system is not None:
            await system.close()


async def _run(system: Processes | None, run: Run) -> tuple[Processes, list[str]]:
    is_new = system is None
    system = system or Processes()
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            if is_new:
                await system.start()
            return system, [str(violation) for violation in await run(system)]
    except Exception as exc:
        # An exception is reported as a violation of this run; the matrix continues.
        logger.exception("run with real processes failed")
        return system, [f"run: {type(exc).__name__}: {exc}"]
