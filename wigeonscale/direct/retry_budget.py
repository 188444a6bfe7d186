"""This entry's share of the retry budget, by service."""

__all__ = ["SharedRetryBudget"]

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wigeonscale.ports import Clock

# Fraction of the budget that is used. The rest covers retries that entries make before
# they see each other's counts.
USABLE_FRACTION = 0.7
# Fraction of an entry's equal share that it may use whatever the other entries do.
GUARANTEED_FRACTION = 0.45
# Totals are half a second old, and each entry may take its part again in that time. So
# an entry takes its equal part of half of what is left at a time.
POOL_ROUNDS = 2.0
# Control sends the totals of all entries with each lease grant, by default twice a
# second.
TOTALS_MAX_AGE_S = 2.5
# Fraction of the allowance that is reserved for streams that have begun. A new request
# can be rejected with a Retry-After; a broken stream is lost to its caller.
RESERVED_FRACTION = 0.3


@dataclass(slots=True)
class _Counts:
    """Counts of all other entries in the window."""

    requests: int = 0
    retries: int = 0


class SharedRetryBudget:
    """Limits retries over a sliding window.

    All entries together may make ``ratio`` times their requests plus ``slack`` retries.

    A lost or full engine often affects the streams of a few entries only. With hundreds
    of entries, the equal share of each is a few retries. So only a part of this share
    is guaranteed to an entry; the rest is a pool, which entries use according to the
    totals that control sends.

    Args:
        clock: Clock port.
        ratio: Retries as a fraction of requests.
        slack: Additional retries of all entries together.
        window_s: Length of the window, in seconds.
        entry_count: Returns the number of entries that share the slack.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> budget = SharedRetryBudget(
        ...     clock=ManualClock(),
        ...     ratio=0.0,
        ...     slack=3,
        ...     window_s=10,
        ...     entry_count=lambda: 1,
        ... )
        >>> [budget.try_spend("s") for _ in range(3)]
        [True, True, False]
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        slack: float,
        window_s: float,
        entry_count: Callable[[], int],
    ):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entry_count = entry_count
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._reported: dict[str, tuple[int, int]] = {}
        self._others: dict[str, _Counts] = {}
        self._totals_at = float("-inf")
        # Retries of this entry in the window when the last totals arrived.
        self._retries_at_totals: dict[str, int] = {}

    def record(self, service: str) -> None:
        """Count a request."""
        self._recent(self._requests, service).append(self._clock.now())

    def report_sends(self) -> dict[str, tuple[int, int]]:
        """Return this entry's counts, and record them as reported to control.

        Returns:
            Requests and retries in the window, by service.
        """
        self._reported = {
            service: (
                len(self._recent(self._requests, service)),
                len(self._recent(self._retries, service)),
            )
            for service in self._requests
        }
        return self._reported

    def apply_totals(self, totals: Mapping[str, tuple[int, int]]) -> None:
        """Apply the total counts of all entries, this one included.

        Args:
            totals: Requests and retries in the window, by service.
        """
        self._others = {}
        for service, (requests, retries) in totals.items():
            own_requests, own_retries = self._reported.get(service, (0, 0))
            self._others[service] = _Counts(
                max(0, requests - own_requests), max(0, retries - own_retries)
            )
        self._totals_at = self._clock.now()
        self._retries_at_totals = {
            service: len(self._recent(self._retries, service)) for service in totals
        }

    def try_spend(self, service: str, *, is_begun: bool = True) -> bool:
        """Take one retry from the budget; return whether it is allowed.

        Args:
            service: Service of the request.
            is_begun: Whether the caller has a part of the response or cannot be told to
                retry. Other requests may not use the reserved fraction.
        """
        limit = self._limit(service)
        if not is_begun:
            limit *= 1.0 - RESERVED_FRACTION
        retries = self._recent(self._retries, service)
        if len(retries) + 1 > limit:
            return False
        retries.append(self._clock.now())
        return True

    def _limit(self, service: str) -> float:
        """Return the maximum number of retries of this entry in the window."""
        if self._clock.now() - self._totals_at > TOTALS_MAX_AGE_S:
            return self._guaranteed(service, 1.0)
        own_share = self._guaranteed(service, GUARANTEED_FRACTION)
        return max(
            own_share, self._retries_at_totals.get(service, 0)
        ) + self._pool_share(service)

    def _guaranteed(self, service: str, part: float) -> float:
        """Return this entry's equal share of the retries, times a fraction."""
        requests = len(self._recent(self._requests, service))
        slack = self._slack / max(1, self._entry_count())
        return USABLE_FRACTION * part * (self._ratio * requests + slack)

    def _pool_share(self, service: str) -> float:
        """Return the retries that this entry may take from the pool for now."""
        others = self._others.get(service, _Counts())
        requests = others.requests + len(self._recent(self._requests, service))
        spent = others.retries + self._retries_at_totals.get(service, 0)
        left = USABLE_FRACTION * (self._ratio * requests + self._slack) - spent
        return max(0.0, left) / max(1, self._entry_count()) / POOL_ROUNDS

    def _recent(self, counts: dict[str, deque[float]], service: str) -> deque[float]:
        recent = counts.setdefault(service, deque())
        oldest = self._clock.now() - self._window_s
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
