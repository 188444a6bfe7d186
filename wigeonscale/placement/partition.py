"""Partition of engines into groups, one per chain."""

__all__ = ["FULL_SEARCH", "QUICK_SEARCH", "Search", "partition_engines"]

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import permutations

from wigeonscale.placement.bound import (
    DualPrices,
    bound_prices,
    compute_bound,
    engine_kind,
)
from wigeonscale.placement.compose import compose_chain
from wigeonscale.placement.cover import cover_max_min_rate, cover_similar_engines
from wigeonscale.placement.local_search import improve_pairs, total_rate
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.rates import split_layers

Group = list[EngineSpec]


@dataclass(frozen=True, slots=True)
class Search:
    """Parameters of the search for a partition.

    Attributes:
        rates_tried: Number of chain rates tried for each chain.
        local_search: Whether to try chains across domains and to improve pairs of
            chains.
        rate_step: Layer rates are rounded down to powers of this ratio, which reduces
            the number of kinds of engines; 1 for no rounding.
        domain_share: A partition with each chain inside one failure domain is chosen
            when its rate is at least this share of the best rate across domains, since
            the loss of a domain then leaves the other chains intact. Without
            ``local_search`` it is chosen whenever it has all chains.
    """

    rates_tried: int
    local_search: bool
    rate_step: float = 1.0
    domain_share: float = 0.93


FULL_SEARCH = Search(rates_tried=12, local_search=True)
QUICK_SEARCH = Search(rates_tried=4, local_search=False, rate_step=1.05)


@dataclass(frozen=True, slots=True)
class _Context:
    """Arguments that are common to all pools of engines."""

    layers: int
    stages: int
    search: Search
    prices: DualPrices

    def total_rate(self, groups):
        return total_rate(groups, self.layers, self.stages)


def partition_engines(
    engines: Sequence[EngineSpec],
    *,
    layers: int,
    chains: int,
    stages: int = 0,
    search: Search = FULL_SEARCH,
) -> list[Group]:
    """Partition engines into groups that each hold the whole model.

    Args:
        engines: Free engines of one model.
        layers: Number of layers of the model.
        chains: Number of groups wanted.
        stages: Exact number of engines per group; 0 for any number.
        search: Parameters of the search.

    Returns:
        At most ``chains`` groups, each within one region; fewer when the engines do
        not suffice.
    """
    rounded = _round_rates(engines, search.rate_step)
    prices = bound_prices(rounded, layers=layers, chains=chains)
    ctx = _Context(layers, stages, search, prices)
    groups = _partition_regions(rounded, chains, ctx)
    by_id = {engine.agent_id: engine for engine in engines}
    return [[by_id[engine.agent_id] for engine in group] for group in groups]


def _round_rates(engines, step):
    if step == 1.0:
        return list(engines)
    return [
        replace(engine, layer_rate=_round_down(engine.layer_rate, step))
        for engine in engines
    ]


def _round_down(rate, step):
    return step ** math.floor(math.log(rate, step)) if rate > 0 else 0.0


def _partition_regions(engines, chains, ctx):
    by_region = _split_by(engines, lambda engine: engine.region)
    by_domain = _split_by(engines, lambda engine: (engine.region, engine.domain))
    within = _partition_pools(by_domain, chains, ctx)
    if len(within) == chains and not ctx.search.local_search:
        return within
    across = _partition_pools(by_region, chains, ctx)
    if len(within) < len(across):
        return across
    min_rate = ctx.search.domain_share * ctx.total_rate(across)
    return within if ctx.total_rate(within) >= min_rate else across


def _split_by(engines, key):
    pools = defaultdict(list)
    for engine in engines:
        pools[key(engine)].append(engine)
    return [pools[name] for name in sorted(pools)]


def _partition_pools(pools, chains, ctx):
    cache = {}

    def partition(index, share):
        if (index, share) not in cache:
            cache[index, share] = _partition_pool(pools[index], share, ctx)
        return cache[index, share]

    def score(shares):
        groups = _join(partition(*pair) for pair in enumerate(shares))
        return len(groups), ctx.total_rate(groups)

    shares = _apportion_chains(pools, ctx.layers, chains)
    if ctx.search.local_search:
        shares = _improve_shares(shares, score)
    return _join(partition(*pair) for pair in enumerate(shares))


def _join(parts):
    return [group for part in parts for group in part]


def _improve_shares(shares, score):
    """Move chains between pools, one at a time, while the score increases."""
    best, best_score = shares, score(shares)
    while True:
        options = [
            _moved(best, source, dest)
            for source, dest in permutations(range(len(best)), 2)
            if best[source] > 0
        ]
        option = max(options, key=score, default=best)
        if score(option) <= best_score:
            return best
        best, best_score = option, score(option)


def _moved(shares, source, dest):
    moved = list(shares)
    moved[source] -= 1
    moved[dest] += 1
    return moved


def _apportion_chains(pools, layers, chains):
    """Distribute the chains over pools so that their mean rates are about equal."""
    bounds = [compute_bound(pool, layers=layers) for pool in pools]
    capacities = [sum(e.layer_capacity for e in pool) // layers for pool in pools]
    shares = [0] * len(pools)
    for _ in range(chains):
        open_pools = [i for i in range(len(pools)) if shares[i] < capacities[i]]
        if not open_pools:
            break
        index = max(open_pools, key=lambda i: bounds[i] / (shares[i] + 1))
        shares[index] += 1
    return shares


def _partition_pool(engines, chains, ctx):
    for wanted in range(chains, 0, -1):
        groups = _partition_exactly(engines, wanted, ctx)
        if groups:
            return groups
    return []


def _partition_exactly(engines, chains, ctx):
    layers, stages = ctx.layers, ctx.stages
    if stages:
        options = [
            cover(engines, layers=layers, chains=chains, stages=stages)
            for cover in (cover_max_min_rate, cover_similar_engines)
        ]
        return max(options, key=ctx.total_rate)
    composed = _compose(engines, chains, ctx)
    if composed and not ctx.search.local_search:
        return composed
    covered = cover_max_min_rate(engines, layers=layers, chains=chains)
    best = max(covered, composed, key=ctx.total_rate)
    return (
        improve_pairs(best, engines, layers=layers) if ctx.search.local_search else best
    )


def _compose(engines, chains, ctx):
    prices = ctx.prices
    free = defaultdict(list)
    for engine in engines:
        free[engine_kind(engine)].append(engine)
    samples = {kind: members[0] for kind, members in free.items()}
    groups = []
    for left in range(chains, 1, -1):
        counts = {kind: len(members) for kind, members in free.items() if members}
        value = sum(count * prices.engines[kind] for kind, count in counts.items())
        composition = compose_chain(
            counts,
            samples,
            layers=ctx.layers,
            mean_rate=prices.chain + value / left,
            engine_prices=prices.engines,
            chain_price=prices.chain,
            rates_tried=ctx.search.rates_tried,
        )
        if composition is None:
            return []
        group = []
        for kind, count in composition.kinds.items():
            group += [free[kind].pop() for _ in range(count)]
        groups.append(group)
    rest = [engine for members in free.values() for engine in members]
    last = [engine for engine, _ in split_layers(rest, ctx.layers)]
    return [*groups, last] if last else []
