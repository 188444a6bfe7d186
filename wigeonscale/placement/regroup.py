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


@dataclass(frozen=True, slots=True)
class _Task:
    """What stays the same for every selection of chains of one region."""

    pipelines: Sequence[Pipeline]
    missing: Mapping[str, int]
    engines: Mapping[str, EngineSpec]
    free: Sequence[EngineSpec]
    chains: Sequence[ChainPlan]  # those that may be rebuilt
    waiting: frozenset[str]  # pipelines with a chain that does not serve yet
    search: Search

    @property
    def shape(self):
        return self.pipelines[0]

    def pool(self, chosen):
        own = [self.engines[s.agent_id] for chain in chosen for s in chain.stages]
        return own + list(self.free)

    def serves(self, chain):
        return all(_holds(self.engines[s.agent_id], s) for s in chain.stages)


def regroup_chains(
    chains: Sequence[ChainPlan],
    *,
    missing: Mapping[str, int],
    pipelines: Sequence[Pipeline],
    engines: Mapping[str, EngineSpec],
    search: Search,
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

    Returns:
        The step; None when no more chains can be made, or when the chains to rebuild
        must go on serving for now.

    Notes:
        Each step either makes a chain more or has a chain use fewer stages, so that
        repeated planning comes to an end. At most ``SINGLE_TRIES`` partitions of one
        chain and the free engines, and ``SEVERAL_TRIES`` of at most ``POOL_LIMIT``
        engines, for each region; none when memory is short.
    """
    for task in _tasks(chains, missing, pipelines, engines, search):
        for chosen in _selections(task):
            step = _regroup(task, chosen)
            if step is not None:
                return step
    return None


def _tasks(chains, missing, pipelines, engines, search) -> Iterator[_Task]:
    names = {pipeline.name for pipeline in pipelines}
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    free = defaultdict(list)
    for agent_id, engine in engines.items():
        usable = engine.is_usable and engine.model == pipelines[0].model
        if usable and agent_id not in used:
            free[engine.region].append(engine)
    own = [chain for chain in chains if chain.pipeline in names]
    standing = defaultdict(list)
    for chain in own:
        stages = [engines[stage.agent_id] for stage in chain.stages]
        # A changed announcement may have left the chain across regions.
        alike = len({engine.region for engine in stages}) == 1
        if alike and all(engine.is_usable for engine in stages):
            standing[stages[0].region].append(chain)
    waiting = frozenset(
        chain.pipeline
        for chain in own
        if not is_leaving(chain, engines)
        and not all(_holds(engines[s.agent_id], s) for s in chain.stages)
    )
    for region, members in sorted(standing.items()):
        yield _Task(pipelines, missing, engines, free[region], members, waiting, search)


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
    now = [_may_rebuild(task, chain, chosen) for chain in chosen]
    if all(now):
        return Regrouping(tuple(rebuilt), _add(task, seats[1]))
    free = {engine.agent_id for engine in task.free}
    step = tuple(
        after
        for before, after, may in zip(chosen, rebuilt, now, strict=True)
        if may and _frees_memory(before, after, free)
    )
    return Regrouping(step) if step else None


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
    missing = {p.name: task.missing[p.name] for p in task.pipelines}
    return tuple(chains_of_splits(splits[:1], task.pipelines, missing))
