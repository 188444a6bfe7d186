"""Requests that wait a moment for room at the engines.

Load pattern: an engine is lost, or many callers come at once, and for a few tenths of
a second the engines are full; answers last about two seconds, so room comes free all
the time. Who is turned away comes back after the time in which the answer was wanted,
and comes once only; who waits a moment is served in time. Under lasting overload
waiting gains nothing, so the queue is as short as the room that will come free while
one waits, by what became of those before; everybody else is turned away at once.

Load pattern: all entries lose power and start again, and the callers that were cut off
and those of the meantime come within half a second. Most have no further try left. Who
has waited for so long that the answer cannot begin in time any more goes on waiting,
behind those that still can be in time, and is served late instead of never.
"""

__all__ = ["MAX_QUEUE_WAIT_S", "ON_TIME_WAIT_S", "AdmissionQueue"]

import asyncio
import itertools

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import FairQueue
from wigeonscale.ports import Clock

# Wait after which an answer cannot be in time. Answers shall begin within 500 or 600
# ms, and take 100 to 200 ms to begin once they are sent.
ON_TIME_WAIT_S = 0.25
# Longest wait: callers leave after two seconds without an event, and most of a herd
# that is turned away has no further try.
MAX_QUEUE_WAIT_S = 1.5
# Room at the engines is looked for this often; of 25 answers a second in a domain one
# ends every 40 ms.
QUEUE_POLL_INTERVAL_S = 0.04
# Time of a usual answer until this entry has seen some: 160 tokens at 13 ms each.
INITIAL_RESPONSE_TIME_S = 2.0
# Weight of the newest in the time of a usual answer; about ten count. Answers of one
# deployment take twice as long as on another, and all of one as its engines fill up.
RESPONSE_TIME_EWMA_WEIGHT = 0.1
# Least time of a usual answer that is reckoned with: one of some tokens.
MIN_RESPONSE_TIME_S = 0.1
# Weight of the newest in the share of those that got room; about five count.
ADMITTED_RATE_EWMA_WEIGHT = 0.2
# Where fewer than this share of those that waited got room, fewer may wait, so that
# nobody waits in vain under lasting overload.
MIN_ADMITTED_RATE = 0.5
# Bound on the queue whatever is in progress; memory, not service, would need it.
MAX_WAITING = 32


class AdmissionQueue:
    """The order in which this entry's requests get the room that comes free.

    Args:
        clock: Clock port.

    Notes:
        Those that can still be in time first; then by priority, then fair over
        organisations, whatever the size of a request.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._released = asyncio.Event()
        self._admitted_rate = 1.0
        self._mean_response_time_s = INITIAL_RESPONSE_TIME_S
        self._queue: FairQueue[int] = FairQueue(limit=MAX_WAITING, clock=clock)
        self._next: int | None = None
        self._tickets = itertools.count()
        # Those that cannot be in time any more, in the order in which they came.
        self._late: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self._queue) + (self._next is not None) + len(self._late)

    def enqueue(self, *, organisation: str, priority: int, running: int) -> int:
        """Queue a request.

        Args:
            organisation: Whose request it is; empty for nobody's.
            priority: Its rank, 0 first.
            running: Generations of this entry in progress; a share of them ends while
                one waits.

        Returns:
            Its place, to be given back by ``leave``.

        Raises:
            WigeonscaleError: ``OVERLOADED``: no room will come free for it in time.
        """
        share = min(1.0, self._admitted_rate / MIN_ADMITTED_RATE)
        # One always waits, to see whether there is room again.
        max_waiting = 1 + int(
            share * running * MAX_QUEUE_WAIT_S / self._mean_response_time_s
        )
        if len(self) >= max_waiting:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED, f"{len(self)} requests wait for room already"
            )
        ticket = next(self._tickets)
        # The queue takes larger priorities first.
        self._queue.push(ticket, organisation=organisation, priority=-priority)
        return ticket

    def note_response_time(self, took_s: float) -> None:
        """Take the time of a whole answer into account.

        Args:
            took_s: From the send to its last event, in seconds.
        """
        took_s = max(MIN_RESPONSE_TIME_S, took_s)
        self._mean_response_time_s += RESPONSE_TIME_EWMA_WEIGHT * (
            took_s - self._mean_response_time_s
        )

    def demote(self, ticket: int) -> None:
        """Let everybody who can still be in time go before a request.

        Args:
            ticket: As ``enter`` returned it.
        """
        self._remove(ticket)
        self._late[ticket] = None

    def release(self, ticket: int, *, admitted: bool | None) -> None:
        """Give a place back.

        Args:
            ticket: As ``enter`` returned it.
            admitted: Whether the request got room; None if its caller left.
        """
        if admitted is not None:
            self._admitted_rate += ADMITTED_RATE_EWMA_WEIGHT * (
                admitted - self._admitted_rate
            )
        self._remove(ticket)
        # Where there was room for one there may be more: the next looks at once.
        self._released.set()
        self._released = asyncio.Event()

    async def wait(self) -> None:
        """Wait until it is time to look for room again."""
        sleep = asyncio.ensure_future(self._clock.sleep(QUEUE_POLL_INTERVAL_S))
        released = asyncio.ensure_future(self._released.wait())
        try:
            await asyncio.wait({sleep, released}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            released.cancel()

    def is_next(self, ticket: int) -> bool:
        """Return whether the next room is for the request at a place."""
        if self._next is None:
            self._next = self._queue.pop()
        if self._next is None:
            return ticket == next(iter(self._late), None)
        return self._next == ticket

    def _remove(self, ticket: int) -> None:
        if self._next == ticket:
            self._next = None
        elif not self._queue.remove(ticket):
            self._late.pop(ticket, None)
