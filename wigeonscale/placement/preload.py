"""Chooses the layers that spares hold in advance, so that a lost stage is back soon."""

__all__ = ["preload_spares"]

from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonscale.placement.loads import AnyChain, AnyStage

# A spare in the failure domain of the stage it stands for may be lost with it.
SAME_DOMAIN_PENALTY = 0.5


class Spare(Protocol):
    """What is read of an engine in no chain; the wire's ``Backend`` fits."""

    agent_id: str
    domain: str
    region: str
    model: str
    layer_capacity: int
    first_layer: int
    last_layer: int


@dataclass(frozen=True, slots=True)
class _StageKind:
    """What stages have in common that one spare could replace."""

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
    """Yield what spares shall load, those that are loading first.

    A spare that holds the layers of any stage keeps them. Each other spare takes the
    layers that the most stages have for each spare that holds them; stages in the
    spare's own failure domain count half.

    Args:
        chains: Chains that stand, with the model they are of.
        spares: Engines in no chain that may take a stage.
        holds: Whether a spare holds what a chain's stage needs.
        region_of: Region of a chain.
        loading: Agents known to be loading now.

    Yields:
        A spare, and the chain and stage that it shall be able to replace. Equal input
        gives an equal result on every replica.

    Notes:
        Cost O(stages + spares) for the first, and O(distinct stages of the model) for
        each one more.
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
    """Return chains and stages that one spare could replace alike, in a fixed order."""
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
        apart = len(domains) - SAME_DOMAIN_PENALTY * domains.count(spare.domain)
        return apart / (1 + holders[kind])

    return max(fitting, key=benefit, default=None)
