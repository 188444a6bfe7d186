"""An upper bound on the throughput that any placement can reach."""

__all__ = ["Prices", "bound_prices", "hardware_bound"]

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import stage_rate

SEARCH_STEPS = 24
GOLDEN = (5**0.5 - 1) / 2

Kind = tuple[float, int, float]


@dataclass(frozen=True, slots=True)
class Prices:
    """What a chain and an engine of each kind are worth at the bound.

    Attributes:
        bound: Sequence-steps per second that no placement exceeds.
        chain: Steps per second by which one more chain would raise the bound.
        engines: The same for one more engine, by :func:`kind_of`.
    """

    bound: float
    chain: float
    engines: dict[Kind, float]


def kind_of(engine: EngineSpec) -> Kind:
    """Return what placement distinguishes engines by."""
    return (engine.layer_rate, engine.layer_capacity, engine.link_rate)


def hardware_bound(engines: Iterable[EngineSpec], *, layers: int, chains: int) -> float:
    """Return a sum of chain rates that no placement of a model can exceed.

    Args:
        engines: Engines that may be used.
        layers: Number of layers of the model.
        chains: Most chains.

    Returns:
        Sequence-steps per second, all chains together.

    Notes:
        Take any placement: chain c passes x_c steps per second and gives engine i a
        number n_i of its L layers, so x_c <= x(i, n_i) = min(layer_rate / n_i,
        link_rate). For every price v >= 0 of a chain, let u_i be the largest of 0 and
        n * (x(i, n) - v) / L over all n up to the capacity. Since the n_i of a chain
        sum to L, x_c - v <= sum of u_i over its engines. Summed over the chains:
        total <= chains * v + sum of u_i over all engines. The bound is the least of
        these over v, the dual of a linear programme in which engines and chains may
        be divided at will. With v = 0 it reads: all compute that memory and links
        let through, divided by the layers. Cost O(kinds * capacity).
    """
    return bound_prices(list(engines), layers=layers, chains=chains).bound


def bound_prices(engines: Sequence[EngineSpec], *, layers: int, chains: int) -> Prices:
    """Return the bound of :func:`hardware_bound` and the prices that prove it."""
    kinds = Counter(kind_of(engine) for engine in engines)
    samples = {kind_of(engine): engine for engine in engines}
    points = {key: _points(sample, layers) for key, sample in samples.items()}

    def bound(price):
        worth = sum(
            count * _worth(points[key], price, layers) for key, count in kinds.items()
        )
        return chains * price + worth

    best = _minimise(bound, max((p[0][1] for p in points.values()), default=0.0))
    worths = {key: _worth(points[key], best, layers) for key in kinds}
    return Prices(bound=bound(best), chain=best, engines=worths)


def compute_bound(engines: Iterable[EngineSpec], *, layers: int) -> float:
    """Return the looser bound that holds for any number of chains."""
    kinds = Counter(kind_of(engine) for engine in engines)
    return sum(
        count * _compute(*kind, layers) / layers for kind, count in kinds.items()
    )


def _compute(rate, capacity, link, layers):
    return rate if capacity >= layers else min(rate, capacity * link)


def _points(engine, layers):
    most = min(engine.layer_capacity, layers)
    points = [(n, stage_rate(engine, n)) for n in range(1, most + 1)]
    if engine.layer_capacity >= layers:
        points.append((layers, stage_rate(engine, layers, alone=True)))
    return points or [(0, 0.0)]


def _worth(points, price, layers):
    return max(0.0, max(n * (rate - price) for n, rate in points)) / layers


def _minimise(function, high):
    """Return the argument in [0, high] with the least value of a convex function."""
    low, top = 0.0, high
    left, right = top - GOLDEN * top, GOLDEN * top
    at_left, at_right = function(left), function(right)
    for _ in range(SEARCH_STEPS):
        if at_left <= at_right:
            top, right, at_right = right, left, at_left
            left = top - GOLDEN * (top - low)
            at_left = function(left)
        else:
            low, left, at_left = left, right, at_right
            right = low + GOLDEN * (top - low)
            at_right = function(right)
    return min((0.0, left, right, high), key=function)
