"""Search for a request's path: engines that run every layer once, in order."""

__all__ = ["find_detour", "find_path"]

import itertools
from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wigeonscale.layers.model import LayerRange, Part

# Engines refuse paths with more parts.
MAX_PARTS = 32


class LayerHolder(Protocol):
    """An engine that a path may use."""

    backend_id: str
    domain: str
    layers: LayerRange


def find_path(
    holders: Sequence[LayerHolder],
    *,
    layers: int,
    part_cost: Callable[[LayerHolder, int], float],
    hop_cost: Callable[[str, str], float],
    start_cost: Callable[[str], float],
) -> list[Part] | None:
    """Return the cheapest path, or None if some layer is held by no engine.

    Load pattern: hundreds of engines in several failure domains, and one search per
    request on a small share of a core. Most paths stay in one domain, so each domain is
    searched separately, in the order of the start cost and only while a cheaper path is
    possible. All domains are searched together only if a path that crosses domains
    could be cheaper.

    Args:
        holders: Engines that may be used.
        layers: Number of layers of the model.
        part_cost: Cost of running a number of layers on an engine.
        hop_cost: Cost of a hop from one failure domain to another.
        start_cost: Cost of starting in a failure domain.

    Returns:
        Parts in the order of layers; no engine occurs twice.

    Notes:
        A shortest-path search over the boundaries of the held ranges. Per domain its
        time is proportional to the number of boundaries, times the engines at a
        boundary, times the boundaries within a range.
    """
    domains: dict[str, list[LayerHolder]] = {}
    for holder in holders:
        domains.setdefault(holder.domain, []).append(holder)
    costs = _Costs(layers, part_cost, hop_cost, start_cost)
    best: _CostedPath | None = None
    for domain in sorted(domains, key=lambda domain: (start_cost(domain), domain)):
        if best is not None and best.cost <= start_cost(domain):
            break
        best = _cheaper(best, _cheapest_path(domains[domain], costs))
    if len(domains) > 1 and (
        best is None or best.cost > _least_crossing_cost(domains, costs)
    ):
        best = _cheaper(best, _cheapest_path(holders, costs))
    return best and best.parts


@dataclass(frozen=True, slots=True)
class _Costs:
    """Cost functions; see :func:`find_path`."""

    layers: int
    part: Callable[[LayerHolder, int], float]
    hop: Callable[[str, str], float]
    start: Callable[[str], float]


@dataclass(frozen=True, slots=True)
class _CostedPath:
    """A path with its cost."""

    cost: float
    parts: list[Part]


def _cheaper(one: _CostedPath | None, other: _CostedPath | None) -> _CostedPath | None:
    """Return the cheaper of two paths; the first one if they cost the same."""
    if one is None or (other is not None and other.cost < one.cost):
        return other
    return one


def _least_crossing_cost(domains: Iterable[str], costs: _Costs) -> float:
    """Return a lower bound on the cost of a path that crosses domains."""
    pairs = itertools.permutations(domains, 2)
    hop = min(costs.hop(source, target) for source, target in pairs)
    return hop + min(costs.start(domain) for domain in domains)


def _cheapest_path(holders: Sequence[LayerHolder], costs: _Costs) -> _CostedPath | None:
    usable = list(holders)
    while True:
        found = _shortest_path(usable, costs)
        if found is None or len(found.parts) > MAX_PARTS:
            return None
        loop_engine = _first_engine_in_loop(found.parts)
        if loop_engine is None:
            return found
        # The path leaves an engine and returns to it. Exclude the engine visited next,
        # so that the path stays on the first one.
        usable = [holder for holder in usable if holder.backend_id != loop_engine]


def find_detour(
    path: Sequence[Part],
    holders: Sequence[LayerHolder],
    *,
    lost: Container[str],
    part_cost: Callable[[LayerHolder, int], float],
) -> list[Part] | None:
    """Return a path with its lost engines replaced and all other parts unchanged.

    Args:
        path: Parts in the order of layers.
        holders: Engines that may be used, all in one failure domain.
        lost: Names of engines that must not be used.
        part_cost: Cost of running a number of layers on an engine.

    Returns:
        Parts in the order of layers, or None if no other engines hold the lost layers.

    Notes:
        The unchanged parts keep the request's state in memory; only the new parts have
        to process the request again.
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
    return detour if len(detour) <= MAX_PARTS else None


@dataclass(frozen=True, slots=True)
class _ClippedHolder:
    """An engine's layers within a range, counted from the first layer of the range."""

    holder: LayerHolder
    layers: LayerRange

    @property
    def backend_id(self) -> str:
        return self.holder.backend_id

    @property
    def domain(self) -> str:
        return self.holder.domain


def _cover(
    layers: LayerRange,
    holders: Sequence[LayerHolder],
    part_cost: Callable[[LayerHolder, int], float],
) -> list[Part] | None:
    """Return the cheapest parts that run a range of layers, or None."""
    clipped = []
    for holder in holders:
        first = max(holder.layers.first, layers.first) - layers.first
        end = min(holder.layers.end, layers.end) - layers.first
        if first < end:
            clipped.append(_ClippedHolder(holder, LayerRange(first, end)))
    parts = find_path(
        clipped,
        layers=layers.count,
        part_cost=lambda clip, count: part_cost(clip.holder, count),
        hop_cost=lambda source, target: 0.0,
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


def _first_engine_in_loop(path: Sequence[Part]) -> str | None:
    seen: dict[str, int] = {}
    for position, part in enumerate(path):
        if part.backend_id in seen:
            return path[seen[part.backend_id] + 1].backend_id
        seen[part.backend_id] = position
    return None


def _shortest_path(holders: Sequence[LayerHolder], costs: _Costs) -> _CostedPath | None:
    """Return the cheapest path from the first layer to the last, or None.

    An engine may occur on it twice.
    """
    boundaries = {0, costs.layers}
    for holder in holders:
        boundaries.update(holder.layers)
    order = sorted(boundary for boundary in boundaries if 0 <= boundary <= costs.layers)
    # Cheapest known path to a boundary in a domain: cost, predecessor, last part.
    best = {0: {h.domain: (costs.start(h.domain), None, None) for h in holders}}
    by_first = sorted(holders, key=lambda holder: holder.layers.first)
    next_index = 0
    active: list[LayerHolder] = []
    for position, boundary in enumerate(order):
        while (
            next_index < len(by_first) and by_first[next_index].layers.first <= boundary
        ):
            active.append(by_first[next_index])
            next_index += 1
        active = [holder for holder in active if holder.layers.end > boundary]
        if boundary in best:
            _relax(best, active, order[position:], costs)
    ends = best.get(costs.layers)
    if not ends:
        return None
    domain = min(ends, key=lambda domain: (ends[domain][0], domain))
    parts = _reconstruct_path(best, (costs.layers, domain))
    return _CostedPath(ends[domain][0], parts)


def _relax(best, holders, boundaries, costs) -> None:
    """Extend the paths that reach a boundary by one part on each engine.

    Args:
        best: Cheapest known paths by boundary and domain; changed in place.
        holders: Engines that hold the layer after the boundary.
        boundaries: The boundary, and those after it.
        costs: Cost functions.
    """
    boundary, *stops = boundaries
    costs_by_domain = {domain: found[0] for domain, found in best[boundary].items()}
    cheapest_arrival = {}
    for target in {holder.domain for holder in holders}:
        cheapest_arrival[target] = min(
            (cost + costs.hop(source, target), source)
            for source, cost in costs_by_domain.items()
        )
    for holder in holders:
        base, source = cheapest_arrival[holder.domain]
        for stop in stops:
            if stop > holder.layers.end:
                break
            total = base + costs.part(holder, stop - boundary)
            known = best.setdefault(stop, {})
            if holder.domain not in known or total < known[holder.domain][0]:
                part = Part(holder.backend_id, LayerRange(boundary, stop))
                known[holder.domain] = total, (boundary, source), part


def _reconstruct_path(best, key):
    parts = []
    while True:
        boundary, domain = key
        _, before, part = best[boundary][domain]
        if before is None:
            break
        parts.append(part)
        key = before
    parts.reverse()
    return _merge_adjacent(parts)


def _merge_adjacent(parts):
    merged: list[Part] = []
    for part in parts:
        if merged and merged[-1].backend_id == part.backend_id:
            joined = LayerRange(merged[-1].layers.first, part.layers.end)
            merged[-1] = Part(part.backend_id, joined)
        else:
            merged.append(part)
    return merged
