"""What dividing an organisation's limit over the entries costs.

The entries' own :class:`OrganisationLimits`, each with an equal share, against one
that sees every request, on the same arrivals.
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
SKEWED_SHARE = 0.7
HOLD_S = 2.0
LENGTH_S = 400.0
ORGANISATION = "org"


def measure() -> list[Figure]:
    """Return the shares of requests let in."""
    return list(_figures())


def _figures() -> Iterator[Figure]:
    for limit in LIMITS:
        for load in LOADS:
            pooled = _admitted(limit, load, entry_count=1, first_share=1.0)
            even = _admitted(limit, load, ENTRIES, 1.0 / ENTRIES)
            skewed = _admitted(limit, load, ENTRIES, SKEWED_SHARE)
            name = f"limit{limit}/load{load:g}"
            yield Figure(f"{name}/pooled", pooled, "share let in")
            low = pooled - 0.2
            yield Figure(f"{name}/equal-shares", even, "share let in", low=low)
            yield Figure(f"{name}/equal-shares-skewed", skewed, "share let in")


def _admitted(limit: int, load: float, entry_count: int, first_share: float) -> float:
    """Return the share of requests let in.

    Args:
        limit: Requests in progress allowed to the organisation.
        load: Its mean requests in progress if all were let in, over the limit.
        entry_count: Number of entries, each with an equal share of the limit.
        first_share: Share of the requests that come to the first entry.
    """
    clock = VirtualClock()
    rng = random.Random(SEED)
    gates = [
        OrganisationLimits(clock=clock, entry_count=lambda: entry_count)
        for _ in range(entry_count)
    ]
    asked = admitted = 0
    rate = load * limit / HOLD_S

    def arrive() -> None:
        nonlocal asked, admitted
        clock.after(rng.expovariate(rate), arrive)
        to_first = entry_count == 1 or rng.random() < first_share
        gate = gates[0] if to_first else gates[rng.randrange(1, entry_count)]
        hold_s = rng.expovariate(1.0 / HOLD_S)
        asked += 1
        try:
            permit = gate.acquire(ORGANISATION, concurrency=limit)
        except WigeonscaleError:
            return
        admitted += 1
        clock.after(hold_s, permit.release)

    clock.at(0.0, arrive)
    clock.run(LENGTH_S)
    return admitted / asked
