"""Order in which engines load weights from the rate-limited store."""

__all__ = ["order_loads"]

import heapq
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar


class LoadStage(Protocol):
    """Fields read of a stage; implemented by ``StagePlan`` and the wire's ``Stage``."""

    agent_id: str
    first_layer: int
    last_layer: int


class LoadChain(Protocol):
    """Fields read of a chain; implemented by ``ChainPlan`` and the wire's ``Chain``."""

    chain_id: str
    pipeline: str
    rate: float
    stages: Sequence[LoadStage]


AnyChain = TypeVar("AnyChain", bound=LoadChain)
AnyStage = TypeVar("AnyStage", bound=LoadStage)


@dataclass(frozen=True, slots=True)
class _Pending:
    chain: LoadChain
    stages: list[LoadStage]
    layers: int


def order_loads(
    chains: Sequence[AnyChain],
    *,
    is_loaded: Callable[[AnyChain, AnyStage], bool],
    demand: Mapping[str, float] | None = None,
    loading: Collection[str] = (),
) -> list[tuple[AnyChain, AnyStage]]:
    """Return the stages that still have to load, in loading order.

    The caller starts the first few, as many as the store allows, and calls again when
    one has loaded. A chain serves only when all its stages are loaded, so chains are
    completed one after the other. Chains of pipelines without a serving chain go first.
    Within each group, chains are ordered by the unmet demand that they would serve per
    layer still to load, highest first.

    Args:
        chains: All planned chains, including ready ones.
        is_loaded: Returns whether the engine of a stage already holds its layers.
        demand: Demand in steps per second, by pipeline; by default the total rate of
            the pipeline's chains.
        loading: Agents that are loading now; their stages come first, since a load in
            progress is not cancelled.

    Returns:
        Pairs of chain and stage. Deterministic, so that all replicas agree.

    Notes:
        Ordering by served demand per layer is Smith's rule for one shared resource
        (W. E. Smith, 1956). It minimises the unmet demand summed over time, as long as
        whole chains are loaded. Cost O(stages + chains * log(chains)).
    """
    pending, served, planned = _loading_state(chains, is_loaded)
    wanted = planned if demand is None else demand
    result = []
    for each in _chains_by_benefit(pending, served, wanted):
        result += [(each.chain, stage) for stage in each.stages]
    result.sort(key=lambda pair: pair[1].agent_id not in loading)
    return result


def _loading_state(chains, is_loaded):
    """Return pending chains, serving rates and planned rates, each by pipeline."""
    pending = defaultdict(list)
    served = defaultdict(float)
    planned = defaultdict(float)
    for chain in chains:
        missing = [stage for stage in chain.stages if not is_loaded(chain, stage)]
        planned[chain.pipeline] += chain.rate
        if missing:
            layers = sum(stage.last_layer - stage.first_layer + 1 for stage in missing)
            pending[chain.pipeline].append(_Pending(chain, missing, layers))
        else:
            served[chain.pipeline] += chain.rate
    return pending, served, planned


def _chains_by_benefit(pending, served, wanted):
    """Yield pending chains; each one counts as serving when choosing the next."""
    queues = {}
    heap = []

    def push(pipeline):
        queue = queues[pipeline]
        if queue:
            unmet = wanted.get(pipeline, 0.0) - served[pipeline]
            benefit = min(queue[-1].chain.rate, max(unmet, 0.0)) / queue[-1].layers
            idle = served[pipeline] <= 0
            heapq.heappush(
                heap, (not idle, -benefit, queue[-1].chain.chain_id, pipeline)
            )

    for pipeline, chains in pending.items():
        chains.sort(key=lambda each: each.chain.chain_id, reverse=True)
        chains.sort(key=lambda each: each.chain.rate / each.layers)
        queues[pipeline] = chains
        push(pipeline)
    while heap:
        *_, pipeline = heapq.heappop(heap)
        each = queues[pipeline].pop()
        served[pipeline] += each.chain.rate
        yield each
        push(pipeline)
