"""The path of one request: engines that run every layer once, in order."""

__all__ = ["find_detour", "find_path"]

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonscale.layers.model import LayerRange, Part

# The engines refuse longer paths.
MOST_PARTS = 32


class HoldsLayers(Protocol):
    """An engine that a path may use."""

    backend_id: str
    domain: str
    layers: LayerRange


def find_path(
    holders: Sequence[HoldsLayers],
    *,
    layers: int,
    part_cost: Callable[[HoldsLayers, int], float],
    hop_cost: Callable[[str, str], float],
    start_cost: Callable[[str], float],
) -> list[Part] | None:
    """Return the cheapest path, or None when a layer is held by nobody.

    Args:
        holders: Engines that may be used.
        layers: Layers of the model.
        part_cost: Cost of running that many layers on an engine.
        hop_cost: Cost of going from one failure domain to another.
        start_cost: Cost of beginning in a failure domain.

    Returns:
        Parts in order of layers; no engine stands twice.

    Notes:
        A shortest path over the ends of the held ranges. Costs boundaries times
        engines times boundaries inside a range; a few milliseconds for 60 engines.
    """
    usable = list(holders)
    while True:
        path = _shortest(usable, layers, part_cost, hop_cost, start_cost)
        if path is None or len(path) > MOST_PARTS:
            return None
        twice = _between_same(path)
        if twice is None:
            return path
        # It left an engine and came back to it: without what lies between it stays.
        usable = [holder for holder in usable if holder.backend_id != twice]


def find_detour(
    path: Sequence[Part],
    holders: Sequence[HoldsLayers],
    *,
    lost: Container[str],
    part_cost: Callable[[HoldsLayers, int], float],
) -> list[Part] | None:
    """Return a path with its lost engines replaced and all other parts unchanged.

    Args:
        path: Parts in order of layers.
        holders: Engines that may be used, all of one failure domain.
        lost: Names of engines that must not be on it.
        part_cost: Cost of running that many layers on an engine.

    Returns:
        Parts in order of layers, or None when others do not hold what was lost.

    Notes:
        The parts that stay keep what they have of a request in memory; only the new
        ones have to read it again.
    """
    used = {part.backend_id for part in path}
    detour: list[Part] = []
    for part in path:
        if part.backend_id not in lost:
            detour.append(part)
            continue
        usable = [
            holder
            for holder in holders
            if holder.backend_id not in used and holder.backend_id not in lost
        ]
        parts = _cover(part.layers, usable, part_cost)
        if parts is None:
            return None
        used.update(each.backend_id for each in parts)
        detour += parts
    return detour if len(detour) <= MOST_PARTS else None


@dataclass(frozen=True, slots=True)
class _Window:
    """What an engine holds of a range of layers, counted from the range's first."""

    holder: HoldsLayers
    layers: LayerRange

    @property
    def backend_id(self) -> str:
        return self.holder.backend_id

    @property
    def domain(self) -> str:
        return self.holder.domain


def _cover(
    layers: LayerRange,
    holders: Sequence[HoldsLayers],
    part_cost: Callable[[HoldsLayers, int], float],
) -> list[Part] | None:
    """Return the cheapest parts that run a range of layers, or None."""
    windows = []
    for holder in holders:
        first = max(holder.layers.first, layers.first) - layers.first
        end = min(holder.layers.end, layers.end) - layers.first
        if first < end:
            windows.append(_Window(holder, LayerRange(first, end)))
    parts = find_path(
        windows,
        layers=layers.count,
        part_cost=lambda window, count: part_cost(window.holder, count),
        hop_cost=lambda here, there: 0.0,
        start_cost=lambda domain: 0.0,
    )
    if parts is None:
        return None
    return [
        Part(
            part.backend_id,
            LayerRange(
                part.layers.first + layers.first, part.layers.end + layers.first
            ),
        )
        for part in parts
    ]


def _between_same(path: Sequence[Part]) -> str | None:
    seen: dict[str, int] = {}
    for position, part in enumerate(path):
        if part.backend_id in seen:
            return path[seen[part.backend_id] + 1].backend_id
        seen[part.backend_id] = position
    return None


def _shortest(holders, layers, part_cost, hop_cost, start_cost):
    points = {0, layers}
    for holder in holders:
        points.update(holder.layers)
    order = sorted(point for point in points if 0 <= point <= layers)
    # Cheapest known way to (boundary, domain): cost, way before it, last part.
    best = {(0, h.domain): (start_cost(h.domain), None, None) for h in holders}
    at_point: dict[int, set[str]] = {0: {holder.domain for holder in holders}}
    for position, point in enumerate(order):
        usable = [h for h in holders if h.layers.first <= point < h.layers.end]
        for domain in at_point.get(point, ()):
            cost = best[point, domain][0]
            for holder in usable:
                end = holder.layers.end
                base = cost + hop_cost(domain, holder.domain)
                for stop in order[position + 1 :]:
                    if stop > end:
                        break
                    total = base + part_cost(holder, stop - point)
                    key = stop, holder.domain
                    if key not in best or total < best[key][0]:
                        part = Part(holder.backend_id, LayerRange(point, stop))
                        best[key] = total, (point, domain), part
                        at_point.setdefault(stop, set()).add(holder.domain)
    ends = [(best[layers, d][0], d) for d in at_point.get(layers, ())]
    if not ends:
        return None
    return _walk_back(best, (layers, min(ends)[1]))


def _walk_back(best, key):
    parts = []
    while best[key][1] is not None:
        _, before, part = best[key]
        parts.append(part)
        key = before
    parts.reverse()
    return _merged(parts)


def _merged(parts):
    merged: list[Part] = []
    for part in parts:
        if merged and merged[-1].backend_id == part.backend_id:
            joined = LayerRange(merged[-1].layers.first, part.layers.end)
            merged[-1] = Part(part.backend_id, joined)
        else:
            merged.append(part)
    return merged
