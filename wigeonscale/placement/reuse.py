"""Forms chains from layer ranges that engines already hold, so that nothing loads."""

__all__ = ["loaded_groups"]

from collections import defaultdict
from collections.abc import Sequence

from wigeonscale.placement.model import EngineSpec


def loaded_groups(
    engines: Sequence[EngineSpec],
    *,
    layers: int,
    chains: int,
    stages: int = 0,
) -> list[list[EngineSpec]]:
    """Return groups whose loaded layer ranges are consecutive and cover the model.

    Args:
        engines: Free engines of one model.
        layers: Number of layers of the model.
        chains: Maximum number of groups.
        stages: Exact number of engines per group; 0 for any number.

    Returns:
        Groups in layer order, each within one region.
    """
    by_start = defaultdict(list)
    for engine in sorted(engines, key=lambda engine: engine.agent_id):
        count = engine.last_layer - engine.first_layer + 1
        fits = 0 < count <= engine.layer_capacity and engine.last_layer < layers
        if fits:
            by_start[engine.region, engine.first_layer].append(engine)
    groups = []
    for region in sorted({region for region, _ in by_start}):
        while len(groups) < chains:
            group = _find_sequence(by_start, region, 0, layers, stages)
            if not group:
                break
            groups.append(group)
            for engine in group:
                by_start[region, engine.first_layer].remove(engine)
    return groups


def _find_sequence(by_start, region, first, layers, stages):
    """Return engines that hold all layers from ``first`` on, by depth-first search."""
    dead_ends = set()

    def search(start, depth):
        if start == layers:
            return [] if stages in (0, depth) else None
        if (start, depth) in dead_ends or (stages and depth == stages):
            return None
        for engine in by_start.get((region, start), ()):
            rest = search(engine.last_layer + 1, depth + 1)
            if rest is not None:
                return [engine, *rest]
        dead_ends.add((start, depth))
        return None

    return search(first, 0)
