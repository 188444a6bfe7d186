"""Rebuilds standing chains so that replicas that are missing can be made."""

__all__ = ["Regrouping", "regroup_chains"]

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from wigeonscale.placement.fresh import chains_of_splits, split_groups
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.partition import Search, partition_engines
from wigeonscale.placement.rates import chain_rate
from wigeonscale.placement.repair import is_leaving, stages_of
from wigeonscale.placement.seats import seat_chains, split_behind
from wigeonscale.rules.model import Pipeline

# Partitions tried for one new chain: with one chain rebuilt, and with several.
SINGLE_TRIES = 16
SEVERAL_TRIES = 4
# Most engines of one partition; bounds the cost of a plan.
POOL_LIMIT = 256
# A chain that serves is not rebuilt for replicas that together pass less than this
# share of what the chains passed before.
KEPT_RATE = 0.9


@dataclass(frozen=True, slots=True)
class Regrouping:
    """One step towards more chains.

    Attributes:
        rebuilt: Chains that stand, with other stages and the next epoch.
        added: New chains without ids; empty when the engines come free later, once
            the rebuilt chains serve again.
    """

    rebuilt: tuple[ChainPlan, ...]
    added: tuple[ChainPlan, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class _Task:
    """What stays the same for every selection of chains of one region."""

    pipelines: Sequence[Pipeline]
    missing: Mapping[str, int]
    engines: Mapping[str, EngineSpec]
    search: Search
    rebuild_serving: bool
    free: Sequence[EngineSpec] = ()
    chains: Sequence[ChainPlan] = ()  # those that may be rebuilt
    waiting: frozenset[str] = frozenset()  # pipelines with a chain that loads

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
    """Return the next step that leads to one chain more, or None.

    A chain that is rebuilt keeps its id and its head, so that the head can go on with
    its sequences in the next epoch. As few chains as can be are rebuilt, those that do
    not serve yet before others. Of the chains of a pipeline that serve, one is rebuilt
    at a time, and only while all others serve.

    Args:
        chains: Every chain that stands, after repair and after new chains were made
            out of free engines.
        missing: Chains still wanted by pipeline name.
        pipelines: Every pipeline of one model, number of layers and number of stages.
        engines: Every announced engine by agent id.
        search: How to search for partitions.
        rebuild_serving: Whether chains that serve may be rebuilt at all.

    Returns:
        The step; None when no more chains can be made, or when the chains to rebuild
        must go on serving for now.

    Notes:
        Each step either makes a chain more or has a chain use fewer stages, so that
        repeated planning comes to an end. At most ``SINGLE_TRIES`` partitions of one
        chain and the free engines, and ``SEVERAL_TRIES`` of at most ``POOL_LIMIT``
        engines, for each region; none when memory is short.
    """
    task = _Task(
        pipelines=pipelines,
        missing=missing,
        engines=engines,
        search=search,
        rebuild_serving=rebuild_serving,
    )
    for part in _by_region(task, chains):
        for chosen in _selections(part):
            step = _regroup(part, chosen)
            if step is not None:
                return step
    return None


def _by_region(task, chains) -> Iterator[_Task]:
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = defaultdict(list)
    for agent_id, engine in task.engines.items():
        usable = engine.is_usable and engine.model == task.shape.model
        if usable and agent_id not in used:
            free[engine.region].append(engine)
    own = [chain for chain in chains if chain.pipeline in task.names]
    standing = defaultdict(list)
    for chain in own:
        stages = task.own_engines(chain)
        # A changed announcement may have left the chain across regions.
        alike = len({engine.region for engine in stages}) == 1
        if alike and all(engine.is_usable for engine in stages):
            standing[stages[0].region].append(chain)
    waiting = {
        chain.pipeline
        for chain in own
        if not is_leaving(chain, task.engines) and not task.serves(chain)
    }
    for region, members in sorted(standing.items()):
        yield replace(
            task, free=free[region], chains=members, waiting=frozenset(waiting)
        )


def _holds(engine, stage):
    held = (engine.first_layer, engine.last_layer)
    return held == (stage.first_layer, stage.last_layer)


def _selections(task) -> Iterator[list[ChainPlan]]:
    """Yield chains to rebuild together, the fewest and least costly first."""
    layers = task.shape.layers
    room = _memory(task.free, layers)
    slack = {
        chain.chain_id: _memory(task.pool([chain]), layers) - room - layers
        for chain in task.chains
    }

    def cost(chain):
        spare = slack[chain.chain_id]
        return (spare <= 0, task.serves(chain), -spare, chain.chain_id)

    ranked = sorted(task.chains, key=cost)
    singles = [c for c in ranked if room + slack[c.chain_id] >= layers]
    yield from ([chain] for chain in singles[:SINGLE_TRIES])
    tries = 0
    for count in range(2, len(ranked) + 1):
        chosen = ranked[:count]
        total = room + sum(slack[chain.chain_id] for chain in chosen)
        if tries == SEVERAL_TRIES or len(task.pool(chosen)) > POOL_LIMIT:
            return
        if total >= layers:
            tries += 1
            yield chosen


def _memory(engines, layers):
    return sum(min(engine.layer_capacity, layers) for engine in engines)


def _regroup(task, chosen):
    groups = partition_engines(
        task.pool(chosen),
        layers=task.shape.layers,
        chains=len(chosen) + 1,
        stages=task.shape.stages,
        search=task.search,
    )
    if len(groups) <= len(chosen):
        return None
    seats = seat_chains(groups, chosen)
    if seats is None:
        return None
    rebuilt = [
        _rebuild(task, chain, group)
        for chain, group in zip(chosen, seats[0], strict=True)
    ]
    if None in rebuilt:
        return None
    added = _add(task, seats[1])
    if not _is_worth_it(task, chosen, [*rebuilt, *added]):
        return None
    now = [_may_rebuild(task, chain, chosen) for chain in chosen]
    if all(now):
        return Regrouping(tuple(rebuilt), added)
    free = {engine.agent_id for engine in task.free}
    step = tuple(
        after
        for before, after, may in zip(chosen, rebuilt, now, strict=True)
        if may and _frees_memory(before, after, free)
    )
    return Regrouping(step) if step else None


def _is_worth_it(task, before, after):
    if not any(task.serves(chain) for chain in before):
        return True
    enough = KEPT_RATE * sum(chain.rate for chain in before)
    return sum(chain.rate for chain in after) >= enough


def _rebuild(task, chain, group):
    shape = task.shape
    head = task.engines[chain.stages[0].agent_id]
    split = split_behind(head, group, shape.layers, stages=shape.stages)
    if not split:
        return None
    place = {stage.agent_id: n for n, stage in enumerate(chain.stages)}
    last = len(place)
    # The others keep their order, so that less has to load.
    tail = sorted(split[1:], key=lambda pair: place.get(pair[0].agent_id, last))
    stages = tuple(stages_of([split[0], *tail], 0))
    rate = chain_rate(stages, task.engines)
    return replace(chain, epoch=chain.epoch + 1, stages=stages, rate=rate)


def _may_rebuild(task, chain, chosen):
    """Say whether a chain may stop serving now."""
    if not task.serves(chain):
        return True
    if not task.rebuild_serving:
        return False
    serving = [
        other
        for other in chosen
        if other.pipeline == chain.pipeline and task.serves(other)
    ]
    return chain is serving[0] and chain.pipeline not in task.waiting


def _frees_memory(before, after, free):
    """Say whether a chain rebuilt alone is a step forward."""
    own = {stage.agent_id for stage in before.stages}
    used = {stage.agent_id for stage in after.stages}
    return len(used) < len(own) and used <= own | free


def _add(task, groups):
    splits = split_groups(groups, task.shape)
    return tuple(chains_of_splits(splits[:1], task.pipelines, task.missing))
