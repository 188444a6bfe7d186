"""A running generation goes on along another path when an engine of its own is lost."""

__all__ = ["change_path", "kv_cache_demand"]

import logging
from collections.abc import Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.admission import choose_detour
from wigeonscale.direct.crashing import note_aborted_run
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.runs import Run
from wigeonscale.layers import Part
from wigeonscale.ports.orders import OrderOutcome

logger = logging.getLogger(__name__)


def kv_cache_demand(job: Job, path: Sequence[Part]) -> dict[str, float]:
    """Return the memory that a run takes of each engine, in tokens times layers."""
    tokens = job.req.generation.prompt + job.req.generation.expected
    return {part.backend_id: float(tokens * part.layers.count) for part in path}


async def change_path(ctx: EntryContext, job: Job, run: Run, path: list[Part]) -> bool:
    """Take a run off its lost engines while it goes on.

    Args:
        ctx: What the flows share.
        job: The request.
        run: Its send in progress.
        path: Where that runs; changed in place with it.

    Returns:
        Whether it was done; else the request has to be sent anew.
    """
    detour = choose_detour(ctx, job, path)
    if detour is None:
        return False
    kept = {part.backend_id for part in detour}
    lost = [part.backend_id for part in path if part.backend_id not in kept]
    note_aborted_run(ctx, job, run, lost)
    if ctx.crashes.refused_for(job.fingerprint):
        # Not handed to further engines; the flow refuses it.
        return False
    fleet = ctx.fleet()
    outcome = await ctx.orders.change_path(
        fleet.by_id[path[0].backend_id].address,
        request_id=job.req.request_id,
        path=detour,
        addresses=[fleet.by_id[part.backend_id].address for part in detour],
    )
    is_done = outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS_ALREADY)
    logger.info(
        "path of a generation changed" if is_done else "path not changed",
        extra=log_fields(
            request_id=job.req.request_id,
            outcome=outcome,
            path=",".join(part.backend_id for part in detour),
            quiet_s=round(ctx.clock.now() - run.progress_at, 3),
        ),
    )
    if is_done:
        path[:] = detour
        ctx.tracker.replace(
            run, tuple(part.backend_id for part in detour), kv_cache_demand(job, detour)
        )
    return is_done
