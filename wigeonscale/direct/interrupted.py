"""Interrupted streams that wait for a path with room, for services with classes.

Load pattern: engines of one failure domain are lost while all others are nearly full.
An engine refuses a stream that does not fit into its memory, or preempts running
streams and prefills them again. So an interrupted stream that is sent at once to full
engines needs several sends, and delays streams that the loss did not affect. Responses
last about two seconds, so capacity is released all the time: a stream that waits for it
resumes sooner.
"""

__all__ = ["InterruptedStreams", "wait_for_room"]

import bisect
import itertools
import logging
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS, priority_label
from wigeonscale.limits import INTERRUPTED_PRIORITY

if TYPE_CHECKING:
    # The context in the module of jobs holds the streams of this one.
    from wigeonscale.direct.admission import PathChoice
    from wigeonscale.direct.job import EntryContext, Job
    from wigeonscale.direct.progress import Progress

# Groups of a service whose first streams look for a path. A look takes half a
# millisecond with 57 engines, and an entry has a quarter of a core.
MAX_GROUPS = 4

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, order=True)
class _WaitingStream:
    """A stream that waits.

    Attributes:
        since: Time of the last event to its caller, or of its first send.
        ticket: Its ticket.
        on_time_until: Time until which its next event is on time.
        service: Name of its service.
        group: Equal for streams that can take the same paths.
        has_room: Returns whether there is a path with room for it now.
    """

    since: float
    ticket: int
    on_time_until: float = field(compare=False)
    service: str = field(compare=False)
    group: Hashable = field(compare=False)
    has_room: Callable[[], bool] = field(compare=False)


class InterruptedStreams:
    """The interrupted streams of one entry that wait for a path with room.

    Those that have been without an event for longest go first. A stream that cannot use
    the released capacity, because it has left the engines concerned, blocks only
    streams that can take the same paths.

    Notes:
        Linear in the streams that wait, at most some tens. Only the first of each group
        looks for a path, in the ``MAX_GROUPS`` groups that wait for longest.

    Example:
        >>> streams = InterruptedStreams()
        >>> later = streams.add("s", since=2.0, group=0, has_room=lambda: False)
        >>> first = streams.add("s", since=1.0, group=0, has_room=lambda: False)
        >>> streams.is_next(later), streams.is_next(first)
        (False, True)
    """

    def __init__(self):
        self._tickets = itertools.count()
        self._streams: list[_WaitingStream] = []

    def __len__(self) -> int:
        return len(self._streams)

    def is_waiting_for(self, service: str) -> bool:
        """Return whether a stream of a service waits.

        Args:
            service: Name of the service.
        """
        return any(stream.service == service for stream in self._streams)

    def goes_first(self, service: str, *, now: float) -> bool:
        """Return whether a stream of a service waits that can still be on time.

        New requests leave released capacity to it. A stream that is late already does
        not make new requests late as well.

        Args:
            service: Name of the service.
            now: Local time.
        """
        return any(
            stream.service == service and now < stream.on_time_until
            for stream in self._streams
        )

    def add(
        self,
        service: str,
        *,
        since: float,
        group: Hashable,
        has_room: Callable[[], bool],
        on_time_until: float = float("-inf"),
    ) -> int:
        """Add a stream and return its ticket, to be passed to :meth:`remove`.

        Args:
            service: Name of its service.
            since: Time of the last event to its caller, or of its first send.
            group: Equal for streams that can take the same paths.
            has_room: Returns whether there is a path with room for it now.
            on_time_until: Time until which its next event is on time.
        """
        ticket = next(self._tickets)
        stream = _WaitingStream(since, ticket, on_time_until, service, group, has_room)
        bisect.insort(self._streams, stream)
        return ticket

    def remove(self, ticket: int) -> None:
        """Remove a stream.

        Args:
            ticket: Its ticket.
        """
        self._streams = [each for each in self._streams if each.ticket != ticket]

    def is_next(self, ticket: int) -> bool:
        """Return whether a stream may look for a path: the first of its group."""
        own = self._find(ticket)
        seen = set()
        for stream in self._streams:
            if stream is own:
                break
            if stream.service == own.service:
                seen.add(stream.group)
        return own.group not in seen and len(seen) < MAX_GROUPS

    def is_overtaking(self, ticket: int) -> bool:
        """Return whether an earlier stream of its service has room now.

        Args:
            ticket: Its ticket. The streams of its own group are not asked.

        Notes:
            Looks for one path for each other group, so call it only for a stream that
            has room itself.
        """
        own = self._find(ticket)
        asked = {own.group}
        for stream in self._streams:
            if stream is own:
                break
            if stream.service == own.service and stream.group not in asked:
                asked.add(stream.group)
                if stream.has_room():
                    return True
        return False

    def _find(self, ticket: int) -> _WaitingStream:
        return next(each for each in self._streams if each.ticket == ticket)


async def wait_for_room(
    ctx: "EntryContext",
    job: "Job",
    progress: "Progress",
    *,
    choose: "Callable[[], PathChoice]",
    give_up_at: float,
) -> "PathChoice":
    """Return the path of an interrupted stream once its engines have room.

    While its next event can still be on time, new requests of this entry take no
    capacity of its service. If the deployment has a reserve for more urgent classes,
    those of all entries leave it free.

    Args:
        ctx: Context of the entry.
        job: The request.
        progress: Its progress.
        choose: Returns the current path, without side effects on the progress.
        give_up_at: Local time at which the wait ends; the path may have full engines or
            be missing then. It may also be missing before.
    """
    clock, streams, queue = ctx.clock, ctx.interrupted, ctx.admission_queue
    service = job.service.name
    choice = choose()
    if choice.path is None or clock.now() >= give_up_at:
        return choice
    if not choice.full and not streams.is_waiting_for(service):
        return choice
    began_at = clock.now()
    ticket = streams.add(
        service,
        since=progress.waits_since,
        group=_group(ctx, job, progress),
        on_time_until=progress.waits_since + job.route.gap_target_s,
        has_room=lambda: _has_room(choose()),
    )
    ctx.class_demand.note_arrived(job, is_interrupted=True)
    ctx.class_demand.note_waiting(job, +1, is_interrupted=True)
    outcome = "cancelled"
    try:
        while True:
            if streams.is_next(ticket):
                choice = choose()
                if choice.path is None:
                    outcome = "no-path"
                    break
                if not choice.full:
                    if not streams.is_overtaking(ticket):
                        outcome = "admitted"
                        ctx.class_demand.note_admitted(job, is_interrupted=True)
                        break
                    # The earlier stream may not have looked since the release.
                    queue.notify()
            if clock.now() >= give_up_at:
                outcome = "full" if clock.now() < job.deadline_at else "rejected"
                choice = choose()
                break
            await queue.wait(until=give_up_at)
    finally:
        streams.remove(ticket)
        ctx.class_demand.note_waiting(job, -1, is_interrupted=True)
        METRICS.capacity_waits.add(
            priority=priority_label(INTERRUPTED_PRIORITY), outcome=outcome
        )
        # There may be capacity for more than one.
        queue.notify()
    logger.info(
        "waited for engine capacity",
        extra=log_fields(
            request_id=job.req.request_id,
            outcome="room" if outcome == "admitted" else outcome,
            waited_s=round(clock.now() - began_at, 3),
            after_event=progress.last_id,
        ),
    )
    return choice


def _has_room(choice: "PathChoice") -> bool:
    return choice.path is not None and not choice.full


def _group(ctx: "EntryContext", job: "Job", progress: "Progress") -> Hashable:
    """Return a key that is equal for streams that can take the same paths."""
    no_attempts = len(progress.ran_on) >= job.route.max_attempts
    is_suspect = ctx.crashes.is_suspect(job.fingerprint)
    return (
        frozenset(progress.lost),
        frozenset(progress.ran_on) if no_attempts else None,
        # A suspect of crashing engines avoids those where others start.
        job.fingerprint if is_suspect else None,
    )
