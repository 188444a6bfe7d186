"""Rejection and isolation of requests that crash backend servers.

One request may crash each server that begins to run it, and its caller may retry it
under new ids. Or one part of a prompt may crash the servers, in requests that have
nothing else in common. All requests that had just begun on a crashed server are
suspects, with the parts of their prompts that other requests may share. If
the suspects were retried on the same server, they would crash together again and stay
indistinguishable. So each suspect is retried at a first engine where no other suspect
is starting.
"""

__all__ = [
    "backends_with_other_suspects",
    "clear_suspect",
    "is_crashing",
    "note_aborted_run",
    "note_broken_run",
    "note_event",
    "raise_if_crashing",
    "wait_for_crash_trial",
]

import logging
from collections.abc import Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes import START_CRASH_WINDOW_S, crash_refusal, wait_for_trial
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.runs import Run
from wigeonscale.errors import RunState, WigeonscaleError

logger = logging.getLogger(__name__)


def raise_if_crashing(
    ctx: EntryContext, job: Job, *, may_have_run: bool = False
) -> None:
    """Reject a request that has crashed too many backend servers.

    Args:
        ctx: Context of the entry.
        job: The request.
        may_have_run: Whether an earlier send may have run.

    Raises:
        WigeonscaleError: ``CRASHES_BACKENDS``, with a Retry-After.
    """
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    refusal = _refusal(ctx, job, run_state)
    if refusal is not None:
        raise refusal


async def wait_for_crash_trial(ctx: EntryContext, job: Job) -> None:
    """Wait for control's answer if a refused request may be sent as a trial.

    Args:
        ctx: Context of the entry.
        job: The request.
    """
    await wait_for_trial(ctx.crashes, job.fingerprint, job.part_keys)


def is_crashing(ctx: EntryContext, job: Job) -> bool:
    """Return whether a request must not start on another backend server.

    Args:
        ctx: Context of the entry.
        job: The request.
    """
    return _refusal(ctx, job, RunState.UNKNOWN) is not None


def _refusal(
    ctx: EntryContext, job: Job, run_state: RunState
) -> WigeonscaleError | None:
    return crash_refusal(
        ctx.crashes, job.fingerprint, parts=job.part_keys, run_state=run_state
    )


def note_broken_run(ctx: EntryContext, job: Job, run: Run) -> None:
    """Record that the first backend server of a run closed its connection.

    Args:
        ctx: Context of the entry.
        job: The request.
        run: The run.
    """
    first = run.backend_ids[0]
    ctx.crashes.note_abort(first)
    if _note_aborted_start(ctx, job, run, first, is_broken=True):
        # Control probes the server and finds out whether it has crashed.
        ctx.suspect(first)


def note_aborted_run(
    ctx: EntryContext, job: Job, run: Run, backend_ids: Iterable[str]
) -> None:
    """Record that a run was removed from backend servers that may be lost.

    When an engine crashes, all its streams are retried at once, and some of them at the
    same engine, which refuses their connections. These runs never reached the engine
    and are not suspects.

    Args:
        ctx: Context of the entry.
        job: The request.
        run: The run.
        backend_ids: Servers from which it was removed.
    """
    for backend_id in backend_ids:
        if not ctx.crashes.was_aborting(backend_id, before=run.sent_at):
            _note_aborted_start(ctx, job, run, backend_id, is_broken=False)


def _note_aborted_start(
    ctx: EntryContext, job: Job, run: Run, backend_id: str, *, is_broken: bool
) -> bool:
    """Record the abort of a run; return whether it is a new suspicion of a crash."""
    if run.has_gone_on or not _is_starting(run):
        # Cleared when it went on; an earlier run says nothing about a crash of now.
        return False
    if not ctx.crashes.note_aborted_start(
        job.fingerprint, backend_id, job.part_keys, is_broken=is_broken
    ):
        return False
    logger.info(
        "backend server aborted a run that had just started",
        extra=log_fields(
            request_id=job.req.request_id,
            fingerprint=job.fingerprint.hex(),
            parts=",".join(job.part_ids),
            backend=backend_id,
            events=run.events,
            went_on_s=round(run.event_span_s, 3),
        ),
    )
    return True


def clear_suspect(ctx: EntryContext, job: Job) -> None:
    """Clear a request that completed, or whose run continued well after its start."""
    ctx.crashes.clear_suspect(job.fingerprint, job.part_keys)


def note_event(ctx: EntryContext, job: Job, run: Run) -> None:
    """Clear a request, and the parts of its prompt, once its run has gone on.

    Streams last for seconds, and popular parts must be cleared sooner than that.

    Args:
        ctx: Context of the entry.
        job: The request.
        run: The run, which has just received an event.
    """
    if not run.has_gone_on and not _is_starting(run):
        run.has_gone_on = True
        clear_suspect(ctx, job)


def backends_with_other_suspects(ctx: EntryContext, job: Job) -> set[str]:
    """Return the backend servers where other suspects are starting.

    Args:
        ctx: Context of the entry.
        job: The request. The result is empty if it is no suspect.

    Notes:
        Linear in the runs of this entry, for suspects only. Suspects of other entries
        are unknown here.
    """
    if not ctx.crashes.is_suspect(job.fingerprint):
        return set()
    servers = ctx.fleet().by_service.get(job.service.name, ())
    return {
        server.backend_id
        for server in servers
        if any(
            run.backend_ids[0] == server.backend_id
            and run.fingerprint != job.fingerprint
            and _is_starting(run)
            and ctx.crashes.is_suspect(run.fingerprint)
            for run in ctx.tracker.runs_on(server.backend_id)
        )
    }


def _is_starting(run: Run) -> bool:
    return run.event_span_s < START_CRASH_WINDOW_S
