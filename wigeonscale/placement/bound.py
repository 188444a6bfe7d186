"""Upper bound on the throughput of any placement, and its dual prices."""

__all__ = [
    "DualPrices",
    "EngineKind",
    "bound_prices",
    "compute_bound",
    "engine_kind",
    "hardware_bound",
]

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import (
    RELATIVE_TOLERANCE,
    layers_at_rate,
    split_layers,
    stage_rate,
    stage_rates,
)

# Each step shrinks the interval by INVERSE_GOLDEN_RATIO; 24 steps leave less than 1e-5.
GOLDEN_SECTION_STEPS = 24
INVERSE_GOLDEN_RATIO = (5**0.5 - 1) / 2

EngineKind = tuple[float, int, float]


@dataclass(frozen=True, slots=True)
class DualPrices:
    """Dual prices of chains and engines at the bound.

    Attributes:
        bound: Sequence-steps per second that no placement exceeds.
        chain: Steps per second by which one more chain would raise the bound.
        engines: Steps per second by which one more engine would raise the bound, by
            :func:`engine_kind`.
    """

    bound: float
    chain: float
    engines: dict[EngineKind, float]


def engine_kind(engine: EngineSpec) -> EngineKind:
    """Return the properties by which placement distinguishes engines."""
    return (engine.layer_rate, engine.layer_capacity, engine.link_rate)


def hardware_bound(engines: Iterable[EngineSpec], *, layers: int, chains: int) -> float:
    """Return a sum of chain rates that no placement of a model can exceed.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        chains: Maximum number of chains.

    Returns:
        Sequence-steps per second, summed over all chains.

    Notes:
        In any placement, let chain c have the rate x_c and give engine i a number n_i
        of its L layers, so that x_c <= x(i, n_i) = min(layer_rate / n_i, link_rate).
        For any price v >= 0 of a chain, let u_i be the maximum of 0 and
        n * (x(i, n) - v) / L over all n up to the capacity. Since the n_i of a chain
        sum to L, x_c - v <= sum of u_i over its engines. Summed over the chains:
        total <= chains * v + sum of u_i over all engines. The bound is the minimum
        over v. It is the dual of a linear programme in which engines and chains are
        divisible. With v = 0 it is the total compute that memory and links allow,
        divided by the number of layers. Cost O(kinds * capacity).

        With one or two chains, this relaxation is loose, because it allows fractions
        of a chain. For one chain the exact optimum is used. For two, every pair of
        possible chain rates is checked against the layers that divisible engines can
        hold at these rates.
    """
    pool = list(engines)
    bound = bound_prices(pool, layers=layers, chains=chains).bound
    if chains == 1:
        bound = min(bound, _best_rate(pool, layers))
    if chains == 2:
        bound = min(bound, _pair_bound(pool, layers))
    return bound


def bound_prices(
    engines: Sequence[EngineSpec], *, layers: int, chains: int
) -> DualPrices:
    """Return the dual bound of :func:`hardware_bound` and the prices that attain it.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        chains: Maximum number of chains.
    """
    kinds = Counter(engine_kind(engine) for engine in engines)
    samples = {engine_kind(engine): engine for engine in engines}
    points = {key: _optimal_points(sample, layers) for key, sample in samples.items()}

    def bound(price):
        total_value = sum(
            count * _engine_value(points[key], price, layers)
            for key, count in kinds.items()
        )
        return chains * price + total_value

    rates = [rate for each in points.values() for _, rate in each]
    best = _minimise_convex(bound, max(rates, default=0.0))
    engine_prices = {key: _engine_value(points[key], best, layers) for key in kinds}
    return DualPrices(bound=bound(best), chain=best, engines=engine_prices)


def compute_bound(engines: Iterable[EngineSpec], *, layers: int) -> float:
    """Return a looser bound that holds for any number of chains.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.

    Returns:
        Sequence-steps per second, summed over all chains.
    """
    kinds = Counter(engine_kind(engine) for engine in engines)
    return sum(
        count * _usable_rate(*kind, layers) / layers for kind, count in kinds.items()
    )


def _usable_rate(rate, capacity, link, layers):
    return rate if capacity >= layers else min(rate, capacity * link)


def _optimal_points(engine, layers):
    # n * (min(layer_rate / n, link_rate) - v) increases with n up to layer_rate /
    # link_rate and decreases beyond, so only the two integers around that point
    # matter. For v > link_rate it is negative and counts as 0.
    most = max(1, min(engine.layer_capacity, layers))
    crossover = int(engine.layer_rate / engine.link_rate) if engine.link_rate else most
    counts = {min(max(crossover, 1), most), min(crossover + 1, most)}
    points = [(n, stage_rate(engine, n)) for n in sorted(counts)]
    if engine.layer_capacity >= layers:
        points.append((layers, stage_rate(engine, layers, single_stage=True)))
    return points


def _engine_value(points, price, layers):
    return max(0.0, max(n * (rate - price) for n, rate in points)) / layers


def _minimise_convex(function, high):
    """Return the minimiser of a convex function on [0, high], by golden section."""
    low, top = 0.0, high
    left, right = top - INVERSE_GOLDEN_RATIO * top, INVERSE_GOLDEN_RATIO * top
    at_left, at_right = function(left), function(right)
    for _ in range(GOLDEN_SECTION_STEPS):
        if at_left <= at_right:
            top, right, at_right = right, left, at_left
            left = top - INVERSE_GOLDEN_RATIO * (top - low)
            at_left = function(left)
        else:
            low, left, at_left = left, right, at_right
            right = low + INVERSE_GOLDEN_RATIO * (top - low)
            at_right = function(right)
    return min((0.0, left, right, high), key=function)


def _best_rate(engines, layers):
    split = split_layers(engines, layers)
    single_stage = len(split) == 1
    rates = [
        stage_rate(engine, count, single_stage=single_stage) for engine, count in split
    ]
    return min(rates, default=0.0)


def _pair_bound(engines, layers):
    rates = stage_rates(engines, layers)
    rates |= {engine.layer_rate / layers for engine in engines}
    descending = sorted(rates, reverse=True)
    best = _best_rate(engines, layers)
    for index, fast in enumerate(descending):
        for slow in descending[index:]:
            if fast + slow <= best:
                break
            if _pair_fits(engines, layers, fast, slow):
                best = fast + slow
    return best


def _pair_fits(engines, layers, fast, slow):
    """Return whether divisible engines can hold two chains at these rates."""
    max_layers = [
        (_most_layers(engine, fast, layers), _most_layers(engine, slow, layers))
        for engine in engines
    ]
    left_fast = float(layers)
    left_slow = float(layers) - sum(slow_count for _, slow_count in max_layers)
    usable = [pair for pair in max_layers if pair[0] > 0]
    for fast_count, slow_count in sorted(usable, key=lambda pair: pair[1] / pair[0]):
        part = min(1.0, left_fast / fast_count)
        left_fast -= part * fast_count
        left_slow += part * slow_count
    return left_fast <= RELATIVE_TOLERANCE and left_slow <= RELATIVE_TOLERANCE


def _most_layers(engine, rate, layers):
    single_stage = (
        engine.layer_capacity >= layers and engine.layer_rate >= rate * layers
    )
    return layers if single_stage else min(layers, layers_at_rate(engine, rate))
