"""When a running generation leaves engines that may be lost.

A silent engine may be lost, or it may go on after a second. So a run that may go on
ends only once its request can be sent again: it may run again, other engines respond,
and the retry budget has a retry for it. Until then the run is rerouted if that becomes
possible, or waits.
"""

__all__ = ["leave_engines"]

import logging

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.admission import lost_engines, responds
from wigeonscale.direct.crashing import is_crashing
from wigeonscale.direct.detour import change_path
from wigeonscale.direct.fleet import BackendServer, Fleet
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.retry_wait import may_send_again
from wigeonscale.direct.runs import Run
from wigeonscale.layers import Part

# Retries are released by other requests, and reserved at control within tens of
# milliseconds.
POLL_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


async def leave_engines(
    ctx: EntryContext,
    job: Job,
    progress: Progress,
    run: Run,
    path: list[Part],
) -> bool:
    """Wait until a run can leave its engines, or gets an event again.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress; updated if a retry was taken from the budget.
        run: Its send in progress.
        path: The path of the run; updated in place if it was rerouted.

    Returns:
        Whether the wait of the run for events is to be aborted, because its request can
        be sent again.
    """
    events = run.events
    began_at = ctx.clock.now()
    tried: tuple[set[str], Fleet] | None = None
    outcome = "went-on"
    while run.events == events:
        lost, fleet = lost_engines(ctx, path), ctx.fleet()
        is_new = tried is None or lost != tried[0] or fleet is not tried[1]
        if run.is_split and lost and is_new:
            tried = lost, fleet
            if await change_path(ctx, job, progress, run, path):
                progress.reroutes += 1
                return False
        if await _may_end_run(ctx, job, progress, run) and run.events == events:
            outcome = "sent-again"
            break
        await ctx.clock.sleep(POLL_INTERVAL_S)
    waited_s = ctx.clock.now() - began_at
    if waited_s > 0:
        logger.info(
            "silent run waited to be sent again",
            extra=log_fields(
                request_id=job.req.request_id,
                outcome=outcome,
                waited_s=round(waited_s, 3),
                last_event=progress.last_id,
            ),
        )
    return outcome == "sent-again"


async def _may_end_run(
    ctx: EntryContext, job: Job, progress: Progress, run: Run
) -> bool:
    """Return whether a run may end, with a retry for its request if it has one."""
    if run.is_writing:
        # The caller reads slowly, and events may have arrived meanwhile.
        return False
    if progress.is_begun and ctx.crashes.is_suspect_elsewhere(
        job.fingerprint, run.backend_ids
    ):
        # It may be rejected instead of being sent again, which would cut its response.
        # That it left engines of this run after its start is no crash that adds up.
        return False
    if is_crashing(ctx, job):
        return not progress.is_begun
    # A run that is in progress may have done work, whatever its caller has of it.
    if not job.route.is_idempotent or not may_send_again(job, progress):
        return False
    if not _has_responding_path(ctx, job, progress, run):
        return False
    if progress.holds_retry(ctx.clock.now()):
        return True
    if not await ctx.budget.acquire(job.service.name, is_begun=True):
        return False
    progress.hold_retry(ctx.clock.now())
    return True


def _has_responding_path(
    ctx: EntryContext, job: Job, progress: Progress, run: Run
) -> bool:
    """Return whether engines that respond hold all layers of a next path.

    Its first engine must accept requests now.

    Notes:
        Linear in the engines of the service. It does not look for the path itself,
        which takes milliseconds, and which the next send does.
    """
    servers = [
        server
        for server in ctx.fleet().by_service.get(job.service.name, ())
        if responds(ctx, server)
    ]
    ran_on = progress.ran_on | {run.backend_ids[0]}
    first = [
        server
        for server in servers
        if server.layers.first == 0
        and (len(ran_on) < job.route.max_attempts or server.backend_id in ran_on)
        and _may_begin_at(ctx, server)
    ]
    if not first:
        return False
    layers = job.service.engine.layers if run.is_split else 0
    end = max(server.layers.end for server in first)
    for server in sorted(servers, key=lambda server: server.layers.first):
        if server.layers.first > end:
            break
        end = max(end, server.layers.end)
    return end >= layers


def _may_begin_at(ctx: EntryContext, server: BackendServer) -> bool:
    """Return whether a path may begin at an engine now, and record the demand if not.

    Entries share the rate limit of an engine by demand.
    """
    if ctx.notices.may_send(server.backend_id):
        return True
    ctx.limits.note_demand(server.backend_id)
    return False
