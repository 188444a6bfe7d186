"""Chooses which engines go together into which chain."""

__all__ = ["FULL_EFFORT", "QUICK_EFFORT", "Effort", "partition_engines"]

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonscale.placement.bound import bound_prices, kind_of
from wigeonscale.placement.compose import compose_chain
from wigeonscale.placement.cover import cover_evenly
from wigeonscale.placement.model import EngineSpec
from wigeonscale.placement.polish import polish, total_rate

Group = list[EngineSpec]


@dataclass(frozen=True, slots=True)
class Effort:
    """How long to search for a partition.

    Attributes:
        rates_tried: Chain rates tried for each chain.
        polish: Whether to try chains across domains and to improve pairs of chains.
    """

    rates_tried: int
    polish: bool


FULL_EFFORT = Effort(rates_tried=12, polish=True)
QUICK_EFFORT = Effort(rates_tried=6, polish=False)

# A plan whose chains each stay within one failure domain is taken when it passes at
# least this share of the best plan: losing a domain then leaves the other chains.
DOMAIN_SHARE = 0.9


def partition_engines(
    engines: Sequence[EngineSpec],
    *,
    layers: int,
    chains: int,
    stages: int = 0,
    effort: Effort = FULL_EFFORT,
) -> list[Group]:
    """Partition engines into groups that each hold the whole model.

    Args:
        engines: Free engines of one model.
        layers: Number of layers of the model.
        chains: Groups wanted.
        stages: Exact number of engines a group; 0 for free choice.
        effort: How long to search.

    Returns:
        At most ``chains`` groups, each within one region; fewer when the engines do
        not suffice.
    """
    by_region = _split_by(engines, lambda engine: engine.region)
    by_domain = _split_by(engines, lambda engine: (engine.region, engine.domain))
    within = _partition_pools(by_domain, layers, chains, stages, effort)
    if len(within) == chains and not effort.polish:
        return within
    across = _partition_pools(by_region, layers, chains, stages, effort)
    if len(within) < len(across):
        return across
    within_rate = total_rate(within, layers, stages)
    across_rate = total_rate(across, layers, stages)
    return within if within_rate >= DOMAIN_SHARE * across_rate else across


def _split_by(engines, key):
    pools = defaultdict(list)
    for engine in engines:
        pools[key(engine)].append(engine)
    return [pools[name] for name in sorted(pools)]


def _partition_pools(pools, layers, chains, stages, effort):
    groups = []
    shares = _share_chains(pools, layers, chains)
    for pool, share in zip(pools, shares, strict=True):
        found = _partition_pool(pool, layers, share, stages, effort)
        groups += found
    return groups


def _share_chains(pools, layers, chains):
    """Share the chains out so that their mean rates are as equal as can be."""
    bounds = [bound_prices(pool, layers=layers, chains=chains).bound for pool in pools]
    rooms = [sum(e.layer_capacity for e in pool) // layers for pool in pools]
    shares = [0] * len(pools)
    for _ in range(chains):
        open_pools = [i for i in range(len(pools)) if shares[i] < rooms[i]]
        if not open_pools:
            break
        index = max(open_pools, key=lambda i: bounds[i] / (shares[i] + 1))
        shares[index] += 1
    return shares


def _partition_pool(engines, layers, chains, stages, effort):
    for wanted in range(chains, 0, -1):
        groups = _partition_exactly(engines, layers, wanted, stages, effort)
        if groups:
            return groups
    return []


def _partition_exactly(engines, layers, chains, stages, effort):
    composed = [] if stages else _compose(engines, layers, chains, effort)
    if composed and not effort.polish:
        return composed
    even = cover_evenly(engines, layers=layers, chains=chains, stages=stages)
    best = max(even, composed, key=lambda groups: total_rate(groups, layers, stages))
    if stages or not effort.polish:
        return best
    return polish(best, engines, layers=layers)


def _compose(engines, layers, chains, effort):
    free = defaultdict(list)
    for engine in engines:
        free[kind_of(engine)].append(engine)
    samples = {kind: members[0] for kind, members in free.items()}
    prices = bound_prices(engines, layers=layers, chains=chains)
    groups = []
    for left in range(chains, 0, -1):
        counts = {kind: len(members) for kind, members in free.items() if members}
        worth = sum(count * prices.engines[kind] for kind, count in counts.items())
        composition = compose_chain(
            counts,
            samples,
            layers=layers,
            mean_rate=prices.chain + worth / left,
            worths=prices.engines,
            chain_worth=prices.chain,
            rates_tried=effort.rates_tried,
        )
        if composition is None:
            return []
        group = []
        for kind, count in composition.kinds.items():
            group += [free[kind].pop() for _ in range(count)]
        groups.append(group)
    return groups
