"""Relays generations to callers and resumes them when their path is lost.

A lost engine breaks many streams at once. Each of them resumes on a path without that
engine, after the last event that its caller has. See ``stalls`` for the detection of
lost engines.
"""

__all__ = ["relay_stream"]

import asyncio
import functools
import logging
from collections.abc import Iterator
from contextlib import aclosing, contextmanager

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.admission import PathChoice
from wigeonscale.direct.crashing import (
    clear_suspect,
    note_aborted_run,
    note_broken_run,
    note_event,
    raise_if_crashing,
    wait_for_crash_trial,
)
from wigeonscale.direct.detour import kv_cache_demand
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.leaving import leave_engines
from wigeonscale.direct.next_path import next_path
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.recovery_choice import draw_next_send
from wigeonscale.direct.retry_wait import wait_for_retry
from wigeonscale.direct.runs import Run
from wigeonscale.errors import WigeonscaleError
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import (
    BackendStream,
    CallOutcome,
    ExchangeError,
    FullResponse,
    ResponseSink,
    StreamEvent,
)
from wigeonscale.routes import needs_early_detection

logger = logging.getLogger(__name__)


class _GivenUpError(ExchangeError):
    """This entry ended a run for want of events."""


async def relay_stream(ctx: EntryContext, job: Job, sink: ResponseSink) -> Progress:
    """Relay a generation to its caller, completely or with an error.

    Args:
        ctx: Context of the entry.
        job: The request.
        sink: Receives the response.

    Returns:
        The progress of the request, whose caller has the complete response.

    Raises:
        WigeonscaleError: The request failed. If the response has begun, the connection
            must be cut.
    """
    progress = Progress(last_id=job.req.last_event_id)
    try:
        return await _relay_sends(ctx, job, sink, progress)
    except BaseException as exc:
        if progress.is_begun:
            _log_incomplete(ctx, job, progress, exc)
        raise
    finally:
        # A request that no engine ran held no capacity.
        if progress.ran_on and ctx.has_classes(job.service.name):
            ctx.class_demand.note_released(job)


async def _relay_sends(
    ctx: EntryContext, job: Job, sink: ResponseSink, progress: Progress
) -> Progress:
    """Send a request until its caller has the complete response; return its progress.

    Raises:
        WigeonscaleError: The request failed.
    """
    while True:
        await wait_for_crash_trial(ctx, job)
        # Checked again after the wait for a path.
        raise_if_crashing(ctx, job, may_have_run=bool(progress.ran_on))
        choice = await next_path(ctx, job, progress)
        raise_if_crashing(ctx, job, may_have_run=bool(progress.ran_on))
        path = choice.path
        progress.note_send(ctx.clock.now())
        if progress.sends == 1 and ctx.has_classes(job.service.name):
            ctx.class_demand.note_admitted(job)
        try:
            if await _send_once(ctx, job, sink, progress, choice):
                return progress
        except ExchangeError as exc:
            _note_failure(ctx, job, progress, path, exc)
            await wait_for_retry(ctx, job, progress, exc)


async def _send_once(
    ctx: EntryContext,
    job: Job,
    sink: ResponseSink,
    progress: Progress,
    choice: PathChoice,
) -> bool:
    """Relay one send; return True once the caller has the complete response."""
    path = choice.path
    fleet = ctx.fleet()
    servers = [fleet.by_id[part.backend_id] for part in path]
    now = ctx.clock.now()
    if now >= job.deadline_at:
        raise ExchangeError(CallOutcome.NOT_SENT, "deadline passed before the send")
    is_split = path[0].layers.count > 0
    call = job.call(
        now=now,
        address=servers[0].address,
        backend_id=servers[0].name,
        path=tuple(path) if is_split else (),
        addresses=tuple(server.address for server in servers) if is_split else (),
        after_event=progress.last_id,
    )
    run = Run(
        tuple(part.backend_id for part in path),
        kv_cache_demand(job, path),
        expected_interval_s=choice.event_interval_s,
        fingerprint=job.fingerprint,
        has_gone_on=progress.has_gone_on,
        is_split=is_split,
        sent_at=now,
        detects_early=needs_early_detection(
            job.service.engine,
            job.route.gap_target_s,
            has_classes=ctx.has_classes(job.service.name),
        ),
    )
    run.leave = functools.partial(leave_engines, ctx, job, progress, run, path)
    logger.info(
        "generation sent",
        extra=log_fields(
            request_id=job.req.request_id,
            fingerprint=job.fingerprint.hex(),
            parts=",".join(job.part_ids),
            route=job.route.name,
            path=",".join(part.backend_id for part in path),
            after_event=progress.last_id,
            sends=progress.sends,
            held_back=",".join(choice.throttled),
        ),
    )
    ctx.crashes.note_sent(job.fingerprint, job.part_keys)
    ctx.tracker.begin(run)
    first = servers[0].backend_id
    ctx.limits.note_sent(first)
    note_notice = functools.partial(
        ctx.notices.note, first, request_id=job.req.request_id, sent_at=now
    )
    try:
        # The stall detector reschedules this timeout to abort the wait.
        async with asyncio.timeout(None) as run.wait_timeout:
            ctx.stalls.add(run)
            async with ctx.exchange.open(call) as stream:
                note_notice(stream.head.notice)
                progress.ran_on.add(first)
                is_whole = await _relay_events(ctx, job, sink, progress, run, stream)
        ctx.tracker.note_outcome(first, failed=False)
        if call.after_event is None:
            ctx.admission_queue.note_response_time(ctx.clock.now() - now)
        return is_whole
    except ExchangeError as exc:
        note_notice(exc.notice)
        if exc.outcome is CallOutcome.UNKNOWN:
            note_broken_run(ctx, job, run)
            if not run.has_events:
                ctx.tracker.note_unanswered(first)
        else:
            ctx.crashes.note_not_run(job.part_keys)
        is_begun = exc.outcome is CallOutcome.UNKNOWN or progress.must_finish
        if is_begun and exc.outcome is not CallOutcome.NOT_RUN:
            # Drawn while the run still counts as a stream of the lost engine.
            at_fault = _engine_at_fault(ctx, path, exc)
            draw_next_send(ctx, job, progress, path, {at_fault} - {""})
        raise
    except TimeoutError:
        if not run.wait_timeout.expired():
            raise
        progress.has_given_up = True
        # The run has ended since other engines respond, some of which may have failed
        # before; those that do not respond are avoided anyway.
        progress.lost.clear()
        note_aborted_run(ctx, job, run, (first,))
        pause_s = ctx.clock.now() - run.progress_at
        raise _GivenUpError(
            CallOutcome.UNKNOWN,
            f"no event from {servers[0].address} for {pause_s:.2f} s",
        ) from None
    finally:
        run.wait_timeout = None
        if run.leave_task is not None:
            run.leave_task.cancel()
        progress.has_gone_on = run.has_gone_on
        ctx.stalls.remove(run)
        ctx.tracker.end(run)


async def _relay_events(
    ctx: EntryContext,
    job: Job,
    sink: ResponseSink,
    progress: Progress,
    run: Run,
    stream: BackendStream,
) -> bool:
    if not 200 <= stream.head.status < 300:
        return await _relay_error_response(ctx, run, sink, progress, stream)
    async with aclosing(stream.events()) as events:
        async for event in events:
            run.note_progress(ctx.clock.now())
            if run.is_leaving:
                ctx.tracker.note_went_on(run.backend_ids)
            note_event(ctx, job, run)
            if not _is_next(progress, event):
                continue
            with _writing(ctx, run):
                if not progress.is_begun:
                    progress.is_begun = True
                    await sink.begin(stream.head)
                await sink.write(event.data)
                progress.note_event(ctx.clock.now(), event.event_id)
    clear_suspect(ctx, job)
    with _writing(ctx, run):
        if not progress.is_begun:
            progress.is_begun = True
            await sink.begin(stream.head)
        await sink.end()
    return True


@contextmanager
def _writing(ctx: EntryContext, run: Run) -> Iterator[None]:
    run.begin_write()
    try:
        yield
    finally:
        run.end_write(ctx.clock.now())


async def _relay_error_response(
    ctx: EntryContext,
    run: Run,
    sink: ResponseSink,
    progress: Progress,
    stream: BackendStream,
) -> bool:
    body = await stream.read_body()
    if progress.is_begun:
        raise ExchangeError(
            CallOutcome.UNKNOWN, f"status {stream.head.status} for a resumed stream"
        )
    with _writing(ctx, run):
        await sink.send(FullResponse(stream.head, body))
    return True


def _is_next(progress: Progress, event: StreamEvent) -> bool:
    """Return whether an event is the next one for the caller, not a duplicate.

    Raises:
        ExchangeError: If events before it are missing.
    """
    if event.event_id is None or progress.last_id is None:
        return True
    if event.event_id > progress.last_id + 1:
        raise ExchangeError(
            CallOutcome.UNKNOWN,
            f"event {event.event_id} follows event {progress.last_id}",
        )
    return event.event_id == progress.last_id + 1


def _note_failure(
    ctx: EntryContext,
    job: Job,
    progress: Progress,
    path: list[Part],
    exc: ExchangeError,
) -> None:
    if exc.outcome is CallOutcome.UNKNOWN:
        # It may have run there even if no response head was received.
        progress.ran_on.add(path[0].backend_id)
    at_fault = _engine_at_fault(ctx, path, exc)
    if at_fault and exc.outcome is CallOutcome.NOT_RUN and not exc.is_other_incarnation:
        ctx.tracker.note_refused(at_fault)
        if exc.failed_address:
            # It may lack capacity or be lost; a probe by control finds out.
            ctx.suspect(at_fault)
    elif at_fault and exc.outcome is CallOutcome.NOT_SENT and ctx.stalls.is_lagging:
        # This process may have been too slow to see the connection open.
        ctx.tracker.note_refused(at_fault)
    elif at_fault:
        ctx.tracker.note_lost(at_fault)
        ctx.suspect(at_fault)
    if at_fault:
        progress.lost.add(at_fault)
    logger.info(
        "generation broke: %s",
        exc.message,
        extra=log_fields(
            request_id=job.req.request_id,
            outcome=exc.outcome,
            status=exc.status,
            last_event=progress.last_id,
            blamed=at_fault,
            given_up=isinstance(exc, _GivenUpError),
            lagging=ctx.stalls.is_lagging,
        ),
    )


def _log_incomplete(
    ctx: EntryContext, job: Job, progress: Progress, exc: BaseException
) -> None:
    """Log why a response that its caller has in part is not completed."""
    if isinstance(exc, WigeonscaleError):
        cause = "given-up" if progress.has_given_up else "broken"
    elif isinstance(exc, asyncio.CancelledError):
        is_late = ctx.clock.now() >= job.deadline_at
        cause = "deadline" if is_late else "caller-left"
    elif isinstance(exc, ConnectionError):
        cause = "caller-left"
    else:
        cause = "internal"
    METRICS.incomplete_responses.add(cause=cause)
    logger.info(
        "response not completed",
        extra=log_fields(
            request_id=job.req.request_id,
            kind=exc.kind if isinstance(exc, WigeonscaleError) else "",
            outcome=cause,
            last_event=progress.last_id,
            pause_s=round(ctx.clock.now() - progress.waits_since, 3),
            sends=progress.sends,
            ran_on=",".join(sorted(progress.ran_on)),
            may_repeat=job.route.is_idempotent,
        ),
    )


def _engine_at_fault(ctx: EntryContext, path: list[Part], exc: ExchangeError) -> str:
    """Return the engine that caused a failure; empty if it is unknown."""
    named = ctx.fleet().by_address.get(exc.failed_address)
    if named is not None:
        return named.backend_id
    return "" if exc.outcome is CallOutcome.UNKNOWN else path[0].backend_id
