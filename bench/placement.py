"""Placement: planned throughput against the hardware bound and an equal split."""

__all__ = ["measure"]

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from statistics import fmean

from bench.report import Figure
from wigeonscale.placement import EngineSpec, chain_rate, plan_chains
from wigeonscale.placement.bound import hardware_bound
from wigeonscale.placement.repair import stage_on
from wigeonscale.rules.model import Pipeline

SEED = 20261202
LOW_RATIO = 0.9
SIZE_LOW_RATIO = 0.88


@dataclass(frozen=True, slots=True)
class Case:
    """One pool of engines and the pipeline to place on it."""

    name: str
    engines: tuple[EngineSpec, ...]
    pipeline: Pipeline


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of accelerator: layer-steps per second, layers held."""

    name: str
    layer_rate: float
    layer_capacity: int


LARGE = Kind("large", 6000.0, 16)
MIDDLE = Kind("middle", 2600.0, 10)
SMALL = Kind("small", 900.0, 5)
KINDS = (LARGE, MIDDLE, SMALL)
LINKS = (40000.0, 4000.0, 400.0)
JUTLAND = ("aarhus-a", "aarhus-b", "vejle-c")
BOHEMIA = ("praha-hall-a", "praha-hall-b", "kladno-hall")


def measure() -> list[Figure]:
    """Return achieved/bound of every case beside an equal split, and plan times."""
    figures = []
    for case in _cases():
        figures += _ratios(case)
    figures += _after_lost_domain()
    for spares in (0, 1, 2):
        figures += _repairs(spares)
    figures += _at_size()
    return figures


def _cases() -> list[Case]:
    jutland = _pool(JUTLAND, {LARGE: 12, MIDDLE: 16, SMALL: 12})
    bohemia = _pool(BOHEMIA, {LARGE: 6, MIDDLE: 22, SMALL: 12})
    scarce = _pool(JUTLAND, {LARGE: 2, MIDDLE: 19, SMALL: 19})
    fast = tuple(replace(engine, link_rate=LINKS[0]) for engine in jutland)
    slow_one = (replace(_first_large(fast), link_rate=LINKS[2]),)
    slow_link = slow_one + tuple(e for e in fast if e.agent_id != slow_one[0].agent_id)
    slow_domain = tuple(
        replace(e, link_rate=LINKS[2] if e.domain == JUTLAND[2] else LINKS[0])
        for e in jutland
    )
    rng = random.Random(SEED)
    uneven = tuple(
        replace(e, layer_rate=e.layer_rate * rng.uniform(0.85, 1.15)) for e in jutland
    )
    forty = Pipeline(name="corrections", model="m", layers=40, replicas=5)
    thirty_two = Pipeline(name="assistant", model="m", layers=32, replicas=6)
    return [
        Case("korrekturhuset", jutland, forty),
        Case("vltava", bohemia, thirty_two),
        Case("one-slow-link", slow_link, forty),
        Case("slow-domain", slow_domain, forty),
        Case("scarce-kind", scarce, forty),
        Case("uneven-rates", uneven, forty),
        Case("two-chains", jutland, replace(forty, replicas=2)),
        Case("domain-gone", _without(jutland, JUTLAND[0]), replace(forty, replicas=3)),
    ]


def _pool(domains, counts) -> tuple[EngineSpec, ...]:
    """Return engines of the given kinds, spread over domains, with mixed links."""
    rng = random.Random(SEED)
    kinds = [kind for kind, count in counts.items() for _ in range(count)]
    rng.shuffle(kinds)
    return tuple(
        _engine(number, kind, domains[number % len(domains)], rng)
        for number, kind in enumerate(kinds)
    )


def _engine(number, kind, domain, rng, model="m", region="default") -> EngineSpec:
    return EngineSpec(
        agent_id=f"engine-{number:04}",
        incarnation=number + 1,
        address=f"10.0.{number // 250}.{number % 250}:7000",
        domain=domain,
        region=region,
        model=model,
        accelerator=kind.name,
        layer_rate=kind.layer_rate,
        layer_capacity=kind.layer_capacity,
        link_rate=rng.choices(LINKS, weights=(45, 45, 10))[0],
    )


def _first_large(engines):
    return next(engine for engine in engines if engine.accelerator == LARGE.name)


def _without(engines, domain):
    return tuple(engine for engine in engines if engine.domain != domain)


def _ratios(case: Case) -> list[Figure]:
    plan = _plan(case.pipeline, case.engines)
    bound = _bound(case.pipeline, case.engines)
    across = _plan(case.pipeline, case.engines, domain_share=1.0)
    equal = _equal_split(case.engines, case.pipeline)
    by_kind = sorted(case.engines, key=lambda engine: engine.layer_rate)
    return [
        Figure(f"placement/{case.name}/bound", bound, "steps/s"),
        _ratio(case.name, "achieved", _total(plan) / bound, LOW_RATIO),
        _ratio(case.name, "across-domains", _total(across) / bound, LOW_RATIO),
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
    """Return the sum of rates of equal ranges over engines in order of announcement."""
    size = len(engines) // pipeline.replicas
    groups = [
        engines[index * size : (index + 1) * size] for index in range(pipeline.replicas)
    ]
    return sum(_equal_rate(group, pipeline.layers) for group in groups)


def _equal_rate(group: Sequence[EngineSpec], layers: int) -> float:
    counts = [0] * len(group)
    for _ in range(layers):
        roomy = [i for i, e in enumerate(group) if counts[i] < e.layer_capacity]
        if not roomy:
            return 0.0
        counts[min(roomy, key=lambda i: counts[i])] += 1
    stages = []
    first = 0
    for engine, count in zip(group, counts, strict=True):
        if count:
            stages.append(stage_on(engine, first, first + count - 1))
        first += count
    return chain_rate(stages, {engine.agent_id: engine for engine in group})


def _after_lost_domain() -> list[Figure]:
    """Lose a whole domain under a standing plan and plan again."""
    case = _cases()[0]
    before = _plan(case.pipeline, case.engines)
    left = _without(case.engines, JUTLAND[0])
    after = _plan(case.pipeline, left, chains=before.chains, base_index=2)
    untouched = [chain for chain in after.chains if chain in before.chains]
    bound = _bound(case.pipeline, left)
    name = "domain-lost-standing"
    return [
        _ratio(name, "achieved", _total(after) / bound, None),
        Figure(f"placement/{name}/chains-before", len(before.chains), "chains"),
        Figure(f"placement/{name}/chains-untouched", len(untouched), "chains"),
        Figure(f"placement/{name}/chains-after", len(after.chains), "chains"),
    ]


def _repairs(spares: int) -> list[Figure]:
    """Lose each engine in turn under a standing plan and plan again."""
    case = _cases()[0]
    before = _plan(case.pipeline, case.engines, spares=spares)
    used = {stage.agent_id for chain in before.chains for stage in chain.stages}
    kept, elsewhere, loads = [], [], []
    for lost in (engine for engine in case.engines if engine.agent_id in used):
        left = [engine for engine in case.engines if engine is not lost]
        after = _plan(case.pipeline, left, before.chains, base_index=2, spares=spares)
        new = _new_stages(before, after)
        kept.append(_total(after) / _total(before))
        elsewhere.append(all(stage.domain != lost.domain for stage in new))
        loads.append(len(new))
    bound = _bound(case.pipeline, case.engines)
    low = None if spares == 0 else 0.9
    name = f"engine-lost-{spares}-spares"
    return [
        _ratio(name, "achieved-before", _total(before) / bound, 0.8),
        Figure(f"placement/{name}/worst-kept", min(kept), "of before", low=low),
        Figure(f"placement/{name}/mean-kept", fmean(kept), "of before", low=low),
        Figure(f"placement/{name}/other-domain", fmean(elsewhere), "of losses"),
        Figure(f"placement/{name}/mean-loads", fmean(loads), "stages"),
    ]


def _new_stages(before, after):
    known = {stage for chain in before.chains for stage in chain.stages}
    stages = [stage for chain in after.chains for stage in chain.stages]
    return [stage for stage in stages if stage not in known]


def _at_size() -> list[Figure]:
    """Plan 7,700 engines and 35 models in 2 regions and 7 domains."""
    engines, pipelines = _large_input()
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
    gone = {chain.stages[0].agent_id for chain in plan.chains[:3]}
    left = [engine for engine in engines if engine.agent_id not in gone]
    after, repair_s = _timed(
        lambda: plan_chains(
            pipelines=pipelines,
            engines=left,
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
        _ratio(name, "achieved", _total(plan) / bound, SIZE_LOW_RATIO),
        Figure(f"placement/{name}/chains", len(plan.chains), "chains"),
        Figure(f"placement/{name}/full-plan", full_s, "s"),
        Figure(f"placement/{name}/three-engines-lost", repair_s, "s"),
        Figure(
            f"placement/{name}/chains-changed", len(after.changed), "chains", high=3
        ),
    ]


def _large_input():
    rng = random.Random(SEED)
    domains = [(f"d{n}", "east" if n < 4 else "west") for n in range(7)]
    pipelines = [
        Pipeline(
            name=f"p{number}",
            model=f"m{number}",
            layers=rng.choice((32, 40, 64)),
            replicas=26,
        )
        for number in range(35)
    ]
    engines = []
    for number in range(7700):
        domain, region = rng.choice(domains)
        kind = rng.choice(KINDS)
        model = f"m{number % 35}"
        engines.append(_engine(number, kind, domain, rng, model, region))
    return engines, pipelines


def _timed(function: Callable):
    started = time.perf_counter()
    result = function()
    return result, time.perf_counter() - started
