"""The retry budget of one entry: limits retries to a share of first attempts."""

__all__ = ["RetryBudget"]

from wigeonscale.ports import Clock

WINDOW_S = 10.0


class RetryBudget:
    """Limits retries to a share of recent requests, which prevents retry storms.

    A token bucket: each first attempt adds ``ratio`` tokens, and ``floor_per_s``
    tokens are added per second so that an entry with little traffic may still retry.
    Unused tokens are limited to what ``WINDOW_S`` seconds of recent traffic add.

    Args:
        clock: Clock port.
        ratio: Retries added by one first attempt.
        floor_per_s: Retries added per second, regardless of traffic.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> budget = RetryBudget(clock=ManualClock(), ratio=0.5, floor_per_s=0.0)
        >>> for _ in range(2):
        ...     budget.record()
        >>> budget.try_spend(), budget.try_spend()
        (True, False)

    Notes:
        Constant time and memory. With a ratio r there are at most 1 + r attempts per
        request on average, whatever share of the attempts fails.
    """

    def __init__(self, *, clock: Clock, ratio: float = 0.1, floor_per_s: float = 1.0):
        self._clock = clock
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._floor_tokens = floor_per_s
        self._earned = 0.0
        self._updated = clock.now()

    def record(self) -> None:
        """Record one first attempt."""
        self._refill()
        self._earned += self._ratio

    def try_spend(self) -> bool:
        """Take one retry from the budget, if there is one.

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
        # The proportional leak limits the tokens to WINDOW_S seconds of traffic.
        self._earned *= max(0.0, 1.0 - elapsed / WINDOW_S)
        refill = elapsed * self._floor_per_s
        self._floor_tokens = min(
            max(1.0, self._floor_per_s), self._floor_tokens + refill
        )
