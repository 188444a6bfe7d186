"""Wait of a generation for a retry from the retry budget."""

__all__ = ["may_send_again", "wait_for_retry"]

import logging

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.admission import capacity_retry_after_s
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.next_path import NO_PATH_RETRY_AFTER_S, service_level_of
from wigeonscale.direct.progress import MAX_SENDS, Progress
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import CallOutcome, ExchangeError

# A request that must be finished waits this long for a retry from the retry budget. The
# totals of all entries arrive twice a second, and callers disconnect after two seconds
# without an event.
MAX_RETRY_BUDGET_WAIT_S = 1.0
RETRY_BUDGET_POLL_INTERVAL_S = 0.1
# Delay before a send beyond the usual maximum; doubled for each further one.
RESEND_DELAY_S = 0.1
MAX_RESEND_DELAY_S = 1.0
# Status with which an engine refuses a generation for lack of capacity.
REFUSED_STATUS = 503

logger = logging.getLogger(__name__)


async def wait_for_retry(
    ctx: EntryContext, job: Job, progress: Progress, exc: ExchangeError
) -> None:
    """Return once the request may be retried.

    A lost engine may break more streams of this entry at once than its guaranteed
    retries cover. A request that must be finished waits for the next totals of the
    retry budget. A request that has not run is rejected at once, or, with traffic
    classes, once a response can no longer be in time. Both wait for control if it has
    been asked to reserve retries.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress; updated if a retry was taken from the budget before.
        exc: Failure of the last send.

    Raises:
        WigeonscaleError: The request may not be retried.
    """
    began_at = ctx.clock.now()
    if progress.sends >= MAX_SENDS and progress.is_held_by_caller:
        await ctx.clock.sleep(_resend_delay_s(progress.sends))
    give_up_at = _retry_wait_ends_at(ctx, job, progress)
    is_allowed = await _acquire_retry(ctx, job, progress)
    while not is_allowed and (now := ctx.clock.now()) < give_up_at:
        wait_s = RETRY_BUDGET_POLL_INTERVAL_S
        if not progress.must_finish:
            # The last check is due while the response can still be in time.
            wait_s = min(wait_s, give_up_at - now)
        await ctx.clock.sleep(wait_s)
        # Time in which this process did not run is no wait for control.
        late_s = ctx.clock.now() - now - wait_s
        give_up_at = min(give_up_at + max(0.0, late_s), job.deadline_at)
        is_allowed = await _acquire_retry(ctx, job, progress)
    waited_s = ctx.clock.now() - began_at
    if waited_s > 0 or not is_allowed:
        logger.info(
            "retry budget checked",
            extra=log_fields(
                request_id=job.req.request_id,
                outcome="allowed" if is_allowed else "not sent again",
                may_repeat=may_send_again(job, progress),
                sends=progress.sends,
                waited_s=round(waited_s, 3),
            ),
        )
    if not is_allowed:
        raise _final_error(ctx, job, progress, exc)


def _retry_wait_ends_at(ctx: EntryContext, job: Job, progress: Progress) -> float:
    """Return the local time until which a request may wait for the retry budget.

    It is the current time if waiting cannot help.
    """
    now = ctx.clock.now()
    if not may_send_again(job, progress):
        return now
    if progress.is_held_by_caller:
        return job.deadline_at
    if progress.must_finish:
        return min(now + MAX_RETRY_BUDGET_WAIT_S, job.deadline_at)
    level = service_level_of(ctx, job)
    if level is None:
        return now
    on_time_until = job.req.arrived_at + level.on_time_wait_s
    # With an earlier deadline, a response after the wait would be cut off.
    return on_time_until if on_time_until < job.deadline_at else now


def _resend_delay_s(sends: int) -> float:
    """Return the delay before the next send of a request with many sends."""
    return min(MAX_RESEND_DELAY_S, RESEND_DELAY_S * 2 ** (sends - MAX_SENDS))


def may_send_again(job: Job, progress: Progress) -> bool:
    """Return whether a request may be sent again, whatever the retry budget has.

    Args:
        job: The request.
        progress: Its progress.
    """
    if progress.sends >= MAX_SENDS and not progress.is_held_by_caller:
        return False
    return job.route.is_idempotent or not progress.ran_on


async def _acquire_retry(ctx: EntryContext, job: Job, progress: Progress) -> bool:
    """Take one retry from the budget if the request may be retried; return whether."""
    if ctx.clock.now() >= job.deadline_at or not may_send_again(job, progress):
        return False
    if progress.use_retry(ctx.clock.now()):
        return True
    return await ctx.budget.acquire(job.service.name, is_begun=progress.must_finish)


def _final_error(
    ctx: EntryContext, job: Job, progress: Progress, exc: ExchangeError
) -> WigeonscaleError:
    may_have_run = bool(progress.ran_on)
    if ctx.clock.now() >= job.deadline_at:
        kind = ErrorKind.DEADLINE_EXCEEDED
    else:
        kind = ErrorKind.BACKEND_FAILED if may_have_run else ErrorKind.NO_BACKEND
    wait_s = NO_PATH_RETRY_AFTER_S
    is_refused = exc.outcome is CallOutcome.NOT_RUN and exc.status == REFUSED_STATUS
    if kind is ErrorKind.NO_BACKEND and is_refused:
        wait_s = capacity_retry_after_s(ctx, job, default_s=NO_PATH_RETRY_AFTER_S)
    return WigeonscaleError(
        kind,
        exc.message,
        run_state=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        retry_after=wait_s,
    )
