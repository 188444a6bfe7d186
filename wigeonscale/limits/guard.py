"""An adaptive concurrency limit that tracks the best throughput of a server."""

__all__ = ["ConcurrencyGuard"]

from dataclasses import dataclass

from wigeonscale.ports import Clock

LEVEL_RATIO = 0.75
MIN_SAMPLES = 200
RETRY_LEVEL_AFTER_S = 300.0
# Relative gain in throughput at which a lower level is preferred to a higher one. The
# higher one is kept otherwise, since fewer requests queue there.
MIN_THROUGHPUT_GAIN = 0.05
# Keeps quotients finite for requests with zero time or zero work.
EPSILON = 1e-9


@dataclass(slots=True)
class _Level:
    limit: int
    count: int = 0
    running: float = 0.0
    seconds_per_work: float = 0.0
    updated: float = 0.0

    def add(self, running: int, seconds_per_work: float, now: float) -> None:
        self.count += 1
        weight = max(1.0 / MIN_SAMPLES, 1.0 / self.count)
        self.running += weight * (running - self.running)
        error = seconds_per_work - self.seconds_per_work
        self.seconds_per_work += weight * error
        self.updated = now

    def has_enough_samples(self) -> bool:
        return self.count >= MIN_SAMPLES

    def throughput(self) -> float:
        return self.running / max(self.seconds_per_work, EPSILON)


class ConcurrencyGuard:
    """Finds the concurrency beyond which throughput falls, and limits to it.

    A backend server that batches slows down with each concurrent request. Beyond
    some concurrency, for example when its cache memory is exhausted, its throughput
    collapses. The guard records the mean time per unit of work at several levels of
    concurrency, each ``LEVEL_RATIO`` of the next, and selects the level with the
    highest throughput. It lowers the limit only if a higher level was measured to be
    worse, and measures that level again after ``RETRY_LEVEL_AFTER_S`` seconds. When
    the limit has been reached, the next lower level is measured once.

    Args:
        clock: Clock port.
        high: Highest and initial limit: the configured slots.

    Notes:
        Constant time per request. By Little's law the throughput of a level is its
        concurrency over its time per request, so no time windows are needed.
    """

    def __init__(self, *, clock: Clock, high: int):
        self._clock = clock
        self._levels = [_Level(limit) for limit in _level_limits(high)]
        self._current = len(self._levels) - 1
        self._finished = 0
        self._reached_limit = False

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests."""
        return self._levels[self._current].limit

    def finished(self, running: int, service_s: float, work: float = 1.0) -> None:
        """Record a finished request.

        Args:
            running: Concurrent requests when it started, including itself.
            service_s: Service time, in seconds.
            work: Size of the request, for example in tokens.
        """
        level = next(
            lv for lv in self._levels if lv.limit >= running or lv is self._top
        )
        level.add(running, service_s / max(work, EPSILON), self._clock.now())
        self._reached_limit = self._reached_limit or running >= self.limit
        self._finished += 1
        if self._finished % MIN_SAMPLES == 0:
            self._current = self._next_level()
            self._reached_limit = False

    @property
    def _top(self) -> _Level:
        return self._levels[-1]

    def _next_level(self) -> int:
        best = self._best_level()
        if best is None:
            return self._current
        if (
            self._reached_limit
            and best > 0
            and not self._levels[best - 1].has_enough_samples()
        ):
            return best - 1
        if not any(level.has_enough_samples() for level in self._levels[best + 1 :]):
            return len(self._levels) - 1
        above = self._levels[best + 1]
        if self._clock.now() - above.updated > RETRY_LEVEL_AFTER_S:
            above.count = 0
        return best if above.has_enough_samples() else best + 1

    def _best_level(self) -> int | None:
        best = None
        needed = 0.0
        for index in reversed(range(len(self._levels))):
            level = self._levels[index]
            if level.has_enough_samples() and level.throughput() > needed:
                best = index
                needed = level.throughput() * (1.0 + MIN_THROUGHPUT_GAIN)
        return best


def _level_limits(high: int) -> list[int]:
    limits = [high]
    while limits[0] > 1:
        limits.insert(0, int(limits[0] * LEVEL_RATIO))
    return limits
