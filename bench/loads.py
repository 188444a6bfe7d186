"""Order of weight loads from a rate-limited store, with simultaneous joins and repairs.

The store divides its throughput evenly among the loads in progress. A load that has
begun is not cancelled. The order is computed again at each event, as in the control
daemon.
"""

__all__ = ["measure"]

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean

from bench.report import Figure
from wigeonscale.placement import ChainPlan, StagePlan, order_loads

SEED = 20261202
RUNS = 40
MAX_CONCURRENT_LOADS = 4  # the default of the control daemon
STORE_LAYERS_PER_S = 4.0  # all loads together
PIPELINES = ("corrections", "assistant", "notes")


@dataclass(frozen=True, slots=True)
class Arrival:
    """A chain that placement adds or repairs at ``at_s``."""

    at_s: float
    chain: ChainPlan
    missing: frozenset[str]  # agents that have to load


@dataclass(slots=True)
class Outcome:
    """Result of one order of loads."""

    unserved: float = 0.0  # demanded steps that were not served
    ready_s: dict[str, float] = field(default_factory=dict)  # by chain


Pair = tuple[ChainPlan, StagePlan]
Order = Callable[[list[Arrival], set[str], set[str]], list[Pair]]


def measure() -> list[Figure]:
    """Return unserved work and waits of each order, relative to first-come-stage."""
    orders = {
        "first-come-stage": _first_come_stage,
        "first-come-chain": _first_come_chain,
        "fewest-stages": _fewest_stages,
        "order-loads": _production_order,
    }
    scenarios = [_scenario(random.Random(SEED + run)) for run in range(RUNS)]
    runs = {
        name: [_simulate(scenario, order) for scenario in scenarios]
        for name, order in orders.items()
    }
    figures = []
    for name, outcomes in runs.items():
        figures += _figures(name, outcomes, runs["first-come-stage"], scenarios)
    return figures


def _figures(name, outcomes, baseline, scenarios):
    bounded = name == "order-loads"
    unserved_high, wait_high = (0.75, 0.9) if bounded else (None, None)
    unserved = [
        a.unserved / b.unserved for a, b in zip(outcomes, baseline, strict=True)
    ]
    first = [min(outcome.ready_s.values()) for outcome in outcomes]
    baseline_first = [min(outcome.ready_s.values()) for outcome in baseline]
    every = [_every_pipeline_s(o, s) for o, s in zip(outcomes, scenarios, strict=True)]
    baseline_every = [
        _every_pipeline_s(o, s) for o, s in zip(baseline, scenarios, strict=True)
    ]
    return [
        Figure(
            f"loads/{name}/unserved", fmean(unserved), "of first", high=unserved_high
        ),
        Figure(f"loads/{name}/unserved-worst", max(unserved), "of first"),
        Figure(f"loads/{name}/first-chain", fmean(first), "s"),
        _mean_ratio(
            f"loads/{name}/first-chain-ratio", first, baseline_first, wait_high
        ),
        Figure(f"loads/{name}/every-pipeline", fmean(every), "s"),
        _mean_ratio(
            f"loads/{name}/every-pipeline-ratio", every, baseline_every, wait_high
        ),
    ]


def _mean_ratio(name, values, baseline, high):
    return Figure(name, fmean(values) / fmean(baseline), "of first", high=high)


def _every_pipeline_s(outcome, scenario):
    """Return the time by which every pipeline had a serving chain."""
    first = {}
    for arrival in scenario:
        ready_s = outcome.ready_s[arrival.chain.chain_id]
        name = arrival.chain.pipeline
        first[name] = min(ready_s, first.get(name, ready_s))
    return max(first.values())


def _scenario(rng: random.Random) -> list[Arrival]:
    """Return 8 repairs and 8 joins of three pipelines within 10 seconds."""
    arrivals = []
    for number in range(16):
        stages = _stages(rng, number)
        chain = ChainPlan(
            chain_id=f"chain-{number:02}",
            pipeline=rng.choice(PIPELINES),
            epoch=1,
            stages=stages,
            rate=rng.uniform(100.0, 900.0),
        )
        repair = number % 2 == 0
        lost = [rng.choice(stages)] if repair else stages
        missing = frozenset(stage.agent_id for stage in lost)
        arrivals.append(Arrival(rng.uniform(0.0, 10.0), chain, missing))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _stages(rng, number):
    stages = []
    first = 0
    while first < 40:
        last = min(39, first + rng.randint(3, 15))
        # Random ids: agents attach in no particular order.
        agent_id = f"engine-{rng.randrange(10**6):06}-{number}"
        stages.append(StagePlan(agent_id, 1, "", "a", first, last))
        first = last + 1
    return tuple(stages)


def _simulate(scenario: list[Arrival], order: Order) -> Outcome:
    outcome = Outcome()
    pending = list(scenario)
    present: list[Arrival] = []
    remaining_layers: dict[str, float] = {}  # by agent that is loading
    loaded: set[str] = set()
    now = 0.0
    demand = sum(arrival.chain.rate for arrival in scenario)
    while pending or len(outcome.ready_s) < len(scenario):
        for _, stage in order(present, loaded, set(remaining_layers)):
            if len(remaining_layers) >= MAX_CONCURRENT_LOADS:
                break
            if stage.agent_id not in remaining_layers:
                remaining_layers[stage.agent_id] = float(stage.layers)
        step_s = _next_step_s(remaining_layers, pending, now)
        unserved = demand - _served(present, outcome)
        outcome.unserved += unserved * step_s
        now += step_s
        _advance(remaining_layers, loaded, step_s)
        while pending and pending[0].at_s <= now + 1e-9:
            present.append(pending.pop(0))
        for arrival in present:
            if arrival.missing <= loaded:
                outcome.ready_s.setdefault(arrival.chain.chain_id, now)
    return outcome


def _next_step_s(remaining_layers, pending, now):
    steps = [pending[0].at_s - now] if pending else []
    steps += [
        layers * len(remaining_layers) / STORE_LAYERS_PER_S
        for layers in remaining_layers.values()
    ]
    return max(0.0, min(steps))


def _advance(remaining_layers, loaded, step_s):
    share = step_s * STORE_LAYERS_PER_S / max(1, len(remaining_layers))
    for agent_id in list(remaining_layers):
        remaining_layers[agent_id] -= share
        if remaining_layers[agent_id] <= 1e-9:
            del remaining_layers[agent_id]
            loaded.add(agent_id)


def _served(present, outcome):
    return sum(a.chain.rate for a in present if a.chain.chain_id in outcome.ready_s)


def _missing(arrival, loaded):
    return [
        (arrival.chain, stage)
        for stage in arrival.chain.stages
        if stage.agent_id in arrival.missing - loaded
    ]


def _first_come_stage(present, loaded, loading):
    """Order by the second in which a load was requested, then by agent id."""
    pairs = [
        (int(arrival.at_s), pair)
        for arrival in present
        for pair in _missing(arrival, loaded)
    ]
    pairs.sort(key=lambda item: (item[0], item[1][1].agent_id))
    return [pair for _, pair in pairs]


def _first_come_chain(present, loaded, loading):
    return [pair for arrival in present for pair in _missing(arrival, loaded)]


def _fewest_stages(present, loaded, loading):
    """Order by fewest missing stages, pipelines without a serving chain first."""
    served = {a.chain.pipeline for a in present if a.missing <= loaded}
    ranked = []
    for arrival in present:
        pairs = _missing(arrival, loaded)
        rank = (
            arrival.chain.pipeline in served,
            len(pairs),
            arrival.chain.chain_id,
        )
        ranked.append((rank, pairs))
    ranked.sort(key=lambda item: item[0])
    return [pair for _, pairs in ranked for pair in pairs]


def _production_order(present, loaded, loading):
    missing = {a.chain.chain_id: a.missing - loaded for a in present}
    return order_loads(
        [arrival.chain for arrival in present],
        is_loaded=lambda chain, stage: stage.agent_id not in missing[chain.chain_id],
        loading=loading,
    )
