"""Plans new chains out of free engines."""

__all__ = ["new_chains"]

from collections import defaultdict
from collections.abc import Mapping, Sequence

from wigeonscale.placement.bound import compute_bound, kind_of
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.partition import Effort, partition_engines
from wigeonscale.placement.polish import group_rate
from wigeonscale.placement.rates import chain_rate, split_layers
from wigeonscale.placement.repair import stages_of
from wigeonscale.placement.reuse import loaded_groups
from wigeonscale.rules.model import Pipeline

# Engines that hold fitting layers are used as they are when they pass at least this
# share of the mean chain that the hardware allows.
REUSE_SHARE = 0.5


def new_chains(
    missing: Mapping[str, int],
    *,
    pipelines: Sequence[Pipeline],
    free: Sequence[EngineSpec],
    spares: int,
    effort: Effort,
) -> list[ChainPlan]:
    """Return new chains of one model, without ids.

    Pipelines of the same shape share the free engines as one pool. Groups of
    pipelines of different shapes get engines of each kind in proportion to the chains
    that they miss.

    Args:
        missing: Chains wanted by pipeline name.
        pipelines: Pipelines of one model.
        free: Engines of that model in no chain, none of them draining.
        spares: Engines to keep free where the chains wanted do not need them.
        effort: How long to search.

    Returns:
        Chains with an empty ``chain_id`` and epoch 1.
    """
    shapes = defaultdict(list)
    for pipeline in pipelines:
        if missing[pipeline.name] > 0:
            shapes[pipeline.layers, pipeline.stages].append(pipeline)
    weights = [sum(missing[p.name] for p in group) for group in shapes.values()]
    chains = []
    for group, share in zip(
        shapes.values(), _share_engines(free, weights), strict=True
    ):
        kept = -(-spares // len(shapes))
        chains += _chains_of_shape(group, missing, share, kept, effort)
    return chains


def _share_engines(free, weights):
    if len(weights) < 2:
        return [list(free)] * len(weights)
    shares = [[] for _ in weights]
    for engine in sorted(free, key=lambda e: (kind_of(e), e.domain, e.agent_id)):
        index = min(range(len(weights)), key=lambda i: len(shares[i]) / weights[i])
        shares[index].append(engine)
    return shares


def _chains_of_shape(pipelines, missing, free, spares, effort):
    wanted = sum(missing[pipeline.name] for pipeline in pipelines)
    offered = _without_spares(free, spares)
    splits = _splits(pipelines[0], offered, wanted, effort)
    if len(splits) < wanted and len(offered) < len(free):
        # A chain that serves is worth more than a spare that waits.
        unspared = _splits(pipelines[0], free, wanted, effort)
        splits = max(splits, unspared, key=len)
    splits.sort(key=_rate, reverse=True)
    return _deal(splits, pipelines, missing)


def _without_spares(free, spares):
    """Return the engines left after setting spares aside, domain by domain.

    A spare must be able to hold the largest stage, so the roomiest engines are kept,
    and of these the slowest.
    """
    by_domain = defaultdict(list)
    roomiest = sorted(free, key=lambda e: (-e.layer_capacity, e.layer_rate, e.agent_id))
    for engine in roomiest:
        by_domain[engine.domain].append(engine)
    ranked = sorted(
        (rank, -engine.layer_capacity, engine.layer_rate, engine.agent_id)
        for members in by_domain.values()
        for rank, engine in enumerate(members)
    )
    kept = {agent_id for *_, agent_id in ranked[:spares]}
    return [engine for engine in free if engine.agent_id not in kept]


def _splits(pipeline, engines, wanted, effort):
    """Return the stages of each new chain as pairs of engine and number of layers."""
    layers, stages = pipeline.layers, pipeline.stages
    least_rate = REUSE_SHARE * compute_bound(engines, layers=layers) / wanted
    loaded = loaded_groups(
        engines, layers=layers, chains=wanted, stages=stages, least_rate=least_rate
    )
    splits = [
        [(e, e.last_layer - e.first_layer + 1) for e in group] for group in loaded
    ]
    used = {engine.agent_id for group in loaded for engine in group}
    groups = partition_engines(
        [engine for engine in engines if engine.agent_id not in used],
        layers=layers,
        chains=wanted - len(loaded),
        stages=stages,
        effort=effort,
    )
    for group in groups:
        split = split_layers(group, layers, stages=stages)
        split.sort(key=lambda pair: _stage_order(pair[0]))
        splits.append(split)
    return splits


def _stage_order(engine):
    # Engines that hold layers stay near them, so that less has to load.
    empty = engine.last_layer < engine.first_layer
    return (empty, engine.first_layer, engine.domain, engine.agent_id)


def _rate(split):
    return group_rate([engine for engine, _ in split], sum(n for _, n in split))


def _deal(splits, pipelines, missing):
    chains = []
    given = dict.fromkeys((pipeline.name for pipeline in pipelines), 0)
    for split in splits:
        open_names = [name for name in given if given[name] < missing[name]]
        name = min(open_names, key=lambda name: given[name] / missing[name])
        given[name] += 1
        stages = stages_of(split, 0)
        rate = chain_rate(stages, {engine.agent_id: engine for engine, _ in split})
        chains.append(ChainPlan("", name, 1, tuple(stages), rate))
    return chains
