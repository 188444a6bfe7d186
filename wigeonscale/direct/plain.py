"""One request to a plain service: at most one run unless it may be repeated."""

__all__ = ["call_plain"]

import asyncio
import functools
import logging
import math

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.choice import choose_server
from wigeonscale.direct.crashing import (
    check_not_crashing,
    note_broken_run,
    note_ran,
    where_others_begin,
)
from wigeonscale.direct.fleet import BackendServer
from wigeonscale.direct.job import Job, Surroundings
from wigeonscale.direct.runs import Run
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import ExchangeError, Fate, WholeAnswer

# A first try of a request that may be repeated gets this share of the time that is
# left, so that the second one still has a chance against a server that hangs.
FIRST_TRY_SHARE = 0.45
# Word to callers when no server took the request: one that refuses is avoided for
# 0.4 s, and work takes some tens of milliseconds.
RETRY_AFTER_S = 0.3

logger = logging.getLogger(__name__)


async def call_plain(around: Surroundings, job: Job) -> WholeAnswer:
    """Return the answer of a backend server.

    Args:
        around: What the flows share.
        job: The request.

    Raises:
        WigeonscaleError: With run state ``NOT_RUN`` only if no server can have run
            it or ever will.
    """
    tried: set[str] = set()
    attempts = 0
    may_have_run = False
    failed: WholeAnswer | None = None
    while True:
        if failed is None:
            check_not_crashing(around, job, may_have_run=may_have_run)
        server = _next_server(around, job, tried)
        if server is None or attempts >= job.route.max_attempts:
            break
        if attempts and not around.budget.try_spend(job.service.name):
            break
        tried.add(server.backend_id)
        attempts += 1
        try:
            answer = await _send(around, job, server)
        except ExchangeError as exc:
            _note(around, job, server, exc)
            if exc.fate is Fate.NOT_SENT:
                attempts -= 1
                continue
            may_have_run = may_have_run or exc.fate is Fate.UNKNOWN
            if may_have_run and not job.route.is_idempotent:
                break
            continue
        is_failure = answer.head.status >= 500
        around.beliefs.note_outcome(server.backend_id, failed=is_failure)
        if not is_failure:
            return answer
        logger.info(
            "a server failed a request",
            extra=log_fields(
                request_id=job.req.request_id,
                backend=server.backend_id,
                status=answer.head.status,
                attempts=attempts,
                failures=round(around.beliefs.of(server.backend_id).failures, 3),
                outcome="may go on" if job.route.is_idempotent else "handed on",
            ),
        )
        failed, may_have_run = answer, True
        if not job.route.is_idempotent:
            return answer
    if failed is not None:
        return failed
    raise _gave_up(around, job, may_have_run)


def _next_server(
    around: Surroundings, job: Job, tried: set[str]
) -> BackendServer | None:
    def choose(tried: set[str]) -> BackendServer | None:
        while True:
            server = choose_server(
                around.fleet().by_service.get(job.service.name, ()),
                beliefs=around.beliefs,
                domain=around.domain,
                entries=around.entries(),
                tried=tried,
            )
            if server is None or around.notices.may_send(server.backend_id):
                return server
            around.limits.note_wanted(server.backend_id)
            tried = tried | {server.backend_id}

    # Few servers run a plain service: apart from other suspects only where it can be.
    return choose(tried | where_others_begin(around, job)) or choose(tried)


async def _send(around: Surroundings, job: Job, server: BackendServer) -> WholeAnswer:
    now = around.clock.now()
    left_s = job.ends_at - now
    if left_s <= 0:
        raise ExchangeError(Fate.NOT_SENT, "no time is left")
    limit_s = left_s * FIRST_TRY_SHARE if _may_try_again(job) else left_s
    call = job.call(now=now, address=server.address, backend_id=server.name)
    run = Run((server.backend_id,), fingerprint=job.fingerprint)
    around.crashes.note_sent(job.fingerprint)
    around.beliefs.begin(run)
    around.limits.note_sent(server.backend_id)
    note_notice = functools.partial(
        around.notices.note,
        server.backend_id,
        request_id=job.req.request_id,
        sent_at=now,
    )
    try:
        async with asyncio.timeout(limit_s):
            answer = await around.exchange.call(call)
        note_notice(answer.head.notice)
        note_ran(around, job)
        return answer
    except ExchangeError as exc:
        note_notice(exc.notice)
        if exc.fate is Fate.UNKNOWN:
            note_broken_run(around, job, run)
        raise
    except TimeoutError:
        raise ExchangeError(
            Fate.UNKNOWN, f"{server.address} did not answer in {limit_s:.3f} s"
        ) from None
    finally:
        around.beliefs.end(run)


def _may_try_again(job: Job) -> bool:
    return job.route.is_idempotent and job.route.max_attempts > 1


def _note(
    around: Surroundings, job: Job, server: BackendServer, exc: ExchangeError
) -> None:
    around.beliefs.note_outcome(server.backend_id, failed=True)
    if exc.fate is Fate.NOT_RUN and not exc.is_stranger:
        around.beliefs.note_refused(server.backend_id)
    elif exc.fate is Fate.NOT_SENT or exc.is_stranger:
        around.beliefs.note_lost(server.backend_id)
        around.suspect(server.backend_id)
    logger.info(
        "send failed: %s",
        exc.message,
        extra=log_fields(
            request_id=job.req.request_id,
            fingerprint=job.fingerprint.hex(),
            backend=server.backend_id,
            outcome=exc.fate,
            status=exc.status,
        ),
    )


def _gave_up(around: Surroundings, job: Job, may_have_run: bool) -> WigeonscaleError:
    is_late = around.clock.now() >= job.ends_at
    if may_have_run:
        kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.BACKEND_FAILED
        return WigeonscaleError(
            kind,
            f"no answer of {job.service.name}, it may have run",
            run_state=RunState.UNKNOWN,
        )
    return WigeonscaleError(
        ErrorKind.NO_BACKEND,
        f"no backend server of {job.service.name} took it",
        retry_after=max(RETRY_AFTER_S, _all_held_for_s(around, job)),
    )


def _all_held_for_s(around: Surroundings, job: Job) -> float:
    """Return the time until a server of the service wants requests; 0 if unknown."""
    servers = around.fleet().by_service.get(job.service.name, ())
    waits_s = [around.notices.free_in_s(server.backend_id) for server in servers]
    least_s = min(waits_s, default=0.0)
    return least_s if math.isfinite(least_s) else 0.0
