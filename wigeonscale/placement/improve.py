"""Rebuilds serving chains with free engines where that raises their rate enough."""

__all__ = ["MIN_REBUILD_GAIN", "improve_chains"]

from collections.abc import Collection, Sequence
from dataclasses import replace

from wigeonscale.placement.assignment import split_with_head
from wigeonscale.placement.bound import compute_bound
from wigeonscale.placement.create import without_spares
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.rates import RELATIVE_TOLERANCE, chain_rate
from wigeonscale.placement.repair import is_alive, stages_of
from wigeonscale.rules.model import Pipeline

# A serving chain is rebuilt only when its rate increases at least by this factor.
MIN_REBUILD_GAIN = 1.25
# Rates above this multiple of the mean rate at the hardware bound have no use: the
# other chains need engines too.
TARGET_RATE_RATIO = 1.25


def improve_chains(
    chains: Sequence[ChainPlan],
    *,
    pipelines: Sequence[Pipeline],
    engines: Sequence[EngineSpec],
    serving: Collection[str],
    spares: int = 0,
    domain_share: float = 0.93,
) -> list[ChainPlan]:
    """Return the chains, with at most one per pipeline rebuilt for a higher rate.

    The slowest chain that gains enough from its own and free engines is rebuilt. It
    keeps its id and its head, so that the head can continue its sequences in the next
    epoch. A pipeline is skipped unless it has all its replicas, more than one, and all
    of them serve.

    Args:
        chains: All current chains.
        pipelines: Configured pipelines.
        engines: Engines that may be used, including all those of the chains.
        serving: Ids of the chains that serve now.
        spares: Number of engines of each model kept free for repairs.
        domain_share: A chain stays inside its head's failure domain when its rate
            there is at least this share of its rate across domains.

    Returns:
        The chains in the order given.

    Notes:
        Each step raises the rate of one chain at least by the factor
        ``MIN_REBUILD_GAIN`` and lowers no other, so that repeated planning reaches a
        fixed point. Rates above ``TARGET_RATE_RATIO`` times the mean rate at the
        hardware bound have no use in the choice of engines, which leaves fast engines
        to the other chains. Chains within ``MIN_REBUILD_GAIN`` of that rate cost
        nothing; any other chain costs two splits of the layers over its own and the
        free engines.
    """
    by_id = {engine.agent_id: engine for engine in engines}
    result = list(chains)
    for pipeline in pipelines:
        own = [chain for chain in result if chain.pipeline == pipeline.name]
        if not _may_improve(own, pipeline, by_id, serving):
            continue
        target = TARGET_RATE_RATIO * _mean_rate(pipeline, pipelines, engines)
        free = _free_engines(result, pipeline, engines, spares)
        rebuilt = _first_rebuild(own, pipeline, by_id, free, target, domain_share)
        if rebuilt is not None:
            index = next(
                n for n, c in enumerate(result) if c.chain_id == rebuilt.chain_id
            )
            result[index] = rebuilt
    return result


def _may_improve(own, pipeline, by_id, serving):
    if len(own) != pipeline.replicas or len(own) < 2:
        return False
    return all(chain.chain_id in serving and _is_intact(chain, by_id) for chain in own)


def _is_intact(chain, by_id):
    return all(
        is_alive(stage, by_id) and by_id[stage.agent_id].is_usable
        for stage in chain.stages
    )


def _mean_rate(pipeline, pipelines, engines):
    """Return the mean chain rate at the bound over all pipelines of the model."""
    pool = [e for e in engines if e.is_usable and e.model == pipeline.model]
    same_model = [other for other in pipelines if other.model == pipeline.model]
    layers = sum(other.layers * other.replicas for other in same_model)
    return compute_bound(pool, layers=pipeline.layers) * pipeline.layers / layers


def _free_engines(chains, pipeline, engines, spares):
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = [
        engine
        for engine in engines
        if engine.is_usable
        and engine.model == pipeline.model
        and engine.agent_id not in used
    ]
    return without_spares(free, min(spares, len(free)))


def _first_rebuild(own, pipeline, by_id, free, target, domain_share):
    rates = {chain.chain_id: chain_rate(chain.stages, by_id) for chain in own}
    for chain in sorted(own, key=lambda chain: (rates[chain.chain_id], chain.chain_id)):
        before = rates[chain.chain_id]
        if before * MIN_REBUILD_GAIN > target * (1 + RELATIVE_TOLERANCE):
            return None
        after = _rebuild(chain, pipeline, by_id, free, target, domain_share)
        if after is not None and after.rate >= MIN_REBUILD_GAIN * before:
            return after
    return None


def _rebuild(chain, pipeline, by_id, free, target, domain_share):
    head = by_id[chain.stages[0].agent_id]
    own = [by_id[stage.agent_id] for stage in chain.stages]
    pool = [engine for engine in own + free if engine.region == head.region]
    near = [engine for engine in pool if engine.domain == head.domain]
    across = _rebuild_on(chain, head, pool, pipeline, target)
    within = _rebuild_on(chain, head, near, pipeline, target)
    if within is None or across is None:
        return within or across
    return within if within.rate >= domain_share * across.rate else across


def _rebuild_on(chain, head, pool, pipeline, target):
    split = split_with_head(
        head, pool, pipeline.layers, stages=pipeline.stages, rate_cap=target
    )
    if not split:
        return None
    position = {stage.agent_id: n for n, stage in enumerate(chain.stages)}
    # Engines of the chain keep their order, so that fewer layers have to load.
    tail = sorted(
        split[1:], key=lambda pair: position.get(pair[0].agent_id, len(position))
    )
    stages = tuple(stages_of([split[0], *tail], 0))
    engines = {engine.agent_id: engine for engine, _ in split}
    rate = chain_rate(stages, engines)
    return replace(chain, epoch=chain.epoch + 1, stages=stages, rate=rate)
