"""How much this entry may send to a backend server that names a limit."""

__all__ = ["NamedLimit", "BackendRateLimits"]

import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.backend_tracker import TOTALS_MAX_AGE_S
from wigeonscale.limits import sharers
from wigeonscale.ports import Clock

# Share of a limit that is used: entries hear of each other late.
USABLE_FRACTION = 0.8
# Requests that come together may go together, up to what an entry's share allows in
# this time; with a share of less than one they are strictly spaced.
BURST_S = 0.5
# Span over which an entry counts the requests that it has for a backend server.
DEMAND_WINDOW_S = 5.0
# Most that it counts: what an entry asks of one server in that span, many times over.
MAX_DEMAND_SAMPLES = 4096
# That a limit has ended is told for so long, so that no older word of it comes back.
ENDED_LIMIT_TTL_S = 30.0
# Share of the entries whose word is enough to share a limit by: some come and go.
MIN_REPORTING_FRACTION = 0.9
# A backend server that takes nothing must be asked now and then whether it still does.
MIN_RATE_PER_S = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedLimit:
    """Word of one limit between entries.

    Attributes:
        backend_id: Name of the incarnation.
        per_s: Requests a second that it takes from all entries; None where its newest
            answer names no limit.
        age_s: Time since that answer, in seconds; None where the teller has none of
            its own.
        demands: Requests that entries had for it lately, by the name of the entry.
    """

    backend_id: str
    per_s: float | None
    age_s: float | None
    demands: Mapping[str, int]


@dataclass(slots=True)
class _Limit:
    """What is known of one limit.

    Attributes:
        per_s: Requests a second; None where it has ended.
        received_at: Instant of the answer that said so.
        is_own: Whether that answer came to this entry.
        demand_at: Instants at which this entry lately had a request for it.
        shares: Weights of the entries that share it, by the newest word.
        next_send_at: Instant from which the next request is due at an even pace.
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
    """This entry's part of the limits that backend servers name.

    Load pattern: an engine in need is as near and as empty as ever, so that all entries
    of its failure domain go on beginning their paths there, and each that hears of the
    limit would take the whole of it. So the entries that have work for it tell each
    other through control, and share it by what they have; where they are too many for
    the limit, those with the most have it and the others send elsewhere. An entry
    without word from control takes what all entries would get if all sent.

    Args:
        name: Name of this entry.
        clock: Clock port.
        entries: Returns how many entries send alike.

    Notes:
        Costs nothing for a backend server without a limit, and a few bytes a word for
        each with one.

    Example:
        >>> from wigeonscale.testing import ManualClock
        >>> limits = BackendRateLimits(name="e", clock=ManualClock(), entries=lambda: 1)
        >>> limits.note("i-1", 1.0, sent_at=1000.0)
        >>> limits.may_send("i-1"), limits.may_send("i-2")
        (False, True)
    """

    def __init__(self, *, name: str, clock: Clock, entries: Callable[[], int]):
        self._name = name
        self._clock = clock
        self._entries = entries
        self._limits: dict[str, _Limit] = {}
        # When the other entries were last heard of, nearly all of them.
        self._totals_at = -math.inf

    def note(self, backend_id: str, per_s: float | None, *, sent_at: float) -> None:
        """Take in what an answer names.

        Args:
            backend_id: Name of the incarnation that answered.
            per_s: Its limit in requests a second; None for none.
            sent_at: Instant at which the request went out that it answered.
        """
        limit = self._limits.get(backend_id)
        if limit is None:
            if per_s is None:
                return
            limit = self._add(backend_id, per_s, self._clock.now())
        elif per_s is None and sent_at < limit.received_at:
            # An answer may have been under way before the limit was named.
            return
        limit.per_s = per_s
        limit.received_at = self._clock.now()
        limit.is_own = True

    def may_send(self, backend_id: str) -> bool:
        """Return whether a request may go to a backend server now."""
        return self.send_delay_s(backend_id) <= 0.0

    def send_delay_s(self, backend_id: str) -> float:
        """Return the time until a request may go there, in seconds.

        Infinite where the other entries have the whole limit for now.
        """
        limit = self._limits.get(backend_id)
        if limit is None or limit.per_s is None:
            return 0.0
        interval_s = self._interval_s(limit)
        if math.isinf(interval_s):
            return math.inf
        due_at = limit.next_send_at - max(0.0, BURST_S - interval_s)
        if not self._has_fresh_totals():
            # Others without word begin to send in the same moment.
            due_at = max(due_at, self._totals_at + TOTALS_MAX_AGE_S + interval_s)
        return max(0.0, due_at - self._clock.now())

    def note_demand(self, backend_id: str) -> None:
        """Note that this entry has work for a backend server that names a limit."""
        limit = self._limits.get(backend_id)
        if limit is not None:
            limit.demand_at.append(self._clock.now())

    def note_sent(self, backend_id: str) -> None:
        """Count a request that goes out to a backend server."""
        limit = self._limits.get(backend_id)
        if limit is None or limit.per_s is None:
            return
        now = self._clock.now()
        limit.demand_at.append(now)
        interval_s = self._interval_s(limit)
        if math.isfinite(interval_s):
            limit.next_send_at = max(limit.next_send_at, now) + interval_s

    def report(self) -> list[NamedLimit]:
        """Return what the other entries must know of the limits."""
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

    def apply_reports(self, limits: Iterable[NamedLimit], *, tellers: int) -> None:
        """Take in what the entries told, this one included.

        Load pattern: control has no leader for some seconds, and each replica knows
        its own entries only, which would share the whole limit among themselves.

        Args:
            limits: One word for each limit.
            tellers: Entries whose word is in it.
        """
        reports = {each.backend_id: each for each in limits}
        for report in reports.values():
            self._apply_value(report)
        if tellers < MIN_REPORTING_FRACTION * self._entries():
            return
        self._totals_at = self._clock.now()
        for backend_id, limit in self._limits.items():
            report = reports.get(backend_id)
            self._apply_demands(backend_id, limit, report.demands if report else {})

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Forget the limits of backend servers that are gone.

        Args:
            backend_ids: Those that exist.
        """
        existing = set(backend_ids)
        self._limits = {
            name: limit for name, limit in self._limits.items() if name in existing
        }

    def _add(self, backend_id: str, per_s: float, received_at: float) -> _Limit:
        limit = _Limit(per_s=per_s, received_at=received_at, is_own=False)
        # What was sent before the limit was known counts as this entry's first.
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
            # Its own word comes back as if it were newer by the way there and back.
            return
        limit.per_s = report.per_s
        limit.received_at = received_at
        limit.is_own = False
        logger.info(
            "another entry heard a limit",
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
        limit.shares = sharers(backend_id, limit.per_s, demands)
        interval_s = self._interval_s(limit)
        if math.isinf(interval_s):
            return
        now = self._clock.now()
        if math.isinf(before_s):
            # Those that shared it before have requests under way.
            limit.next_send_at = now + interval_s
        else:
            left_s = max(0.0, limit.next_send_at - now)
            limit.next_send_at = now + left_s * interval_s / before_s

    def _demand(self, limit: _Limit) -> int:
        """Return how many requests this entry had for a backend server lately."""
        oldest = self._clock.now() - DEMAND_WINDOW_S
        while limit.demand_at and limit.demand_at[0] < oldest:
            limit.demand_at.popleft()
        return len(limit.demand_at)

    def _has_fresh_totals(self) -> bool:
        return self._clock.now() - self._totals_at <= TOTALS_MAX_AGE_S

    def _interval_s(self, limit: _Limit) -> float:
        """Return the time between two requests of this entry at an even pace."""
        if not self._has_fresh_totals():
            return self._fair_interval_s(limit)
        weight = limit.shares.get(self._name, 0)
        if not weight:
            return math.inf
        return sum(limit.shares.values()) / weight / _used_per_s(limit.per_s)

    def _fair_interval_s(self, limit: _Limit) -> float:
        return max(1, self._entries()) / _used_per_s(limit.per_s)


def _used_per_s(per_s: float) -> float:
    return USABLE_FRACTION * max(per_s, MIN_RATE_PER_S)
