"""Creates chains from free engines."""

__all__ = ["chains_of_splits", "create_chains", "split_groups", "without_spares"]

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from wigeonscale.placement.bound import engine_kind
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.partition import Search, partition_engines
from wigeonscale.placement.rates import chain_rate, split_layers, stage_rate
from wigeonscale.placement.repair import stages_of
from wigeonscale.placement.reuse import loaded_groups
from wigeonscale.rules.model import Pipeline

# Engines that already hold suitable layers are reused when the total rate is then at
# least this share of the best one: serving at once outweighs a lower rate for a while.
MIN_REUSE_RATE_SHARE = 0.5


def create_chains(
    missing: Mapping[str, int],
    *,
    pipelines: Sequence[Pipeline],
    free: Sequence[EngineSpec],
    spares: int,
    search: Search,
    load_new: bool = True,
) -> list[ChainPlan]:
    """Return new chains of one model, without ids.

    Pipelines with the same numbers of layers and stages share one pool of free engines.
    Groups of pipelines that differ in these get engines of each kind in proportion to
    their missing chains.

    Args:
        missing: Number of chains wanted, by pipeline name.
        pipelines: Pipelines of one model.
        free: Engines of that model in no chain, none of them draining.
        spares: Number of engines to keep free unless the wanted chains need them.
        search: Parameters of the search for partitions.
        load_new: Whether to create chains whose engines have to load layers.

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
        shapes.values(), _apportion_engines(free, weights), strict=True
    ):
        kept = -(-spares // len(shapes))
        chains += _chains_of_shape(group, missing, share, kept, search, load_new)
    return chains


def _apportion_engines(free, weights):
    if len(weights) < 2:
        return [list(free)] * len(weights)
    shares = [[] for _ in weights]
    for engine in sorted(free, key=lambda e: (engine_kind(e), e.domain, e.agent_id)):
        index = min(range(len(weights)), key=lambda i: len(shares[i]) / weights[i])
        shares[index].append(engine)
    return shares


def _chains_of_shape(pipelines, missing, free, spares, search, load_new):
    wanted = sum(missing[pipeline.name] for pipeline in pipelines)
    splits = []
    if not load_new:
        splits = _loaded_splits(pipelines[0], free, wanted)
        return chains_of_splits(splits, pipelines, missing)
    # A serving chain takes precedence over an idle spare.
    for kept in range(min(spares, len(free)), -1, -1):
        offered = without_spares(free, kept)
        splits = max(
            splits, _choose_splits(pipelines[0], offered, wanted, search), key=len
        )
        if len(splits) == wanted:
            break
    splits.sort(key=_rate, reverse=True)
    return chains_of_splits(splits, pipelines, missing)


def without_spares(free, spares):
    """Return the engines that remain after setting spares aside.

    Spares are taken from the failure domains in turn. A spare must be able to hold the
    largest stage, so engines with the most layer capacity are set aside first, and
    among these the slowest with the fastest links.
    """

    def priority(engine):
        return (
            -engine.layer_capacity,
            engine.layer_rate,
            -engine.link_rate,
            engine.agent_id,
        )

    by_domain = defaultdict(list)
    for engine in sorted(free, key=priority):
        by_domain[engine.domain].append(engine)
    ranked = [
        (rank, priority(engine), engine)
        for members in by_domain.values()
        for rank, engine in enumerate(members)
    ]
    ranked.sort(key=lambda item: item[:2])
    kept = {engine.agent_id for _, _, engine in ranked[:spares]}
    return [engine for engine in free if engine.agent_id not in kept]


def _choose_splits(pipeline, engines, wanted, search):
    """Return the stages of each new chain as pairs of engine and number of layers."""
    partitioned = _partitioned_splits(pipeline, engines, wanted, search)
    reused = _loaded_splits(pipeline, engines, wanted)
    if not reused:
        return partitioned
    used = {engine.agent_id for split in reused for engine, _ in split}
    rest = [engine for engine in engines if engine.agent_id not in used]
    reused += _partitioned_splits(pipeline, rest, wanted - len(reused), search)
    min_rate = MIN_REUSE_RATE_SHARE * sum(_rate(split) for split in partitioned)
    reuse_suffices = sum(_rate(split) for split in reused) >= min_rate
    return reused if reuse_suffices and len(reused) >= len(partitioned) else partitioned


def _loaded_splits(pipeline, engines, wanted):
    groups = loaded_groups(
        engines, layers=pipeline.layers, chains=wanted, stages=pipeline.stages
    )
    return [
        [(engine, engine.last_layer - engine.first_layer + 1) for engine in group]
        for group in groups
    ]


def _partitioned_splits(pipeline, engines, wanted, search):
    groups = partition_engines(
        engines,
        layers=pipeline.layers,
        chains=wanted,
        stages=pipeline.stages,
        search=search,
    )
    return split_groups(groups, pipeline)


def split_groups(
    groups: Iterable[Sequence[EngineSpec]], pipeline: Pipeline
) -> list[list[tuple[EngineSpec, int]]]:
    """Return the number of layers of each engine of each group, in stage order.

    Args:
        groups: Groups that each hold the whole model.
        pipeline: Pipeline whose layers are split.

    Returns:
        For each group, pairs of engine and number of layers.
    """
    splits = []
    for group in groups:
        split = split_layers(group, pipeline.layers, stages=pipeline.stages)
        splits.append(sorted(split, key=lambda pair: _stage_order(pair[0])))
    return splits


def _stage_order(engine):
    # Orders engines by the layers that they hold, so that fewer layers have to load.
    empty = engine.last_layer < engine.first_layer
    return (empty, engine.first_layer, engine.domain, engine.agent_id)


def _rate(split):
    single_stage = len(split) == 1
    return min(
        stage_rate(engine, count, single_stage=single_stage) for engine, count in split
    )


def chains_of_splits(
    splits: Iterable[list[tuple[EngineSpec, int]]],
    pipelines: Sequence[Pipeline],
    missing: Mapping[str, int],
) -> list[ChainPlan]:
    """Distribute new chains over the pipelines with missing replicas.

    Args:
        splits: Stages of each chain as pairs of engine and number of layers.
        pipelines: Pipelines with the same numbers of layers and stages.
        missing: Number of chains wanted, by pipeline name; in total at least the number
            of splits.

    Returns:
        Chains with an empty ``chain_id`` and epoch 1.
    """
    chains = []
    assigned = dict.fromkeys((pipeline.name for pipeline in pipelines), 0)
    for split in splits:
        open_names = [name for name in assigned if assigned[name] < missing[name]]
        name = min(open_names, key=lambda name: assigned[name] / missing[name])
        assigned[name] += 1
        stages = stages_of(split, 0)
        rate = chain_rate(stages, {engine.agent_id: engine for engine, _ in split})
        chains.append(ChainPlan("", name, 1, tuple(stages), rate))
    return chains
