"""This entry's share of the rate limits that backend servers announce."""

__all__ = ["BackendRateLimits", "NamedLimit"]

import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.backend_tracker import TOTALS_MAX_AGE_S
from wigeonscale.limits import share_weights
from wigeonscale.ports import Clock

# Fraction of a limit that is used, because entries receive each other's demand late.
USABLE_FRACTION = 0.8
# A burst may hold the requests that an entry's share allows in this time. If that is
# less than one request, requests are evenly spaced.
BURST_S = 0.5
# Window over which an entry counts its demand for a backend server.
DEMAND_WINDOW_S = 5.0
# Upper bound of that count, many times the usual demand of an entry in the window.
MAX_DEMAND_SAMPLES = 4096
# The end of a limit is reported for this long, so that an older report cannot restore
# the limit.
ENDED_LIMIT_TTL_S = 30.0
# Fraction of the entries whose reports suffice to share a limit, because some entries
# start and stop.
MIN_REPORTING_FRACTION = 0.9
# Lower limits count as this rate, so that a backend server that accepts no requests is
# still tried occasionally.
MIN_RATE_PER_S = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedLimit:
    """Report of one rate limit, exchanged between entries.

    Attributes:
        backend_id: Name of the incarnation.
        per_s: Requests per second that it accepts from all entries; None if its newest
            response has no limit.
        age_s: Time since that response, in seconds; None if the reporting entry had no
            response of its own.
        demands: Recent number of requests for it, by name of the entry.
    """

    backend_id: str
    per_s: float | None
    age_s: float | None
    demands: Mapping[str, int]


@dataclass(slots=True)
class _Limit:
    """State of one rate limit.

    Attributes:
        per_s: Requests per second; None if the limit has ended.
        received_at: Time of the response with this limit.
        is_own: Whether this entry received that response.
        demand_at: Times of this entry's recent requests for the backend server.
        shares: Weights of the entries that share the limit, by the newest reports.
        next_send_at: Time of the next request at an even rate.
    """

    per_s: float | None
    received_at: float
    is_own: bool
    demand_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_DEMAND_SAMPLES)
    )
    shares: Mapping[str, int] = field(default_factory=dict)
    next_send_at: float = 0.0


class BackendRateLimits:
    """This entry's share of the rate limits that backend servers announce.

    An overloaded engine still appears near and idle, so all entries of its failure
    domain would begin their paths there, and each of them would use the whole limit. So
    entries report their demand to each other through control and share the limit by
    demand. If there are too many entries for the limit, those with the highest demand
    share it and the others send elsewhere. An entry without recent reports from control
    uses an equal share among all entries.

    Args:
        name: Name of this entry.
        clock: Clock port.
        entry_count: Returns the number of entries with similar traffic.

    Notes:
        No cost for a backend server without a limit, and a few bytes per report for
        each one with a limit.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> limits = BackendRateLimits(
        ...     name="e", clock=ManualClock(), entry_count=lambda: 1
        ... )
        >>> limits.note("i-1", 1.0, sent_at=1000.0)
        >>> limits.may_send("i-1"), limits.may_send("i-2")
        (False, True)
    """

    def __init__(self, *, name: str, clock: Clock, entry_count: Callable[[], int]):
        self._name = name
        self._clock = clock
        self._entry_count = entry_count
        self._limits: dict[str, _Limit] = {}
        # Time of the last totals that covered nearly all entries.
        self._totals_at = -math.inf

    def note(self, backend_id: str, per_s: float | None, *, sent_at: float) -> None:
        """Record the rate limit in a response.

        Args:
            backend_id: Name of the incarnation that responded.
            per_s: Its limit in requests per second; None if there is none.
            sent_at: Time at which the request was sent.
        """
        limit = self._limits.get(backend_id)
        if limit is None:
            if per_s is None:
                return
            limit = self._add(backend_id, per_s, self._clock.now())
        elif per_s is None and sent_at < limit.received_at:
            # The response may have been begun before the limit was announced.
            return
        limit.per_s = per_s
        limit.received_at = self._clock.now()
        limit.is_own = True

    def may_send(self, backend_id: str) -> bool:
        """Return whether a request may be sent to a backend server now."""
        return self.send_delay_s(backend_id) <= 0.0

    def send_delay_s(self, backend_id: str) -> float:
        """Return the time until a request may be sent, in seconds.

        It is infinite if other entries use the whole limit.
        """
        limit = self._limits.get(backend_id)
        if limit is None or limit.per_s is None:
            return 0.0
        interval_s = self._interval_s(limit)
        if math.isinf(interval_s):
            return math.inf
        due_at = limit.next_send_at - max(0.0, BURST_S - interval_s)
        if not self._has_fresh_totals():
            # Other entries without reports start to send at the same time.
            due_at = max(due_at, self._totals_at + TOTALS_MAX_AGE_S + interval_s)
        return max(0.0, due_at - self._clock.now())

    def note_demand(self, backend_id: str) -> None:
        """Record that this entry has a request for a backend server with a limit."""
        limit = self._limits.get(backend_id)
        if limit is not None:
            limit.demand_at.append(self._clock.now())

    def note_sent(self, backend_id: str) -> None:
        """Record a request that is sent to a backend server."""
        limit = self._limits.get(backend_id)
        if limit is None or limit.per_s is None:
            return
        now = self._clock.now()
        limit.demand_at.append(now)
        interval_s = self._interval_s(limit)
        if math.isfinite(interval_s):
            limit.next_send_at = max(limit.next_send_at, now) + interval_s

    def report(self) -> list[NamedLimit]:
        """Return the limits and demands to report to other entries."""
        now = self._clock.now()
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.per_s is not None or now - limit.received_at <= ENDED_LIMIT_TTL_S
        }
        return [
            NamedLimit(
                backend_id=name,
                per_s=limit.per_s,
                age_s=now - limit.received_at if limit.is_own else None,
                demands={self._name: demand} if demand else {},
            )
            for name, limit in self._limits.items()
            if (demand := self._demand(limit)) or limit.is_own
        ]

    def apply_reports(
        self, limits: Iterable[NamedLimit], *, reporting_entries: int
    ) -> None:
        """Apply the merged reports of the entries, this one included.

        Demands are ignored unless nearly all entries have reported. While control has
        no leader, for some seconds, each replica knows only its own entries, which
        would share the whole limit among themselves.

        Args:
            limits: One report for each limit.
            reporting_entries: Number of entries whose reports are included.
        """
        reports = {each.backend_id: each for each in limits}
        for report in reports.values():
            self._apply_value(report)
        if reporting_entries < MIN_REPORTING_FRACTION * self._entry_count():
            return
        self._totals_at = self._clock.now()
        for backend_id, limit in self._limits.items():
            report = reports.get(backend_id)
            self._apply_demands(backend_id, limit, report.demands if report else {})

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Drop the limits of backend servers that are gone.

        Args:
            backend_ids: Existing backend servers.
        """
        existing = set(backend_ids)
        self._limits = {
            name: limit for name, limit in self._limits.items() if name in existing
        }

    def _add(self, backend_id: str, per_s: float, received_at: float) -> _Limit:
        limit = _Limit(per_s=per_s, received_at=received_at, is_own=False)
        # Requests sent before the limit was known count as this entry's first one.
        limit.next_send_at = self._clock.now() + self._fair_interval_s(limit)
        self._limits[backend_id] = limit
        return limit

    def _apply_value(self, report: NamedLimit) -> None:
        if report.age_s is None:
            return
        received_at = self._clock.now() - report.age_s
        limit = self._limits.get(report.backend_id)
        if limit is not None and received_at <= limit.received_at:
            return
        if limit is None:
            if report.per_s is None:
                return
            limit = self._add(report.backend_id, report.per_s, received_at)
        elif limit.per_s == report.per_s:
            # This entry's own report comes back and seems newer by one round trip.
            return
        limit.per_s = report.per_s
        limit.received_at = received_at
        limit.is_own = False
        logger.info(
            "rate limit reported by another entry",
            extra=log_fields(
                backend=report.backend_id,
                limit_per_s=report.per_s,
                age_s=round(report.age_s, 3),
            ),
        )

    def _apply_demands(
        self, backend_id: str, limit: _Limit, demands: Mapping[str, int]
    ) -> None:
        if limit.per_s is None:
            limit.shares = {}
            return
        before_s = self._interval_s(limit)
        limit.shares = share_weights(backend_id, limit.per_s, demands)
        interval_s = self._interval_s(limit)
        if math.isinf(interval_s):
            return
        now = self._clock.now()
        if math.isinf(before_s):
            # Entries that already share the limit have requests in flight.
            limit.next_send_at = now + interval_s
        else:
            left_s = max(0.0, limit.next_send_at - now)
            limit.next_send_at = now + left_s * interval_s / before_s

    def _demand(self, limit: _Limit) -> int:
        """Return this entry's recent number of requests for a backend server."""
        oldest = self._clock.now() - DEMAND_WINDOW_S
        while limit.demand_at and limit.demand_at[0] < oldest:
            limit.demand_at.popleft()
        return len(limit.demand_at)

    def _has_fresh_totals(self) -> bool:
        return self._clock.now() - self._totals_at <= TOTALS_MAX_AGE_S

    def _interval_s(self, limit: _Limit) -> float:
        """Return the time between two requests of this entry at an even rate."""
        if not self._has_fresh_totals():
            return self._fair_interval_s(limit)
        weight = limit.shares.get(self._name, 0)
        if not weight:
            return math.inf
        return sum(limit.shares.values()) / weight / _used_per_s(limit.per_s)

    def _fair_interval_s(self, limit: _Limit) -> float:
        return max(1, self._entry_count()) / _used_per_s(limit.per_s)


def _used_per_s(per_s: float) -> float:
    return USABLE_FRACTION * max(per_s, MIN_RATE_PER_S)
