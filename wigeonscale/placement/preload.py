"""Choice of the layers that spares load in advance, for fast repair of lost stages."""

__all__ = ["preload_spares"]

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonscale.placement.loads import AnyChain, AnyStage

# Share of its weight that a stage loses when it is in the spare's failure domain, since
# both may fail together.
SAME_DOMAIN_PENALTY = 0.5


class Spare(Protocol):
    """Fields read of an engine in no chain; implemented by the wire's ``Backend``."""

    agent_id: str
    domain: str
    region: str
    model: str
    layer_capacity: int
    first_layer: int
    last_layer: int


@dataclass(frozen=True, slots=True)
class _StageKind:
    """Common properties of the stages that one spare could replace."""

    model: str
    region: str
    version: str
    adapter: str
    first_layer: int
    last_layer: int

    @property
    def layers(self) -> int:
        return self.last_layer - self.first_layer + 1


def preload_spares(
    chains: Sequence[AnyChain],
    spares: Sequence[Spare],
    *,
    holds: Callable[[Spare, AnyChain, AnyStage], bool],
    region_of: Callable[[AnyChain], str],
    loading: Collection[str] = (),
) -> Iterator[tuple[Spare, AnyChain, AnyStage]]:
    """Yield the loads of spares, starting with those that are loading already.

    A spare that holds the layers of any stage keeps them. Each other spare gets the
    layer range with the most stages per spare that holds it; stages in the spare's own
    failure domain count half.

    Args:
        chains: Current chains; each has the name of its model.
        spares: Engines in no chain that may take over a stage.
        holds: Returns whether a spare holds what a stage of a chain needs.
        region_of: Returns the region of a chain.
        loading: Agents that are loading now.

    Yields:
        A spare, with the chain and the stage that it will be able to replace.
        Deterministic, so that all replicas agree.

    Notes:
        The first item costs O(stages + spares), each further one O(distinct stages of
        the model).
    """
    kinds = _stages_by_kind(chains, region_of)
    by_range = defaultdict(list)
    for own in kinds.values():
        for kind, pairs in own.items():
            held = (kind.model, kind.region, kind.first_layer, kind.last_layer)
            by_range[held].append((kind, pairs))
    holders = Counter()
    unassigned = []
    for spare in sorted(spares, key=lambda s: (s.agent_id not in loading, s.agent_id)):
        held = _held_kind(spare, by_range, holds)
        if held is None:
            unassigned.append(spare)
        else:
            holders[held] += 1
    for spare in unassigned:
        best = _best_kind(spare, kinds, holders)
        if best is not None:
            holders[best] += 1
            yield spare, *kinds[best.model, best.region][best][0]


def _stages_by_kind(chains, region_of):
    """Return chains and stages by model, region and kind, in a fixed order."""
    kinds = defaultdict(lambda: defaultdict(list))
    for chain in sorted(chains, key=lambda chain: chain.chain_id):
        region = region_of(chain)
        for stage in chain.stages:
            kind = _StageKind(
                chain.model,
                region,
                chain.version,
                chain.adapter,
                stage.first_layer,
                stage.last_layer,
            )
            kinds[chain.model, region][kind].append((chain, stage))
    return kinds


def _held_kind(spare, by_range, holds):
    held = (spare.model, spare.region, spare.first_layer, spare.last_layer)
    for kind, pairs in by_range.get(held, ()):
        if holds(spare, *pairs[0]):
            return kind
    return None


def _best_kind(spare, kinds, holders):
    own = kinds.get((spare.model, spare.region), {})
    fitting = [kind for kind in own if kind.layers <= spare.layer_capacity]

    def benefit(kind):
        domains = [stage.domain for _, stage in own[kind]]
        weight = len(domains) - SAME_DOMAIN_PENALTY * domains.count(spare.domain)
        return weight / (1 + holders[kind])

    return max(fitting, key=benefit, default=None)
