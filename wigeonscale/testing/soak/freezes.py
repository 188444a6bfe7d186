"""Freezes: sound backend servers that stand still for a moment and then go on.

A frozen server neither takes requests nor responds nor sends heartbeats, and goes on
with all of it where it was. No response may be lost by that.
"""

__all__ = ["Freeze", "apply_freeze", "draw_freezes", "draw_planned_work"]

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonscale.testing.soak.faults import Fault

MIN_FREEZE_S = 0.6
MAX_FREEZE_S = 1.5
SCOPES = ("one", "several", "all")
# Time of the load for one freeze of each scope.
SECONDS_PER_ROUND = 4.0
# Planned work starts at most this long before a freeze, or during it.
PLANNED_LEAD_S = 0.5
RESTART_SHARE = 0.4
RESTART_DELAY_S = 0.4


@dataclass(frozen=True, slots=True)
class Freeze:
    """One freeze of servers of one service.

    Attributes:
        start_s: Start, in seconds from the start of the load.
        targets: Indices of the backend servers.
        duration_s: Duration, in seconds.
        accepts: Whether their addresses accept connections meanwhile.
    """

    start_s: float
    targets: tuple[int, ...]
    duration_s: float
    accepts: bool


def draw_freezes(
    seed: int, *, seconds: float, services: Sequence[Sequence[int]]
) -> list[Freeze]:
    """Return the random freezes of a run, from a separate random generator.

    Args:
        seed: Seed of the run.
        seconds: Duration of the load.
        services: Indices of the backend servers of each service.

    Returns:
        Freezes of each scope, which may overlap.
    """
    rng = random.Random(f"freezes {seed}")
    return [
        Freeze(
            start_s=rng.uniform(0.0, 0.8 * seconds),
            targets=_draw_targets(rng, scope, rng.choice(services)),
            duration_s=rng.uniform(MIN_FREEZE_S, MAX_FREEZE_S),
            accepts=rng.random() < 0.5,
        )
        for _ in range(max(1, round(seconds / SECONDS_PER_ROUND)))
        for scope in SCOPES
    ]


def draw_planned_work(
    seed: int, freezes: Sequence[Freeze], *, entries: Sequence[int], nodes: int
) -> list[Fault]:
    """Return the signals around the freezes of a run, from a generator of their own.

    Two daemons get a SIGHUP around each freeze, and an entry is stopped gracefully and
    started again around some.

    Args:
        seed: Seed of the run.
        freezes: Its freezes.
        entries: Indices of the entries among the daemons.
        nodes: Number of daemons.
    """
    rng = random.Random(f"planned work {seed}")
    work = []
    for freeze in freezes:
        span_s = freeze.start_s - PLANNED_LEAD_S, freeze.start_s + freeze.duration_s
        targets = [("hangup", rng.randrange(nodes)) for _ in range(2)]
        if rng.random() < RESTART_SHARE:
            targets.append(("stop", rng.choice(entries)))
        work += [
            Fault(max(0.0, rng.uniform(*span_s)), kind, target, RESTART_DELAY_S)
            for kind, target in targets
        ]
    return work


def _draw_targets(rng, scope, indices) -> tuple[int, ...]:
    counts = {"one": 1, "several": rng.randint(2, len(indices)), "all": len(indices)}
    return tuple(rng.sample(indices, counts[scope]))


async def apply_freeze(freeze: Freeze, backends: Sequence) -> None:
    """Freeze backend servers and let them go on.

    Args:
        freeze: The freeze.
        backends: All backend servers.
    """
    await asyncio.gather(
        *(
            backends[target].freeze(freeze.duration_s, accepts=freeze.accepts)
            for target in freeze.targets
        )
    )
