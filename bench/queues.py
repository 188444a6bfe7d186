"""Small queues at the engine port, on a virtual clock, for the benchmarks.

These stand for backend servers only as far as a decision can see them: so many
requests at once, a time for each, a cache of prefixes. They are no simulator of a
cluster: no network, no process, no failure but what a benchmark does itself.
"""

__all__ = ["CapacityServer", "PrefixCache", "VirtualClock", "percentile"]

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass


class VirtualClock:
    """A clock port whose time moves from event to event."""

    def __init__(self):
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the virtual time as a wall-clock time."""
        return self._now

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Do ``action`` at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Do ``action`` after so many seconds."""
        self.call_at(self._now + seconds, action)

    def run(self, until: float) -> None:
        """Do what is due up to a time, in order."""
        while self._events and self._events[0][0] <= until:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = until


class PrefixCache:
    """The prefixes that an engine holds: the last used ones.

    Args:
        size: Prefixes held.
    """

    def __init__(self, *, size: int):
        self._size = size
        self._held: OrderedDict[bytes, None] = OrderedDict()

    def use(self, digest: bytes) -> tuple[bool, bytes | None]:
        """Use a prefix.

        Returns:
            Whether it was held, and the prefix evicted for it, if any.
        """
        hit = digest in self._held
        self._held[digest] = None
        self._held.move_to_end(digest)
        if len(self._held) <= self._size:
            return hit, None
        return hit, self._held.popitem(last=False)[0]


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a server at one time, with the fields of the wire's LoadWord."""

    at: float
    running: int
    queued: int
    slots: int
    wait_s: float = 0.0
    leaving: bool = False


class CapacityServer:
    """Serves so many requests at once, first come, first served.

    Args:
        clock: Virtual clock.
        slots: Requests at once.
        service_s: Returns the seconds of service of an item that starts now.
        done: Called with an item when it has ended.
    """

    def __init__(
        self,
        *,
        clock: VirtualClock,
        slots: int,
        service_s: Callable[[object], float],
        done: Callable[[object], None],
    ):
        self._clock = clock
        self._slots = slots
        self._service_s = service_s
        self._done = done
        self._running = 0
        self._queue: deque[object] = deque()
        self._past: deque[ServerLoad] = deque()
        self._mean_s = 1.0

    def put(self, item: object) -> None:
        """Queue an item, or start it at once."""
        self._queue.append(item)
        self._start()

    def load(self, lag_s: float) -> ServerLoad:
        """Return the load as it was ``lag_s`` seconds ago."""
        then = self._clock.now() - lag_s
        while len(self._past) > 1 and self._past[1].at <= then:
            self._past.popleft()
        return self._past[0]

    def _start(self) -> None:
        while self._queue and self._running < self._slots:
            item = self._queue.popleft()
            self._running += 1
            seconds = self._service_s(item)
            self._mean_s += 0.05 * (seconds - self._mean_s)
            self._clock.call_later(seconds, lambda item=item: self._end(item))
        self._record_load()

    def _end(self, item: object) -> None:
        self._running -= 1
        self._start()
        self._done(item)

    def _record_load(self) -> None:
        queued = len(self._queue)
        wait_s = queued * self._mean_s / self._slots
        now = self._clock.now()
        self._past.append(ServerLoad(now, self._running, queued, self._slots, wait_s))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of the values do not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
