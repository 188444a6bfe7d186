"""Goodput, fairness and recovery from retry storms under overload.

Each figure is reported beside the same run with baseline policies: first come, first
served, no admission control, round robin, immediate retries.
"""

__all__ = ["measure"]

import bisect
from collections.abc import Iterator, Sequence

from bench.overload_run import CAPACITY_RPS, Load, Outcome, Run
from bench.overload_server import SLOTS
from bench.queues import percentile
from bench.report import Figure

ORGANISATIONS = tuple(f"org{i}" for i in range(10))
SMALL = ORGANISATIONS[1:]
MULTIPLES = (1.0, 1.5, 2.0, 4.0)
WARM_UP_S = 30.0
DURATION_S = 270.0

SMALL_LOAD = 0.45
LARGE_LOADS = (0.45, 2.0)

KNEE_CONCURRENCY = 10
GUARD_WARM_UP_S = 60.0
GUARD_DURATION_S = 240.0

CALLER_RETRIES = 3
OUTAGE_S = (60.0, 90.0)
STORM_DURATION_S = 300.0
STORM_WINDOW_S = 5.0
STABLE_ATTEMPTS_PER_REQUEST = 1.1
FAILING_SERVER_LOADS = (0.3, 0.6, 0.8)
# Load, and the longest time allowed from the end of the outage until the attempts per
# request are back to normal.
MAX_RECOVERY_S_BY_LOAD = ((0.6, 0.0), (0.75, 15.0), (0.9, 90.0))


def measure() -> list[Figure]:
    """Return the figures of admission, routing and retries under overload."""
    return [
        *_goodput_figures(),
        *_guard_figures(),
        *_fairness_figures(),
        *_storm_figures(),
        *_failing_server_figures(),
    ]


def _goodput_figures() -> Iterator[Figure]:
    for own in (True, False):
        name = "goodput/own" if own else "goodput/plain"
        goodputs = {}
        for multiple in MULTIPLES:
            outcome = Run(
                own=own, loads=_even_loads(multiple), duration_s=DURATION_S
            ).outcome()
            goodput = outcome.goodput(WARM_UP_S, DURATION_S) / CAPACITY_RPS
            goodputs[multiple] = goodput
            yield Figure(f"{name}/{multiple:g}", goodput, "of bound")
            yield from _refusal_figures(f"{name}/{multiple:g}", outcome)
        peak = max(goodputs.values())
        for multiple in MULTIPLES:
            share = goodputs[multiple] / peak
            low = 0.95 if own else None
            yield Figure(f"{name}/{multiple:g}/of-peak", share, "ratio", low=low)


def _refusal_figures(name: str, outcome: Outcome) -> Iterator[Figure]:
    submitted = len(outcome.submitted_at)
    yield Figure(f"{name}/refused", outcome.refused / submitted, "share")
    yield Figure(f"{name}/late", outcome.late / submitted, "share")
    attempts = len(outcome.dispatched_at) / submitted
    yield Figure(f"{name}/attempts", attempts, "per request", high=1.12)


def _guard_figures() -> Iterator[Figure]:
    bound = CAPACITY_RPS * KNEE_CONCURRENCY / SLOTS
    for knee in (KNEE_CONCURRENCY, SLOTS):
        kind = "healthy" if knee == SLOTS else "collapsing"
        goodputs = []
        for guarded in (False, True):
            outcome = Run(
                own=True,
                loads=_even_loads(2.0 * knee / SLOTS),
                duration_s=GUARD_DURATION_S,
                knee=knee,
                guarded=guarded,
            ).outcome()
            goodput = outcome.goodput(GUARD_WARM_UP_S, GUARD_DURATION_S) / bound
            goodputs.append(goodput)
            name = "guarded" if guarded else "unguarded"
            yield Figure(f"guard/{kind}/{name}", goodput, "of knee")
        gain = goodputs[1] / goodputs[0]
        low = 0.93 if knee == SLOTS else 1.2
        yield Figure(f"guard/{kind}/gain", gain, "ratio", low=low)


def _fairness_figures() -> Iterator[Figure]:
    for own in (True, False):
        name = "fairness/own" if own else "fairness/plain"
        normal, overloaded = (_with_large(own, large) for large in LARGE_LOADS)
        small_normal = normal.response_times(SMALL, WARM_UP_S)
        small_overloaded = overloaded.response_times(SMALL, WARM_UP_S)
        p95_normal = percentile(small_normal, 0.95)
        p95_overloaded = percentile(small_overloaded, 0.95)
        yield Figure(f"{name}/small-p95-calm", p95_normal, "s (virtual)")
        yield Figure(f"{name}/small-p95-flooded", p95_overloaded, "s (virtual)")
        answered = len(small_overloaded) / len(small_normal)
        low = 0.98 if own else None
        yield Figure(f"{name}/small-answered", answered, "ratio", low=low)
        if own:
            ratio = p95_overloaded / p95_normal
            yield Figure(f"{name}/small-p95-ratio", ratio, "ratio", high=1.2)


def _with_large(own: bool, large: float) -> Outcome:
    loads = [Load(ORGANISATIONS[0], large * CAPACITY_RPS)]
    loads += [Load(name, SMALL_LOAD * CAPACITY_RPS / len(SMALL)) for name in SMALL]
    return Run(own=own, loads=loads, duration_s=DURATION_S).outcome()


def _storm_figures() -> Iterator[Figure]:
    for load, max_recovery_s in MAX_RECOVERY_S_BY_LOAD:
        for own in (True, False):
            outcome = Run(
                own=own,
                loads=_even_loads(load, CALLER_RETRIES),
                duration_s=STORM_DURATION_S,
                outage=OUTAGE_S,
            ).outcome()
            name = f"storm/{load:g}/{'own' if own else 'plain'}"
            recovery_s = max(0.0, _stable_at_s(outcome) - OUTAGE_S[1])
            high = max_recovery_s if own else None
            yield Figure(
                f"{name}/calm-after-return", recovery_s, "s (virtual)", high=high
            )
            goodput = outcome.goodput(STORM_DURATION_S - 60.0, STORM_DURATION_S)
            share = goodput / (load * CAPACITY_RPS)
            low = 0.97 if own else None
            yield Figure(f"{name}/goodput-at-end", share, "of load", low=low)


def _failing_server_figures() -> Iterator[Figure]:
    # The first server fails every request immediately, so that it never has any load.
    for load in FAILING_SERVER_LOADS:
        for own in (True, False):
            outcome = Run(
                own=own,
                loads=_even_loads(load),
                duration_s=DURATION_S,
                failing_from_s=WARM_UP_S,
            ).outcome()
            name = f"sick/{load:g}/{'own' if own else 'plain'}"
            start = WARM_UP_S + STORM_WINDOW_S
            attempts = _count(outcome.dispatched_at, start, DURATION_S) / _count(
                outcome.submitted_at, start, DURATION_S
            )
            high = 1.05 if own else None
            yield Figure(f"{name}/attempts", attempts, "per request", high=high)
            goodput = outcome.goodput(start, DURATION_S) / (load * CAPACITY_RPS)
            low = 0.97 if own else None
            yield Figure(f"{name}/goodput", goodput, "of load", low=low)


def _stable_at_s(outcome: Outcome) -> float:
    """Return the end of the last window with too many attempts per request.

    Seconds of virtual time; 0.0 if no window has too many.
    """
    stable_at_s = 0.0
    start = OUTAGE_S[0]
    while start < STORM_DURATION_S:
        end = start + STORM_WINDOW_S
        submitted = _count(outcome.submitted_at, start, end)
        if (
            _count(outcome.dispatched_at, start, end)
            >= STABLE_ATTEMPTS_PER_REQUEST * submitted
        ):
            stable_at_s = end
        start = end
    return stable_at_s


def _count(times: Sequence[float], start: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)


def _even_loads(multiple: float, caller_retries: int = 0) -> list[Load]:
    rate = multiple * CAPACITY_RPS / len(ORGANISATIONS)
    return [Load(name, rate, caller_retries) for name in ORGANISATIONS]
