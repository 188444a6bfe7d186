"""Converts between the replicated state and the placement algorithms."""

__all__ = [
    "chain_plan",
    "engine_spec",
    "is_empty",
    "place_command",
    "plan_placement",
    "without_engines",
]

from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace
from typing import Any

from wigeonscale.placement import (
    ChainPlan,
    EngineSpec,
    Plan,
    StagePlan,
    improve_chains,
    plan_chains,
)
from wigeonscale.placement.repair import repair_chains
from wigeonscale.rules import Pipeline
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

# Rates outside of these bounds, in layers or steps per second, are not plausible and
# could overflow in the planner.
MIN_RATE = 1e-6
MAX_RATE = 1e12


def plan_placement(
    *,
    pipelines: Sequence[Pipeline],
    engines: Sequence[EngineSpec],
    chains: Sequence[ChainPlan],
    serving: Collection[str],
    loaded: Collection[str],
    base_index: int,
    **options: Any,
) -> Plan:
    """Plan chains, after replacing draining stages with free engines.

    A draining head stage stays until its agent is gone, since it holds its callers'
    answers. Any other draining stage is replaced while it still works; the state keeps
    the old chain serving until the new engine has loaded. A serving chain that is no
    longer wanted is retired, and the plan does not use its engines until it is removed.
    If none of this applies, one chain per pipeline may be rebuilt with engines that
    joined since (:func:`improve_chains`).

    Args:
        pipelines: Configured pipelines.
        engines: Announced engines.
        chains: Chains as they were last planned.
        serving: Ids of the chains that serve now, possibly as planned earlier.
        loaded: Ids of the chains that serve as last planned.
        base_index: Log index of the input; makes new chain ids unique.
        options: Options for :func:`plan_chains`.

    Returns:
        The plan. Its ``changed`` may miss chains whose draining stage was replaced;
        compare ``chains`` with the input.
    """
    plan = _plan(pipelines, engines, chains, serving, base_index, options)
    is_unchanged = plan.chains == tuple(chains) and not plan.retired
    if not is_unchanged or not options.get("rebuild_serving", True):
        return plan
    improve_options = {
        key: options[key] for key in ("spares", "domain_share") if key in options
    }
    improved = improve_chains(
        chains, pipelines=pipelines, engines=engines, serving=loaded, **improve_options
    )
    changed = tuple(c for c, b in zip(improved, chains, strict=True) if c != b)
    return replace(plan, chains=tuple(improved), changed=changed)


def _plan(pipelines, engines, chains, serving, base_index, options):
    by_name = {pipeline.name: pipeline for pipeline in pipelines}
    remaining = _replace_draining(list(chains), by_name, list(engines))
    retired: list[str] = []
    while True:
        plan = plan_chains(
            pipelines=pipelines,
            engines=engines,
            chains=remaining,
            base_index=base_index,
            **options,
        )
        surplus = [chain_id for chain_id in plan.removed if chain_id in serving]
        if not surplus:
            return replace(plan, retired=tuple(retired))
        # Plan again without the engines that are not free yet.
        retired += surplus
        kept = [chain for chain in remaining if chain.chain_id not in surplus]
        engines = without_engines(engines, [c for c in remaining if c not in kept])
        remaining = kept


def without_engines(
    engines: Sequence[EngineSpec], chains: Iterable[ChainPlan]
) -> list[EngineSpec]:
    """Return the engines that are in none of the chains.

    Args:
        engines: Engines to filter.
        chains: Chains whose engines are left out.

    Returns:
        The remaining engines, in the same order.
    """
    used = {stage.agent_id for chain in chains for stage in chain.stages}
    return [engine for engine in engines if engine.agent_id not in used]


def _replace_draining(chains, pipelines, engines):
    draining = {engine.agent_id for engine in engines if engine.draining}
    for number, chain in enumerate(chains):
        leaving = {s.agent_id for s in chain.stages[1:]} & draining
        if not leaving or chain.pipeline not in pipelines:
            continue
        used = {s.agent_id for each in chains for s in each.stages}
        own = {s.agent_id for s in chain.stages} - leaving
        usable = {
            engine.agent_id: engine
            for engine in engines
            if engine.agent_id in own or engine.agent_id not in used | draining
        }
        repaired = repair_chains([chain], pipelines=pipelines, engines=usable)
        chains[number] = repaired[0] if repaired else chain
    return chains


def engine_spec(state: ControlState, agent_id: str) -> EngineSpec | None:
    """Return the spec of an announced engine for placement, or None.

    Args:
        state: Replicated state.
        agent_id: Name of the backend server.

    Returns:
        The spec, marked as draining if the agent or an operator drains the engine. None
        if the name is unknown or not an engine, and for an engine whose rates are not
        plausible, which counts as lost: one that does not answer its agent has rate 0.
    """
    member = state.members.get(agent_id)
    if member is None:
        return None
    backend = member.backend
    rates = backend.layer_rate, backend.link_rate
    can_work = all(MIN_RATE <= rate <= MAX_RATE for rate in rates)
    if backend.kind != wire.ENGINE or not can_work:
        return None
    drained = state.members.is_drained(agent_id)
    return _engine_spec(backend, backend.draining or drained)


def chain_plan(chain: wire.Chain) -> ChainPlan:
    """Convert a chain of the state to a plan.

    Args:
        chain: Chain of the state.

    Returns:
        The plan of the chain.
    """
    stages = tuple(
        StagePlan(
            agent_id=stage.agent_id,
            incarnation=stage.incarnation,
            address=stage.address,
            domain=stage.domain,
            first_layer=stage.first_layer,
            last_layer=stage.last_layer,
        )
        for stage in chain.stages
    )
    return ChainPlan(chain.chain_id, chain.pipeline, chain.epoch, stages, chain.rate)


def place_command(
    plan: Plan,
    active: Sequence[wire.Chain],
    pipelines: Sequence[Pipeline],
    base_index: int,
) -> wire.Command:
    """Return the command that carries out a plan.

    Args:
        plan: Result of planning.
        active: Chains that the plan is based on.
        pipelines: Pipelines that the plan is for.
        base_index: Placement index that the plan is based on.

    Returns:
        A command without an operation id; its lists are empty if nothing changes.
    """
    by_name = {pipeline.name: pipeline for pipeline in pipelines}
    before = {chain.chain_id: chain for chain in active}
    place = wire.PlaceChains(
        removed=plan.removed, retired=plan.retired, base_index=base_index
    )
    for chain in plan.chains:
        previous = before.get(chain.chain_id)
        if previous is None or chain_plan(previous) != chain:
            place.chains.append(_wire_chain(chain, by_name[chain.pipeline]))
    if is_empty(place):
        place.chains.extend(_upgrades(active, by_name))
    return wire.Command(place=place)


def is_empty(place: wire.PlaceChains) -> bool:
    """Return whether a command changes no chain.

    Args:
        place: Command to inspect.
    """
    return not (place.chains or place.removed or place.retired)


def _upgrades(active, pipelines):
    """Yield at most one chain per pipeline that has to load another version.

    The next one follows when all chains of the pipeline are ready again.
    """
    for name, pipeline in sorted(pipelines.items()):
        chains = [chain for chain in active if chain.pipeline == name]
        outdated = [chain for chain in chains if not _is_current(chain, pipeline)]
        # Chains that do not serve anyway go first.
        outdated.sort(key=lambda chain: (chain.ready, chain.chain_id))
        waiting = any(not chain.ready for chain in chains)
        if outdated and (not waiting or not outdated[0].ready):
            upgrade = wire.Chain()
            upgrade.CopyFrom(outdated[0])
            upgrade.epoch += 1
            upgrade.version = pipeline.version
            upgrade.adapter = pipeline.adapter
            yield upgrade


def _is_current(chain, pipeline):
    wanted = (pipeline.version, pipeline.adapter)
    return (chain.version, chain.adapter) == wanted


def _engine_spec(backend, draining):
    return EngineSpec(
        agent_id=backend.agent_id,
        incarnation=backend.incarnation,
        address=backend.address,
        domain=backend.domain,
        region=backend.region,
        model=backend.model,
        accelerator=backend.accelerator,
        layer_rate=backend.layer_rate,
        layer_capacity=backend.layer_capacity,
        link_rate=backend.link_rate,
        first_layer=backend.first_layer,
        last_layer=backend.last_layer,
        draining=draining,
    )


def _wire_chain(chain, pipeline):
    stages = [
        wire.Stage(
            agent_id=stage.agent_id,
            incarnation=stage.incarnation,
            address=stage.address,
            domain=stage.domain,
            first_layer=stage.first_layer,
            last_layer=stage.last_layer,
        )
        for stage in chain.stages
    ]
    return wire.Chain(
        chain_id=chain.chain_id,
        pipeline=chain.pipeline,
        epoch=chain.epoch,
        stages=stages,
        model=pipeline.model,
        version=pipeline.version,
        adapter=pipeline.adapter,
        rate=chain.rate,
    )
