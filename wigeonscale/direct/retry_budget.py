"""This entry's part of the budget of further sends, by service."""

__all__ = ["SharedRetryBudget"]

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wigeonscale.ports import Clock

# Entries count apart and see each other's sends late, so not all of it is spent.
USABLE_FRACTION = 0.7
# Part of an entry's equal share that it may spend whatever the others do.
GUARANTEED_FRACTION = 0.45
# What all entries have spent is known half a second late, in which each may take as
# much again: of what is left an entry takes an equal part of a half at a time.
POOL_ROUNDS = 2.0
# Control tells the sums of all entries with each grant, twice a second by default.
TOTALS_MAX_AGE_S = 2.5
# Share of its allowance that an entry keeps for streams that callers have part of:
# a new request may be told to come back, a stream that ends midway is lost to its
# caller.
RESERVED_FRACTION = 0.3


@dataclass(slots=True)
class _Counts:
    """Counts of all other entries over the window."""

    requests: int = 0
    retries: int = 0


class SharedRetryBudget:
    """Bounds sends beyond the first of each request, over a sliding window.

    All entries together may send ``ratio`` of their requests and ``slack`` more.

    Load pattern: engines are lost or full under a few entries' streams, while the
    other entries have nothing to send again. With hundreds of entries the equal share
    of each is a few sends; so each has only a part of it for certain, and takes the
    rest from what all have left by the sums that control tells.

    Args:
        clock: Clock port.
        ratio: Further sends as a share of requests.
        slack: Further sends beside that share, over all entries.
        window_s: Length of the window, in seconds.
        entries: Returns how many entries share the slack.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> budget = SharedRetryBudget(
        ...     clock=ManualClock(), ratio=0.0, slack=3, window_s=10, entries=lambda: 1
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
        entries: Callable[[], int],
    ):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entries = entries
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._reported: dict[str, tuple[int, int]] = {}
        self._others: dict[str, _Counts] = {}
        self._totals_at = float("-inf")
        # Further sends of this entry in the window when the last word came.
        self._retries_at_totals: dict[str, int] = {}

    def record(self, service: str) -> None:
        """Count a request."""
        self._recent(self._requests, service).append(self._clock.now())

    def report_sends(self) -> dict[str, tuple[int, int]]:
        """Return this entry's counts over the window, and remember them as told.

        Returns:
            Requests, and further sends, by service.
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
        """Take in the counts of all entries, this one included.

        Args:
            totals: Requests, and further sends, by service.
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
        """Take one further send; return whether it may be made.

        Args:
            service: Where it goes.
            is_begun: Whether the caller has part of the answer, or none can be told to
                come back; other requests leave some of the allowance to those.
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
        """Return how many further sends this entry may have made in the window."""
        if self._clock.now() - self._totals_at > TOTALS_MAX_AGE_S:
            return self._guaranteed(service, 1.0)
        own_share = self._guaranteed(service, GUARANTEED_FRACTION)
        return max(
            own_share, self._retries_at_totals.get(service, 0)
        ) + self._pool_share(service)

    def _guaranteed(self, service: str, part: float) -> float:
        """Return the further sends that this entry may make whatever the others do."""
        requests = len(self._recent(self._requests, service))
        slack = self._slack / max(1, self._entries())
        return USABLE_FRACTION * part * (self._ratio * requests + slack)

    def _pool_share(self, service: str) -> float:
        """Return what this entry may take of the common rest until the next word."""
        others = self._others.get(service, _Counts())
        requests = others.requests + len(self._recent(self._requests, service))
        spent = others.retries + self._retries_at_totals.get(service, 0)
        left = USABLE_FRACTION * (self._ratio * requests + self._slack) - spent
        return max(0.0, left) / max(1, self._entries()) / POOL_ROUNDS

    def _recent(self, counts: dict[str, deque[float]], service: str) -> deque[float]:
        recent = counts.setdefault(service, deque())
        oldest = self._clock.now() - self._window_s
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
