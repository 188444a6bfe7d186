"""This entry's share of the budget of further sends, by service."""

__all__ = ["SendBudget"]

from collections import deque
from collections.abc import Callable

from wigeonscale.ports import Clock

# Entries count apart and see each other's coming and going late.
SAFETY = 0.7


class SendBudget:
    """Bounds sends beyond the first of each request, over a sliding window.

    All entries together may send ``ratio`` of their requests and ``slack`` more. Each
    takes the share of its own requests, and an equal part of the slack.

    Args:
        clock: Clock port.
        ratio: Further sends as a share of requests.
        slack: Further sends beside that share, over all entries.
        window_s: Length of the window, in seconds.
        entries: Returns how many entries share the slack.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> budget = SendBudget(
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
        self._further: dict[str, deque[float]] = {}

    def record(self, service: str) -> None:
        """Count a request."""
        self._recent(self._requests, service).append(self._clock.now())

    def try_spend(self, service: str) -> bool:
        """Take one further send; return whether it may be made."""
        requests = self._recent(self._requests, service)
        further = self._recent(self._further, service)
        slack = self._slack / max(1, self._entries())
        if len(further) + 1 > SAFETY * (self._ratio * len(requests) + slack):
            return False
        further.append(self._clock.now())
        return True

    def _recent(self, counts: dict[str, deque[float]], service: str) -> deque[float]:
        recent = counts.setdefault(service, deque())
        oldest = self._clock.now() - self._window_s
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent
