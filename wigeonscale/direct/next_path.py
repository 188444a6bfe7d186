"""Choice of the path for the next send of a generation, with bounded waits."""

__all__ = ["NO_PATH_RETRY_AFTER_S", "next_path", "service_level_of"]

import dataclasses
import functools
import logging
import math

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS, priority_label
from wigeonscale.direct.admission import PathChoice, choose_path_for, overloaded_error
from wigeonscale.direct.admission_queue import DEFAULT_SERVICE_LEVEL
from wigeonscale.direct.class_reserves import is_class_below_floor
from wigeonscale.direct.crashing import backends_with_other_suspects
from wigeonscale.direct.interrupted import wait_for_room
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.recovery_choice import note_resumed, recovery_path
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.limits import ServiceLevel, derive_service_level

# Retry-After when no path covers all layers. A lost engine is detected, and its layers
# are loaded elsewhere, in one to three seconds.
NO_PATH_RETRY_AFTER_S = 1.0
# A request that must be finished waits this long for a path.
MAX_PATH_WAIT_S = 1.0
# A request suspected of crashing engines waits this long for a first engine where no
# other suspect is starting. By then a run that crashes nothing has gone on for 0.25 s
# and is no suspect any more.
MAX_ISOLATION_WAIT_S = 0.6
PATH_POLL_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


async def next_path(ctx: EntryContext, job: Job, progress: Progress) -> PathChoice:
    """Return the path of the next send; its ``path`` is never None.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress. A request that must be finished may get a path through
            full engines.

    Raises:
        WigeonscaleError: ``NO_BACKEND`` if no path covers all layers; ``OVERLOADED`` if
            the engines have no capacity.
    """
    await _wait_until_isolated(ctx, job, progress)
    if progress.must_finish:
        return await _wait_for_path(ctx, job, progress)
    return await _wait_for_capacity(ctx, job, progress)


def service_level_of(ctx: EntryContext, job: Job) -> ServiceLevel | None:
    """Return the service level of a request; its waits count from its arrival.

    Returns None if its service has no traffic classes.
    """
    if not ctx.has_classes(job.service.name):
        return None
    level = derive_service_level(job.route.target_s, job.route.gap_target_s)
    limit_s = job.deadline_at - job.req.arrived_at
    return dataclasses.replace(level, patience_s=min(level.patience_s, limit_s))


async def _wait_until_isolated(ctx: EntryContext, job: Job, progress: Progress) -> None:
    """Wait until a suspect can be isolated from others, or the wait times out."""
    give_up_at = min(ctx.clock.now() + MAX_ISOLATION_WAIT_S, job.deadline_at)
    while (
        backends_with_other_suspects(ctx, job)
        and _choose_isolated(ctx, job, progress) is None
        and ctx.clock.now() < give_up_at
    ):
        await ctx.clock.sleep(PATH_POLL_INTERVAL_S)


async def _wait_for_path(ctx: EntryContext, job: Job, progress: Progress) -> PathChoice:
    """Return a path as soon as there is one, even if its engines are full.

    With traffic classes, it waits for engines with room as long as its caller can.
    """
    give_up_at = job.deadline_at
    if not progress.is_held_by_caller:
        give_up_at = min(give_up_at, ctx.clock.now() + MAX_PATH_WAIT_S)
    choose = functools.partial(
        recovery_path,
        ctx,
        job,
        progress,
        otherwise=functools.partial(_choose, ctx, job, progress),
    )
    level = service_level_of(ctx, job)
    while True:
        if level is None:
            choice = choose()
        else:
            room_by = min(progress.waits_since + level.patience_s, job.deadline_at)
            began_at = ctx.clock.now()
            choice = await wait_for_room(
                ctx, job, progress, choose=choose, give_up_at=room_by
            )
            # The wait for room is not part of the wait for any path at all.
            give_up_at += ctx.clock.now() - began_at
            give_up_at = min(give_up_at, job.deadline_at)
            if ctx.clock.now() >= job.deadline_at:
                raise _deadline_error(job)
        if choice.path is not None:
            note_resumed(ctx, progress, choice.path)
            return choice
        if ctx.clock.now() >= give_up_at:
            raise _no_path_error(job, progress)
        await ctx.clock.sleep(PATH_POLL_INTERVAL_S)


async def _wait_for_capacity(
    ctx: EntryContext, job: Job, progress: Progress
) -> PathChoice:
    """Return a path on which all engines have capacity for a new request."""
    choice = _choose(ctx, job, progress)
    began_at = ctx.clock.now()
    level = service_level_of(ctx, job)
    waits_from = began_at if level is None else job.req.arrived_at
    waits = level or DEFAULT_SERVICE_LEVEL
    patience_s = waits.patience_s - (began_at - waits_from)
    if choice.path is None and _throttled_for_s(ctx, choice) > patience_s:
        raise _no_capacity_error(ctx, job, progress, choice)
    service = job.service.name
    is_clear = ctx.admission_queue.is_clear_for(
        job.priority
    ) and not ctx.interrupted.goes_first(service, now=began_at)
    if choice.path is not None and not choice.full and is_clear:
        return choice
    ticket = _enqueue(ctx, job, progress, level)
    if level is not None:
        ctx.class_demand.note_waiting(job, +1)
    demote_at = waits_from + waits.on_time_wait_s
    give_up_at = min(waits_from + waits.patience_s, job.deadline_at)
    admitted = None
    outcome = "cancelled"
    has_waited = False
    try:
        while True:
            is_next = ctx.admission_queue.is_next(
                ticket,
                is_below_floor=functools.partial(is_class_below_floor, ctx, job),
            )
            goes_first = ctx.interrupted.goes_first(service, now=ctx.clock.now())
            if is_next and not goes_first:
                choice = _choose(ctx, job, progress)
                if choice.path is not None and not choice.full:
                    admitted = True
                    outcome = "admitted"
                    break
                if choice.has_reserve:
                    ctx.admission_queue.hold(ticket, job.priority)
            now = ctx.clock.now()
            may_wait = now < give_up_at
            if may_wait and now >= demote_at:
                may_wait = ctx.admission_queue.demote(ticket)
                demote_at = give_up_at
            if not may_wait:
                # A request that came too late to wait says nothing about the waits.
                admitted = False if level is None or has_waited else None
                outcome = "rejected"
                _log_rejection(ctx, job, waited_s=now - began_at)
                raise _no_capacity_error(ctx, job, progress, choice)
            has_waited = True
            await ctx.admission_queue.wait()
    finally:
        ctx.admission_queue.release(ticket, admitted=admitted)
        if level is not None:
            ctx.class_demand.note_waiting(job, -1)
        if level is not None and has_waited:
            METRICS.capacity_waits.add(
                priority=priority_label(job.priority), outcome=outcome
            )
    logger.info(
        "waited for engine capacity",
        extra=log_fields(
            request_id=job.req.request_id,
            outcome="room",
            waited_s=round(ctx.clock.now() - began_at, 3),
        ),
    )
    return choice


def _log_rejection(ctx: EntryContext, job: Job, *, waited_s: float) -> None:
    queue = ctx.admission_queue
    logger.info(
        "waited for engine capacity",
        extra=log_fields(
            request_id=job.req.request_id,
            outcome="rejected",
            waited_s=round(waited_s, 3),
            waiting=len(queue),
            late=queue.late_count,
            late_admitted=queue.late_admitted_count,
        ),
    )


def _enqueue(
    ctx: EntryContext, job: Job, progress: Progress, level: ServiceLevel | None
) -> int:
    """Add a request to the admission queue and return its ticket."""
    try:
        return ctx.admission_queue.enqueue(
            organisation=job.organisation_name,
            priority=job.priority,
            running=ctx.stalls.running,
            level=level,
        )
    except WigeonscaleError as exc:
        may_have_run = bool(progress.ran_on)
        raise overloaded_error(
            ctx, job, exc.message, may_have_run=may_have_run
        ) from None


def _choose(ctx: EntryContext, job: Job, progress: Progress) -> PathChoice:
    choice = _choose_isolated(ctx, job, progress) or choose_path_for(
        ctx, job, lost=progress.lost, ran_on=progress.ran_on
    )
    if choice.path is None and progress.lost and progress.is_held_by_caller:
        # An engine that could not be reached may only have been silent.
        choice = choose_path_for(ctx, job, lost=(), ran_on=progress.ran_on)
    return choice


def _choose_isolated(
    ctx: EntryContext, job: Job, progress: Progress
) -> PathChoice | None:
    """Return a path for a suspect that begins where no other suspect is starting.

    Returns None if there is no such path, or no need for one.
    """
    others = backends_with_other_suspects(ctx, job)
    if not others:
        return None
    lost = progress.lost | others
    choice = choose_path_for(ctx, job, lost=lost, ran_on=progress.ran_on)
    return choice if choice.path is not None else None


def _no_path_error(job: Job, progress: Progress) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.NO_BACKEND,
        f"no path covers all layers of {job.service.name}",
        run_state=RunState.UNKNOWN if progress.ran_on else RunState.NOT_RUN,
        retry_after=NO_PATH_RETRY_AFTER_S,
    )


def _deadline_error(job: Job) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.DEADLINE_EXCEEDED,
        f"deadline passed before {job.service.name} had room for the stream",
        run_state=RunState.UNKNOWN,
    )


def _no_capacity_error(
    ctx: EntryContext, job: Job, progress: Progress, choice: PathChoice
) -> WigeonscaleError:
    if choice.path is None and not choice.throttled:
        return _no_path_error(job, progress)
    throttled_for_s = _throttled_for_s(ctx, choice)
    # Neither, if the path has capacity but other requests go first.
    names = choice.full or choice.throttled or (job.service.name,)
    return overloaded_error(
        ctx,
        job,
        f"no capacity for a request at {', '.join(names)}",
        may_have_run=bool(progress.ran_on),
        min_wait_s=throttled_for_s if math.isfinite(throttled_for_s) else 0.0,
    )


def _throttled_for_s(ctx: EntryContext, choice: PathChoice) -> float:
    """Return the time until a throttled engine accepts requests, in seconds.

    It is 0 if there is a path, and infinite if no wait will give one.
    """
    if choice.path is not None:
        return 0.0
    waits_s = [ctx.notices.send_delay_s(name) for name in choice.throttled]
    return min(waits_s, default=math.inf)
