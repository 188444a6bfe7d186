"""Plans every chain of every pipeline."""

__all__ = ["plan_chains"]

from collections.abc import Sequence

from wigeonscale.placement.model import ChainPlan, EngineSpec, Plan
from wigeonscale.placement.partition import partition_engines
from wigeonscale.placement.rates import chain_rate, split_layers
from wigeonscale.placement.repair import repair_chain, stage_on
from wigeonscale.rules.model import Pipeline


def plan_chains(
    *,
    pipelines: Sequence[Pipeline],
    engines: Sequence[EngineSpec],
    chains: Sequence[ChainPlan],
    spares: int = 0,
    base_index: int = 0,
) -> Plan:
    """Return the chains that shall stand, given those that stand now.

    Healthy chains stay as they are. A chain that lost a stage (its engine is gone or
    has another incarnation) gets a spare for that stage in a higher epoch. A chain
    that cannot be repaired is removed. A chain with a draining stage stays until that
    engine is gone, so that work in progress can finish, but no longer counts towards
    the replicas wanted; callers of the plan must give such a chain no new work.

    Args:
        pipelines: Pipelines wanted; a chain of any other is removed.
        engines: Announced engines.
        chains: Chains that stand now.
        spares: Engines of each model kept out of new chains, for repairs.
        base_index: Log index the input was taken from; part of new chain ids, so that
            no id is ever used twice. Must grow between calls whose plans are used.

    Returns:
        The plan; equal input gives an equal plan, and planning again with the plan's
        own chains changes nothing.
    """
    by_id = {engine.agent_id: engine for engine in engines}
    wanted = {pipeline.name: pipeline for pipeline in pipelines}
    kept = [chain for chain in chains if _fits(chain, wanted.get(chain.pipeline))]
    standing = _repair(kept, wanted, by_id)
    standing = _drop_surplus(standing, wanted, by_id)
    new = []
    for pipeline in pipelines:
        new += _new_chains(pipeline, standing + new, by_id, spares, base_index)
    result = tuple(standing + new)
    before = {chain.chain_id: chain for chain in chains}
    after = {chain.chain_id for chain in result}
    return Plan(
        chains=result,
        changed=tuple(c for c in result if before.get(c.chain_id) != c),
        removed=tuple(i for i in before if i not in after),
    )


def _fits(chain, pipeline):
    return pipeline is not None and chain.stages[-1].last_layer == pipeline.layers - 1


def _repair(chains, wanted, by_id):
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    standing = []
    for chain in chains:
        model = wanted[chain.pipeline].model
        own = {stage.agent_id for stage in chain.stages if _restarted(stage, by_id)}
        free = [
            engine
            for engine in by_id.values()
            if engine.model == model
            and not engine.draining
            and (engine.agent_id not in used or engine.agent_id in own)
        ]
        repaired = repair_chain(chain, by_id, free)
        if repaired is None:
            used -= {stage.agent_id for stage in chain.stages}
            continue
        used -= {stage.agent_id for stage in chain.stages}
        used |= {stage.agent_id for stage in repaired.stages}
        standing.append(repaired)
    return standing


def _restarted(stage, by_id):
    engine = by_id.get(stage.agent_id)
    return engine is not None and engine.incarnation != stage.incarnation


def _drop_surplus(chains, wanted, by_id):
    kept = []
    count = dict.fromkeys(wanted, 0)
    for chain in chains:
        if not _leaving(chain, by_id):
            if count[chain.pipeline] >= wanted[chain.pipeline].replicas:
                continue
            count[chain.pipeline] += 1
        kept.append(chain)
    return kept


def _leaving(chain, by_id):
    return any(by_id[stage.agent_id].draining for stage in chain.stages)


def _new_chains(pipeline, chains, by_id, spares, base_index):
    own = [chain for chain in chains if chain.pipeline == pipeline.name]
    serving = [chain for chain in own if not _leaving(chain, by_id)]
    missing = pipeline.replicas - len(serving)
    if missing <= 0:
        return []
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = [
        engine
        for engine in by_id.values()
        if engine.model == pipeline.model
        and not engine.draining
        and engine.agent_id not in used
    ]
    free.sort(key=lambda engine: (engine.layer_rate, engine.agent_id))
    free = free[spares:]
    number = _highest_number(own, base_index)
    new = []
    for group in _groups(free, pipeline, missing):
        number += 1
        new.append(_chain(pipeline, group, f"{pipeline.name}-{base_index}-{number}"))
    return new


def _highest_number(chains, base_index):
    numbers = [0]
    for chain in chains:
        _, _, tail = chain.chain_id.rpartition(f"-{base_index}-")
        if tail.isdecimal():
            numbers.append(int(tail))
    return max(numbers)


def _groups(free, pipeline, missing):
    regions = sorted({engine.region for engine in free})
    groups = []
    for region in regions:
        pool = [engine for engine in free if engine.region == region]
        groups += partition_engines(
            pool,
            layers=pipeline.layers,
            chains=missing - len(groups),
            stages=pipeline.stages,
        )
    return groups


def _chain(pipeline, group, chain_id):
    split = split_layers(group, pipeline.layers, stages=pipeline.stages)
    split.sort(key=lambda pair: (pair[0].domain, pair[0].agent_id))
    stages = []
    first = 0
    for engine, count in split:
        stages.append(stage_on(engine, first, first + count - 1))
        first += count
    by_id = {engine.agent_id: engine for engine, _ in split}
    rate = chain_rate(stages, by_id)
    return ChainPlan(chain_id, pipeline.name, 1, tuple(stages), rate)
