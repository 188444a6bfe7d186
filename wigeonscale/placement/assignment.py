"""Assignment of engine groups to rebuilt chains, keeping their heads and engines."""

__all__ = ["assign_groups", "split_with_head"]

import math
from collections.abc import Sequence

from wigeonscale.placement.bound import engine_kind
from wigeonscale.placement.model import ChainPlan, EngineSpec
from wigeonscale.placement.rates import split_layers, stage_rate

Group = list[EngineSpec]
Split = list[tuple[EngineSpec, int]]


def assign_groups(
    groups: Sequence[Group], chains: Sequence[ChainPlan]
) -> tuple[list[Group], list[Group]] | None:
    """Assign to each chain a group that contains the chain's head.

    Engines of the same kind and domain are swapped between groups, so that chains keep
    their heads and as many of their own engines as possible.

    Args:
        groups: Disjoint groups of engines, more than there are chains.
        chains: Chains to rebuild.

    Returns:
        The chains' groups, in the order of the chains, and the remaining groups; None
        when no group can take one of the heads.
    """
    left = [list(group) for group in groups]
    heads = {chain.stages[0].agent_id for chain in chains}
    assigned = []
    for chain in chains:
        group = _group_with_head(left, chain.stages[0].agent_id, heads)
        if group is None:
            return None
        left.remove(group)
        assigned.append(group)
    for chain, group in zip(chains, assigned, strict=True):
        _keep_own_engines(
            chain, group, [g for g in assigned + left if g is not group], heads
        )
    return assigned, left


def _group_with_head(groups, head, heads):
    """Return the group that contains the head, after a swap if necessary."""
    current_group = next(
        (g for g in groups if any(e.agent_id == head for e in g)), None
    )
    if current_group is None:
        return None
    if not any(e.agent_id in heads - {head} for e in current_group):
        return current_group
    # The group contains another head: swap this one with an interchangeable engine of
    # a group without a head.
    engine = next(e for e in current_group if e.agent_id == head)
    for group in groups:
        matches = [e for e in group if _interchangeable(e, engine)]
        if matches and not any(e.agent_id in heads for e in group):
            _swap(current_group, engine, group, matches[0])
            return group
    return None


def _keep_own_engines(chain, group, others, heads):
    own = {stage.agent_id for stage in chain.stages}
    for engine in [e for e in group if e.agent_id not in own]:
        for other in others:
            matches = [
                e
                for e in other
                if e.agent_id in own - heads and _interchangeable(e, engine)
            ]
            if matches and engine.agent_id not in heads:
                _swap(group, engine, other, matches[0])
                break


def _interchangeable(engine, other):
    return engine_kind(engine) == engine_kind(other) and engine.domain == other.domain


def _swap(group, engine, other_group, other):
    group[group.index(engine)] = other
    other_group[other_group.index(other)] = engine


def split_with_head(
    head: EngineSpec,
    group: Sequence[EngineSpec],
    layers: int,
    *,
    stages: int = 0,
    rate_cap: float = math.inf,
) -> Split:
    """Split a model over a group so that a given engine holds the first layers.

    Args:
        head: Engine that gets the first layers; a member of the group.
        group: Engines that may be used.
        layers: Number of layers of the model.
        stages: Exact number of stages; 0 for any number.
        rate_cap: Steps per second above which a higher rate has no use.

    Returns:
        Pairs of engine and number of layers, the head first; empty when there is no
        such split.
    """
    rest = [engine for engine in group if engine.agent_id != head.agent_id]
    options = [split_layers(group, layers, stages=stages, rate_cap=rate_cap)]
    if stages != 1 and layers > 1:
        after = split_layers(
            rest, layers - 1, stages=max(stages - 1, 0), rate_cap=rate_cap
        )
        options.append([(head, 1), *after] if after else [])
    if stages in (0, 1) and head.layer_capacity >= layers:
        options.append([(head, layers)])
    with_head = [o for o in options if any(e.agent_id == head.agent_id for e, _ in o)]
    best = max(with_head, key=_rate, default=[])
    return sorted(best, key=lambda pair: pair[0].agent_id != head.agent_id)


def _rate(split):
    single_stage = len(split) == 1
    return min(
        stage_rate(engine, count, single_stage=single_stage) for engine, count in split
    )
