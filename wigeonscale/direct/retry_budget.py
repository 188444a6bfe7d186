"""This entry's share of the retry budget, by service."""

__all__ = ["SharedRetryBudget"]

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.limits import (
    CLAIM_DELAY_S,
    accepted_claim,
    own_share,
    target_claim,
)
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
# An entry reports that it wants retries for this long after one was denied.
WANTING_S = 2.0
# Claims are used only with totals of this age. Control drops the report of an entry
# after 2 s, so the entry stops before others can use its claim.
CLAIM_MAX_AGE_S = 1.0
# Requests are counted for a shorter time than retries: those that the totals contain
# are still within the window when a retry is made. Also the time in which all entries
# learn of a new entry.
TOTALS_LAG_S = 2.0
# An entry that control no longer counts may go on without contact to it, with its part
# of the slack.
ENTRY_COUNT_HOLD_S = 600.0
# A new entry knows only the entries that control counts now. It makes no retries beyond
# its claims until those cut off from control before it started are likely to be back.
OWN_DELAY_S = 60.0


@dataclass(slots=True)
class _Counts:
    """Counts of all other entries in the window."""

    requests: int = 0
    retries: int = 0


@dataclass(slots=True)
class _Claim:
    """Claim of this entry for one service with traffic classes.

    Attributes:
        accepted: Retries in the window that it covers.
        reports: Reported claims with their times.
        own: Times of the retries in the window that no claim covers.
        wanting: Entries that want retries, by the last totals.
        denied_at: When a retry was last denied.
        denied_since: When the first of the denials began that have followed each other
            within ``WANTING_S``.
    """

    accepted: int = 0
    reports: deque[tuple[float, int]] = field(default_factory=deque)
    own: deque[float] = field(default_factory=deque)
    wanting: int = 0
    denied_at: float = float("-inf")
    denied_since: float = float("-inf")


class _RecentMaximum:
    """Maximum of a value over a sliding window."""

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        # Descending values with ascending times.
        self._values: deque[tuple[float, int]] = deque()

    def update(self, now: float, value: int) -> int:
        """Add a value; return the maximum."""
        values = self._values
        while values and values[-1][1] <= value:
            values.pop()
        values.append((now, value))
        while values[0][0] < now - self._window_s:
            values.popleft()
        return values[0][1]


def _no_classes(service: str) -> bool:
    return False


class SharedRetryBudget:
    """Limits retries over a sliding window.

    All entries together may make ``ratio`` times their requests plus ``slack`` retries.

    A lost or full engine often affects the streams of a few entries only. With hundreds
    of entries, the equal share of each is a few retries. So only a part of this share
    is guaranteed to an entry; the rest is a pool, which entries use according to the
    totals that control sends.

    For services with traffic classes the pool is divided by claims, as
    ``wigeonscale.limits.retry_pool`` describes, and retries are reported as the larger
    of the claim and the retries that it covered.

    Args:
        clock: Clock port.
        ratio: Retries as a fraction of requests.
        slack: Additional retries of all entries together.
        window_s: Length of the window, in seconds.
        entry_count: Returns the number of entries that share the slack.
        has_classes: Returns whether a service has traffic classes.

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
        has_classes: Callable[[str], bool] = _no_classes,
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
        self._has_classes = has_classes
        self._claims: dict[str, _Claim] = {}
        self._first_totals_at = float("inf")
        self._missing_until = float("-inf")
        self._held_count = _RecentMaximum(window_s=ENTRY_COUNT_HOLD_S)
        self._recent_count = _RecentMaximum(window_s=window_s + TOTALS_LAG_S)

    def record(self, service: str) -> None:
        """Count a request."""
        self._recent(self._requests, service).append(self._clock.now())

    def report_sends(self) -> dict[str, tuple[int, int]]:
        """Return this entry's counts, and record them as reported to control.

        Returns:
            Requests and retries in the window, by service.
        """
        self._drop_outdated_claims()
        self._reported = {
            service: (
                (self._claimed_requests(service), self._report_claim(service))
                if self._has_classes(service)
                else (
                    len(self._recent(self._requests, service)),
                    len(self._recent(self._retries, service)),
                )
            )
            for service in self._requests
        }
        return self._reported

    def is_wanting(self, service: str) -> bool:
        """Return whether a retry was denied recently; False without classes."""
        claim = self._claims.get(service)
        return (
            claim is not None
            and self._has_classes(service)
            and self._clock.now() - claim.denied_at <= WANTING_S
        )

    def apply_totals(
        self,
        totals: Mapping[str, tuple[int, int]],
        *,
        wanting: Mapping[str, int] | None = None,
        reporting_entries: int = 0,
    ) -> None:
        """Apply the total counts of all entries, this one included.

        Args:
            totals: Requests and retries in the window, by service.
            wanting: Number of entries that want retries, by service.
            reporting_entries: Number of entries whose reports the totals include.
        """
        self._drop_outdated_claims()
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
        self._accept_claims(totals, wanting or {}, reporting_entries)

    def try_spend(self, service: str, *, is_begun: bool = True) -> bool:
        """Take one retry from the budget; return whether it is allowed.

        Args:
            service: Service of the request.
            is_begun: Whether the caller has a part of the response or cannot be told to
                retry. Other requests may not use the reserved fraction.
        """
        if self._has_classes(service):
            return self._try_claimed(service, is_begun=is_begun)
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

    def _accept_claims(
        self,
        totals: Mapping[str, tuple[int, int]],
        wanting: Mapping[str, int],
        reporting_entries: int,
    ) -> None:
        now = self._clock.now()
        self._first_totals_at = min(self._first_totals_at, now)
        count = max(reporting_entries, self._entry_count())
        if reporting_entries < self._recent_count.update(now, count):
            # The retries of an entry that is missing now still count in the window.
            self._missing_until = now + self._window_s
        for service, claim in self._claims.items():
            claim.wanting = wanting.get(service, 0)
            if service not in totals or now < self._missing_until:
                continue
            requests, total = totals[service]
            claim.accepted = accepted_claim(
                (reported for _, reported in _reports_after_delay(claim, now)),
                total=total,
                budget=self._ratio * requests + self._slack,
                accepted=claim.accepted,
            )

    def _drop_outdated_claims(self) -> None:
        """Drop claims that control may have dropped; they are raised anew."""
        if self._clock.now() - self._totals_at > CLAIM_MAX_AGE_S:
            for service, claim in self._claims.items():
                claim.accepted = self._claimed_retries(service, claim)
                claim.reports.clear()

    def _report_claim(self, service: str) -> int:
        """Return the claim to report, and lower the accepted one to it."""
        now = self._clock.now()
        claim = self._claims.setdefault(service, _Claim())
        spent = self._claimed_retries(service, claim)
        reported = max(self._target(service, claim), spent)
        claim.accepted = min(claim.accepted, reported)
        claim.reports.append((now, reported))
        return reported

    def _target(self, service: str, claim: _Claim) -> int:
        """Return the claim that this entry should have now."""
        return target_claim(
            self._equal_part(service),
            self._entries(),
            claim.wanting,
            is_wanting=self._counts_as_wanting(service, claim),
        )

    def _counts_as_wanting(self, service: str, claim: _Claim) -> bool:
        if not self.is_wanting(service):
            return False
        # Totals that still lack this entry come from control of an older version.
        is_known = self._clock.now() - claim.denied_since > TOTALS_LAG_S
        return claim.wanting > 0 or not is_known

    def _try_claimed(self, service: str, *, is_begun: bool) -> bool:
        now = self._clock.now()
        claim = self._claims.setdefault(service, _Claim())
        spent = self._claimed_retries(service, claim)
        known_s = now - self._first_totals_at
        # A restarted entry has lost the count of its retries in the window.
        has_counts = known_s >= self._window_s + TOTALS_LAG_S
        is_current = has_counts and now - self._totals_at <= CLAIM_MAX_AGE_S
        # Retries that have just left the window are not made again if the requests that
        # allowed them have left it too.
        usable = min(claim.accepted, self._target(service, claim))
        covered = max(spent, usable) if is_current else spent
        has_own = has_counts and known_s >= OWN_DELAY_S
        own = own_share(self._equal_part(service)) if has_own else 0
        limit = float(covered + own)
        if not is_begun:
            limit *= 1.0 - RESERVED_FRACTION
        is_covered = spent < covered
        is_allowed = spent + len(claim.own) + 1 <= limit and (
            is_covered or len(claim.own) < own
        )
        if is_allowed:
            self._recent(self._retries, service).append(now)
            if not is_covered:
                claim.own.append(now)
        else:
            if now - claim.denied_at > WANTING_S:
                claim.denied_since = now
            claim.denied_at = now
        METRICS.budget_retries.add(outcome="allowed" if is_allowed else "denied")
        return is_allowed

    def _claimed_retries(self, service: str, claim: _Claim) -> int:
        """Return the retries in the window that the claim covered."""
        oldest = self._clock.now() - self._window_s
        while claim.own and claim.own[0] < oldest:
            claim.own.popleft()
        return len(self._recent(self._retries, service)) - len(claim.own)

    def _claimed_requests(self, service: str) -> int:
        """Return the requests that stay in the window until the totals are used."""
        requests = self._recent(self._requests, service)
        window_s = self._window_s - min(TOTALS_LAG_S, self._window_s / 2)
        return len(requests) - bisect_left(requests, self._clock.now() - window_s)

    def _equal_part(self, service: str) -> float:
        """Return this entry's equal part of the budget."""
        requests = self._claimed_requests(service)
        return self._ratio * requests + self._slack / self._entries()

    def _entries(self) -> int:
        count = max(1, self._entry_count())
        return self._held_count.update(self._clock.now(), count)

    def _recent(self, counts: dict[str, deque[float]], service: str) -> deque[float]:
        recent = counts.setdefault(service, deque())
        oldest = self._clock.now() - self._window_s
        while recent and recent[0] < oldest:
            recent.popleft()
        return recent


def _reports_after_delay(claim: _Claim, now: float) -> deque[tuple[float, int]]:
    """Return the reports that the totals may contain, or none if all are too recent.

    Drops reports that the totals of all entries have replaced.
    """
    reports = claim.reports
    known_at = now - CLAIM_DELAY_S
    while len(reports) > 1 and reports[1][0] <= known_at:
        reports.popleft()
    return reports if reports and reports[0][0] <= known_at else deque()
