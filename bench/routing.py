"""Tail wait, prefix hit rate and cost of the choice of backend server."""

__all__ = ["measure"]

import random
import time
from collections.abc import Callable, Iterator

from bench.queues import VirtualClock
from bench.report import Figure
from bench.routing_run import (
    DOMAINS,
    ENTRIES,
    PREFILL_SHARE,
    SEED,
    Outcome,
    run,
)
from wigeonscale.routing import Candidate, Chooser, LoadTable

MANY_ENTRIES = 5 * ENTRIES
LOADS = (0.5, 0.8, 0.95)
# From this load on requests wait under least connections too.
HIGH_LOAD = 0.8
LAGS_S = (0.0, 1.0, 5.0)
MIN_COMPARED_WAIT_S = 0.25
BASELINES = ("round-robin", "least-conn", "weighted-least-conn")
POOL_SIZES = (100, 1000, 7700)
REPEATS = 2000


def measure() -> list[Figure]:
    """Return the figures of the choice of backend server."""
    return [
        *_balance_figures(),
        *_prefix_figures(),
        *_many_entries_figures(),
        *_cost_figures(),
    ]


def _balance_figures() -> Iterator[Figure]:
    # Without prefixes the capacity is exact: all slots of all servers busy.
    for load in LOADS:
        baselines = {
            policy: run(policy, load, 0.0, prefixes=False) for policy in BASELINES
        }
        for policy, outcome in baselines.items():
            yield from _waits(f"wait/{load:g}/{policy}", outcome)
        for lag_s in LAGS_S:
            name = f"wait/{load:g}/own/lag{lag_s:g}"
            outcome = run("own", load, lag_s, prefixes=False)
            yield from _waits(name, outcome)
            high = 1.0 if load < HIGH_LOAD else 0.75
            yield _tail_ratio(name, outcome, baselines["least-conn"], high)
            yield _tail_ratio(name, outcome, baselines["round-robin"], 0.1)


def _prefix_figures() -> Iterator[Figure]:
    # Loads are shares of the capacity with every prefix cached; cache misses alone can
    # push the work above that capacity.
    for load in LOADS:
        cold_load = load / (1.0 - PREFILL_SHARE)
        baselines = {
            policy: run(policy, cold_load, 0.0, prefixes=True) for policy in BASELINES
        }
        for policy, outcome in baselines.items():
            yield from _waits(f"prefix/{load:g}/{policy}", outcome)
            yield Figure(f"prefix/{load:g}/{policy}/hits", outcome.hit_rate(), "share")
        for lag_s in LAGS_S:
            name = f"prefix/{load:g}/own/lag{lag_s:g}"
            outcome = run("own", cold_load, lag_s, prefixes=True)
            yield from _waits(name, outcome)
            yield Figure(f"{name}/hits", outcome.hit_rate(), "share", low=0.7)
            high = 1.0 if load < HIGH_LOAD else 0.1
            yield _tail_ratio(name, outcome, baselines["least-conn"], high)
        # Baseline without cache events.
        name = f"prefix/{load:g}/own-without-events/lag1"
        outcome = run("own-without-events", cold_load, 1.0, prefixes=True)
        yield from _waits(name, outcome)
        yield Figure(f"{name}/hits", outcome.hit_rate(), "share", low=0.6)


def _many_entries_figures() -> Iterator[Figure]:
    # Each entry sends a small part of the load here, so outdated load reports have the
    # largest effect.
    baseline = run("least-conn", LOADS[-1], 0.0, prefixes=False, entries=MANY_ENTRIES)
    yield from _waits(f"many-entries/{LOADS[-1]:g}/least-conn", baseline)
    for lag_s in LAGS_S:
        name = f"many-entries/{LOADS[-1]:g}/own/lag{lag_s:g}"
        outcome = run("own", LOADS[-1], lag_s, prefixes=False, entries=MANY_ENTRIES)
        yield from _waits(name, outcome)
        yield _tail_ratio(name, outcome, baseline, 0.75)


def _cost_figures() -> Iterator[Figure]:
    for count in POOL_SIZES:
        yield from _cost_of_pool(count)


def _cost_of_pool(count: int) -> Iterator[Figure]:
    rng = random.Random(SEED)
    chooser = Chooser(table=LoadTable(clock=VirtualClock()), rng=rng)
    pool = chooser.new_pool(
        [Candidate(f"agent{i}", f"chain{i}", 1.0, DOMAINS[i % 3]) for i in range(count)]
    )
    chosen_us = _mean_us(lambda: chooser.choose(pool, prefix=b"style guide"))
    changed = Candidate("agent0", "chain0", 1.0, DOMAINS[0])
    changed_us = _mean_us(lambda: pool.add(changed))
    yield Figure(f"cost/choose/{count}", chosen_us, "us")
    yield Figure(f"cost/replace-one/{count}", changed_us, "us")


def _mean_us(action: Callable[[], object]) -> float:
    action()
    started = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - started) / REPEATS * 1e6


def _waits(name: str, outcome: Outcome) -> Iterator[Figure]:
    for percent in (50, 95, 99):
        wait_s = outcome.wait_percentile(percent / 100)
        yield Figure(f"{name}/p{percent}", wait_s, "s (virtual)")


def _tail_ratio(name, outcome: Outcome, baseline: Outcome, high: float) -> Figure:
    # Waits below the minimum count as equal: the ratio of two tiny waits is noise.
    wait_s = max(MIN_COMPARED_WAIT_S, outcome.wait_percentile(0.99))
    baseline_s = max(MIN_COMPARED_WAIT_S, baseline.wait_percentile(0.99))
    return Figure(
        f"{name}/p99-to-{baseline.policy}", wait_s / baseline_s, "ratio", high=high
    )
