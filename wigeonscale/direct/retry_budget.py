"""This entry's share of the retry budget, by service."""

__all__ = ["SharedRetryBudget"]

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from wigeonscale.direct.reserved_retries import ReservedRetries
from wigeonscale.direct.retry_share import RetryShare
from wigeonscale.direct.totals_coverage import TotalsCoverage
from wigeonscale.ports import Clock

# Fraction of its equal share that an entry uses without contact, and fraction of the
# budget that control reserves. The rest covers requests that leave the window before
# the totals say so.
GUARANTEED_FRACTION = 0.6
RESERVABLE_FRACTION = 0.38
# Fraction of the allowance for streams that have begun only. A new request can be
# rejected with a Retry-After; a broken stream is lost to its caller.
FRACTION_FOR_BEGUN = 0.3

# By totals alone: fraction of the budget that all entries use together. The rest covers
# entries that want retries at different times while the totals are late.
USABLE_FRACTION = 0.93
# The same fraction while control does not say how late the totals are.
USABLE_FRACTION_WITHOUT_AGES = 0.87
# Fraction of an entry's equal share that it may use without recent totals.
GUARANTEED_FRACTION_BY_TOTALS = 0.7
# Fraction of the usable budget that an entry divides before the totals contain reports
# from just before its burst of retries. Others may have begun to retry since then.
UNCONFIRMED_FRACTION = 0.7
# Age of such reports at the beginning of the burst.
MAX_CONFIRMING_AGE_S = 1.1
# Control sends the totals of all entries with each lease grant, by default twice a
# second.
TOTALS_MAX_AGE_S = 2.5
# Entries that were denied a retry make it at their next totals, which arrive at each of
# them at another time within this interval.
REPORT_INTERVAL_S = 0.5
# A retry this long after the last denial, or after the last retry, begins a new burst.
PAUSE_S = 2.5
# Totals contain all retries that are older than this.
MAX_UNSEEN_S = 6.0


class _Retry(NamedTuple):
    """A retry of this entry.

    Attributes:
        at: Local time, in seconds.
        matched_at: Time by which the other entries have made a retry for the same
            cause, in seconds.
    """

    at: float
    matched_at: float


class _Totals(NamedTuple):
    """Counts of all entries in the window."""

    requests: int
    retries: int


@dataclass(slots=True, kw_only=True)
class _ServiceCounts:
    """Counts of one service in the window.

    Attributes:
        requests: Times of this entry's requests.
        retries: This entry's retries.
        reserved_retries: Times of the retries that control had reserved.
        reported_requests: Requests in this entry's last report.
        totals: Last totals of all entries; None before the first.
        coverage: Which retries the totals contain.
        denied_at: When a retry was last denied.
        wanted_at: When a retry was last wanted.
        burst_at: When the first retry of the current burst was wanted.
    """

    requests: deque[float] = field(default_factory=deque)
    retries: deque[_Retry] = field(default_factory=deque)
    reserved_retries: deque[float] = field(default_factory=deque)
    reported_requests: int = 0
    totals: _Totals | None = None
    coverage: TotalsCoverage = field(default_factory=TotalsCoverage)
    denied_at: float = float("-inf")
    wanted_at: float = float("-inf")
    burst_at: float = float("-inf")

    def note_wanted(self, now: float) -> None:
        """Record that a retry is wanted."""
        if now - self.wanted_at > PAUSE_S:
            self.burst_at = now
        self.wanted_at = now

    def drop_before(self, oldest: float) -> None:
        """Drop requests and retries that have left the window."""
        while self.requests and self.requests[0] < oldest:
            self.requests.popleft()
        while self.retries and self.retries[0].at < oldest:
            self.retries.popleft()
        while self.reserved_retries and self.reserved_retries[0] < oldest:
            self.reserved_retries.popleft()


class SharedRetryBudget:
    """Limits retries over a sliding window.

    All entries together may make ``ratio`` times their requests plus ``slack`` retries.

    A lost or full engine often affects the streams of a few entries only. With hundreds
    of entries, the equal share of each is a few retries. So an entry uses a fraction of
    its equal share without contact, and reserves more at control, which divides the
    rest of the budget before it is used. An entry that has just started reserves every
    retry. The bound holds however late the totals are, and while entries are cut off.

    Control of an older version knows no reservations. An entry then uses its equal
    share at once, and after that its equal part of what the totals from control leave.

    These are late, and all entries may want retries at once. So an entry assumes for
    each of its own retries that every entry whose report in the totals is older has
    made one as well.

    Args:
        clock: Clock port.
        ratio: Retries as a fraction of requests.
        slack: Additional retries of all entries together.
        window_s: Length of the window, in seconds.
        entry_count: Returns the number of entries that share the slack.
        reserved: Reserves retries at control; None for a budget by totals alone.
        share: This entry's share of the slack; None for an equal share of the counted
            entries.

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
        reserved: ReservedRetries | None = None,
        share: RetryShare | None = None,
    ):
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._entry_count = entry_count
        self._reserved = reserved
        self._share = share
        self._services: dict[str, _ServiceCounts] = {}
        self._started_at = clock.now()
        self._totals_at = float("-inf")

    def record(self, service: str) -> None:
        """Count a request."""
        self._recent(service).requests.append(self._clock.now())

    def report_sends(self) -> dict[str, tuple[int, int]]:
        """Return this entry's counts, and record them as reported to control.

        Returns:
            Requests and retries in the window, by service.
        """
        reports = {}
        for service in self._services:
            counts = self._recent(service)
            counts.reported_requests = len(counts.requests)
            retries = len(counts.retries) + len(counts.reserved_retries)
            if counts.requests or retries:
                reports[service] = len(counts.requests), retries
        return reports

    def apply_totals(
        self,
        totals: Mapping[str, tuple[int, int]],
        *,
        report_ages: Sequence[int] = (),
    ) -> None:
        """Apply the total counts of all entries, this one included.

        Args:
            totals: Requests and retries in the window, by service.
            report_ages: Reports in the totals by age, as in
                ``wigeonscale.limits.report_ages``; empty if unknown.
        """
        now = self._clock.now()
        self._totals_at = now
        for service in self._services.keys() | totals.keys():
            requests, retries = totals.get(service, (0, 0))
            counts = self._recent(service)
            counts.totals = _Totals(requests, retries)
            counts.coverage.update(now, retries=retries, ages=report_ages)

    def try_spend(self, service: str, *, is_begun: bool = True) -> bool:
        """Take one retry from the budget; return whether it is allowed.

        Args:
            service: Service of the request.
            is_begun: Whether the caller has a part of the response or cannot be told to
                retry. Other requests leave ``FRACTION_FOR_BEGUN`` unused.
        """
        counts = self._recent(service)
        if self._reserved is not None and self._reserved.is_supported:
            return self._try_spend_reserved(service, counts, is_begun=is_begun)
        return self._try_spend_by_totals(counts, is_begun=is_begun)

    async def acquire(self, service: str, *, is_begun: bool = True) -> bool:
        """Take one retry, after the answer of control if one is expected soon.

        Args:
            service: Service of the request.
            is_begun: As for :meth:`try_spend`.

        Returns:
            Whether the retry is allowed.
        """
        if self.try_spend(service, is_begun=is_begun):
            return True
        if self._reserved is None or not await self._reserved.wait(service):
            return False
        return self.try_spend(service, is_begun=is_begun)

    def _try_spend_reserved(
        self, service: str, counts: _ServiceCounts, *, is_begun: bool
    ) -> bool:
        now = self._clock.now()
        share = self._own_share(counts)
        usable = 1.0 if is_begun else 1.0 - FRACTION_FOR_BEGUN
        # Before a restart, the entry may have used its part of the current window.
        is_new = now - self._started_at < self._window_s
        guaranteed = 0.0 if is_new else usable * GUARANTEED_FRACTION * share
        if len(counts.retries) + 1 <= guaranteed:
            counts.retries.append(_Retry(now, now))
            return True
        if self._reserved.take(service):
            counts.reserved_retries.append(now)
            return True
        reservable = RESERVABLE_FRACTION * self._budget(counts)
        max_count = math.ceil(self._equal_share(counts))
        self._reserved.ask(service, limit=int(usable * reservable), max_count=max_count)
        return False

    def _try_spend_by_totals(self, counts: _ServiceCounts, *, is_begun: bool) -> bool:
        now = self._clock.now()
        counts.note_wanted(now)
        limit = self._limit(counts)
        if not is_begun:
            limit *= 1.0 - FRACTION_FOR_BEGUN
        if len(counts.retries) + 1 > limit:
            counts.denied_at = now
            return False
        was_denied = now - counts.denied_at <= PAUSE_S
        is_first = not counts.retries or now - counts.retries[-1].at > PAUSE_S
        if is_first and not was_denied:
            counts.coverage.note_first_retry(now)
        matched_at = now + REPORT_INTERVAL_S if was_denied else now
        counts.retries.append(_Retry(now, matched_at))
        return True

    def _limit(self, counts: _ServiceCounts) -> float:
        """Return the maximum number of retries of this entry in the window."""
        if not self._has_recent_totals(counts):
            return GUARANTEED_FRACTION_BY_TOTALS * self._own_share(counts)
        entries = max(1, self._entry_count())
        budget = self._budget(counts)
        missing = counts.coverage.missing_reports(entries)
        usable = (
            USABLE_FRACTION
            if counts.coverage.has_ages
            else USABLE_FRACTION_WITHOUT_AGES
        )
        # Entries without contact to control use their guaranteed part.
        usable -= GUARANTEED_FRACTION_BY_TOTALS * missing / entries
        usable *= self._confirmed_fraction(counts, entries)
        left = usable * budget - self._likely_retries(counts, entries)
        return len(counts.retries) + max(0.0, left) / entries

    def _own_share(self, counts: _ServiceCounts) -> float:
        """Return the part of the budget that this entry may use without contact."""
        fraction = self._share.fraction() if self._share is not None else None
        if fraction is None:
            return self._equal_share(counts)
        return self._ratio * len(counts.requests) + self._slack * fraction

    def _equal_share(self, counts: _ServiceCounts) -> float:
        """Return the part of the budget for this entry's requests, in retries."""
        entries = max(1, self._entry_count())
        return self._ratio * len(counts.requests) + self._slack / entries

    def _budget(self, counts: _ServiceCounts) -> float:
        """Return the budget of all entries, by this entry's requests if no others."""
        requests = len(counts.requests)
        if self._has_recent_totals(counts):
            requests += max(0, counts.totals.requests - counts.reported_requests)
        return self._ratio * requests + self._slack

    def _has_recent_totals(self, counts: _ServiceCounts) -> bool:
        totals_age_s = self._clock.now() - self._totals_at
        return counts.totals is not None and totals_age_s <= TOTALS_MAX_AGE_S

    def _confirmed_fraction(self, counts: _ServiceCounts, entries: int) -> float:
        """Return the part of the usable budget that may be divided.

        Entries that begin to retry later than others, before they see the retries of
        these in the totals, would otherwise divide the same budget again.
        """
        if not counts.coverage.has_ages:
            return 1.0
        confirmed = counts.coverage.fraction_after(
            counts.burst_at - MAX_CONFIRMING_AGE_S, entry_count=entries
        )
        return UNCONFIRMED_FRACTION + (1.0 - UNCONFIRMED_FRACTION) * confirmed

    def _likely_retries(self, counts: _ServiceCounts, entries: int) -> float:
        """Return the retries of all entries, those that the totals lack included."""
        unseen = 0.0
        for retry in reversed(counts.retries):
            if retry.at < self._clock.now() - MAX_UNSEEN_S:
                break
            unseen += 1.0 - counts.coverage.fraction_after(
                retry.matched_at, entry_count=entries
            )
        return counts.totals.retries + entries * unseen

    def _recent(self, service: str) -> _ServiceCounts:
        counts = self._services.setdefault(service, _ServiceCounts())
        counts.drop_before(self._clock.now() - self._window_s)
        return counts
