"""Selection of the engines of one chain, with the least capacity left idle."""

__all__ = ["Composition", "cheapest_cover", "compose_chain", "nearest_rates"]

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from wigeonscale.placement.bound import EngineKind
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import layers_at_rate, stage_rates

# A composition that wastes less than this share is accepted without trying others.
ACCEPTED_WASTE = 0.02
# Price of a stage as a share of the chain's rate: prefers fewer hops at equal rates.
STAGE_PRICE_SHARE = 0.0005


@dataclass(frozen=True, slots=True)
class Composition:
    """Engines of one chain, counted by kind.

    Attributes:
        rate: Lower bound of the chain's rate, in steps per second.
        waste: Share of the dual prices of the chain and its engines that the rate
            does not use.
        kinds: Number of engines of each kind.
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
    """Return the composition with the least waste, at a rate near the mean.

    Args:
        counts: Number of free engines of each kind.
        samples: One engine of each kind.
        layers: Number of layers of the model.
        mean_rate: Mean rate of a chain at the bound, in steps per second.
        engine_prices: Dual price of an engine of each kind, in steps per second.
        chain_price: Dual price of one chain, in steps per second.
        rates_tried: Number of chain rates to try, nearest to the mean first.

    Returns:
        The composition, or None when the engines cannot hold the model at any rate
        tried.

    Notes:
        For each rate, a covering knapsack is solved by dynamic programming: cover all
        layers with engines, each holding the layers that it can hold at that rate, at
        the least total price. Cost O(rates * engines * layers).
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
    """Return at most ``limit`` stage rates, nearest to a mean first.

    The distance is that of the logarithms.
    """

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
    """Return the cost and the kinds of the cheapest engines for a chain rate.

    Args:
        counts: Number of free engines of each kind.
        samples: One engine of each kind.
        layers: Number of layers of the model.
        rate: Rate of the chain, in steps per second.
        engine_prices: Dual price of an engine of each kind, in steps per second.

    Returns:
        Total price and number of engines of each kind; None when the engines cannot
        hold the model at that rate.
    """
    items = _items(counts, samples, layers, rate, engine_prices)
    costs = [0.0] + [math.inf] * layers
    history = [costs]
    for size, cost, _, _ in items:
        # costs[l] is the least cost of covering at least l layers.
        taken = [cost] * size + [c + cost for c in costs[: layers + 1 - size]]
        costs = list(map(min, costs, taken))
        history.append(costs)
    if math.isinf(costs[layers]):
        return None
    return costs[layers], _backtrack(items, history, layers)


def _items(counts, samples, layers, rate, engine_prices):
    """Return items (layers, cost, kind, engines), bundled by powers of two.

    The bundles keep the number of knapsack items logarithmic in the engines of a kind.
    """
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
