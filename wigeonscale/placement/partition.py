"""Chooses which engines go together into which chain."""

__all__ = ["FULL_SEARCH", "QUICK_SEARCH", "Search", "partition_engines"]

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from wigeonscale.placement.bound import bound_prices, compute_bound, kind_of
from wigeonscale.placement.compose import compose_chain
from wigeonscale.placement.cover import cover_alike, cover_evenly
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.polish import polish, total_rate
from wigeonscale.placement.rates import split_layers

Group = list[EngineSpec]


@dataclass(frozen=True, slots=True)
class Search:
    """How to search for a partition.

    Attributes:
        rates_tried: Chain rates tried for each chain.
        polish: Whether to try chains across domains and to improve pairs of chains.
        rate_step: Ratio to whose powers layer rates are rounded down first, so that
            there are few kinds of engines; 1 for no rounding.
        domain_share: A partition with each chain inside one failure domain is taken
            when it passes at least this share of the best one across domains: losing
            a domain then leaves the other chains whole. Without ``polish`` it is
            taken whenever it has all chains.
    """

    rates_tried: int
    polish: bool
    rate_step: float = 1.0
    domain_share: float = 0.9


FULL_SEARCH = Search(rates_tried=12, polish=True)
QUICK_SEARCH = Search(rates_tried=4, polish=False, rate_step=1.05)


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
        chains: Groups wanted.
        stages: Exact number of engines a group; 0 for free choice.
        search: How to search.

    Returns:
        At most ``chains`` groups, each within one region; fewer when the engines do
        not suffice.
    """
    rounded = _round_rates(engines, search.rate_step)
    groups = _partition_regions(rounded, layers, chains, stages, search)
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


def _partition_regions(engines, layers, chains, stages, search):
    by_region = _split_by(engines, lambda engine: engine.region)
    by_domain = _split_by(engines, lambda engine: (engine.region, engine.domain))
    prices = bound_prices(engines, layers=layers, chains=chains)
    within = _partition_pools(by_domain, layers, chains, stages, search, prices)
    if len(within) == chains and not search.polish:
        return within
    across = _partition_pools(by_region, layers, chains, stages, search, prices)
    if len(within) < len(across):
        return across
    within_rate = total_rate(within, layers, stages)
    across_rate = total_rate(across, layers, stages)
    return within if within_rate >= search.domain_share * across_rate else across


def _split_by(engines, key):
    pools = defaultdict(list)
    for engine in engines:
        pools[key(engine)].append(engine)
    return [pools[name] for name in sorted(pools)]


def _partition_pools(pools, layers, chains, stages, search, prices):
    groups = []
    shares = _share_chains(pools, layers, chains)
    for pool, share in zip(pools, shares, strict=True):
        found = _partition_pool(pool, layers, share, stages, search, prices)
        groups += found
    return groups


def _share_chains(pools, layers, chains):
    """Share the chains out so that their mean rates are as equal as can be."""
    bounds = [compute_bound(pool, layers=layers) for pool in pools]
    rooms = [sum(e.layer_capacity for e in pool) // layers for pool in pools]
    shares = [0] * len(pools)
    for _ in range(chains):
        open_pools = [i for i in range(len(pools)) if shares[i] < rooms[i]]
        if not open_pools:
            break
        index = max(open_pools, key=lambda i: bounds[i] / (shares[i] + 1))
        shares[index] += 1
    return shares


def _partition_pool(engines, layers, chains, stages, search, prices):
    for wanted in range(chains, 0, -1):
        groups = _partition_exactly(engines, layers, wanted, stages, search, prices)
        if groups:
            return groups
    return []


def _partition_exactly(engines, layers, chains, stages, search, prices):
    if stages:
        options = [
            cover(engines, layers=layers, chains=chains, stages=stages)
            for cover in (cover_evenly, cover_alike)
        ]
        return max(options, key=lambda groups: total_rate(groups, layers, stages))
    composed = _compose(engines, layers, chains, search, prices)
    if composed and not search.polish:
        return composed
    even = cover_evenly(engines, layers=layers, chains=chains)
    best = max(even, composed, key=lambda groups: total_rate(groups, layers))
    return polish(best, engines, layers=layers) if search.polish else best


def _compose(engines, layers, chains, search, prices):
    free = defaultdict(list)
    for engine in engines:
        free[kind_of(engine)].append(engine)
    samples = {kind: members[0] for kind, members in free.items()}
    groups = []
    for left in range(chains, 1, -1):
        counts = {kind: len(members) for kind, members in free.items() if members}
        worth = sum(count * prices.engines[kind] for kind, count in counts.items())
        composition = compose_chain(
            counts,
            samples,
            layers=layers,
            mean_rate=prices.chain + worth / left,
            worths=prices.engines,
            chain_worth=prices.chain,
            rates_tried=search.rates_tried,
        )
        if composition is None:
            return []
        group = []
        for kind, count in composition.kinds.items():
            group += [free[kind].pop() for _ in range(count)]
        groups.append(group)
    rest = [engine for members in free.values() for engine in members]
    last = [engine for engine, _ in split_layers(rest, layers)]
    return [*groups, last] if last else []
