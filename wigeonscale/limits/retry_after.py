"""Retry-After of rejections for lack of capacity, from the rate of its release."""

__all__ = ["DEFAULT_RETRY_AFTER_S", "retry_after_s"]

import random
from collections.abc import Sequence

from wigeonscale.limits.class_count import (
    CLASS_WINDOW_S,
    INTERRUPTED_PRIORITY,
    ClassCount,
)

# Range of the Retry-After while the release rate is unknown. Responses last about two
# seconds, so about a third of the capacity is released within one second.
DEFAULT_RETRY_AFTER_S = (0.4, 1.4)
# Callers retry no sooner, because less than 0.2 s releases a few places only and the
# connection and the prefill already take that long.
MIN_RETRY_AFTER_S = 0.2
# Callers of streams disconnect after two seconds or more without an event; a longer
# Retry-After would leave capacity unused if the release rate rises meanwhile.
MAX_RETRY_AFTER_S = 2.0
# Callers that are given the same time return over this range around it.
JITTER = (0.75, 1.25)


def retry_after_s(
    priority: int,
    demand: Sequence[ClassCount],
    rng: random.Random,
    *,
    own: Sequence[ClassCount] = (),
    entries: float = 1.0,
) -> float:
    """Return the time until capacity for a rejected caller is expected to be released.

    Those who wait, or were told to come back, go first if their class is the same or
    more urgent. The time is their number over the release rate, with jitter.

    The totals lack what the entries rejected since they were exchanged, up to a second
    ago. After the loss of engines, most rejections fall into that time, and all callers
    would return together. So an entry takes its own rejections as a sample of those of
    all entries, draws the position of this caller among those that the others reject at
    the same time, and expects that they reject as many callers of each more urgent
    class, as far as its share of the arrivals allows.

    Args:
        priority: Priority of the caller's class; 0 is the highest.
        demand: Demand of all classes of the service in the failure domain of the entry;
            empty if unknown.
        rng: Source of the jitter.
        own: Demand at this entry alone, without the caller.
        entries: Number of entries whose demand the totals hold.

    Returns:
        The time in seconds: from ``MIN_RETRY_AFTER_S`` to ``MAX_RETRY_AFTER_S``, or in
        the range ``DEFAULT_RETRY_AFTER_S`` if nothing is known to be released.

    Notes:
        Linear in the number of classes.

    Example:
        >>> demand = [ClassCount(service="llm", priority=0, domain="a", released=50)]
        >>> 0.2 <= retry_after_s(0, demand, random.Random(1)) <= 0.34
        True
    """
    released_per_s = sum(count.released for count in demand) / CLASS_WINDOW_S
    if released_per_s <= 0.0:
        return rng.uniform(*DEFAULT_RETRY_AFTER_S)
    position = 1.0 + _callers_ahead(priority, demand, rng, own, entries)
    # The bounds apply to the middle of the jitter, so that callers beyond a bound do
    # not all return at the same time.
    low, high = JITTER
    middle_s = position / released_per_s
    middle_s = min(max(middle_s, MIN_RETRY_AFTER_S / low), MAX_RETRY_AFTER_S / high)
    return middle_s * rng.uniform(low, high)


def _callers_ahead(
    priority: int,
    demand: Sequence[ClassCount],
    rng: random.Random,
    own: Sequence[ClassCount],
    entries: float,
) -> float:
    """Return the expected number of callers that go before a rejected one."""
    totals = {count.priority: count for count in demand}
    own_returning = {count.priority: count.returning for count in own}
    same = totals.get(priority)
    own_estimate = entries * own_returning.get(priority, 0)
    # Each other entry is assumed to reject one caller of the class at the same time.
    others = entries - 1.0
    ahead = rng.uniform(0.0, others)
    ahead += max(same.returning if same else 0, own_estimate)
    ahead += same.waiting if same else 0
    arrived = max(1, same.arrived if same else 0)
    for count in demand:
        if count.priority == INTERRUPTED_PRIORITY:
            # They are not rejected, so none of them returns.
            ahead += count.waiting
        elif count.priority < priority:
            share = min(1.0, count.arrived / arrived)
            ahead += count.waiting + max(
                count.returning,
                entries * own_returning.get(count.priority, 0),
                share * (own_estimate + others),
            )
    return ahead
