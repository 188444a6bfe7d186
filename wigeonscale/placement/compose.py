"""Composes one chain out of free engines with the least hardware left idle."""

__all__ = ["Composition", "cheapest_cover", "compose_chain", "nearest_rates"]

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wigeonscale.placement.bound import EngineKind
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import layers_at_rate, stage_rates

# A composition that wastes less than this share is taken without trying others.
ACCEPTED_WASTE = 0.02
# Price of a stage as a share of the chain's rate: fewer hops where rates are equal.
STAGE_PRICE_SHARE = 0.0005


@dataclass(frozen=True, slots=True)
class Composition:
    """Engines of one chain, counted by kind.

    Attributes:
        rate: Steps per second that the engines pass at least.
        waste: Share of the worth of the chain and its engines that is lost.
        kinds: Engines taken of each kind.
    """

    rate: float
    waste: float
    kinds: Counter[EngineKind]


def compose_chain(
    counts: Mapping[EngineKind, int],
    samples: Mapping[EngineKind, EngineSpec],
    *,
    layers: int,
    mean_rate: float,
    engine_prices: Mapping[EngineKind, float],
    chain_price: float = 0.0,
    rates_tried: int = 12,
) -> Composition | None:
    """Return the chain that wastes the least, at a rate near the mean.

    Args:
        counts: Free engines of each kind.
        samples: One engine of each kind.
        layers: Number of layers of the model.
        mean_rate: Rate, in steps per second, that the bound gives the mean chain.
        engine_prices: Dual price of an engine of each kind, in steps per second.
        chain_price: Dual price of one chain, in steps per second.
        rates_tried: Number of chain rates tried, nearest to the mean.

    Returns:
        The composition, or None when the engines cannot hold the model at any rate
        tried.

    Notes:
        For each rate tried, a knapsack by dynamic programming: cover all layers with
        engines, each giving the layers it carries at that rate, for the least worth.
        Cost O(rates * engines * layers).
    """
    best = None
    for rate in nearest_rates(
        (samples[kind] for kind in counts), layers, mean_rate, rates_tried
    ):
        cover = cheapest_cover(counts, samples, layers, rate, engine_prices)
        if cover is None:
            continue
        cost, kinds = cover
        waste = 1 - rate / (cost + chain_price)
        if best is None or waste < best.waste - 1e-12:
            best = Composition(rate, waste, kinds)
        if best.waste < ACCEPTED_WASTE:
            break
    return best


def nearest_rates(
    engines: Iterable[EngineSpec], layers: int, mean_rate: float, limit: int
) -> list[float]:
    """Return the stage rates nearest to a mean, nearest first, at most ``tried``."""

    def distance(rate):
        return (abs(math.log(rate / mean_rate)), rate)

    return sorted(stage_rates(engines, layers), key=distance)[:limit]


def cheapest_cover(
    counts: Mapping[EngineKind, int],
    samples: Mapping[EngineKind, EngineSpec],
    layers: int,
    rate: float,
    engine_prices: Mapping[EngineKind, float],
) -> tuple[float, Counter[EngineKind]] | None:
    """Return the worth and the kinds of the cheapest engines that pass a rate."""
    items = _items(counts, samples, layers, rate, engine_prices)
    costs = [0.0] + [math.inf] * layers
    history = [costs]
    for size, cost, _, _ in items:
        # costs[l] is the least cost to cover at least l layers.
        taken = [cost] * size + [c + cost for c in costs[: layers + 1 - size]]
        costs = list(map(min, costs, taken))
        history.append(costs)
    if math.isinf(costs[layers]):
        return None
    return costs[layers], _backtrack(items, history, layers)


def _items(counts, samples, layers, rate, engine_prices):
    """Return (layers, cost, kind, engines) with engines bundled by powers of two."""
    items = []
    for kind, count in counts.items():
        size = min(layers_at_rate(samples[kind], rate), layers)
        if size == 0:
            continue
        left = min(count, -(-layers // size))
        cost = engine_prices[kind] + STAGE_PRICE_SHARE * rate
        bundle = 1
        while left > 0:
            take = min(bundle, left)
            items.append((min(size * take, layers), cost * take, kind, take))
            left -= take
            bundle *= 2
    return items


def _backtrack(items, history, layers):
    kinds = Counter()
    need = layers
    for index in range(len(items) - 1, -1, -1):
        if need == 0:
            break
        if history[index + 1][need] == history[index][need]:
            continue
        size, _, kind, take = items[index]
        kinds[kind] += take
        need = max(0, need - size)
    return kinds
