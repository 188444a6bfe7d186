"""Goodput, fairness and the end of retry storms under overload.

Each figure stands beside that of the same run with plain decisions: first come,
first served, nothing refused, round robin, failures retried at once.
"""

__all__ = ["measure"]

import bisect
from collections.abc import Iterator, Sequence

from bench.overload_run import CAPACITY, Load, Outcome, Run
from bench.overload_server import SLOTS
from bench.queues import percentile
from bench.report import Figure

ORGANISATIONS = tuple(f"org{i}" for i in range(10))
SMALL = ORGANISATIONS[1:]
MULTIPLES = (1.0, 1.5, 2.0, 4.0)
WARM_UP_S = 30.0
LENGTH_S = 270.0

SMALL_LOAD = 0.45
LARGE_LOADS = (0.45, 2.0)

KNEE = 10
GUARD_WARM_UP_S = 60.0
GUARD_LENGTH_S = 240.0

RETURNS = 3
LOST = (60.0, 90.0)
STORM_LENGTH_S = 300.0
STORM_WINDOW_S = 5.0
CALM_ATTEMPTS = 1.1
SICK_LOADS = (0.3, 0.6, 0.8)
# Load and the longest time after the domain's return until it is calm again.
STORMS = ((0.6, 0.0), (0.75, 15.0), (0.9, 90.0))


def measure() -> list[Figure]:
    """Return the figures of the decisions under overload."""
    return [
        *_goodput_figures(),
        *_guard_figures(),
        *_fairness_figures(),
        *_storm_figures(),
        *_sick_figures(),
    ]


def _goodput_figures() -> Iterator[Figure]:
    for own in (True, False):
        name = "goodput/own" if own else "goodput/plain"
        goodputs = {}
        for multiple in MULTIPLES:
            outcome = Run(
                own=own, loads=_even_loads(multiple), length_s=LENGTH_S
            ).outcome()
            goodput = outcome.goodput(WARM_UP_S, LENGTH_S) / CAPACITY
            goodputs[multiple] = goodput
            yield Figure(f"{name}/{multiple:g}", goodput, "of bound")
            yield from _refusal_figures(f"{name}/{multiple:g}", outcome)
        peak = max(goodputs.values())
        for multiple in MULTIPLES:
            share = goodputs[multiple] / peak
            low = 0.95 if own else None
            yield Figure(f"{name}/{multiple:g}/of-peak", share, "ratio", low=low)


def _refusal_figures(name: str, outcome: Outcome) -> Iterator[Figure]:
    asked = len(outcome.asked_at)
    yield Figure(f"{name}/refused", outcome.refused / asked, "share")
    yield Figure(f"{name}/late", outcome.late / asked, "share")
    attempts = len(outcome.dispatched_at) / asked
    yield Figure(f"{name}/attempts", attempts, "per request", high=1.12)


def _guard_figures() -> Iterator[Figure]:
    bound = CAPACITY * KNEE / SLOTS
    for knee in (KNEE, SLOTS):
        kind = "healthy" if knee == SLOTS else "collapsing"
        goodputs = []
        for guarded in (False, True):
            outcome = Run(
                own=True,
                loads=_even_loads(2.0 * knee / SLOTS),
                length_s=GUARD_LENGTH_S,
                knee=knee,
                guarded=guarded,
            ).outcome()
            goodput = outcome.goodput(GUARD_WARM_UP_S, GUARD_LENGTH_S) / bound
            goodputs.append(goodput)
            name = "guarded" if guarded else "unguarded"
            yield Figure(f"guard/{kind}/{name}", goodput, "of knee")
        gain = goodputs[1] / goodputs[0]
        low = 0.93 if knee == SLOTS else 1.2
        yield Figure(f"guard/{kind}/gain", gain, "ratio", low=low)


def _fairness_figures() -> Iterator[Figure]:
    for own in (True, False):
        name = "fairness/own" if own else "fairness/plain"
        calm, flooded = (_with_large(own, large) for large in LARGE_LOADS)
        small_calm = calm.times(SMALL, WARM_UP_S)
        small_flooded = flooded.times(SMALL, WARM_UP_S)
        p95_calm = percentile(small_calm, 0.95)
        p95_flooded = percentile(small_flooded, 0.95)
        yield Figure(f"{name}/small-p95-calm", p95_calm, "s (virtual)")
        yield Figure(f"{name}/small-p95-flooded", p95_flooded, "s (virtual)")
        answered = len(small_flooded) / len(small_calm)
        low = 0.98 if own else None
        yield Figure(f"{name}/small-answered", answered, "ratio", low=low)
        if own:
            ratio = p95_flooded / p95_calm
            yield Figure(f"{name}/small-p95-ratio", ratio, "ratio", high=1.2)


def _with_large(own: bool, large: float) -> Outcome:
    loads = [Load(ORGANISATIONS[0], large * CAPACITY)]
    loads += [Load(name, SMALL_LOAD * CAPACITY / len(SMALL)) for name in SMALL]
    return Run(own=own, loads=loads, length_s=LENGTH_S).outcome()


def _storm_figures() -> Iterator[Figure]:
    for load, calm_after_s in STORMS:
        for own in (True, False):
            outcome = Run(
                own=own,
                loads=_even_loads(load, RETURNS),
                length_s=STORM_LENGTH_S,
                lost=LOST,
            ).outcome()
            name = f"storm/{load:g}/{'own' if own else 'plain'}"
            calm_s = max(0.0, _calm_at(outcome) - LOST[1])
            high = calm_after_s if own else None
            yield Figure(f"{name}/calm-after-return", calm_s, "s (virtual)", high=high)
            goodput = outcome.goodput(STORM_LENGTH_S - 60.0, STORM_LENGTH_S)
            share = goodput / (load * CAPACITY)
            low = 0.97 if own else None
            yield Figure(f"{name}/goodput-at-end", share, "of load", low=low)


def _sick_figures() -> Iterator[Figure]:
    # The first server fails every request at once, so that it never has any load.
    for load in SICK_LOADS:
        for own in (True, False):
            outcome = Run(
                own=own,
                loads=_even_loads(load),
                length_s=LENGTH_S,
                sick=WARM_UP_S,
            ).outcome()
            name = f"sick/{load:g}/{'own' if own else 'plain'}"
            start = WARM_UP_S + STORM_WINDOW_S
            attempts = _count(outcome.dispatched_at, start, LENGTH_S) / _count(
                outcome.asked_at, start, LENGTH_S
            )
            high = 1.05 if own else None
            yield Figure(f"{name}/attempts", attempts, "per request", high=high)
            goodput = outcome.goodput(start, LENGTH_S) / (load * CAPACITY)
            low = 0.97 if own else None
            yield Figure(f"{name}/goodput", goodput, "of load", low=low)


def _calm_at(outcome: Outcome) -> float:
    """Return the end of the last window with too many attempts per request."""
    calm_at = 0.0
    start = LOST[0]
    while start < STORM_LENGTH_S:
        end = start + STORM_WINDOW_S
        asked = _count(outcome.asked_at, start, end)
        if _count(outcome.dispatched_at, start, end) >= CALM_ATTEMPTS * asked:
            calm_at = end
        start = end
    return calm_at


def _count(times: Sequence[float], start: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def _even_loads(multiple: float, returns: int = 0) -> list[Load]:
    rate = multiple * CAPACITY / len(ORGANISATIONS)
    return [Load(name, rate, returns) for name in ORGANISATIONS]
