"""One generation: its path, its events, and going on elsewhere when a path is lost.

Load pattern: a lost engine breaks many streams at once, in the middle. Each goes on
after the last event that its caller has, on a path without that engine; see
``stalls`` for how it is found.
"""

__all__ = ["relay_stream"]

import asyncio
import functools
import logging
from collections.abc import Sequence
from contextlib import aclosing
from dataclasses import dataclass, field

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.admission import (
    PathChoice,
    choose_detour,
    choose_path_for,
    no_room,
)
from wigeonscale.direct.beliefs import Run
from wigeonscale.direct.job import Job, Surroundings
from wigeonscale.direct.room_queue import ROOM_WAIT_S
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import (
    AnswerSink,
    BackendStream,
    ExchangeError,
    Fate,
    StreamEvent,
    WholeAnswer,
)
from wigeonscale.ports.orders import OrderOutcome

# Word to callers when no path is whole: a lost engine is found and its layers are
# loaded elsewhere in one to three seconds.
NO_PATH_RETRY_S = 1.0
# A stream that was begun waits this long for a path before it is given up, in steps.
PATH_WAIT_S = 1.0
PATH_STEP_S = 0.1
# Sends of one request in all: refusals that did not run do not count as attempts.
MOST_SENDS = 6

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Progress:
    """How far a request has come.

    Attributes:
        last_id: Last event that the caller has; None before the first.
        is_begun: Whether the caller was sent the head.
        sends: Sends so far.
        ran_at: First engines of the paths that may have run it.
        lost: Engines that this request found lost.
    """

    last_id: int | None
    is_begun: bool = False
    sends: int = 0
    ran_at: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)


async def relay_stream(around: Surroundings, job: Job, sink: AnswerSink) -> None:
    """Relay a generation to its caller, whole or not at all.

    Args:
        around: What the flows share.
        job: The request.
        sink: Where the answer goes.

    Raises:
        WigeonscaleError: It was given up; if the answer was begun it must be cut.
    """
    progress = _Progress(last_id=job.req.last_event_id)
    while True:
        if progress.is_begun:
            path = await _find_path(around, job, progress)
        else:
            path = await _find_room(around, job, progress)
        progress.sends += 1
        try:
            if await _try_path(around, job, sink, progress, path):
                return
        except ExchangeError as exc:
            _note_failure(around, job, progress, path, exc)
            _check_may_go_on(around, job, progress, exc)


async def _find_path(around: Surroundings, job: Job, progress: _Progress) -> list[Part]:
    """Return the path on which a stream goes on, also where engines are full."""
    give_up_at = min(around.clock.now() + PATH_WAIT_S, job.ends_at)
    while True:
        choice = _choose(around, job, progress)
        if choice.path is not None:
            return choice.path
        if around.clock.now() >= give_up_at:
            raise _no_path(job, progress)
        await around.clock.sleep(PATH_STEP_S)


async def _find_room(around: Surroundings, job: Job, progress: _Progress) -> list[Part]:
    """Return the path of an answer that is not begun, all of it with room."""
    choice = _choose(around, job, progress)
    if choice.path is not None and not choice.full and not len(around.waiting):
        return choice.path
    if choice.path is None:
        raise _no_path(job, progress)
    may_have_run = bool(progress.ran_at)
    try:
        place = around.waiting.enter(
            organisation=job.organisation_name,
            priority=job.priority,
            running=around.stalls.running,
        )
    except WigeonscaleError as exc:
        raise no_room(exc.message, may_have_run=may_have_run, rng=around.rng) from None
    began_at = around.clock.now()
    give_up_at = min(began_at + ROOM_WAIT_S, job.ends_at)
    try:
        while True:
            if around.waiting.is_next(place):
                choice = _choose(around, job, progress)
                if choice.path is not None and not choice.full:
                    break
            if around.clock.now() >= give_up_at:
                reason = f"no room for one more at {', '.join(choice.full)}"
                raise no_room(reason, may_have_run=may_have_run, rng=around.rng)
            await around.waiting.wait()
    finally:
        around.waiting.leave(place)
    logger.info(
        "waited for room",
        extra=log_fields(
            request_id=job.req.request_id,
            outcome="room",
            waited_s=round(around.clock.now() - began_at, 3),
        ),
    )
    return choice.path


def _choose(around: Surroundings, job: Job, progress: _Progress) -> PathChoice:
    return choose_path_for(around, job, lost=progress.lost, ran_at=progress.ran_at)


def _no_path(job: Job, progress: _Progress) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.NO_BACKEND,
        f"no path through all layers of {job.service.name}",
        run_state=RunState.UNKNOWN if progress.ran_at else RunState.NOT_RUN,
        retry_after=NO_PATH_RETRY_S,
    )


async def _try_path(
    around: Surroundings,
    job: Job,
    sink: AnswerSink,
    progress: _Progress,
    path: list[Part],
) -> bool:
    """Relay one run; return True once the caller has the whole answer."""
    fleet = around.fleet()
    servers = [fleet.by_id[part.backend_id] for part in path]
    now = around.clock.now()
    if now >= job.ends_at:
        raise ExchangeError(Fate.NOT_SENT, "no time is left")
    is_split = path[0].layers.count > 0
    call = job.call(
        now=now,
        address=servers[0].address,
        backend_id=servers[0].backend_id,
        path=tuple(path) if is_split else (),
        addresses=tuple(server.address for server in servers) if is_split else (),
        after_event=progress.last_id,
    )
    run = Run(tuple(part.backend_id for part in path), _memory(job, path))
    if is_split:
        run.move = functools.partial(_change_path, around, job, run, path)
    logger.info(
        "generation sent",
        extra=log_fields(
            request_id=job.req.request_id,
            route=job.route.name,
            path=",".join(part.backend_id for part in path),
            after_event=progress.last_id,
            sends=progress.sends,
        ),
    )
    around.beliefs.begin(run)
    first = servers[0].backend_id
    try:
        # Ended by the watch over all streams, not by a time of its own.
        async with asyncio.timeout(None) as run.watch:
            around.stalls.add(run)
            async with around.exchange.open(call) as stream:
                progress.ran_at.add(first)
                is_whole = await _relay_events(around, job, sink, progress, run, stream)
        around.beliefs.note_outcome(first, failed=False)
        return is_whole
    except ExchangeError as exc:
        if exc.fate is Fate.UNKNOWN and not run.has_begun:
            around.beliefs.note_unanswered(first)
        raise
    except TimeoutError:
        if not run.watch.expired():
            raise
        quiet_s = around.clock.now() - run.progress_at
        raise ExchangeError(
            Fate.UNKNOWN, f"no event from {servers[0].address} for {quiet_s:.2f} s"
        ) from None
    finally:
        run.watch = None
        if run.moving is not None:
            run.moving.cancel()
        around.stalls.remove(run)
        around.beliefs.end(run)


def _memory(job: Job, path: Sequence[Part]) -> dict[str, float]:
    """Return the tokens times layers that a run takes of each engine."""
    tokens = job.req.generation.prompt + job.req.generation.expected
    return {part.backend_id: float(tokens * part.layers.count) for part in path}


async def _change_path(
    around: Surroundings, job: Job, run: Run, path: list[Part]
) -> bool:
    """Take a run off its lost engines while it goes on; return whether that is done."""
    detour = choose_detour(around, job, path)
    if detour is None:
        return False
    fleet = around.fleet()
    outcome = await around.orders.change_path(
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
            quiet_s=round(around.clock.now() - run.progress_at, 3),
        ),
    )
    if is_done:
        path[:] = detour
        around.beliefs.replace(
            run, tuple(part.backend_id for part in detour), _memory(job, detour)
        )
    return is_done


async def _relay_events(
    around: Surroundings,
    job: Job,
    sink: AnswerSink,
    progress: _Progress,
    run: Run,
    stream: BackendStream,
) -> bool:
    if not 200 <= stream.head.status < 300:
        return await _relay_failure(sink, progress, stream)
    async with aclosing(stream.events()) as events:
        async for event in events:
            run.note_progress(around.clock.now())
            if not _is_next(progress, event):
                continue
            if not progress.is_begun:
                progress.is_begun = True
                await sink.begin(stream.head)
            await sink.write(event.data)
            if event.event_id is not None:
                progress.last_id = event.event_id
    if not progress.is_begun:
        progress.is_begun = True
        await sink.begin(stream.head)
    await sink.end()
    return True


async def _relay_failure(
    sink: AnswerSink, progress: _Progress, stream: BackendStream
) -> bool:
    body = await stream.rest()
    if progress.is_begun:
        raise ExchangeError(
            Fate.UNKNOWN, f"status {stream.head.status} where a stream goes on"
        )
    await sink.send(WholeAnswer(stream.head, body))
    return True


def _is_next(progress: _Progress, event: StreamEvent) -> bool:
    """Return whether the caller lacks an event.

    Raises:
        ExchangeError: Events before it are missing.
    """
    if event.event_id is None or progress.last_id is None:
        return True
    if event.event_id > progress.last_id + 1:
        raise ExchangeError(
            Fate.UNKNOWN, f"event {event.event_id} follows {progress.last_id}"
        )
    return event.event_id == progress.last_id + 1


def _note_failure(
    around: Surroundings,
    job: Job,
    progress: _Progress,
    path: list[Part],
    exc: ExchangeError,
) -> None:
    if exc.fate is Fate.UNKNOWN:
        # Also where not even the head of an answer came.
        progress.ran_at.add(path[0].backend_id)
    blamed = _blamed(around, path, exc)
    if blamed and exc.fate is Fate.NOT_RUN and not exc.is_stranger:
        around.beliefs.note_refused(blamed)
        if exc.at_fault:
            # It may lack room, or be gone: a probe by control tells.
            around.suspect(blamed)
    elif blamed:
        around.beliefs.note_lost(blamed)
        around.suspect(blamed)
    if blamed:
        progress.lost.add(blamed)
    logger.info(
        "generation broke: %s",
        exc.message,
        extra=log_fields(
            request_id=job.req.request_id,
            outcome=exc.fate,
            status=exc.status,
            last_event=progress.last_id,
            blamed=blamed,
        ),
    )


def _blamed(around: Surroundings, path: list[Part], exc: ExchangeError) -> str:
    """Return the engine that a failure speaks against; empty for none in particular."""
    named = around.fleet().by_address.get(exc.at_fault)
    if named is not None:
        return named.backend_id
    return "" if exc.fate is Fate.UNKNOWN else path[0].backend_id


def _check_may_go_on(
    around: Surroundings, job: Job, progress: _Progress, exc: ExchangeError
) -> None:
    """Raise the final answer unless the request may be sent once more."""
    may_have_run = bool(progress.ran_at)
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    is_late = around.clock.now() >= job.ends_at
    may_repeat = job.route.is_idempotent or not may_have_run
    if may_repeat and not is_late and progress.sends < MOST_SENDS:
        if around.budget.try_spend(job.service.name):
            return
    if is_late:
        kind = ErrorKind.DEADLINE_EXCEEDED
    else:
        kind = ErrorKind.BACKEND_FAILED if may_have_run else ErrorKind.NO_BACKEND
    raise WigeonscaleError(
        kind, exc.message, run_state=run_state, retry_after=NO_PATH_RETRY_S
    )
