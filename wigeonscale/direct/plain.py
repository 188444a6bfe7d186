"""Requests to plain services: run at most once unless they are idempotent."""

__all__ = ["call_plain"]

import asyncio
import functools
import logging
import math
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.choice import choose_server
from wigeonscale.direct.crashing import (
    backends_with_other_suspects,
    clear_suspect,
    note_broken_run,
    raise_if_crashing,
)
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.runs import Run
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import (
    BackendCall,
    CallOutcome,
    ExchangeError,
    FullResponse,
)

# Fraction of the remaining time after which an attempt ends if another one can begin,
# so that a hanging server leaves time for it.
ATTEMPT_TIME_FRACTION = 0.45
# The same for the last attempt if another server has returned an error, which must
# reach the caller before its deadline.
LAST_ATTEMPT_TIME_FRACTION = 0.9
# Time after which it is checked again whether another attempt can begin.
POLL_INTERVAL_S = 0.1
# Lowest status of a server that failed. It does not show that a request can run.
INTERNAL_ERROR = 500
# Retry-After when no server accepted the request. A server that refuses is avoided for
# 0.4 s, and requests take some tens of milliseconds.
NO_SERVER_RETRY_AFTER_S = 0.3

logger = logging.getLogger(__name__)


async def call_plain(ctx: EntryContext, job: Job) -> FullResponse:
    """Return the response of a backend server.

    Args:
        ctx: Context of the entry.
        job: The request.

    Raises:
        WigeonscaleError: Run state ``NOT_RUN`` guarantees that no server has run the
            request or will run it.
    """
    tried: set[str] = set()
    attempts = 0
    may_have_run = False
    failed: FullResponse | None = None
    has_retry = False

    async def may_begin_another() -> bool:
        nonlocal has_retry
        if not _may_retry(job) or attempts >= job.route.max_attempts:
            return False
        if _next_server(ctx, job, tried) is None:
            return False
        has_retry = has_retry or await ctx.budget.acquire(job.service.name)
        return has_retry

    while True:
        if failed is None:
            raise_if_crashing(ctx, job, may_have_run=may_have_run)
        server = _next_server(ctx, job, tried)
        if server is None or attempts >= job.route.max_attempts:
            break
        if attempts and not has_retry:
            has_retry = await ctx.budget.acquire(job.service.name)
            if not has_retry:
                break
        has_retry = False
        tried.add(server.backend_id)
        attempts += 1
        try:
            response = await _send(
                ctx,
                job,
                server,
                may_begin_another=may_begin_another,
                has_response=failed is not None,
            )
        except ExchangeError as exc:
            _note_failure(ctx, job, server, exc)
            if exc.outcome is CallOutcome.NOT_SENT:
                attempts -= 1
                continue
            may_have_run = may_have_run or exc.outcome is CallOutcome.UNKNOWN
            if may_have_run and not job.route.is_idempotent:
                break
            continue
        is_failure = response.head.status >= INTERNAL_ERROR
        ctx.tracker.note_outcome(server.backend_id, failed=is_failure)
        if not is_failure:
            return response
        logger.info(
            "backend server returned an error",
            extra=log_fields(
                request_id=job.req.request_id,
                backend=server.backend_id,
                status=response.head.status,
                attempts=attempts,
                failures=round(ctx.tracker.lookup(server.backend_id).failure_rate, 3),
                outcome="may go on" if job.route.is_idempotent else "handed on",
            ),
        )
        failed, may_have_run = response, True
        if not job.route.is_idempotent:
            return response
    if failed is not None:
        return failed
    raise _final_error(ctx, job, may_have_run)


def _next_server(ctx: EntryContext, job: Job, tried: set[str]) -> BackendServer | None:
    def choose(tried: set[str]) -> BackendServer | None:
        while True:
            server = choose_server(
                ctx.fleet().by_service.get(job.service.name, ()),
                tracker=ctx.tracker,
                domain=ctx.domain,
                entry_count=ctx.entry_count(),
                tried=tried,
            )
            if server is None or ctx.notices.may_send(server.backend_id):
                return server
            ctx.limits.note_demand(server.backend_id)
            tried = tried | {server.backend_id}

    # A plain service has few servers, so suspects are isolated only if possible.
    return choose(tried | backends_with_other_suspects(ctx, job)) or choose(tried)


async def _send(
    ctx: EntryContext,
    job: Job,
    server: BackendServer,
    *,
    may_begin_another: Callable[[], Awaitable[bool]],
    has_response: bool,
) -> FullResponse:
    now = ctx.clock.now()
    left_s = job.deadline_at - now
    if left_s <= 0:
        raise ExchangeError(CallOutcome.NOT_SENT, "deadline passed before the send")
    limit_s = left_s * LAST_ATTEMPT_TIME_FRACTION if has_response else left_s
    call = job.call(now=now, address=server.address, backend_id=server.name)
    run = Run((server.backend_id,), fingerprint=job.fingerprint)
    ctx.crashes.note_sent(job.fingerprint)
    ctx.tracker.begin(run)
    ctx.limits.note_sent(server.backend_id)
    note_notice = functools.partial(
        ctx.notices.note,
        server.backend_id,
        request_id=job.req.request_id,
        sent_at=now,
    )
    try:
        async with asyncio.timeout(limit_s):
            response = await _call(
                ctx,
                call,
                patience_s=left_s * ATTEMPT_TIME_FRACTION,
                may_begin_another=may_begin_another,
            )
        note_notice(response.head.notice)
        if response.head.status < INTERNAL_ERROR:
            clear_suspect(ctx, job)
        return response
    except ExchangeError as exc:
        note_notice(exc.notice)
        if exc.outcome is CallOutcome.UNKNOWN:
            note_broken_run(ctx, job, run)
        raise
    except TimeoutError:
        raise ExchangeError(
            CallOutcome.UNKNOWN,
            f"{server.address} did not respond within {limit_s:.3f} s",
        ) from None
    finally:
        ctx.tracker.end(run)


async def _call(
    ctx: EntryContext,
    call: BackendCall,
    *,
    patience_s: float,
    may_begin_another: Callable[[], Awaitable[bool]],
) -> FullResponse:
    """Return the response to one attempt, unless another attempt can begin.

    Raises:
        ExchangeError: The call failed, or there is no response after some time and
            another attempt can begin.
    """
    responding = asyncio.ensure_future(ctx.exchange.call(call))
    try:
        await asyncio.wait({responding}, timeout=patience_s)
        while not responding.done():
            if await may_begin_another() and not responding.done():
                raise ExchangeError(
                    CallOutcome.UNKNOWN,
                    f"{call.address} did not respond within {patience_s:.3f} s",
                )
            await asyncio.wait({responding}, timeout=POLL_INTERVAL_S)
        return await responding
    finally:
        if not responding.done():
            responding.cancel()
            await asyncio.gather(responding, return_exceptions=True)


def _may_retry(job: Job) -> bool:
    return job.route.is_idempotent and job.route.max_attempts > 1


def _note_failure(
    ctx: EntryContext, job: Job, server: BackendServer, exc: ExchangeError
) -> None:
    ctx.tracker.note_outcome(server.backend_id, failed=True)
    if exc.outcome is CallOutcome.NOT_RUN and not exc.is_other_incarnation:
        ctx.tracker.note_refused(server.backend_id)
    elif exc.outcome is CallOutcome.NOT_SENT or exc.is_other_incarnation:
        ctx.tracker.note_lost(server.backend_id)
        ctx.suspect(server.backend_id)
    logger.info(
        "send failed: %s",
        exc.message,
        extra=log_fields(
            request_id=job.req.request_id,
            fingerprint=job.fingerprint.hex(),
            backend=server.backend_id,
            outcome=exc.outcome,
            status=exc.status,
        ),
    )


def _final_error(ctx: EntryContext, job: Job, may_have_run: bool) -> WigeonscaleError:
    is_late = ctx.clock.now() >= job.deadline_at
    if may_have_run:
        kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.BACKEND_FAILED
        return WigeonscaleError(
            kind,
            f"no response from {job.service.name}; the request may have run",
            run_state=RunState.UNKNOWN,
        )
    return WigeonscaleError(
        ErrorKind.NO_BACKEND,
        f"no backend server of {job.service.name} accepted the request",
        retry_after=max(NO_SERVER_RETRY_AFTER_S, _throttled_for_s(ctx, job)),
    )


def _throttled_for_s(ctx: EntryContext, job: Job) -> float:
    """Return the time until a server accepts requests, in seconds; 0 if unknown."""
    servers = ctx.fleet().by_service.get(job.service.name, ())
    waits_s = [ctx.notices.send_delay_s(server.backend_id) for server in servers]
    least_s = min(waits_s, default=0.0)
    return least_s if math.isfinite(least_s) else 0.0
