"""Local search that improves a partition by redistributing pairs of groups."""

__all__ = ["group_rate", "improve_pairs", "total_rate"]

from collections import Counter
from collections.abc import Sequence
from itertools import combinations

from wigeonscale.placement.bound import bound_prices, engine_kind
from wigeonscale.placement.compose import cheapest_cover, nearest_rates
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import split_layers, stage_rate

Group = list[EngineSpec]

MAX_SEARCH_ROUNDS = 4
RATES_TRIED = 24
# Smallest relative gain of the two chains' total rate for which a pair is changed.
MIN_PAIR_GAIN = 0.001


def group_rate(group: Sequence[EngineSpec], layers: int, stages: int = 0) -> float:
    """Return the best chain rate of a group; 0 when it cannot hold the model."""
    split = split_layers(group, layers, stages=stages)
    single_stage = len(split) == 1
    return min(
        (
            stage_rate(engine, count, single_stage=single_stage)
            for engine, count in split
        ),
        default=0.0,
    )


def total_rate(groups: Sequence[Group], layers: int, stages: int = 0) -> float:
    """Return the sum of the groups' best chain rates."""
    return sum(group_rate(group, layers, stages) for group in groups)


def improve_pairs(
    groups: Sequence[Group], engines: Sequence[EngineSpec], *, layers: int
) -> list[Group]:
    """Redistribute the engines of each pair of groups while that raises their rates.

    Args:
        groups: Disjoint groups that each hold the model.
        engines: All engines that may be used, including those in no group.
        layers: Number of layers of the model.

    Returns:
        The same number of groups, whose total rate is no lower.
    """
    best = [list(group) for group in groups]
    free = _unused(engines, best)
    for _ in range(MAX_SEARCH_ROUNDS):
        improved = False
        for i, j in combinations(range(len(best)), 2):
            pool = best[i] + best[j] + free
            old = total_rate((best[i], best[j]), layers)
            pair, new = _best_pair(pool, layers)
            if new > old * (1 + MIN_PAIR_GAIN):
                best[i], best[j] = pair
                free = _unused(pool, pair)
                improved = True
        if not improved:
            break
    return best


def _unused(engines, groups):
    used = {engine.agent_id for group in groups for engine in group}
    return [engine for engine in engines if engine.agent_id not in used]


def _best_pair(pool, layers):
    """Return the two groups with the highest total rate found, and that rate."""
    prices = bound_prices(pool, layers=layers, chains=2)
    counts = Counter(engine_kind(engine) for engine in pool)
    samples = {engine_kind(engine): engine for engine in pool}
    best, best_rate = (), 0.0
    for rate in nearest_rates(samples.values(), layers, prices.bound / 2, RATES_TRIED):
        cover = cheapest_cover(counts, samples, layers, rate, prices.engines)
        if cover is None:
            continue
        first, second = _take(pool, cover[1])
        rest = [engine for engine, _ in split_layers(second, layers)]
        total = rate + group_rate(rest, layers)
        if rest and total > best_rate:
            best, best_rate = (first, rest), total
    return best, best_rate


def _take(pool, kinds):
    left = Counter(kinds)
    taken, rest = [], []
    for engine in pool:
        kind = engine_kind(engine)
        if left[kind] > 0:
            left[kind] -= 1
            taken.append(engine)
        else:
            rest.append(engine)
    return taken, rest
