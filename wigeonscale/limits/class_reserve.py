"""Capacity that requests leave free for more urgent traffic classes.

Load pattern: in a burst, or after the loss of engines, the last free capacity goes to
whichever request asks first, so an urgent request waits behind many that could wait
longer. Reserved capacity (trunk reservation) keeps a part of each engine free for the
more urgent classes while these compete for it.
"""

__all__ = [
    "NO_RESERVE",
    "ReserveLevel",
    "class_reserve",
    "is_below_floor",
    "is_short",
    "next_level",
]

import math
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonscale.limits.class_count import CLASS_WINDOW_S, ClassCount

# The reserve covers the arrivals of this time, until the load data is renewed and
# capacity is released.
HORIZON_S = 1.0
# Largest reserve: capacity that stays free serves nobody.
MAX_SHARE = 0.3
# Share of the capacity of one step.
STEP_SHARE = 0.05
MAX_STEPS = round(MAX_SHARE / STEP_SHARE)
# The reserve falls by one step in this time, so that the requests that were held back
# do not all return at once. Entries get new totals as often.
STEP_DOWN_S = 0.5
# Share of its arrivals that each class gets admitted, whatever the demand of others.
MIN_ADMITTED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ReserveLevel:
    """Reserve of one class at one time.

    Attributes:
        steps: Number of steps of ``STEP_SHARE``.
        since: Latest time at which the demand justified so many steps.
    """

    steps: int
    since: float

    @property
    def share(self) -> float:
        """Share of an engine's capacity to leave free."""
        return round(self.steps * STEP_SHARE, 2)


NO_RESERVE = ReserveLevel(0, -math.inf)


def class_reserve(
    priority: int, demand: Sequence[ClassCount], *, places: float
) -> float:
    """Return the share of capacity that a class has to leave free.

    Args:
        priority: Priority of the class; 0 is the highest.
        demand: Demand of all classes of a service in one failure domain.
        places: Generations that run or wait there.

    Returns:
        Arrivals of the more urgent classes in ``HORIZON_S`` per place, at most 0.3. It
        is 0 while none of them is short of capacity, that is, waits or was rejected. If
        waiting of the class itself sufficed, the requests that a reserve holds back
        would keep it up.

    Example:
        >>> urgent = ClassCount(
        ...     service="s", priority=0, domain="a", arrived=40, waiting=1
        ... )
        >>> class_reserve(1, [urgent], places=100), class_reserve(0, [urgent], places=9)
        (0.2, 0.0)
    """
    if places <= 0 or not is_short(priority, demand):
        return 0.0
    arrived = sum([count.arrived for count in demand if count.priority < priority])
    share = arrived / CLASS_WINDOW_S * HORIZON_S / places
    return min(MAX_SHARE, share)


def is_short(priority: int, demand: Sequence[ClassCount]) -> bool:
    """Return whether a class more urgent than this one is short of capacity.

    Example:
        >>> waiting = ClassCount(service="s", priority=1, domain="a", waiting=1)
        >>> is_short(2, [waiting]), is_short(1, [waiting])
        (True, False)
    """
    for count in demand:
        if count.priority < priority and (count.waiting or count.rejected):
            return True
    return False


def is_below_floor(priority: int, demand: Sequence[ClassCount]) -> bool:
    """Return whether too few generations of a class are admitted.

    No reserve applies to such a class. If none arrived in the window, those that still
    wait are counted instead.

    Example:
        >>> count = ClassCount(
        ...     service="s", priority=2, domain="a", arrived=9, admitted=2
        ... )
        >>> is_below_floor(2, [count])
        True
    """
    arrived = admitted = waiting = 0
    for count in demand:
        if count.priority == priority:
            arrived += count.arrived
            admitted += count.admitted
            waiting += count.waiting
    return admitted < MIN_ADMITTED_SHARE * (arrived or waiting)


def next_level(level: ReserveLevel, share: float, now: float) -> ReserveLevel:
    """Return the level after the demand calls for a share: up at once, down by steps.

    Args:
        level: Level so far.
        share: Share for the current demand.
        now: Time of the demand, on any monotonic scale.

    Example:
        >>> level = next_level(NO_RESERVE, 0.3, now=10.0)
        >>> [round(next_level(level, 0.0, now=now).share, 2) for now in (10.4, 11.0)]
        [0.3, 0.2]
    """
    # Rounded up, so that the reserve covers the arrivals.
    steps = min(MAX_STEPS, math.ceil(round(share / STEP_SHARE, 6))) if share else 0
    if steps >= level.steps:
        return ReserveLevel(steps, now)
    down = min(level.steps - steps, int((now - level.since) / STEP_DOWN_S))
    return ReserveLevel(level.steps - down, level.since + down * STEP_DOWN_S)
