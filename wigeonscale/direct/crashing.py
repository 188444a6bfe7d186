"""A request under which backend servers crash: refused, and until then kept apart.

Load pattern: one request crashes each server that begins to run it and comes again
under other ids; all that had just begun there is suspected with it. Sent on together,
the suspects would reach the next server together, and none could be told from the
other. So each of them goes on at a first engine where no other one begins.
"""

__all__ = [
    "raise_if_crashing",
    "note_broken_run",
    "note_aborted_run",
    "note_ran",
    "backends_with_other_suspects",
]

import logging
from collections.abc import Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes import BEGINNING_S, refusal_of
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.runs import Run
from wigeonscale.errors import RunState

logger = logging.getLogger(__name__)


def raise_if_crashing(
    ctx: EntryContext, job: Job, *, may_have_run: bool = False
) -> None:
    """Refuse a request under which too many backend servers have ended.

    Args:
        ctx: What the flows share.
        job: The request.
        may_have_run: Whether an earlier send of it may have run.

    Raises:
        WigeonscaleError: ``CRASHES_BACKENDS``, with word when it may be tried again.
    """
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    refusal = refusal_of(ctx.crashes, job.fingerprint, run_state=run_state)
    if refusal is not None:
        raise refusal


def note_broken_run(ctx: EntryContext, job: Job, run: Run) -> None:
    """Take in that the first backend server of a run broke it off.

    Args:
        ctx: What the flows share.
        job: Its request.
        run: The run.
    """
    first = run.backend_ids[0]
    ctx.crashes.note_broken(first)
    if _note_lost(ctx, job, run, first):
        # Whether it has ended is known once control has asked it.
        ctx.suspect(first)


def note_aborted_run(
    ctx: EntryContext, job: Job, run: Run, backend_ids: Iterable[str]
) -> None:
    """Take in that a run was taken off backend servers that may be lost.

    Load pattern: all streams of an engine that ended are sent on at once, some of them
    to it once more, and are taken off it while their connections are refused. These
    were never there.

    Args:
        ctx: What the flows share.
        job: Its request.
        run: The run.
        backend_ids: Those servers.
    """
    for backend_id in backend_ids:
        if not ctx.crashes.was_broken(backend_id, before=run.sent_at):
            _note_lost(ctx, job, run, backend_id)


def _note_lost(ctx: EntryContext, job: Job, run: Run, backend_id: str) -> bool:
    """Return whether a server may have crashed by a run, and nobody said so yet."""
    if not _is_starting(run):
        note_ran(ctx, job)
        return False
    if not ctx.crashes.note_lost(job.fingerprint, backend_id):
        return False
    logger.info(
        "run lost as it began",
        extra=log_fields(
            request_id=job.req.request_id,
            fingerprint=job.fingerprint.hex(),
            backend=backend_id,
            events=run.events,
            went_on_s=round(run.went_on_s, 3),
        ),
    )
    return True


def note_ran(ctx: EntryContext, job: Job) -> None:
    """Take in that a run of a request went well beyond its beginning."""
    ctx.crashes.note_ran(job.fingerprint)


def backends_with_other_suspects(ctx: EntryContext, job: Job) -> set[str]:
    """Return the backend servers where other suspects begin, if this is one itself.

    Args:
        ctx: What the flows share.
        job: The request.

    Notes:
        Linear in the runs of this entry, for suspects only. Suspects of other entries
        are not seen.
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
    return run.went_on_s < BEGINNING_S
