"""Simulated backend servers on a virtual clock, for the benchmarks.

They model what a routing decision depends on: limited concurrency, a service time per
request and a prefix cache. They do not simulate a cluster: there are no networks and
processes, and only the failures that a benchmark injects.
"""

__all__ = ["CapacityServer", "PrefixCache", "VirtualClock", "percentile"]

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass


class VirtualClock:
    """Implementation of the clock port that advances from event to event."""

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
        """Schedule ``action`` at a virtual time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` after a delay."""
        self.call_at(self._now + seconds, action)

    def run(self, until: float) -> None:
        """Run the actions due up to a virtual time, in order of time."""
        while self._events and self._events[0][0] <= until:
            self._now, _, action = heapq.heappop(self._events)
            action()
        self._now = until


class PrefixCache:
    """An engine's cache of prefixes with least-recently-used eviction.

    Args:
        size: Capacity in prefixes.
    """

    def __init__(self, *, size: int):
        self._size = size
        self._held: OrderedDict[bytes, None] = OrderedDict()

    def access(self, digest: bytes) -> tuple[bool, bytes | None]:
        """Look a prefix up and insert it.

        Returns:
            Whether it was cached, and the prefix evicted for it, if any.
        """
        hit = digest in self._held
        self._held[digest] = None
        self._held.move_to_end(digest)
        if len(self._held) <= self._size:
            return hit, None
        return hit, self._held.popitem(last=False)[0]


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a server at one time, with the fields of the message ``LoadWord``."""

    at: float
    running: int
    queued: int
    slots: int
    wait_s: float = 0.0
    leaving: bool = False


class CapacityServer:
    """Serves up to ``slots`` items concurrently, first come, first served.

    Args:
        clock: Virtual clock.
        slots: Maximum concurrent items.
        service_s: Returns the service time in seconds of an item that starts now.
        done: Called with each completed item.
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
        """Start an item, or queue it if all slots are busy."""
        self._queue.append(item)
        self._start()

    def load(self, lag_s: float) -> ServerLoad:
        """Return the load as it was ``lag_s`` seconds ago."""
        reported_at = self._clock.now() - lag_s
        while len(self._past) > 1 and self._past[1].at <= reported_at:
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
