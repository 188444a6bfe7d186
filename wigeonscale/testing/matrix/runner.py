"""Runs matrix cells on in-process deployments and collects the results."""

__all__ = ["CellResult", "run_cells"]

import asyncio
import logging
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wigeonscale.testing.matrix.cluster import Cluster
from wigeonscale.testing.matrix.faults import FAULTS
from wigeonscale.testing.matrix.load import apply_rules
from wigeonscale.testing.matrix.steps import Step
from wigeonscale.testing.matrix.table import Cell
from wigeonscale.testing.matrix.trial import Trial, wait_until_ready
from wigeonscale.testing.traces import Violation

RUN_TIMEOUT_S = 120.0

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class CellResult:
    """The result of one cell.

    Attributes:
        fault: Row.
        step: Column.
        runs: Number of runs.
        violations: Violations found, prefixed with the name of the run.
        seconds: Duration of all runs, in seconds.
        reason: Why the cell was not run, or empty.
    """

    fault: str
    step: str
    runs: int = 0
    violations: list[str] = field(default_factory=list)
    seconds: float = 0.0
    reason: str = ""


class _Deployment:
    """Reuses one cluster until a run fails, then creates a new one."""

    def __init__(self):
        self.cluster: Cluster | None = None
        self._folder: tempfile.TemporaryDirectory | None = None

    async def ready(self) -> Cluster:
        if self.cluster is None:
            self._folder = tempfile.TemporaryDirectory(prefix="wigeonscale-matrix-")
            self.cluster = Cluster(folder=self._folder.name)
            await self.cluster.start()
            await apply_rules(self.cluster, 0)
        await wait_until_ready(self.cluster)
        return self.cluster

    async def discard(self) -> None:
        if self.cluster is not None:
            await self.cluster.close()
            self._folder.cleanup()
        self.cluster = None


async def run_cells(
    cells: Iterable[Cell], *, on_result: Callable[[CellResult], None]
) -> None:
    """Run cells one after the other; a violation leads to a new deployment.

    Args:
        cells: The cells.
        on_result: Called with the result of each cell.
    """
    deployment = _Deployment()
    try:
        for cell in cells:
            result = CellResult(fault=cell.fault, step=cell.step, reason=cell.reason)
            started_at = time.monotonic()
            for variant, role in cell.runs:
                found = await _run(deployment, cell.fault, variant, role)
                result.runs += 1
                result.violations += [f"{variant.name}/{role}: {v}" for v in found]
                if found:
                    await deployment.discard()
            result.seconds = time.monotonic() - started_at
            on_result(result)
    finally:
        await deployment.discard()


async def _run(
    deployment: _Deployment, fault: str, variant: Step, role: str
) -> list[Violation]:
    trial: Trial | None = None
    try:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            cluster = await deployment.ready()
            trial = Trial(cluster=cluster, fault=FAULTS[fault], role=role)
            await variant.run(trial)
            await trial.end_fault()
            return await trial.finish()
    except Exception as exc:
        # An exception is reported as a violation of this run; the matrix continues.
        logger.exception(
            "run of fault %s at step %s (role %s) failed", fault, variant.name, role
        )
        return [Violation("run", f"{type(exc).__name__}: {exc}")]
    finally:
        if trial is not None:
            await trial.close()
