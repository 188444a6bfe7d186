"""Demand of one traffic class at the entries of one failure domain."""

__all__ = [
    "CLASS_WINDOW_S",
    "INTERRUPTED_PRIORITY",
    "ClassCount",
    "spread_interrupted",
]

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Length of the window of the counts, in seconds. Entries report twice a second, and a
# class of a few requests per second still has several in the window.
CLASS_WINDOW_S = 2.0
# Priority of the class of interrupted streams that wait for room. It is more urgent
# than all priorities of routes, because their callers have a part of the response.
INTERRUPTED_PRIORITY = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassCount:
    """Demand and outcomes of one priority of a service.

    Attributes:
        service: Name of the service.
        priority: Priority of the class; 0 is the highest of the routes, and
            ``INTERRUPTED_PRIORITY`` is above it.
        domain: Failure domain of the entries.
        arrived: Generations that arrived in the window.
        admitted: Generations sent to engines for the first time in the window.
        rejected: Generations rejected for lack of capacity in the window.
        waiting: Generations that wait for capacity now.
        released: Generations that ended in the window and released their capacity.
        returning: Rejected callers whose Retry-After has not passed yet.
    """

    service: str
    priority: int
    domain: str
    arrived: int = 0
    admitted: int = 0
    rejected: int = 0
    waiting: int = 0
    released: int = 0
    returning: int = 0


def spread_interrupted(
    counts: Iterable[ClassCount], domains: Collection[str]
) -> list[ClassCount]:
    """Return counts in which each failure domain has its part of interrupted streams.

    The streams of a lost failure domain resume in the others, so their demand is spread
    evenly over all of them, whatever the domain of their entries; parts are rounded up.

    Args:
        counts: Counts by service, priority and failure domain.
        domains: All failure domains.

    Example:
        >>> count = ClassCount(service="s", priority=-1, domain="a", waiting=3)
        >>> [each.waiting for each in spread_interrupted([count], ["a", "b"])]
        [2, 2]
    """
    spread: list[ClassCount] = []
    totals: dict[str, list[int]] = {}
    for count in counts:
        if count.priority != INTERRUPTED_PRIORITY:
            spread.append(count)
            continue
        total = totals.setdefault(count.service, [0, 0, 0])
        total[0] += count.arrived
        total[1] += count.admitted
        total[2] += count.waiting
    for service, total in totals.items():
        arrived, admitted, waiting = (math.ceil(n / len(domains)) for n in total)
        spread += [
            ClassCount(
                service=service,
                priority=INTERRUPTED_PRIORITY,
                domain=domain,
                arrived=arrived,
                admitted=admitted,
                waiting=waiting,
            )
            for domain in domains
        ]
    return spread
