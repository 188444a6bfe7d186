"""Rebuilds chains so that their engines suffice for missing replicas."""

__all__ = ["Regrouping", "regroup_chains"]

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from wigeonscale.placement.assignment import assign_groups, split_with_head
from wigeonscale.placement.create import chains_of_splits, split_groups
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.partition import Search, partition_engines
from wigeonscale.placement.rates import chain_rate
from wigeonscale.placement.repair import is_leaving, stages_of
from wigeonscale.rules.model import Pipeline

# Number of partitions tried for one new chain: rebuilding one chain, and several.
MAX_SINGLE_CHAIN_TRIES = 16
MAX_MULTI_CHAIN_TRIES = 4
# Maximum number of engines in one partition; bounds the cost of a plan.
MAX_POOL_ENGINES = 256
# A serving chain is not rebuilt if the total rate of the chains involved, including the
# new one, would fall below this share of their rate before.
MIN_KEPT_RATE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Regrouping:
    """One step towards more chains.

    Attributes:
        rebuilt: Existing chains with new stages, in the next epoch.
        added: New chains without ids; empty when their engines become free only once
            the rebuilt chains serve again.
    """

    rebuilt: tuple[ChainPlan, ...]
    added: tuple[ChainPlan, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Context:
    """Arguments that are common to all selections of chains in one region."""

    pipelines: Sequence[Pipeline]
    missing: Mapping[str, int]
    engines: Mapping[str, EngineSpec]
    search: Search
    rebuild_serving: bool
    free: Sequence[EngineSpec] = ()
    chains: Sequence[ChainPlan] = ()  # chains that may be rebuilt
    loading: frozenset[str] = frozenset()  # pipelines with a chain still loading

    @property
    def shape(self) -> Pipeline:
        return self.pipelines[0]

    @property
    def names(self) -> set[str]:
        return {pipeline.name for pipeline in self.pipelines}

    def own_engines(self, chain: ChainPlan) -> list[EngineSpec]:
        return [self.engines[stage.agent_id] for stage in chain.stages]

    def pool(self, chosen: Sequence[ChainPlan]) -> list[EngineSpec]:
        own = [engine for chain in chosen for engine in self.own_engines(chain)]
        return own + list(self.free)

    def serves(self, chain: ChainPlan) -> bool:
        return all(_holds(self.engines[s.agent_id], s) for s in chain.stages)


def regroup_chains(
    chains: Sequence[ChainPlan],
    *,
    missing: Mapping[str, int],
    pipelines: Sequence[Pipeline],
    engines: Mapping[str, EngineSpec],
    search: Search,
    rebuild_serving: bool = True,
) -> Regrouping | None:
    """Return the next step towards one more chain, or None.

    A rebuilt chain keeps its id and its head, so that the head can continue its
    sequences in the next epoch. As few chains as possible are rebuilt, starting with
    those that do not serve yet. The serving chains of a pipeline are rebuilt one at a
    time, each only while all others serve.

    Args:
        chains: All chains, after repair and after the creation of new chains from free
            engines.
        missing: Number of chains still wanted, by pipeline name.
        pipelines: All pipelines with the same model, number of layers and number of
            stages.
        engines: All announced engines by agent id.
        search: Parameters of the search for partitions.
        rebuild_serving: Whether serving chains may be rebuilt at all.

    Returns:
        The step; None when no more chains can be created, or when the chains to
        rebuild must keep serving for now.

    Notes:
        Each step either adds a chain or reduces the stages of a chain, so that
        repeated planning terminates. Each region costs at most
        ``MAX_SINGLE_CHAIN_TRIES`` partitions of one chain and the free engines, and
        ``MAX_MULTI_CHAIN_TRIES`` of at most ``MAX_POOL_ENGINES`` engines; none when
        there is too little memory.
    """
    ctx = _Context(
        pipelines=pipelines,
        missing=missing,
        engines=engines,
        search=search,
        rebuild_serving=rebuild_serving,
    )
    for part in _by_region(ctx, chains):
        for chosen in _selections(part):
            step = _regroup(part, chosen)
            if step is not None:
                return step
    return None


def _by_region(ctx, chains) -> Iterator[_Context]:
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = defaultdict(list)
    for agent_id, engine in ctx.engines.items():
        usable = engine.is_usable and engine.model == ctx.shape.model
        if usable and agent_id not in used:
            free[engine.region].append(engine)
    own = [chain for chain in chains if chain.pipeline in ctx.names]
    by_region = defaultdict(list)
    for chain in own:
        stages = ctx.own_engines(chain)
        # Engines may have announced another region since the chain was planned.
        one_region = len({engine.region for engine in stages}) == 1
        if one_region and all(engine.is_usable for engine in stages):
            by_region[stages[0].region].append(chain)
    loading = {
        chain.pipeline
        for chain in own
        if not is_leaving(chain, ctx.engines) and not ctx.serves(chain)
    }
    for region, members in sorted(by_region.items()):
        yield replace(
            ctx, free=free[region], chains=members, loading=frozenset(loading)
        )


def _holds(engine, stage):
    held = (engine.first_layer, engine.last_layer)
    return held == (stage.first_layer, stage.last_layer)


def _selections(ctx) -> Iterator[list[ChainPlan]]:
    """Yield sets of chains to rebuild together, the smallest and cheapest first."""
    layers = ctx.shape.layers
    free_layers = _memory(ctx.free, layers)
    surplus_layers = {
        chain.chain_id: _memory(ctx.pool([chain]), layers) - free_layers - layers
        for chain in ctx.chains
    }

    def cost(chain):
        surplus = surplus_layers[chain.chain_id]
        return (surplus <= 0, ctx.serves(chain), -surplus, chain.chain_id)

    ranked = sorted(ctx.chains, key=cost)
    singles = [c for c in ranked if free_layers + surplus_layers[c.chain_id] >= layers]
    yield from ([chain] for chain in singles[:MAX_SINGLE_CHAIN_TRIES])
    tries = 0
    for count in range(2, len(ranked) + 1):
        chosen = ranked[:count]
        total = free_layers + sum(surplus_layers[chain.chain_id] for chain in chosen)
        if tries == MAX_MULTI_CHAIN_TRIES or len(ctx.pool(chosen)) > MAX_POOL_ENGINES:
            return
        if total >= layers:
            tries += 1
            yield chosen


def _memory(engines, layers):
    return sum(min(engine.layer_capacity, layers) for engine in engines)


def _regroup(ctx, chosen):
    groups = partition_engines(
        ctx.pool(chosen),
        layers=ctx.shape.layers,
        chains=len(chosen) + 1,
        stages=ctx.shape.stages,
        search=ctx.search,
    )
    if len(groups) <= len(chosen):
        return None
    assignment = assign_groups(groups, chosen)
    if assignment is None:
        return None
    rebuilt = [
        _rebuild(ctx, chain, group)
        for chain, group in zip(chosen, assignment[0], strict=True)
    ]
    if None in rebuilt:
        return None
    added = _add(ctx, assignment[1])
    if not _keeps_enough_rate(ctx, chosen, [*rebuilt, *added]):
        return None
    allowed = [_may_rebuild(ctx, chain, chosen) for chain in chosen]
    if all(allowed):
        return Regrouping(tuple(rebuilt), added)
    free = {engine.agent_id for engine in ctx.free}
    step = tuple(
        after
        for before, after, may in zip(chosen, rebuilt, allowed, strict=True)
        if may and _frees_memory(before, after, free)
    )
    return Regrouping(step) if step else None


def _keeps_enough_rate(ctx, before, after):
    if not any(ctx.serves(chain) for chain in before):
        return True
    min_rate = MIN_KEPT_RATE_SHARE * sum(chain.rate for chain in before)
    return sum(chain.rate for chain in after) >= min_rate


def _rebuild(ctx, chain, group):
    shape = ctx.shape
    head = ctx.engines[chain.stages[0].agent_id]
    split = split_with_head(head, group, shape.layers, stages=shape.stages)
    if not split:
        return None
    position = {stage.agent_id: n for n, stage in enumerate(chain.stages)}
    last = len(position)
    # The other engines keep their order, so that fewer layers have to load.
    tail = sorted(split[1:], key=lambda pair: position.get(pair[0].agent_id, last))
    stages = tuple(stages_of([split[0], *tail], 0))
    rate = chain_rate(stages, ctx.engines)
    return replace(chain, epoch=chain.epoch + 1, stages=stages, rate=rate)


def _may_rebuild(ctx, chain, chosen):
    """Return whether a chain may stop serving now."""
    if not ctx.serves(chain):
        return True
    if not ctx.rebuild_serving:
        return False
    serving = [
        other
        for other in chosen
        if other.pipeline == chain.pipeline and ctx.serves(other)
    ]
    return chain is serving[0] and chain.pipeline not in ctx.loading


def _frees_memory(before, after, free):
    """Return whether the rebuilt chain uses fewer engines, all its own or free."""
    own = {stage.agent_id for stage in before.stages}
    used = {stage.agent_id for stage in after.stages}
    return len(used) < len(own) and used <= own | free


def _add(ctx, groups):
    splits = split_groups(groups, ctx.shape)
    return tuple(chains_of_splits(splits[:1], ctx.pipelines, ctx.missing))
