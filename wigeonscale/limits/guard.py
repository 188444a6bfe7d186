"""A limit on concurrency that follows the backend server's best throughput."""

__all__ = ["ConcurrencyGuard"]

from wigeonscale.ports import Clock

WINDOW_S = 1.0
MIN_FINISHED = 20
STEP = 0.1
TOLERANCE = 0.02


class ConcurrencyGuard:
    """Finds the concurrency beyond which throughput falls, and stays below it.

    A backend server that batches gets slower with each request taken at once; past
    some number its throughput collapses. The guard compares the throughput of
    successive windows and climbs towards the larger: it goes on in a direction
    that helped and turns in one that hurt.

    Args:
        clock: Clock port.
        low: Smallest limit.
        high: Largest limit, and the first one: the configured slots.

    Notes:
        Constant time per request. A window ends after ``WINDOW_S`` seconds and
        ``MIN_FINISHED`` requests, and counts only while the limit was reached.
    """

    def __init__(self, *, clock: Clock, high: int, low: int = 1):
        self._clock = clock
        self._low = low
        self._high = high
        self._limit = float(high)
        self._direction = -1.0
        self._best = 0.0
        self._started = clock.now()
        self._finished = 0
        self._work = 0.0
        self._saturated = False

    @property
    def limit(self) -> int:
        """Requests to be run at once."""
        return int(self._limit)

    def started(self, running: int) -> None:
        """Tell that a request began, as the ``running``-th at once."""
        if running >= self.limit:
            self._saturated = True

    def finished(self, work: float = 1.0) -> None:
        """Count one finished request.

        Args:
            work: Its size, for example in tokens.
        """
        self._finished += 1
        self._work += work
        elapsed = self._clock.now() - self._started
        if elapsed >= WINDOW_S and self._finished >= MIN_FINISHED:
            if self._saturated:
                self._climb(self._work / elapsed)
            self._new_window()

    def _climb(self, throughput: float) -> None:
        if throughput < self._best * (1.0 - TOLERANCE):
            self._direction = -self._direction
        self._best = throughput
        step = max(1.0, self._limit * STEP)
        wanted = self._limit + self._direction * step
        self._limit = min(max(wanted, self._low), self._high)

    def _new_window(self) -> None:
        self._started = self._clock.now()
        self._finished = 0
        self._work = 0.0
        self._saturated = False
