"""Repairs chains that lost a stage, changing only the lost stage."""

__all__ = ["is_alive", "is_leaving", "repair_chains", "stage_on", "stages_of"]

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from wigeonscale.placement.model import ChainPlan, EngineSpec, StagePlan
from wigeonscale.placement.rates import chain_rate, split_layers, stage_rate
from wigeonscale.rules.model import Pipeline

# A spare slower than this share of the chain's rate is chosen only when no other fits,
# even if it is the only one in another failure domain.
MIN_SPARE_RATE_SHARE = 0.5


def is_alive(stage: StagePlan, engines: Mapping[str, EngineSpec]) -> bool:
    """Return whether the stage's engine is announced in the same incarnation."""
    engine = engines.get(stage.agent_id)
    return engine is not None and engine.incarnation == stage.incarnation


def is_leaving(chain: ChainPlan, engines: Mapping[str, EngineSpec]) -> bool:
    """Return whether an engine of the chain is draining.

    The chain must have no lost stage.
    """
    return any(engines[stage.agent_id].draining for stage in chain.stages)


def repair_chains(
    chains: Sequence[ChainPlan],
    *,
    pipelines: Mapping[str, Pipeline],
    engines: Mapping[str, EngineSpec],
) -> list[ChainPlan]:
    """Return the healthy and repaired chains, in the order given.

    A chain whose stages are all alive is returned unchanged. For each lost stage a free
    engine takes over the same layers, or several free engines share them, and the epoch
    increases by one. Chains that lost the fewest layers are repaired first. When the
    free engines do not suffice, the chain that lost the most is removed and its engines
    are used for the others.

    Args:
        chains: Current chains.
        pipelines: Pipelines by name, including those of all chains.
        engines: All announced engines by agent id.

    Returns:
        Healthy and repaired chains, without those that were removed.
    """
    broken = [
        chain
        for chain in chains
        if not all(is_alive(stage, engines) for stage in chain.stages)
    ]
    if not broken:
        return list(chains)
    free = _free_engines(chains, engines)
    broken.sort(key=lambda chain: (_lost_layers(chain, engines), chain.chain_id))
    repaired = {}
    unrepaired = []
    for chain in broken:
        if not _try_repair(chain, pipelines, engines, free, repaired):
            unrepaired.append(chain)
    while unrepaired:
        donor = unrepaired.pop()
        free |= _survivors(donor, engines)
        unrepaired = [
            chain
            for chain in unrepaired
            if not _try_repair(chain, pipelines, engines, free, repaired)
        ]
    lost_ids = {chain.chain_id for chain in broken} - repaired.keys()
    return [
        repaired.get(chain.chain_id, chain)
        for chain in chains
        if chain.chain_id not in lost_ids
    ]


def _free_engines(chains, engines):
    used = {
        stage.agent_id
        for chain in chains
        for stage in chain.stages
        if is_alive(stage, engines)
    }
    return {
        agent_id: engine
        for agent_id, engine in engines.items()
        if agent_id not in used and engine.is_usable
    }


def _lost_layers(chain, engines):
    return sum(s.layers for s in chain.stages if not is_alive(s, engines))


def _survivors(chain, engines):
    return {
        stage.agent_id: engines[stage.agent_id]
        for stage in chain.stages
        if is_alive(stage, engines) and engines[stage.agent_id].is_usable
    }


def _try_repair(chain, pipelines, engines, free, repaired):
    """Repair one chain, and remove the engines that it uses from ``free``."""
    pipeline = pipelines[chain.pipeline]
    dead = [stage for stage in chain.stages if not is_alive(stage, engines)]
    # The head holds the answers in progress, so a draining head is kept until it is
    # gone.
    draining = [
        stage
        for stage in chain.stages[1:]
        if stage not in dead and engines[stage.agent_id].draining
    ]
    stages = _replace_stages(chain, dead + draining, pipeline, engines, free)
    if stages is None and draining:
        stages = _replace_stages(chain, dead, pipeline, engines, free)
    if stages is None:
        return False
    for stage in stages:
        free.pop(stage.agent_id, None)
    repaired[chain.chain_id] = replace(
        chain,
        epoch=chain.epoch + 1,
        stages=tuple(stages),
        rate=chain_rate(stages, engines),
    )
    return True


def _replace_stages(chain, lost, pipeline, engines, free):
    kept = [engines[s.agent_id] for s in chain.stages if s not in lost]
    candidates = _candidates(pipeline, kept, free.values())
    lost_domains = {stage.domain for stage in lost}
    stages = []
    for stage in chain.stages:
        if stage not in lost:
            stages.append(stage)
            continue
        spare = _choose_spare(stage, candidates, chain.rate, lost_domains)
        split = []
        if not pipeline.stages:
            split = split_layers(candidates, stage.layers, rate_cap=chain.rate)
        found = _choose_replacement(spare, split, stage, chain.rate)
        if not found:
            return None
        taken = {engine.agent_id for engine, _ in found}
        candidates = [e for e in candidates if e.agent_id not in taken]
        stages += stages_of(found, stage.first_layer)
    return stages


def _candidates(pipeline, kept, free):
    # Without surviving stages any region can be used, but only one.
    fitting = [engine for engine in free if engine.model == pipeline.model]
    regions = sorted({engine.region for engine in kept or fitting})
    return [engine for engine in fitting if engine.region == regions[0]]


def _choose_spare(stage, candidates, target, lost_domains):
    fitting = [engine for engine in candidates if engine.layer_capacity >= stage.layers]

    def preference(engine):
        rate = min(stage_rate(engine, stage.layers), target)
        held = (engine.first_layer, engine.last_layer)
        loaded = held == (stage.first_layer, stage.last_layer)
        return (
            not loaded,
            engine.agent_id != stage.agent_id,
            rate < MIN_SPARE_RATE_SHARE * target,
            engine.domain in lost_domains,
            -rate,
            engine.layer_capacity,
            engine.agent_id,
        )

    return min(fitting, key=preference, default=None)


def _choose_replacement(spare, split, stage, target):
    """Return one spare, or several when one would be too slow for the chain."""
    single = [(spare, stage.layers)] if spare else []
    if not single or not split:
        return single or split
    one_rate = stage_rate(spare, stage.layers)
    many_rate = min(stage_rate(engine, count) for engine, count in split)
    if one_rate < MIN_SPARE_RATE_SHARE * target and many_rate > one_rate:
        return split
    return single


def stages_of(
    split: Iterable[tuple[EngineSpec, int]], first_layer: int
) -> list[StagePlan]:
    """Return consecutive stages for pairs of engine and number of layers.

    Args:
        split: Pairs of engine and number of layers, in stage order.
        first_layer: First layer of the first stage.
    """
    stages = []
    for engine, count in split:
        stages.append(stage_on(engine, first_layer, first_layer + count - 1))
        first_layer += count
    return stages


def stage_on(engine: EngineSpec, first_layer: int, last_layer: int) -> StagePlan:
    """Return the stage of a layer range, both ends inclusive, on an engine."""
    return StagePlan(
        agent_id=engine.agent_id,
        incarnation=engine.incarnation,
        address=engine.address,
        domain=engine.domain,
        first_layer=first_layer,
        last_layer=last_layer,
    )
