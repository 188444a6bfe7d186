"""Planning of all chains of all pipelines."""

__all__ = ["plan_chains"]

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import replace

from wigeonscale.placement.create import create_chains
from wigeonscale.placement.model import ChainPlan, EngineSpec, Plan
from wigeonscale.placement.partition import FULL_SEARCH, QUICK_SEARCH
from wigeonscale.placement.regroup import regroup_chains
from wigeonscale.placement.repair import is_leaving, repair_chains
from wigeonscale.rules.model import Pipeline

# Above this number of engines a shorter search is used, so that a plan takes about a
# second.
MAX_FULL_SEARCH_ENGINES = 256


def plan_chains(
    *,
    pipelines: Sequence[Pipeline],
    engines: Sequence[EngineSpec],
    chains: Sequence[ChainPlan],
    spares: int = 0,
    base_index: int = 0,
    domain_share: float = FULL_SEARCH.domain_share,
    load_new: bool = True,
    rebuild_serving: bool = True,
) -> Plan:
    """Return a plan of all chains, given the current ones.

    Healthy chains are kept unchanged, unless rebuilding one, with the same id and head,
    makes room for another replica (:func:`regroup_chains`). A chain that lost a stage
    (its engine is gone or has another incarnation) gets a spare for that stage, in a
    higher epoch. A chain that cannot be repaired is removed. A chain with a draining
    stage stays until that engine is gone, so that work in progress can finish, but no
    longer counts as a replica; callers must give such a chain no new work.

    Args:
        pipelines: Configured pipelines; chains of any other pipeline are removed.
        engines: Announced engines.
        chains: Current chains.
        spares: Number of engines of each model kept out of new chains, for repairs.
        base_index: Log index of the input. It is part of new chain ids, so that no id
            is used twice, and must increase between calls whose plans are used.
        domain_share: New chains stay inside one failure domain each when their total
            rate is then at least this share of that across domains; 0 for always.
        load_new: Whether to create chains whose engines have to load layers. If not,
            chains are only repaired, or formed from engines that hold their layers.
        rebuild_serving: Whether serving chains may be rebuilt to make room for missing
            replicas.

    Returns:
        The plan. It is deterministic, and planning again with the plan's own chains
        changes nothing.

    Example:
        >>> pipeline = Pipeline(name="p", model="m", layers=8)
        >>> pool = [EngineSpec(f"e{n}", 1, "", "a", model="m") for n in range(2)]
        >>> plan = plan_chains(pipelines=[pipeline], engines=pool, chains=())
        >>> [chain.rate for chain in plan.chains]
        [250.0]
    """
    by_id = {engine.agent_id: engine for engine in engines}
    by_name = {pipeline.name: pipeline for pipeline in pipelines}
    kept = [chain for chain in chains if _matches_pipeline(chain, by_name, by_id)]
    planned = repair_chains(kept, pipelines=by_name, engines=by_id)
    planned = _drop_surplus(planned, by_name, by_id)
    search = FULL_SEARCH if len(engines) <= MAX_FULL_SEARCH_ENGINES else QUICK_SEARCH
    search = replace(search, domain_share=domain_share)
    planned = _add_missing(planned, pipelines, by_id, spares, search, load_new)
    planned = _name_chains(planned, base_index)
    if load_new:
        planned = _regroup(
            planned, pipelines, by_id, search, base_index, rebuild_serving
        )
    return _build_plan(chains, planned)


def _matches_pipeline(chain, by_name, by_id):
    pipeline = by_name.get(chain.pipeline)
    if pipeline is None or chain.stages[-1].last_layer != pipeline.layers - 1:
        return False
    known = [by_id[s.agent_id] for s in chain.stages if s.agent_id in by_id]
    return all(engine.model == pipeline.model for engine in known)


def _drop_surplus(chains, by_name, by_id):
    """Return the chains without the slowest of each pipeline that has too many."""
    serving = [chain for chain in chains if not is_leaving(chain, by_id)]
    counts = Counter(chain.pipeline for chain in serving)
    surplus = set()
    for chain in sorted(serving, key=lambda chain: chain.rate):
        if counts[chain.pipeline] > by_name[chain.pipeline].replicas:
            counts[chain.pipeline] -= 1
            surplus.add(chain.chain_id)
    return [chain for chain in chains if chain.chain_id not in surplus]


def _add_missing(planned, pipelines, by_id, spares, search, load_new):
    """Return the planned chains and new ones, which have no ids yet."""
    missing = _missing(planned, pipelines, by_id)
    free = _free_by_model(planned, by_id)
    added = []
    for model, group in _by_model(pipelines).items():
        while any(missing[pipeline.name] > 0 for pipeline in group):
            found = create_chains(
                missing,
                pipelines=group,
                free=list(free[model].values()),
                spares=spares,
                search=search,
                load_new=load_new,
            )
            if not found:
                break
            for chain in found:
                missing[chain.pipeline] -= 1
                added.append(chain)
                for stage in chain.stages:
                    del free[model][stage.agent_id]
    return [*planned, *added]


def _missing(chains, pipelines, by_id):
    serving = Counter(
        chain.pipeline for chain in chains if not is_leaving(chain, by_id)
    )
    return {p.name: p.replicas - serving[p.name] for p in pipelines}


def _regroup(chains, pipelines, by_id, search, base_index, rebuild_serving):
    """Rebuild chains until that allows no more replicas for now."""
    shapes = defaultdict(list)
    for pipeline in pipelines:
        shapes[pipeline.model, pipeline.layers, pipeline.stages].append(pipeline)
    for group in shapes.values():
        while any(_missing(chains, group, by_id)[p.name] > 0 for p in group):
            step = regroup_chains(
                chains,
                missing=_missing(chains, group, by_id),
                pipelines=group,
                engines=by_id,
                search=search,
                rebuild_serving=rebuild_serving,
            )
            if step is None:
                break
            rebuilt = {chain.chain_id: chain for chain in step.rebuilt}
            chains = [rebuilt.get(chain.chain_id, chain) for chain in chains]
            chains = _name_chains([*chains, *step.added], base_index)
    return chains


def _name_chains(chains, base_index):
    """Give each new chain an id that was never used before."""
    number = _highest_number(chains, base_index)
    named = []
    for chain in chains:
        if not chain.chain_id:
            number += 1
            chain_id = f"{chain.pipeline}-{base_index}-{number}"
            chain = replace(chain, chain_id=chain_id)
        named.append(chain)
    return named


def _by_model(pipelines):
    groups = defaultdict(list)
    for pipeline in pipelines:
        groups[pipeline.model].append(pipeline)
    return groups


def _free_by_model(chains, by_id):
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = defaultdict(dict)
    for agent_id, engine in by_id.items():
        if agent_id not in used and engine.is_usable:
            free[engine.model][agent_id] = engine
    return free


def _highest_number(chains, base_index):
    numbers = [0]
    for chain in chains:
        _, _, tail = chain.chain_id.rpartition(f"-{base_index}-")
        if tail.isdecimal():
            numbers.append(int(tail))
    return max(numbers)


def _build_plan(chains, planned):
    before = {chain.chain_id: chain for chain in chains}
    after = {chain.chain_id for chain in planned}
    planned = [_with_epoch(chain, before.get(chain.chain_id)) for chain in planned]
    return Plan(
        chains=tuple(planned),
        changed=tuple(c for c in planned if before.get(c.chain_id) != c),
        removed=tuple(chain_id for chain_id in before if chain_id not in after),
    )


def _with_epoch(chain, known):
    """Return a changed chain one epoch after the known one.

    The epoch increases by one per plan, however often planning changed the chain.
    """
    if known is None:
        return replace(chain, epoch=1)
    if chain.stages == known.stages:
        return known
    return replace(chain, epoch=known.epoch + 1)
