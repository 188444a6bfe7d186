"""A bounded queue of requests that wait for engine capacity.

After the loss of an engine or in a burst of requests, the engines are full for a few
tenths of a second. Responses last about two seconds, so capacity is released all the
time. A rejected caller retries too late for a timely response, and retries only once;
a request that waits briefly is still served in time. Under sustained overload, waiting
does not help. So the length of the queue is limited to the capacity that will be
released during one wait, estimated from the outcome of earlier waits, and all other
requests are rejected at once.

After a power failure of all entries, interrupted callers and new ones arrive within
half a second, and most of them have no retry left. A request that has waited too long
for a timely response is moved behind those that can still be in time, and is served
late rather than never.
"""

__all__ = ["MAX_QUEUE_WAIT_S", "ON_TIME_WAIT_S", "AdmissionQueue"]

import asyncio
import itertools

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import FairQueue
from wigeonscale.ports import Clock

# Longest wait after which a response can still be in time. Responses are due to begin
# within 500 or 600 ms, and begin 100 to 200 ms after the send.
ON_TIME_WAIT_S = 0.25
# Longest wait. Callers disconnect after two seconds without an event, and most callers
# of a burst have no retry left after a rejection.
MAX_QUEUE_WAIT_S = 1.5
# With 25 responses a second in a domain, one ends every 40 ms.
QUEUE_POLL_INTERVAL_S = 0.04
# Mean response time before any response was observed: 160 tokens at 13 ms each.
INITIAL_RESPONSE_TIME_S = 2.0
# EWMA weight of the newest response time; covers about ten responses. Response times
# differ by a factor of two between deployments, and within one as its engines fill up.
RESPONSE_TIME_EWMA_WEIGHT = 0.1
# Lower bound of an observed response time, that of a response of a few tokens.
MIN_RESPONSE_TIME_S = 0.1
# EWMA weight of the newest outcome in the admitted rate; covers about five outcomes.
ADMITTED_RATE_EWMA_WEIGHT = 0.2
# Below this share of admitted requests the queue gets shorter, so that under sustained
# overload requests do not wait only to be rejected.
MIN_ADMITTED_RATE = 0.5
# Most requests in the queue, whatever is in progress; it only bounds memory.
MAX_WAITING = 32


class AdmissionQueue:
    """Queue in which this entry's requests wait for engine capacity.

    Args:
        clock: Clock port.

    Notes:
        Requests that can still be in time come first, by priority and then fairly over
        organisations, whatever their size. Late ones follow in order of arrival.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._released = asyncio.Event()
        self._admitted_rate = 1.0
        self._mean_response_time_s = INITIAL_RESPONSE_TIME_S
        self._queue: FairQueue[int] = FairQueue(limit=MAX_WAITING, clock=clock)
        self._next: int | None = None
        self._tickets = itertools.count()
        # Tickets of requests that are too late for a timely response, in order.
        self._late: dict[int, None] = {}
        # Tickets of requests that leave free capacity to more urgent classes, by
        # priority, in the order in which they were held back.
        self._held: dict[int, dict[int, None]] = {}

    def __len__(self) -> int:
        return (
            len(self._queue)
            + (self._next is not None)
            + len(self._late)
            + self._held_count
        )

    @property
    def _held_count(self) -> int:
        return sum(map(len, self._held.values()))

    def is_clear_for(self, priority: int) -> bool:
        """Return whether a new request may use free capacity without queueing.

        Requests that are held back for more urgent classes do not block these.

        Args:
            priority: Its priority; 0 is the highest.
        """
        return len(self) == self._held_count and not any(
            held <= priority for held in self._held
        )

    def hold(self, ticket: int, priority: int) -> None:
        """Let other requests go before one that leaves capacity to more urgent classes.

        It is next again once only such requests wait, the more urgent ones first.

        Args:
            ticket: Its ticket; may be held already.
            priority: Its priority; 0 is the highest.
        """
        if ticket not in self._held.get(priority, ()):
            self._remove(ticket)
            self._held.setdefault(priority, {})[ticket] = None

    def enqueue(self, *, organisation: str, priority: int, running: int) -> int:
        """Queue a request.

        Args:
            organisation: Organisation of the request; empty if there is none.
            priority: Its priority; 0 is the highest.
            running: Generations of this entry in progress, some of which end during the
                wait.

        Returns:
            A ticket, to be passed to ``release``.

        Raises:
            WigeonscaleError: ``OVERLOADED`` if the queue is full.
        """
        share = min(1.0, self._admitted_rate / MIN_ADMITTED_RATE)
        # One request may always wait, to detect free capacity.
        max_waiting = 1 + int(
            share * running * MAX_QUEUE_WAIT_S / self._mean_response_time_s
        )
        # Those that are held back wait for no capacity that this one could use.
        waiting = len(self) - self._held_count
        if waiting >= max_waiting:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED,
                f"admission queue is full with {waiting} requests",
            )
        ticket = next(self._tickets)
        # The queue takes larger priorities first.
        self._queue.push(ticket, organisation=organisation, priority=-priority)
        return ticket

    def note_response_time(self, took_s: float) -> None:
        """Update the mean response time with a complete response.

        Args:
            took_s: Time from the send to the last event, in seconds.
        """
        took_s = max(MIN_RESPONSE_TIME_S, took_s)
        self._mean_response_time_s += RESPONSE_TIME_EWMA_WEIGHT * (
            took_s - self._mean_response_time_s
        )

    def demote(self, ticket: int) -> None:
        """Move a request behind all requests that can still be in time.

        Args:
            ticket: Its ticket.
        """
        self._remove(ticket)
        self._late[ticket] = None

    def release(self, ticket: int, *, admitted: bool | None) -> None:
        """Remove a request from the queue.

        Args:
            ticket: Its ticket.
            admitted: Whether it got capacity; None if its caller disconnected.
        """
        if admitted is not None:
            self._admitted_rate += ADMITTED_RATE_EWMA_WEIGHT * (
                admitted - self._admitted_rate
            )
        self._remove(ticket)
        # There may be capacity for more than one, so the next request checks at once.
        self._released.set()
        self._released = asyncio.Event()

    async def wait(self) -> None:
        """Wait until capacity should be checked again."""
        sleep = asyncio.ensure_future(self._clock.sleep(QUEUE_POLL_INTERVAL_S))
        released = asyncio.ensure_future(self._released.wait())
        try:
            await asyncio.wait({sleep, released}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            released.cancel()

    def is_next(self, ticket: int, *, is_below_floor: bool = False) -> bool:
        """Return whether a request is the next one to be admitted.

        Args:
            ticket: Its ticket.
            is_below_floor: Whether too few requests of its class are admitted. If it is
                held, it does not wait for more urgent requests that are held as well.
        """
        for priority, tickets in self._held.items():
            if ticket in tickets:
                is_first = next(iter(tickets)) == ticket
                goes_first = is_below_floor or priority == min(self._held)
                return is_first and goes_first and len(self) == self._held_count
        if self._next is None:
            self._next = self._queue.pop()
        if self._next is None:
            return ticket == next(iter(self._late), None)
        return self._next == ticket

    def _remove(self, ticket: int) -> None:
        for priority, tickets in self._held.items():
            if ticket in tickets:
                del tickets[ticket]
                if not tickets:
                    del self._held[priority]
                return
        if self._next == ticket:
            self._next = None
        elif not self._queue.remove(ticket):
            self._late.pop(ticket, None)
