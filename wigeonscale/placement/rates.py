"""Rates of stages and chains, and the best split of layers over engines.

A stage of ``n`` layers processes ``min(layer_rate / n, link_rate)`` steps per second:
compute and transfer overlap, so the slower of the two is the limit. The rate of a chain
is that of its slowest stage. A chain of one stage transfers no hidden state, so the
link rate does not apply to it.
"""

__all__ = [
    "RELATIVE_TOLERANCE",
    "chain_rate",
    "layers_at_rate",
    "split_layers",
    "stage_rate",
    "stage_rates",
]

import bisect
import math
from collections.abc import Iterable, Mapping, Sequence

from wigeonscale.placement.model import EngineSpec, StagePlan

# Keeps floor(layer_rate / rate) correct despite rounding errors of layer_rate / n.
RELATIVE_TOLERANCE = 1e-9


def stage_rate(engine: EngineSpec, layers: int, *, single_stage: bool = False) -> float:
    """Return the steps per second of ``layers`` layers on one engine.

    Args:
        engine: The engine.
        layers: Number of layers, at least 1.
        single_stage: Whether the engine holds the whole model, so that its link is
            not used.
    """
    rate = engine.layer_rate / layers
    return rate if single_stage else min(rate, engine.link_rate)


def stage_rates(engines: Iterable[EngineSpec], layers: int) -> set[float]:
    """Return all rates above 0 that a stage of a multi-stage chain can have.

    Args:
        engines: The engines.
        layers: Number of layers of the model.
    """
    rates = {
        stage_rate(engine, count)
        for engine in engines
        for count in range(1, min(engine.layer_capacity, layers) + 1)
    }
    return rates - {0.0}


def chain_rate(stages: Sequence[StagePlan], engines: Mapping[str, EngineSpec]) -> float:
    """Return the rate of a chain in steps per second: that of its slowest stage.

    Args:
        stages: Stages of the chain.
        engines: Engines by agent id.
    """
    single_stage = len(stages) == 1
    return min(
        stage_rate(engines[stage.agent_id], stage.layers, single_stage=single_stage)
        for stage in stages
    )


def layers_at_rate(engine: EngineSpec, rate: float) -> int:
    """Return how many layers an engine can hold at a given rate of a chain.

    The chain is taken to have several stages, so that the link rate applies.
    """
    if engine.link_rate < rate * (1 - RELATIVE_TOLERANCE):
        return 0
    return min(
        engine.layer_capacity, int(engine.layer_rate / rate + RELATIVE_TOLERANCE)
    )


def split_layers(
    engines: Sequence[EngineSpec],
    layers: int,
    *,
    stages: int = 0,
    rate_cap: float = math.inf,
) -> list[tuple[EngineSpec, int]]:
    """Split a model over engines so that the rate of the slowest stage is highest.

    Among the splits with the best rate, one with the fewest stages is returned.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        stages: Exact number of stages; 0 for any number.
        rate_cap: Steps per second above which a higher rate has no use.

    Returns:
        Pairs of engine and number of layers, in no particular order; empty when the
        engines cannot hold the model.

    Notes:
        The best rate is the ``layers``-th largest of all ``min(layer_rate / n,
        link_rate)`` with ``n`` up to the capacity, because these values decrease with
        ``n``. Cost O(engines * capacity * log).
    """
    single = _single_stage_split(engines, layers) if stages in (0, 1) else []
    multi = [] if stages == 1 else _multi_stage_split(engines, layers, stages, rate_cap)
    if not single or not multi:
        return single or multi
    single_rate = stage_rate(single[0][0], layers, single_stage=True)
    multi_rate = min(stage_rate(engine, count) for engine, count in multi)
    return single if single_rate >= multi_rate else multi


def _single_stage_split(engines, layers):
    fitting = [engine for engine in engines if engine.layer_capacity >= layers]
    if not fitting:
        return []
    return [(max(fitting, key=lambda engine: engine.layer_rate), layers)]


def _multi_stage_split(engines, layers, stages, rate_cap):
    if stages > layers:
        return []
    rates = sorted({min(rate, rate_cap) for rate in stage_rates(engines, layers)})

    def too_few_layers(rate):
        counts = _layer_counts(engines, rate, stages)
        return sum(count for count, _ in counts) < layers or (len(counts) < stages)

    # Fewer layers fit at a higher rate: find the highest rate at which all fit.
    index = bisect.bisect_left(rates, True, key=too_few_layers) - 1
    if index < 0:
        return []
    return _trim(_layer_counts(engines, rates[index], stages), layers, stages)


def _layer_counts(engines, rate, stages):
    counts = [(layers_at_rate(engine, rate), engine) for engine in engines]
    counts = [pair for pair in counts if pair[0] > 0]
    counts.sort(key=lambda pair: -pair[0])
    return counts[:stages] if stages else counts


def _trim(counts, layers, stages):
    # Uses the engines with the most layers first. With a fixed number of stages, one
    # layer is reserved for each remaining engine.
    split = []
    left = layers
    for index, (count, engine) in enumerate(counts):
        reserve = stages - index - 1 if stages else 0
        take = min(count, left - reserve)
        if take <= 0:
            break
        split.append((engine, take))
        left -= take
    return split
