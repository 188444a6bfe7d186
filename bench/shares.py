"""Cost of dividing an organisation's concurrency limit among the entries.

Several :class:`OrganisationLimits` with equal shares, one per entry, are compared with
a single one that sees every request, on the same arrivals.
"""

__all__ = ["measure"]

import random
from collections.abc import Iterator

from bench.queues import VirtualClock
from bench.report import Figure
from wigeonscale.errors import WigeonscaleError
from wigeonscale.limits import OrganisationLimits

SEED = 70
ENTRIES = 4
LIMITS = (8, 40, 200)
LOADS = (0.5, 0.8)
SKEWED_FIRST_SHARE = 0.7
MEAN_HOLD_S = 2.0
DURATION_S = 400.0
ORGANISATION = "org"


def measure() -> list[Figure]:
    """Return the shares of requests that are admitted."""
    return list(_figures())


def _figures() -> Iterator[Figure]:
    for limit in LIMITS:
        for load in LOADS:
            pooled = _admitted_share(limit, load, entry_count=1, first_share=1.0)
            even = _admitted_share(limit, load, ENTRIES, 1.0 / ENTRIES)
            skewed = _admitted_share(limit, load, ENTRIES, SKEWED_FIRST_SHARE)
            name = f"limit{limit}/load{load:g}"
            yield Figure(f"{name}/pooled", pooled, "share let in")
            low = pooled - 0.2
            yield Figure(f"{name}/equal-shares", even, "share let in", low=low)
            yield Figure(f"{name}/equal-shares-skewed", skewed, "share let in")


def _admitted_share(
    limit: int, load: float, entry_count: int, first_share: float
) -> float:
    """Return the share of requests that are admitted.

    Args:
        limit: Concurrent requests allowed to the organisation.
        load: Mean concurrency if every request were admitted, divided by the limit.
        entry_count: Number of entries; each has an equal share of the limit.
        first_share: Share of the requests that arrive at the first entry.
    """
    clock = VirtualClock()
    rng = random.Random(SEED)
    limiters = [
        OrganisationLimits(clock=clock, entry_count=lambda: entry_count)
        for _ in range(entry_count)
    ]
    requested = admitted = 0
    rate = load * limit / MEAN_HOLD_S

    def arrive() -> None:
        nonlocal requested, admitted
        clock.call_later(rng.expovariate(rate), arrive)
        to_first = entry_count == 1 or rng.random() < first_share
        limiter = limiters[0] if to_first else limiters[rng.randrange(1, entry_count)]
        hold_s = rng.expovariate(1.0 / MEAN_HOLD_S)
        requested += 1
        try:
            permit = limiter.acquire(ORGANISATION, concurrency=limit)
        except WigeonscaleError:
            return
        admitted += 1
        clock.call_later(hold_s, permit.release)

    clock.call_at(0.0, arrive)
    clock.run(DURATION_S)
    return admitted / requested
