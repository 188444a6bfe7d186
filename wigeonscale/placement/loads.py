"""Decides in which order engines load weights from the rate-limited store."""

__all__ = ["order_loads"]

import heapq
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar


class LoadStage(Protocol):
    """What is read of a stage; ``StagePlan`` and the wire's ``Stage`` both fit."""

    agent_id: str
    first_layer: int
    last_layer: int


class LoadChain(Protocol):
    """What is read of a chain; ``ChainPlan`` and the wire's ``Chain`` both fit."""

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
    """Return the stages that have yet to load, those that serve soonest first.

    The caller releases the first few, as many as the store bears, and asks again when
    one has loaded. A chain serves only when all its stages are loaded, so chains are
    finished one after the other. Chains of pipelines that nothing serves go first.
    Within each half the chain goes first that meets the most unserved demand for each
    layer still to load.

    Args:
        chains: Every chain that stands, ready ones too.
        is_loaded: Whether a stage of a chain holds its layers already.
        demand: Steps per second wanted, by pipeline; by default what all its chains
            pass together.
        loading: Agents known to be loading now; they stay first, since a load that has
            begun is not taken back.

    Returns:
        Pairs of chain and stage. Equal input gives an equal result on every replica.

    Notes:
        The order by demand met for each layer is Smith's rule for one shared resource
        (W. E. Smith, 1956), which minimises the sum over time of demand not met while
        loads are whole chains. Cost O(stages + chains * log(chains)).
    """
    pending, served, planned = _loading_state(chains, is_loaded)
    wanted = planned if demand is None else demand
    result = []
    for each in _chains_by_benefit(pending, served, wanted):
        result += [(each.chain, stage) for stage in each.stages]
    result.sort(key=lambda pair: pair[1].agent_id not in loading)
    return result


def _loading_state(chains, is_loaded):
    """Return pending chains by pipeline, and rates served and planned."""
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
    """Yield pending chains; each one yielded counts as served for the next."""
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
