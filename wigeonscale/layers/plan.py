"""Placement plan: which engine should hold which layers.

Load pattern: many small engines in a few failure domains. Any of them may be lost at
any time, and a hop between domains costs far more than one within a domain. A token
passes all engines of its path in sequence, so the duration of a stream, the memory that
streams use and the number of streams that a lost engine interrupts all grow with slow
engines and long paths.

Each domain with enough memory therefore holds a complete set of layers on its fastest
engines, and each engine keeps memory for many requests. If the other engines can hold
a second complete set, they do: then the loss of one engine does not break the domain,
and requests can use the memory of both sets. Otherwise the other engines hold copies
of some layers, in case an engine is lost.

Lost layers are replaced within their domain: by engines without layers, else by
engines whose layers others hold too, else by the neighbours in layer order, else by
shifting a row of neighbours. Engines in use are not moved for a small gain, since a
move reloads weights. Neighbours that a repair has left with little memory for requests
are relieved once the domain has copies to spare.
"""

__all__ = ["plan_layers"]

import itertools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from wigeonscale.layers.model import Holder, LayerRange, ModelSize, set_throughput
from wigeonscale.layers.relief import copy_counts, relief

# Shares of ``room_tokens`` that engines reserve for requests. The smaller ones are used
# only if a set or a gap cannot be completed otherwise. With the last one an engine of
# 22 GB holds about seven requests of 900 tokens.
ROOM_SHARES = (1.0, 0.75, 0.5, 0.3, 0.12)
# Shares of ``room_tokens`` for the engines of two complete sets. With less than the
# smallest share a set would hold too few requests to take over those of the other set.
# With more than 1 a set has more engines with fewer layers each: memory for requests
# grows faster than the latency of the path, until the slots of the first engine limit
# it, at about 1.9 with 96 slots and requests of 1,000 tokens.
TWO_SET_ROOM_SHARES = (2.0, 1.75, 1.5, 1.25, 1.0, 0.75, 0.5)
# Cost of one more engine on a path, in layers: a hop for each token, and one more
# engine whose loss breaks the path.
ENGINE_COST_LAYERS = 2.0

NO_LAYERS = LayerRange(0, 0)


def plan_layers(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return the layers that engines should load.

    Args:
        holders: All engines of one model, with the layers that they hold or load. One
            with layers that the model does not have, for example of an older model,
            is planned like an engine without layers.
        model: Sizes of the model.

    Returns:
        Wanted ranges by engine; engines not named keep their layers. A wanted range
        leaves memory for at least a tenth of ``room_tokens``.

    Notes:
        Takes time proportional to engines times gaps. Deterministic: the same input
        gives the same plan.
    """
    wanted: dict[str, LayerRange] = {}
    available = sorted(
        (_known_layers(holder, model) for holder in holders if holder.is_available),
        key=lambda holder: holder.backend_id,
    )
    for group in _groups(available, model):
        if any(holder.held.count for holder in group):
            wanted |= _repair(group, model)
        else:
            wanted |= _initial_plan(group, model)
    return wanted


def _known_layers(holder: Holder, model: ModelSize) -> Holder:
    """Return the engine, without its layers if the model does not have all of them."""
    if model.contains(holder.held) or holder.held == NO_LAYERS:
        return holder
    return replace(holder, held=NO_LAYERS)


def _groups(holders: Sequence[Holder], model: ModelSize) -> list[list[Holder]]:
    """Return one group per domain that can hold a set, and one of all others."""
    domains: dict[str, list[Holder]] = {}
    for holder in holders:
        domains.setdefault(holder.domain, []).append(holder)
    groups, rest = [], []
    for _, group in sorted(domains.items()):
        holds_any = any(holder.held.count for holder in group)
        if holds_any or _can_hold(group, model, ROOM_SHARES[-1]):
            groups.append(group)
        else:
            rest += group
    if _can_hold(rest, model, ROOM_SHARES[-1]):
        groups.append(rest)
    return groups


def _can_hold(holders: Iterable[Holder], model: ModelSize, room: float) -> bool:
    return sum(model.capacity(h.size_mb, room) for h in holders) >= model.layers


def _initial_plan(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return one or two complete sets, and copies on the remaining engines."""
    wanted = _two_sets(holders, model)
    for room in ROOM_SHARES:
        wanted = wanted or _complete_set(holders, model, room)
    spare = [holder for holder in holders if holder.backend_id not in wanted]
    return wanted | _extra_copies(spare, wanted, model)


def _two_sets(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return the two complete sets with the highest throughput; empty if impossible.

    Load pattern: there are more requests than one set on the fastest engines has memory
    for, while slower engines would hold copies that no path uses.
    """
    best: dict[str, LayerRange] = {}
    best_rate = 0.0
    for first_share, second_share in itertools.product(TWO_SET_ROOM_SHARES, repeat=2):
        first = _complete_set(holders, model, first_share)
        rest = [holder for holder in holders if holder.backend_id not in first]
        second = _complete_set(rest, model, second_share)
        if not first or not second:
            continue
        rate = set_throughput(first, holders, model) + set_throughput(
            second, holders, model
        )
        if rate > best_rate:
            best, best_rate = first | second, rate
    return best


def _complete_set(
    holders: Sequence[Holder], model: ModelSize, room: float
) -> dict[str, LayerRange]:
    """Return one complete set on the fastest engines; empty if they cannot hold it.

    Args:
        holders: Engines that may hold it.
        model: Sizes of the model.
        room: Share of ``room_tokens`` that each engine reserves for requests.
    """
    if not _can_hold(holders, model, room):
        return {}

    def rank(holder: Holder) -> tuple[float, str]:
        capacity = max(1, model.capacity(holder.size_mb, room))
        return holder.pace * (1 + ENGINE_COST_LAYERS / capacity), holder.backend_id

    wanted: dict[str, LayerRange] = {}
    reached = 0
    for holder in sorted(holders, key=rank):
        if reached == model.layers:
            break
        capacity = model.capacity(holder.size_mb, room)
        end = min(model.layers, reached + capacity)
        if end > reached:
            # The last engine is filled too; its layers that others hold are copies.
            wanted[holder.backend_id] = LayerRange(max(0, end - capacity), end)
            reached = end
    return wanted


def _repair(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return ranges that close the gaps, and copies on engines without layers.

    If there are neither, return a step that relieves an engine with little memory.
    """
    empty = [
        holder
        for holder in holders
        if not holder.held.count and _layers_to_load(holder, model)
    ]
    empty.sort(key=lambda h: (h.pace, h.backend_id))
    held = {h.backend_id: h.held for h in holders if h.held.count}
    wanted: dict[str, LayerRange] = {}
    for gap in _gaps(held.values(), model.layers):
        remaining = gap
        while remaining.count:
            holder = (
                empty.pop(0) if empty else _redundant(holders, held | wanted, model)
            )
            if holder is None:
                break
            end = remaining.first + _layers_to_load(holder, model)
            wanted[holder.backend_id] = LayerRange(
                remaining.first, min(remaining.end, end)
            )
            remaining = LayerRange(wanted[holder.backend_id].end, remaining.end)
        if remaining.count:
            wanted |= _close_gap(remaining, holders, model)
    wanted |= _extra_copies(empty, held | wanted, model)
    return wanted or relief(holders, model)


def _layers_to_load(holder: Holder, model: ModelSize) -> int:
    """Return how many layers an engine should load to close a gap.

    At least one if its memory suffices, even without room for requests.
    """
    count = model.capacity(holder.size_mb, 1.0)
    return count or min(1, model.capacity(holder.size_mb, 0.0))


def _redundant(
    holders: Sequence[Holder], held: dict[str, LayerRange], model: ModelSize
) -> Holder | None:
    """Return an engine all of whose layers are held by others too, or None.

    Prefers the engine whose layers have the most copies, since requests may still use
    it and it loads new layers only when they are done; then the slowest, then the
    largest.
    """
    counts = copy_counts(held.values(), model.layers)

    def copies(holder: Holder) -> int:
        return min(counts[layer] for layer in range(*holder.held))

    found = [
        holder
        for holder in holders
        if holder.held.count
        and holder.held == held.get(holder.backend_id)
        and copies(holder) > 1
        and _layers_to_load(holder, model)
    ]
    return max(
        found,
        key=lambda h: (copies(h), h.pace, h.size_mb, h.backend_id),
        default=None,
    )


def _gaps(ranges: Iterable[LayerRange], layers: int) -> list[LayerRange]:
    gaps, reached = [], 0
    for first, end in sorted(ranges):
        if first > reached:
            gaps.append(LayerRange(reached, first))
        reached = max(reached, end)
    if reached < layers:
        gaps.append(LayerRange(reached, layers))
    return gaps


def _close_gap(
    gap: LayerRange, holders: Sequence[Holder], model: ModelSize
) -> dict[str, LayerRange]:
    """Return ranges with which engines that hold layers already close a gap."""
    for share in ROOM_SHARES:

        def capacity(holder: Holder, share: float = share) -> int:
            return model.capacity(holder.size_mb, share)

        extended = _extend_neighbours(gap, holders, capacity)
        if extended:
            return extended
        # Shifting a row unloads layers, which does no harm: the set of this domain is
        # incomplete anyway.
        rows = [
            _shift_up(gap, holders, capacity),
            _shift_down(gap, holders, capacity),
        ]
        rows = [row for row in rows if row]
        if rows:
            return min(rows, key=len)
    return {}


def _extend_neighbours(
    gap: LayerRange, holders: Sequence[Holder], capacity: Callable[[Holder], int]
) -> dict[str, LayerRange]:
    """Return longer ranges for the engines beside a gap; empty if they cannot fill it.

    Each engine is extended by at most what it has memory for.
    """

    def room(holder: Holder) -> int:
        return max(0, capacity(holder) - holder.held.count)

    first, end = gap
    below = _largest_by(holders, room, lambda held: held.end == first)
    above = _largest_by(holders, room, lambda held: held.first == end)
    room_below = room(below) if below else 0
    room_above = room(above) if above else 0
    if room_below + room_above < gap.count:
        return {}
    # Divided in proportion to the free memory, so that both keep some for requests.
    share = round(gap.count * room_below / (room_below + room_above))
    middle = first + min(room_below, max(gap.count - room_above, share))
    extended = {}
    if middle > first:
        extended[below.backend_id] = LayerRange(below.held.first, middle)
    if middle < end:
        extended[above.backend_id] = LayerRange(middle, above.held.end)
    return extended


def _largest_by(
    holders: Sequence[Holder],
    measure: Callable[[Holder], int],
    fits: Callable[[LayerRange], bool],
) -> Holder | None:
    fitting = [h for h in holders if h.held.count and fits(h.held)]
    return max(fitting, key=measure, default=None)


def _shift_up(
    gap: LayerRange, holders: Sequence[Holder], capacity: Callable[[Holder], int]
) -> dict[str, LayerRange]:
    """Return ranges that shift the engines below a gap up; empty if not possible."""
    moved: dict[str, LayerRange] = {}
    first, end = gap
    while True:
        holder = _largest_by(holders, capacity, lambda held, at=first: held.end == at)
        if holder is None or not capacity(holder):
            return {}
        first = holder.held.first
        start = max(first, end - capacity(holder))
        moved[holder.backend_id] = LayerRange(start, end)
        if start == first:
            return moved
        end = start


def _shift_down(
    gap: LayerRange, holders: Sequence[Holder], capacity: Callable[[Holder], int]
) -> dict[str, LayerRange]:
    """Return ranges that shift the engines above a gap down; empty if not possible."""
    moved: dict[str, LayerRange] = {}
    first, end = gap
    while True:
        holder = _largest_by(holders, capacity, lambda held, at=end: held.first == at)
        if holder is None or not capacity(holder):
            return {}
        end = holder.held.end
        stop = min(end, first + capacity(holder))
        moved[holder.backend_id] = LayerRange(first, stop)
        if stop == end:
            return moved
        first = stop


def _extra_copies(
    spare: Iterable[Holder], held: dict[str, LayerRange], model: ModelSize
) -> dict[str, LayerRange]:
    """Return copies for spare engines, placed where layers have the fewest copies."""
    wanted: dict[str, LayerRange] = {}
    counts = copy_counts(held.values(), model.layers)
    # Bounds of the held ranges, where paths change engines.
    starts = sorted({bound for held_range in held.values() for bound in held_range})
    for holder in spare:
        capacity = model.capacity(holder.size_mb, 1.0)
        if not capacity or not starts:
            continue

        def copies(first: int, capacity: int = capacity) -> float:
            window = counts[first : first + capacity]
            return sum(window) / len(window)

        # A range that would extend beyond the last layer is moved back, so that the
        # engine's capacity is used completely.
        last = max(0, model.layers - capacity)
        # The range begins or ends at a bound of another range.
        bounds = {start - capacity for start in starts} | set(starts)
        firsts = (min(max(0, bound), last) for bound in bounds)
        first = min(firsts, key=lambda first: (copies(first), first))
        end = min(model.layers, first + capacity)
        wanted[holder.backend_id] = LayerRange(first, end)
        for layer in range(first, end):
            counts[layer] += 1
    return wanted
