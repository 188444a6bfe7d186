"""The retry budget of one entry: retries are a bounded share of first attempts."""

__all__ = ["RetryBudget"]

from wigeonscale.ports import Clock

WINDOW_S = 10.0


class RetryBudget:
    """Allows retries as a share of recent requests, so that storms die out.

    A token bucket: each first attempt earns ``ratio`` of a retry, and time earns
    ``floor_per_s`` retries a second so that a quiet entry may still retry. Savings
    are capped at what ``WINDOW_S`` seconds of recent traffic earn.

    Args:
        clock: Clock port.
        ratio: Retries earned by one first attempt.
        floor_per_s: Retries earned per second without any traffic.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> budget = RetryBudget(clock=ManualClock(), ratio=0.5, floor_per_s=0.0)
        >>> for _ in range(2):
        ...     budget.record()
        >>> budget.try_spend(), budget.try_spend()
        (True, False)

    Notes:
        Constant time and memory. With a ratio r the attempts per request are at
        most 1 + r, whatever share of the attempts fails.
    """

    def __init__(self, *, clock: Clock, ratio: float = 0.1, floor_per_s: float = 1.0):
        self._clock = clock
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._floor_tokens = floor_per_s
        self._earned = 0.0
        self._updated = clock.now()

    def record(self) -> None:
        """Count one first attempt."""
        self._refill()
        self._earned += self._ratio

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        Returns:
            Whether the retry may be made.
        """
        self._refill()
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._floor_tokens >= 1.0:
            self._floor_tokens -= 1.0
            return True
        return False

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        # Leaking in proportion caps the savings at WINDOW_S of recent traffic.
        self._earned *= max(0.0, 1.0 - elapsed / WINDOW_S)
        refill = elapsed * self._floor_per_s
        self._floor_tokens = min(
            max(1.0, self._floor_per_s), self._floor_tokens + refill
        )
