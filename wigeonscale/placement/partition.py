"""Chooses which engines go together into which chain."""

__all__ = ["FULL_SEARCH", "QUICK_SEARCH", "Search", "partition_engines"]

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import permutations

from wigeonscale.placement.bound import Prices, bound_prices, compute_bound, kind_of
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
    domain_share: float = 0.93


FULL_SEARCH = Search(rates_tried=12, polish=True)
QUICK_SEARCH = Search(rates_tried=4, polish=False, rate_step=1.05)


@dataclass(frozen=True, slots=True)
class _Task:
    """What stays the same for every pool of engines."""

    layers: int
    stages: int
    search: Search
    prices: Prices

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
        chains: Groups wanted.
        stages: Exact number of engines a group; 0 for free choice.
        search: How to search.

    Returns:
        At most ``chains`` groups, each within one region; fewer when the engines do
        not suffice.
    """
    rounded = _round_rates(engines, search.rate_step)
    prices = bound_prices(rounded, layers=layers, chains=chains)
    task = _Task(layers, stages, search, prices)
    groups = _partition_regions(rounded, chains, task)
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


def _partition_regions(engines, chains, task):
    by_region = _split_by(engines, lambda engine: engine.region)
    by_domain = _split_by(engines, lambda engine: (engine.region, engine.domain))
    within = _partition_pools(by_domain, chains, task)
    if len(within) == chains and not task.search.polish:
        return within
    across = _partition_pools(by_region, chains, task)
    if len(within) < len(across):
        return across
    enough = task.search.domain_share * task.total_rate(across)
    return within if task.total_rate(within) >= enough else across


def _split_by(engines, key):
    pools = defaultdict(list)
    for engine in engines:
        pools[key(engine)].append(engine)
    return [pools[name] for name in sorted(pools)]


def _partition_pools(pools, chains, task):
    known = {}

    def partition(index, share):
        if (index, share) not in known:
            known[index, share] = _partition_pool(pools[index], share, task)
        return known[index, share]

    def worth(shares):
        groups = _join(partition(*pair) for pair in enumerate(shares))
        return len(groups), task.total_rate(groups)

    shares = _share_chains(pools, task.layers, chains)
    if task.search.polish:
        shares = _improve_shares(shares, worth)
    return _join(partition(*pair) for pair in enumerate(shares))


def _join(parts):
    return [group for part in parts for group in part]


def _improve_shares(shares, worth):
    """Move chains from pool to pool, one at a time, while that is of worth."""
    best, best_worth = shares, worth(shares)
    while True:
        options = [
            _moved(best, giver, taker)
            for giver, taker in permutations(range(len(best)), 2)
            if best[giver] > 0
        ]
        option = max(options, key=worth, default=best)
        if worth(option) <= best_worth:
            return best
        best, best_worth = option, worth(option)


def _moved(shares, giver, taker):
    moved = list(shares)
    moved[giver] -= 1
    moved[taker] += 1
    return moved


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


def _partition_pool(engines, chains, task):
    for wanted in range(chains, 0, -1):
        groups = _partition_exactly(engines, wanted, task)
        if groups:
            return groups
    return []


def _partition_exactly(engines, chains, task):
    layers, stages = task.layers, task.stages
    if stages:
        options = [
            cover(engines, layers=layers, chains=chains, stages=stages)
            for cover in (cover_evenly, cover_alike)
        ]
        return max(options, key=task.total_rate)
    composed = _compose(engines, chains, task)
    if composed and not task.search.polish:
        return composed
    even = cover_evenly(engines, layers=layers, chains=chains)
    best = max(even, composed, key=task.total_rate)
    return polish(best, engines, layers=layers) if task.search.polish else best


def _compose(engines, chains, task):
    prices = task.prices
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
            layers=task.layers,
            mean_rate=prices.chain + worth / left,
            worths=prices.engines,
            chain_worth=prices.chain,
            rates_tried=task.search.rates_tried,
        )
        if composition is None:
            return []
        group = []
        for kind, count in composition.kinds.items():
            group += [free[kind].pop() for _ in range(count)]
        groups.append(group)
    rest = [engine for members in free.values() for engine in members]
    last = [engine for engine, _ in split_layers(rest, task.layers)]
    return [*groups, last] if last else []
