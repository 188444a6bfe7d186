"""Demand by traffic class, and the capacity to leave free for more urgent classes."""

__all__ = ["ClassDemandTracker"]

import heapq
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS, priority_label
from wigeonscale.limits import (
    CLASS_WINDOW_S,
    INTERRUPTED_PRIORITY,
    NO_RESERVE,
    ClassCount,
    ReserveLevel,
    class_reserve,
    is_below_floor,
    is_short,
    next_level,
    spread_interrupted,
)
from wigeonscale.limits.class_reserve import MAX_SHARE
from wigeonscale.ports import Clock

if TYPE_CHECKING:
    # The context in this module holds the tracker.
    from wigeonscale.direct.job import Job

# Control sends the totals of all entries with each lease grant, by default twice a
# second.
TOTALS_MAX_AGE_S = 2.5
# A reserve is computed again with new totals, and at least this often, since it falls
# by steps over time and outdated totals are replaced by the own demand.
RESERVE_UPDATE_S = 0.5

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _OwnCounts:
    """Events of one class at this entry.

    Attributes:
        arrived: Times of arrivals in the window.
        admitted: Times of first sends in the window.
        rejected: Times of rejections in the window.
        released: Times at which capacity was released, in the window.
        returning: Heap of the times at which rejected callers may return.
        waiting: Generations that wait for capacity now.
    """

    arrived: deque[float] = field(default_factory=deque)
    admitted: deque[float] = field(default_factory=deque)
    rejected: deque[float] = field(default_factory=deque)
    released: deque[float] = field(default_factory=deque)
    returning: list[float] = field(default_factory=list)
    waiting: int = 0

    def drop_outdated(self, now: float) -> None:
        """Drop events that have left the window, and callers that may return."""
        for times in (self.arrived, self.admitted, self.rejected, self.released):
            while times and times[0] < now - CLASS_WINDOW_S:
                times.popleft()
        while self.returning and self.returning[0] <= now:
            heapq.heappop(self.returning)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is counted."""
        return not (
            self.arrived
            or self.admitted
            or self.rejected
            or self.released
            or self.returning
            or self.waiting
        )


@dataclass(slots=True)
class _Reserve:
    """Reserve that a class leaves free in one failure domain.

    Attributes:
        level: Its steps.
        share: Share of the capacity; 0 while the class is below its floor.
        totals_number: Number of the totals from which it was computed.
        updated_at: Time of the computation.
    """

    level: ReserveLevel
    share: float
    totals_number: int
    updated_at: float


class ClassDemandTracker:
    """Counts the generations of one entry by class, and holds the totals of all.

    Only generations of services with traffic classes are counted.

    Args:
        clock: Clock port.
        domain: The entry's own failure domain.
        max_reserve: Largest share of capacity that a class leaves free; 0 for none.

    Notes:
        Linear in the events of the last 2 s in memory, about 40 bytes for each.
    """

    def __init__(self, *, clock: Clock, domain: str, max_reserve: float = MAX_SHARE):
        self._clock = clock
        self._domain = domain
        self._max_reserve = max_reserve
        self._own: dict[tuple[str, int], _OwnCounts] = {}
        self._totals: dict[tuple[str, str], list[ClassCount]] = {}
        self._totals_at = float("-inf")
        self._totals_number = 0
        # Failure domains of entries that any totals named. The own domain is one of
        # them even while it has no demand.
        self._domains = {domain}
        # By service, failure domain and priority.
        self._reserves: dict[tuple[str, str, int], _Reserve] = {}

    def note_arrived(self, job: "Job", *, is_interrupted: bool = False) -> None:
        """Count a generation that arrived, or a stream that begins to wait for room."""
        counts = self._counts(job, is_interrupted=is_interrupted)
        counts.arrived.append(self._clock.now())

    def note_admitted(self, job: "Job", *, is_interrupted: bool = False) -> None:
        """Count the first send of a generation, or a stream that got room."""
        counts = self._counts(job, is_interrupted=is_interrupted)
        counts.admitted.append(self._clock.now())
        priority = INTERRUPTED_PRIORITY if is_interrupted else job.priority
        METRICS.class_admissions.add(priority=priority_label(priority))

    def note_waiting(
        self, job: "Job", change: int, *, is_interrupted: bool = False
    ) -> None:
        """Change the number of generations that wait for capacity.

        Args:
            job: The request.
            change: +1 when it begins to wait, -1 when it no longer waits.
            is_interrupted: Whether it is counted in the class of interrupted streams.
        """
        counts = self._counts(job, is_interrupted=is_interrupted)
        counts.waiting = max(0, counts.waiting + change)

    def note_rejected(self, job: "Job", retry_after_s: float) -> None:
        """Count a generation that was rejected for lack of capacity.

        Args:
            job: The request.
            retry_after_s: Time after which its caller may return, in seconds.
        """
        counts = self._counts(job)
        now = self._clock.now()
        counts.rejected.append(now)
        heapq.heappush(counts.returning, now + retry_after_s)

    def note_released(self, job: "Job") -> None:
        """Count a generation that ended and released its capacity."""
        self._counts(job).released.append(self._clock.now())

    def report(self) -> list[ClassCount]:
        """Return the own counts by service and priority, for the heartbeat."""
        now = self._clock.now()
        for key, counts in list(self._own.items()):
            counts.drop_outdated(now)
            if counts.is_empty:
                del self._own[key]
        return [
            ClassCount(
                service=service,
                priority=priority,
                domain=self._domain,
                arrived=len(counts.arrived),
                admitted=len(counts.admitted),
                rejected=len(counts.rejected),
                waiting=counts.waiting,
                released=len(counts.released),
                returning=len(counts.returning),
            )
            for (service, priority), counts in sorted(self._own.items())
        ]

    def apply_totals(self, counts: Iterable[ClassCount]) -> None:
        """Apply the totals over all entries, this one included.

        Args:
            counts: Sums by service, priority and failure domain.
        """
        totals: dict[tuple[str, str], list[ClassCount]] = {}
        counts = list(counts)
        self._domains.update([count.domain for count in counts])
        counts = spread_interrupted(counts, self._domains)
        for count in sorted(counts, key=lambda count: count.priority):
            totals.setdefault((count.service, count.domain), []).append(count)
        self._totals = totals
        self._totals_at = self._clock.now()
        self._totals_number += 1

    @property
    def totals_age_s(self) -> float:
        """Age of the totals in seconds; infinite before the first."""
        return self._clock.now() - self._totals_at

    def demand(self, service: str, domain: str, entry_count: int) -> list[ClassCount]:
        """Return the current demand of all entries of a failure domain.

        Args:
            service: Name of the service.
            domain: The failure domain.
            entry_count: Number of entries with similar traffic, this one included. If
                the totals are outdated, every entry of the domain, ``entry_count`` /
                domains, is assumed to have the same demand as this one.

        Returns:
            Counts by priority, highest (0) first; empty before any totals.
        """
        if math.isinf(self._totals_at):
            return []
        if self.totals_age_s <= TOTALS_MAX_AGE_S:
            return self._totals.get((service, domain), [])
        factor = self.entries_per_domain(entry_count)
        return [
            _scaled(count, factor, domain)
            for count in self.report()
            if count.service == service
        ]

    def entries_per_domain(self, entry_count: int) -> float:
        """Return the mean number of entries in a failure domain, at least one.

        Args:
            entry_count: Number of entries in all domains.
        """
        return max(1.0, entry_count / len(self._domains))

    def reserve(
        self,
        service: str,
        domain: str,
        priority: int,
        *,
        entry_count: int,
        running: Callable[[], float],
    ) -> float:
        """Return the share of capacity that a new generation must leave free.

        Args:
            service: Name of the service.
            domain: Failure domain of the engines.
            priority: Priority of the generation.
            entry_count: Number of entries with similar traffic; see :meth:`demand`.
            running: Returns the number of generations that run in the failure domain;
                called only while a more urgent class is short.

        Notes:
            Computed once for each update of the totals; other calls are a look-up.
        """
        if not self._max_reserve:
            return 0.0
        key = service, domain, priority
        now = self._clock.now()
        reserve = self._reserves.get(key)
        if (
            reserve is None
            or reserve.totals_number != self._totals_number
            or now - reserve.updated_at >= RESERVE_UPDATE_S
        ):
            level = reserve.level if reserve is not None else NO_RESERVE
            reserve = self._update_reserve(key, level, now, entry_count, running)
        return reserve.share

    def _update_reserve(
        self,
        key: tuple[str, str, int],
        before: ReserveLevel,
        now: float,
        entry_count: int,
        running: Callable[[], float],
    ) -> _Reserve:
        service, domain, priority = key
        demand = self.demand(service, domain, entry_count)
        wanted = places = 0.0
        if is_short(priority, demand):
            places = running() + sum([count.waiting for count in demand])
            wanted = class_reserve(priority, demand, places=places)
        level = next_level(before, wanted, now)
        share = min(self._max_reserve, level.share)
        if share and is_below_floor(priority, demand):
            share = 0.0
        if level.steps != before.steps:
            more_urgent = [count for count in demand if count.priority < priority]
            logger.info(
                "reserve for more urgent classes changed",
                extra=log_fields(
                    service=service,
                    domain=domain,
                    priority=priority,
                    reserve=round(level.share, 2),
                    wanted=round(wanted, 3),
                    places=round(places, 1),
                    arrived=sum(count.arrived for count in more_urgent),
                    waiting=sum(count.waiting for count in more_urgent),
                    rejected=sum(count.rejected for count in more_urgent),
                    below_floor=level.steps > 0 and not share,
                    totals_age_s=round(self.totals_age_s, 2),
                ),
            )
        former = self._reserves.get(key)
        if domain == self._domain and (former is None or former.share != share):
            METRICS.class_reserve.set(share, priority=priority_label(priority))
        reserve = _Reserve(level, share, self._totals_number, now)
        self._reserves[key] = reserve
        return reserve

    def _counts(self, job: "Job", *, is_interrupted: bool = False) -> _OwnCounts:
        priority = INTERRUPTED_PRIORITY if is_interrupted else job.priority
        key = job.service.name, priority
        counts = self._own.get(key)
        if counts is None:
            counts = self._own[key] = _OwnCounts()
        counts.drop_outdated(self._clock.now())
        return counts


def _scaled(count: ClassCount, factor: float, domain: str) -> ClassCount:
    """Return the demand of a whole domain, extrapolated from one entry."""
    return replace(
        count,
        domain=domain,
        arrived=round(factor * count.arrived),
        admitted=round(factor * count.admitted),
        rejected=round(factor * count.rejected),
        waiting=round(factor * count.waiting),
        released=round(factor * count.released),
        returning=round(factor * count.returning),
    )
