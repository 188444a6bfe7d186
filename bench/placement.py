"""Planned throughput against the hardware bound and an equal split of layers."""

__all__ = ["measure"]

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from statistics import fmean

from bench.placement_pools import (
    JUTLAND_DOMAINS,
    SEED,
    Case,
    deployments,
    hard_cases,
    large_input,
    without_domain,
)
from bench.report import Figure
from wigeonscale.placement import EngineSpec, chain_rate, plan_chains
from wigeonscale.placement.bound import hardware_bound
from wigeonscale.placement.repair import stage_on

MIN_RATIO = 0.9
MIN_RATIO_LARGE = 0.88
RANDOM_POOLS = 20
MAX_REPLANS = 20


def measure() -> list[Figure]:
    """Return planned rate/bound and equal split/bound per case, and plan times."""
    figures = []
    for case in hard_cases():
        figures += _ratios(case)
    figures += _worst_of_pools()
    figures += _after_lost_domain()
    for spares in (0, 1, 2):
        figures += _repairs(spares)
    figures += _large_input_figures()
    return figures


def _ratios(case: Case) -> list[Figure]:
    plan = _plan(case.pipeline, case.engines)
    bound = _bound(case.pipeline, case.engines)
    across_domains = _plan(case.pipeline, case.engines, domain_share=1.0)
    equal = _equal_split(case.engines, case.pipeline)
    by_kind = sorted(case.engines, key=lambda engine: engine.layer_rate)
    return [
        Figure(f"placement/{case.name}/bound", bound, "steps/s"),
        _ratio(case.name, "achieved", _total(plan) / bound, MIN_RATIO),
        _ratio(case.name, "across-domains", _total(across_domains) / bound, MIN_RATIO),
        _ratio(case.name, "equal-split", equal / bound, None),
        _ratio(
            case.name,
            "equal-split-by-kind",
            _equal_split(by_kind, case.pipeline) / bound,
            None,
        ),
        Figure(
            f"placement/{case.name}/chains-missing",
            case.pipeline.replicas - len(plan.chains),
            "chains",
            high=0,
        ),
    ]


def _plan(pipeline, engines, chains=(), base_index=1, **options):
    return plan_chains(
        pipelines=[pipeline],
        engines=engines,
        chains=chains,
        base_index=base_index,
        **options,
    )


def _bound(pipeline, engines) -> float:
    return hardware_bound(engines, layers=pipeline.layers, chains=pipeline.replicas)


def _total(plan) -> float:
    return sum(chain.rate for chain in plan.chains)


def _ratio(case, name, value, low) -> Figure:
    return Figure(f"placement/{case}/{name}", value, "of bound", low=low)


def _equal_split(engines, pipeline) -> float:
    """Return the total rate of equal layer ranges over engines in announced order."""
    size = len(engines) // pipeline.replicas
    groups = [
        engines[index * size : (index + 1) * size] for index in range(pipeline.replicas)
    ]
    return sum(_equal_rate(group, pipeline.layers) for group in groups)


def _equal_rate(group: Sequence[EngineSpec], layers: int) -> float:
    counts = [0] * len(group)
    for _ in range(layers):
        with_capacity = [i for i, e in enumerate(group) if counts[i] < e.layer_capacity]
        if not with_capacity:
            return 0.0
        counts[min(with_capacity, key=lambda i: counts[i])] += 1
    stages = []
    first = 0
    for engine, count in zip(group, counts, strict=True):
        if count:
            stages.append(stage_on(engine, first, first + count - 1))
        first += count
    return chain_rate(stages, {engine.agent_id: engine for engine in group})


def _worst_of_pools() -> list[Figure]:
    """Plan both deployments on random draws of kinds, domains and link rates."""
    ratios = {}
    for seed in range(RANDOM_POOLS):
        for case in deployments(seed):
            plan = _plan(case.pipeline, case.engines)
            ratio = _total(plan) / _bound(case.pipeline, case.engines)
            ratios.setdefault(case.name, []).append(ratio)
    return [
        _ratio(f"{name}-{RANDOM_POOLS}-pools", "worst", min(values), MIN_RATIO)
        for name, values in ratios.items()
    ]


def _after_lost_domain() -> list[Figure]:
    """Remove a whole failure domain from a serving plan and replan until stable.

    The first plan, made immediately, may not rebuild chains that serve.
    """
    case = hard_cases()[0]
    before = _plan(case.pipeline, case.engines)
    remaining = without_domain(_loaded(case.engines, before), JUTLAND_DOMAINS[0])
    immediate = _plan(
        case.pipeline,
        remaining,
        chains=before.chains,
        base_index=2,
        rebuild_serving=False,
    )
    untouched = [chain for chain in immediate.chains if chain in before.chains]
    after, steps = _plan_until_stable(case.pipeline, remaining, immediate)
    bound = _bound(case.pipeline, remaining)
    name = "domain-lost-standing"
    return [
        _ratio(name, "at-once", _total(immediate) / bound, None),
        _ratio(name, "in-the-end", _total(after) / bound, None),
        Figure(f"placement/{name}/chains-before", len(before.chains), "chains"),
        Figure(f"placement/{name}/chains-untouched", len(untouched), "chains"),
        Figure(f"placement/{name}/chains-in-the-end", len(after.chains), "chains"),
        Figure(f"placement/{name}/rounds", steps, "plans"),
    ]


def _loaded(engines, plan):
    """Return the engines with the layers of a plan loaded."""
    wanted = {stage.agent_id: stage for chain in plan.chains for stage in chain.stages}
    return [
        replace(
            engine,
            first_layer=wanted[engine.agent_id].first_layer,
            last_layer=wanted[engine.agent_id].last_layer,
        )
        if engine.agent_id in wanted
        else engine
        for engine in engines
    ]


def _plan_until_stable(pipeline, engines, plan):
    """Load and replan until nothing changes; return the plan and the rounds."""
    for step in range(MAX_REPLANS):
        engines = _loaded(engines, plan)
        again = _plan(pipeline, engines, chains=plan.chains, base_index=step + 3)
        if again.chains == plan.chains:
            return plan, step
        plan = again
    raise RuntimeError(f"the plan still changes after {MAX_REPLANS} rounds")


def _repairs(spares: int) -> list[Figure]:
    """Remove each used engine in turn from a plan and replan."""
    case = hard_cases()[0]
    before = _plan(case.pipeline, case.engines, spares=spares)
    used = {stage.agent_id for chain in before.chains for stage in chain.stages}
    kept, in_other_domain, loads = [], [], []
    for lost in (engine for engine in case.engines if engine.agent_id in used):
        remaining = [engine for engine in case.engines if engine is not lost]
        after = _plan(
            case.pipeline, remaining, before.chains, base_index=2, spares=spares
        )
        new = _new_stages(before, after)
        kept.append(_total(after) / _total(before))
        in_other_domain.append(all(stage.domain != lost.domain for stage in new))
        loads.append(len(new))
    bound = _bound(case.pipeline, case.engines)
    low = None if spares == 0 else 0.9
    name = f"engine-lost-{spares}-spares"
    return [
        _ratio(name, "achieved-before", _total(before) / bound, 0.8),
        Figure(f"placement/{name}/worst-kept", min(kept), "of before", low=low),
        Figure(f"placement/{name}/mean-kept", fmean(kept), "of before", low=low),
        Figure(f"placement/{name}/other-domain", fmean(in_other_domain), "of losses"),
        Figure(f"placement/{name}/mean-loads", fmean(loads), "stages"),
    ]


def _new_stages(before, after):
    known = {stage for chain in before.chains for stage in chain.stages}
    stages = [stage for chain in after.chains for stage in chain.stages]
    return [stage for stage in stages if stage not in known]


def _large_input_figures() -> list[Figure]:
    """Plan 7,700 engines and 35 models in 2 regions and 7 domains."""
    engines, pipelines = large_input()
    rng = random.Random(SEED)
    uneven = [
        replace(e, layer_rate=e.layer_rate * rng.uniform(0.85, 1.15)) for e in engines
    ]
    return [
        *_size_figures("size", engines, pipelines),
        *_size_figures("size-uneven-rates", uneven, pipelines),
    ]


def _size_figures(name, engines, pipelines):
    plan, full_s = _timed(
        lambda: plan_chains(
            pipelines=pipelines, engines=engines, chains=(), base_index=1
        )
    )
    lost = {chain.stages[0].agent_id for chain in plan.chains[:3]}
    remaining = [engine for engine in engines if engine.agent_id not in lost]
    after, repair_s = _timed(
        lambda: plan_chains(
            pipelines=pipelines,
            engines=remaining,
            chains=plan.chains,
            base_index=2,
        )
    )
    bound = sum(
        hardware_bound(
            [engine for engine in engines if engine.model == pipeline.model],
            layers=pipeline.layers,
            chains=pipeline.replicas,
        )
        for pipeline in pipelines
    )
    return [
        _ratio(name, "achieved", _total(plan) / bound, MIN_RATIO_LARGE),
        Figure(f"placement/{name}/chains", len(plan.chains), "chains"),
        Figure(f"placement/{name}/full-plan", full_s, "s"),
        Figure(f"placement/{name}/three-engines-lost", repair_s, "s"),
        Figure(
            f"placement/{name}/chains-changed", len(after.changed), "chains", high=3
        ),
    ]


def _timed(function: Callable):
    started = time.perf_counter()
    result = function()
    return result, time.perf_counter() - started
