"""Pools of engines for the placement benchmarks, drawn with fixed seeds."""

__all__ = [
    "Case",
    "JUTLAND_DOMAINS",
    "SEED",
    "deployments",
    "hard_cases",
    "large_input",
    "without_domain",
]

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from wigeonscale.placement import EngineSpec
from wigeonscale.rules.model import Pipeline

SEED = 20261202


@dataclass(frozen=True, slots=True)
class Case:
    """One pool of engines and the pipeline to place on it."""

    name: str
    engines: tuple[EngineSpec, ...]
    pipeline: Pipeline


@dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    Attributes:
        name: Its name.
        layer_rate: Layer-steps per second.
        layer_capacity: Layers that fit into its memory.
    """

    name: str
    layer_rate: float
    layer_capacity: int


LARGE = AcceleratorKind("large", 6000.0, 16)
MIDDLE = AcceleratorKind("middle", 2600.0, 10)
SMALL = AcceleratorKind("small", 900.0, 5)
KINDS = (LARGE, MIDDLE, SMALL)
LINK_RATES = (40000.0, 4000.0, 400.0)
JUTLAND_DOMAINS = ("aarhus-a", "aarhus-b", "vejle-c")
BOHEMIA_DOMAINS = ("praha-hall-a", "praha-hall-b", "kladno-hall")


def hard_cases() -> list[Case]:
    """Return the two current deployments and variations that are hard to place."""
    korrekturhuset, vltava = deployments(SEED)
    jutland = korrekturhuset.engines
    scarce = _pool(SEED, JUTLAND_DOMAINS, {LARGE: 2, MIDDLE: 19, SMALL: 19})
    fast = tuple(replace(engine, link_rate=LINK_RATES[0]) for engine in jutland)
    slow_engine = (replace(_first_large(fast), link_rate=LINK_RATES[2]),)
    slow_link = slow_engine + tuple(
        e for e in fast if e.agent_id != slow_engine[0].agent_id
    )
    slow_domain = tuple(
        replace(
            e,
            link_rate=LINK_RATES[2]
            if e.domain == JUTLAND_DOMAINS[2]
            else LINK_RATES[0],
        )
        for e in jutland
    )
    rng = random.Random(SEED)
    uneven = tuple(
        replace(e, layer_rate=e.layer_rate * rng.uniform(0.85, 1.15)) for e in jutland
    )
    forty_layers = korrekturhuset.pipeline
    return [
        korrekturhuset,
        vltava,
        Case("one-slow-link", slow_link, forty_layers),
        Case("slow-domain", slow_domain, forty_layers),
        Case("scarce-kind", scarce, forty_layers),
        Case("uneven-rates", uneven, forty_layers),
        Case("two-chains", jutland, replace(forty_layers, replicas=2)),
        Case(
            "domain-gone",
            without_domain(jutland, JUTLAND_DOMAINS[0]),
            replace(forty_layers, replicas=3),
        ),
    ]


def deployments(seed: int) -> tuple[Case, Case]:
    """Return pools of the size of the two current deployments."""
    jutland = _pool(seed, JUTLAND_DOMAINS, {LARGE: 12, MIDDLE: 16, SMALL: 12})
    bohemia = _pool(seed, BOHEMIA_DOMAINS, {LARGE: 6, MIDDLE: 22, SMALL: 12})
    forty_layers = Pipeline(name="corrections", model="m", layers=40, replicas=5)
    thirty_two_layers = Pipeline(name="assistant", model="m", layers=32, replicas=6)
    return (
        Case("korrekturhuset", jutland, forty_layers),
        Case("vltava", bohemia, thirty_two_layers),
    )


def _pool(seed, domains, counts) -> tuple[EngineSpec, ...]:
    """Return engines of the given kinds, spread over domains, with mixed link rates."""
    rng = random.Random(seed)
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
        link_rate=rng.choices(LINK_RATES, weights=(45, 45, 10))[0],
    )


def _first_large(engines):
    return next(engine for engine in engines if engine.accelerator == LARGE.name)


def without_domain(
    engines: Sequence[EngineSpec], domain: str
) -> tuple[EngineSpec, ...]:
    """Return the engines outside a failure domain."""
    return tuple(engine for engine in engines if engine.domain != domain)


def large_input() -> tuple[list[EngineSpec], list[Pipeline]]:
    """Return 7,700 engines and 35 models in 2 regions and 7 domains."""
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
