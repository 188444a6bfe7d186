"""Rerouting of a running generation around a lost engine."""

__all__ = ["change_path", "kv_cache_demand"]

import logging
from collections.abc import Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.admission import choose_detour, lost_engines
from wigeonscale.direct.crashing import is_crashing, note_aborted_run
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.recovery_choice import draw_next_send, move_cost, takes_detour
from wigeonscale.direct.runs import Run
from wigeonscale.layers import Part
from wigeonscale.ports.orders import OrderOutcome

logger = logging.getLogger(__name__)


def kv_cache_demand(job: Job, path: Sequence[Part]) -> dict[str, float]:
    """Return the KV cache demand by engine, in tokens times layers."""
    tokens = job.req.generation.prompt_tokens + job.req.generation.expected_tokens
    return {part.backend_id: float(tokens * part.layers.count) for part in path}


async def change_path(
    ctx: EntryContext, job: Job, progress: Progress, run: Run, path: list[Part]
) -> bool:
    """Reroute a run around its lost engines without a new send.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress; updated if the request must be sent again.
        run: Its send in progress.
        path: The path of the run; updated in place.

    Returns:
        Whether the path was changed; if not, the request must be sent again.
    """
    detour = choose_detour(ctx, job, path, move_cost=move_cost(ctx, job))
    if detour is None:
        draw_next_send(ctx, job, progress, path, lost_engines(ctx, path))
        return False
    kept = {part.backend_id for part in detour}
    lost = [part.backend_id for part in path if part.backend_id not in kept]
    note_aborted_run(ctx, job, run, lost)
    if is_crashing(ctx, job):
        # The request crashes engines, so it must not start on another one; relay_stream
        # rejects it.
        return False
    if not takes_detour(ctx, job, progress, path, detour):
        return False
    fleet = ctx.fleet()
    outcome = await ctx.orders.change_path(
        fleet.by_id[path[0].backend_id].address,
        backend_id=fleet.by_id[path[0].backend_id].name,
        request_id=job.req.request_id,
        path=detour,
        addresses=[fleet.by_id[part.backend_id].address for part in detour],
    )
    is_done = outcome in (OrderOutcome.STARTED, OrderOutcome.UNCHANGED)
    logger.info(
        "generation rerouted" if is_done else "generation not rerouted",
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
        if ctx.has_classes(job.service.name):
            METRICS.recovered_streams.add(way="detour")
    else:
        draw_next_send(ctx, job, progress, path, lost)
    return is_done
