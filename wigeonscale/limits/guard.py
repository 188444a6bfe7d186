"""A limit on concurrency that follows the backend server's best throughput."""

__all__ = ["ConcurrencyGuard"]

from dataclasses import dataclass

from wigeonscale.ports import Clock

LEVEL_RATIO = 0.75
MIN_SAMPLES = 200
RETRY_LEVEL_AFTER_S = 300.0
# A lower level must be better by this share, since a higher one queues less.
MIN_THROUGHPUT_GAIN = 0.05
# Keeps quotients finite for requests that took no time or no work.
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
    """Finds the concurrency beyond which throughput falls, and stays below it.

    A backend server that batches gets slower with each request taken at once; past
    some number, as when its cache memory runs out, its throughput collapses. The
    guard keeps the mean time per unit of work at levels of concurrency, each
    ``LEVEL_RATIO`` of the next, and allows the level of the largest throughput. It
    restricts only on evidence that a higher level is worse, and tries that again
    after ``RETRY_LEVEL_AFTER_S`` seconds. A full server is tried at the next lower
    level once.

    Args:
        clock: Clock port.
        high: Largest limit, and the first one: the configured slots.

    Notes:
        Constant time per request. By Little's law a level's throughput is its
        concurrency over its time per request, so no windows of time are needed.
    """

    def __init__(self, *, clock: Clock, high: int):
        self._clock = clock
        self._levels = [_Level(limit) for limit in _level_limits(high)]
        self._current = len(self._levels) - 1
        self._finished = 0
        self._reached_limit = False

    @property
    def limit(self) -> int:
        """Requests to be run at once."""
        return self._levels[self._current].limit

    def finished(self, running: int, service_s: float, work: float = 1.0) -> None:
        """Count one finished request.

        Args:
            running: Requests that ran at once when it started, itself included.
            service_s: Seconds from its start to its end.
            work: Its size, for example in tokens.
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
