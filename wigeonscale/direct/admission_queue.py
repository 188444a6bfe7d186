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
late rather than never. Without traffic classes, while such requests give up in vain,
only a few more stay than were admitted late in the same time before, and all others are
rejected at once.

Requests of a service with traffic classes have the waits of their own route, so many of
a less urgent class may wait for long. They must not reject or delay more urgent ones:
each priority has its own lane, and its own bound and estimate of the outcome.
"""

__all__ = [
    "DEFAULT_SERVICE_LEVEL",
    "MAX_QUEUE_WAIT_S",
    "ON_TIME_WAIT_S",
    "AdmissionQueue",
]

import asyncio
import bisect
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.direct.late_outcomes import LateOutcomes
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import FairQueue, ServiceLevel
from wigeonscale.ports import Clock

# Longest wait after which a response can still be in time. Responses are due to begin
# within 500 or 600 ms, and begin 100 to 200 ms after the send.
ON_TIME_WAIT_S = 0.25
# Longest wait. Callers disconnect after two seconds without an event, and most callers
# of a burst have no retry left after a rejection.
MAX_QUEUE_WAIT_S = 1.5
# Service level of all requests of services without traffic classes.
DEFAULT_SERVICE_LEVEL = ServiceLevel(
    on_time_wait_s=ON_TIME_WAIT_S, patience_s=MAX_QUEUE_WAIT_S
)
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
# Most requests in a lane that can be in time, whatever is in progress; it only bounds
# memory.
MAX_WAITING = 32


class _Lane:
    """Requests that can still be in time and share one bound.

    Attributes:
        queue: Requests that are not the next one of the lane.
        next: Ticket of the next one; None if it is still in the queue.
    """

    __slots__ = ("next", "queue")

    def __init__(self, *, clock: Clock):
        self.queue: FairQueue[int] = FairQueue(limit=MAX_WAITING, clock=clock)
        self.next: int | None = None

    def __len__(self) -> int:
        return len(self.queue) + (self.next is not None)

    def head(self) -> int | None:
        """Return the ticket of the next request; None if the lane is empty."""
        if self.next is None:
            self.next = self.queue.pop()
        return self.next

    def remove(self, ticket: int) -> bool:
        """Remove a request; return whether it was in the lane."""
        if self.next == ticket:
            self.next = None
            return True
        return self.queue.remove(ticket)


@dataclass(frozen=True, slots=True)
class _Waiting:
    """A request in the queue.

    Attributes:
        priority: Its priority; 0 is the highest.
        lane: Key of its lane: its priority, or None without traffic classes.
        late_s: Time from its demotion until it gives up, in seconds.
    """

    priority: int
    lane: int | None
    late_s: float


class AdmissionQueue:
    """Queue in which this entry's requests wait for engine capacity.

    Args:
        clock: Clock port.

    Notes:
        Requests that can still be in time come first, by priority and then fairly over
        organisations, whatever their size. Late ones follow in the order in which they
        give up, which without traffic classes is the order in which they became late.
        ``is_next`` is linear in the lanes; ``enqueue`` with a service level and
        ``release`` are linear in the requests that wait.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._released = asyncio.Event()
        # By lane; 1 if missing.
        self._admitted_rates: dict[int | None, float] = {}
        self._mean_response_time_s = INITIAL_RESPONSE_TIME_S
        self._waiting: dict[int, _Waiting] = {}
        # Lanes with requests.
        self._lanes: dict[int | None, _Lane] = {}
        self._tickets = itertools.count()
        # Tickets of requests that leave free capacity to more urgent classes, by
        # priority, in the order in which they were held back.
        self._held: dict[int, dict[int, None]] = {}
        # Requests that are too late for a timely response: when each gives up, the
        # order in which they became late, and the ticket.
        self._late: list[tuple[float, int, int]] = []
        self._demotions = itertools.count()
        self._late_outcomes = LateOutcomes(clock=clock)

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def _held_count(self) -> int:
        return sum(map(len, self._held.values()))

    @property
    def late_count(self) -> int:
        """Number of requests that can no longer be in time."""
        return len(self._late)

    @property
    def late_admitted_count(self) -> int:
        """Number of late requests that were admitted recently."""
        return self._late_outcomes.admitted_count

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

    def enqueue(
        self,
        *,
        organisation: str,
        priority: int,
        running: int,
        level: ServiceLevel | None = None,
    ) -> int:
        """Queue a request.

        Args:
            organisation: Organisation of the request; empty if there is none.
            priority: Its priority; 0 is the highest.
            running: Generations of this entry in progress, some of which end during the
                wait.
            level: Its service level; None if its service has no traffic classes. With
                one, only requests of the same or a higher priority count for the bound.

        Returns:
            A ticket, to be passed to ``release``.

        Raises:
            WigeonscaleError: ``OVERLOADED`` if the queue is full.
        """
        if level is None:
            key, level = None, DEFAULT_SERVICE_LEVEL
            # Those that are held back wait for no capacity that this one could use.
            ahead = len(self) - self._held_count
        else:
            key = priority
            ahead = self._ahead_of(priority)
        share = min(1.0, self._admitted_rates.get(key, 1.0) / MIN_ADMITTED_RATE)
        # One request, and one of each class, may always wait, to detect free capacity.
        max_waiting = 1 + int(
            share * running * level.patience_s / self._mean_response_time_s
        )
        if ahead >= max_waiting:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED,
                f"admission queue is full with {ahead} requests",
            )
        ticket = next(self._tickets)
        lane = self._lanes.get(key) or _Lane(clock=self._clock)
        # The queue takes larger priorities first.
        lane.queue.push(ticket, organisation=organisation, priority=-priority)
        self._lanes[key] = lane
        self._waiting[ticket] = _Waiting(
            priority, key, level.patience_s - level.on_time_wait_s
        )
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

    def demote(self, ticket: int) -> bool:
        """Move a request behind all requests that can still be in time.

        Args:
            ticket: Its ticket.

        Returns:
            Whether it may wait on. False if it would probably give up without capacity;
            it is to be released then.
        """
        waiting = self._waiting[ticket]
        late_s = waiting.late_s
        # With traffic classes, each waits as long as its own service level says.
        is_bounded = waiting.lane is None
        if is_bounded and len(self._late) >= self._late_outcomes.max_waiting(late_s):
            self._late_outcomes.note_rejected()
            return False
        self._remove(ticket)
        give_up_at = self._clock.now() + late_s
        bisect.insort(self._late, (give_up_at, next(self._demotions), ticket))
        return True

    def release(self, ticket: int, *, admitted: bool | None) -> None:
        """Remove a request from the queue.

        Args:
            ticket: Its ticket.
            admitted: Whether it got capacity; None if its caller disconnected.
        """
        is_late = any(each[-1] == ticket for each in self._late)
        if is_late and admitted is not None:
            outcomes = self._late_outcomes
            outcomes.note_admitted() if admitted else outcomes.note_gave_up()
        self._remove(ticket)
        key = self._waiting.pop(ticket).lane
        if admitted is not None:
            rate = self._admitted_rates.get(key, 1.0)
            self._admitted_rates[key] = rate + ADMITTED_RATE_EWMA_WEIGHT * (
                admitted - rate
            )
        # There may be capacity for more than one, so the next request checks at once.
        self.notify()

    def notify(self) -> None:
        """Let all that wait check again whether there is capacity for them."""
        self._released.set()
        self._released = asyncio.Event()

    async def wait(self, *, until: float = math.inf) -> None:
        """Wait until capacity should be checked again.

        Args:
            until: Local time at which the wait ends at the latest.
        """
        wait_s = min(QUEUE_POLL_INTERVAL_S, until - self._clock.now())
        sleep = asyncio.ensure_future(self._clock.sleep(wait_s))
        released = asyncio.ensure_future(self._released.wait())
        try:
            await asyncio.wait({sleep, released}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            released.cancel()

    def is_next(
        self, ticket: int, *, is_below_floor: Callable[[], bool] = lambda: False
    ) -> bool:
        """Return whether a request is the next one to be admitted.

        Args:
            ticket: Its ticket.
            is_below_floor: Returns whether too few requests of its class are admitted.
                If it is held, it does not wait for more urgent requests that are held
                as well. Called only if the result depends on it.
        """
        for priority, tickets in self._held.items():
            if ticket in tickets:
                is_first = next(iter(tickets)) == ticket
                if not is_first or len(self) != self._held_count:
                    return False
                return priority == min(self._held) or is_below_floor()
        if not self._lanes:
            return bool(self._late) and self._late[0][-1] == ticket
        heads = [lane.head() for lane in self._lanes.values()]
        return ticket == min(
            heads, key=lambda head: (self._waiting[head].priority, head)
        )

    def _ahead_of(self, priority: int) -> int:
        """Return how many requests count for the bound of a class.

        These are all of the same or a higher priority, also if they are held back; none
        if none of the class waits.
        """
        waiting = self._waiting.values()
        if all(each.lane != priority for each in waiting):
            return 0
        return sum(each.priority <= priority for each in waiting)

    def _remove(self, ticket: int) -> None:
        """Remove a request from its lane, or from the late or the held ones."""
        priority, key = self._waiting[ticket].priority, self._waiting[ticket].lane
        held = self._held.get(priority, {})
        if ticket in held:
            del held[ticket]
            if not held:
                del self._held[priority]
            return
        lane = self._lanes.get(key)
        if lane is not None and lane.remove(ticket):
            if not len(lane):
                del self._lanes[key]
        else:
            self._late = [each for each in self._late if each[-1] != ticket]
