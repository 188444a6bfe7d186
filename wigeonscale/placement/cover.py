"""Grouping of engines so that each group holds the model at a common rate."""

__all__ = ["cover_max_min_rate", "cover_similar_engines"]

from collections.abc import Sequence

from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import (
    layers_at_rate,
    split_layers,
    stage_rate,
    stage_rates,
)


def cover_max_min_rate(
    engines: Sequence[EngineSpec], *, layers: int, chains: int, stages: int = 0
) -> list[list[EngineSpec]]:
    """Return groups that hold the model at the highest common rate found.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        chains: Number of groups.
        stages: Exact number of engines per group; 0 for any number.

    Returns:
        The groups, or an empty list when the engines do not suffice.

    Notes:
        Binary search over the possible stage rates, with greedy assignment to groups.
        Cost O(log(rates) * engines * chains).
    """
    rates = sorted(stage_rates(engines, layers))
    best = []
    low, high = 0, len(rates) - 1
    while low <= high:
        middle = (low + high) // 2
        groups = _cover(engines, layers, chains, stages, rates[middle])
        if groups:
            best = groups
            low = middle + 1
        else:
            high = middle - 1
    return best


def _cover(engines, layers, chains, stages, rate):
    """Return groups that hold the model at a rate; empty when engines are lacking."""
    sized = [(layers_at_rate(engine, rate), engine) for engine in engines]
    sized = [pair for pair in sized if pair[0] > 0]
    sized.sort(key=lambda pair: (-pair[0], pair[1].domain, pair[1].agent_id))
    if stages:
        return _distribute(sized, layers, chains, stages)
    groups = []
    for _ in range(chains):
        group = _take_group(sized, layers)
        if not group:
            return []
        groups.append(group)
    return groups


def _take_group(sized, layers):
    group = []
    left = layers
    while left > 0 and sized:
        fitting = [i for i, (size, _) in enumerate(sized) if size <= left]
        index = fitting[0] if fitting else len(sized) - 1
        size, engine = sized.pop(index)
        group.append(engine)
        left -= size
    return group if left <= 0 else []


def _distribute(sized, layers, chains, stages):
    groups = [[] for _ in range(chains)]
    totals = [0] * chains
    for size, engine in sized[: chains * stages]:
        open_groups = [i for i in range(chains) if len(groups[i]) < stages]
        index = min(open_groups, key=lambda i: totals[i])
        groups[index].append(engine)
        totals[index] += size
    complete = all(split_layers(group, layers, stages=stages) for group in groups)
    return groups if complete and min(totals, default=0) >= layers else []


def cover_similar_engines(
    engines: Sequence[EngineSpec], *, layers: int, chains: int, stages: int
) -> list[list[EngineSpec]]:
    """Return groups of similar engines: the fastest form the first group.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        chains: Number of groups.
        stages: Exact number of engines per group.

    Returns:
        The groups, or an empty list when some group cannot hold the model.
    """
    share = -(-layers // stages)
    ranked = sorted(
        engines,
        key=lambda e: (-stage_rate(e, share), -e.layer_capacity, e.domain, e.agent_id),
    )
    groups = [ranked[i * stages : (i + 1) * stages] for i in range(chains)]
    complete = all(split_layers(group, layers, stages=stages) for group in groups)
    return groups if complete else []
