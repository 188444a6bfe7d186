"""The path of one request: engines that run every layer once, in order."""

__all__ = ["find_detour", "find_path"]

import itertools
from collections.abc import Callable, Container, Iterable, Sequence
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

    Load pattern: hundreds of engines in several failure domains, asked for with each
    request on a small share of a core. Most paths stay in one domain, so each domain is
    searched by itself, those that are dear to begin in only where they could cost less,
    and all of them together only where a path that crosses could.

    Args:
        holders: Engines that may be used.
        layers: Layers of the model.
        part_cost: Cost of running that many layers on an engine.
        hop_cost: Cost of going from one failure domain to another.
        start_cost: Cost of beginning in a failure domain.

    Returns:
        Parts in order of layers; no engine stands twice.

    Notes:
        A shortest path over the ends of the held ranges. Costs, for each domain,
        boundaries times engines at a boundary times boundaries inside a range.
    """
    domains: dict[str, list[HoldsLayers]] = {}
    for holder in holders:
        domains.setdefault(holder.domain, []).append(holder)
    costs = _Costs(layers, part_cost, hop_cost, start_cost)
    best: _Found | None = None
    for domain in sorted(domains, key=lambda domain: (start_cost(domain), domain)):
        if best is not None and best.cost <= start_cost(domain):
            break
        best = _cheaper(best, _cheapest(domains[domain], costs))
    if len(domains) > 1 and (
        best is None or best.cost > _least_crossing_cost(domains, costs)
    ):
        best = _cheaper(best, _cheapest(holders, costs))
    return best and best.parts


@dataclass(frozen=True, slots=True)
class _Costs:
    """What a path costs; see :func:`find_path`."""

    layers: int
    part: Callable[[HoldsLayers, int], float]
    hop: Callable[[str, str], float]
    start: Callable[[str], float]


@dataclass(frozen=True, slots=True)
class _Found:
    """A path with its cost."""

    cost: float
    parts: list[Part]


def _cheaper(one: _Found | None, other: _Found | None) -> _Found | None:
    """Return the cheaper of two paths, the first one if they cost the same."""
    if one is None or (other is not None and other.cost < one.cost):
        return other
    return one


def _least_crossing_cost(domains: Iterable[str], costs: _Costs) -> float:
    """Return what a path that crosses domains costs at least."""
    pairs = itertools.permutations(domains, 2)
    hop = min(costs.hop(here, there) for here, there in pairs)
    return hop + min(costs.start(domain) for domain in domains)


def _cheapest(holders: Sequence[HoldsLayers], costs: _Costs) -> _Found | None:
    usable = list(holders)
    while True:
        found = _shortest(usable, costs)
        if found is None or len(found.parts) > MOST_PARTS:
            return None
        twice = _between_same(found.parts)
        if twice is None:
            return found
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


def _shortest(holders: Sequence[HoldsLayers], costs: _Costs) -> _Found | None:
    """Return the cheapest way from the first layer to the last, or None."""
    points = {0, costs.layers}
    for holder in holders:
        points.update(holder.layers)
    order = sorted(point for point in points if 0 <= point <= costs.layers)
    # Cheapest known way to a boundary in a domain: cost, step before it, last part.
    best = {0: {h.domain: (costs.start(h.domain), None, None) for h in holders}}
    by_first = sorted(holders, key=lambda holder: holder.layers.first)
    come = 0
    at_point: list[HoldsLayers] = []
    for position, point in enumerate(order):
        while come < len(by_first) and by_first[come].layers.first <= point:
            at_point.append(by_first[come])
            come += 1
        at_point = [holder for holder in at_point if holder.layers.end > point]
        if point in best:
            _extend(best, at_point, order[position:], costs)
    ends = best.get(costs.layers)
    if not ends:
        return None
    domain = min(ends, key=lambda domain: (ends[domain][0], domain))
    parts = _walk_back(best, (costs.layers, domain))
    return _Found(ends[domain][0], parts)


def _extend(best, holders, points, costs) -> None:
    """Take the ways that reach a boundary on along the engines that hold what follows.

    Args:
        best: Cheapest known ways by boundary and domain; changed in place.
        holders: Engines that hold the layer after the boundary.
        points: The boundary, and those after it.
        costs: What a path costs.
    """
    point, *stops = points
    ways = {domain: way[0] for domain, way in best[point].items()}
    came_from = {}
    for there in {holder.domain for holder in holders}:
        came_from[there] = min(
            (cost + costs.hop(here, there), here) for here, cost in ways.items()
        )
    for holder in holders:
        base, here = came_from[holder.domain]
        for stop in stops:
            if stop > holder.layers.end:
                break
            total = base + costs.part(holder, stop - point)
            known = best.setdefault(stop, {})
            if holder.domain not in known or total < known[holder.domain][0]:
                part = Part(holder.backend_id, LayerRange(point, stop))
                known[holder.domain] = total, (point, here), part


def _walk_back(best, key):
    parts = []
    while True:
        point, domain = key
        _, before, part = best[point][domain]
        if before is None:
            break
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
