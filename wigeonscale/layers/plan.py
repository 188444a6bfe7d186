"""Which engine shall hold which layers.

Load pattern: many small engines in a few failure domains, of which one may vanish at
any moment, while each hop between domains costs far more than one inside. A token
passes all engines of its path one after another, so the time of a stream, the memory
that streams take and what one lost engine breaks all grow with slow engines and with
long paths. So each domain with the memory for it holds a whole set of layers of its
own, on its fastest engines, each filled only so far that it still holds many requests.
Where the others can hold a second whole set, they do: then no single loss breaks a
domain, and its requests have the memory of both. Else they hold copies for the case
that one is lost. What is lost is mended inside
its domain: by engines without layers, else by ones that hold copies only, else by the
neighbours in layer order, else by a row of them that moves over. Nothing that serves is
moved for a small gain, since a move reloads weights.
"""

__all__ = ["plan_layers"]

import itertools
from collections.abc import Callable, Iterable, Sequence

from wigeonscale.layers.model import Holder, LayerRange, ModelSize, set_throughput

# Shares of the room for requests that engines are left with; the smaller ones only
# where a set or a gap cannot be closed otherwise. With the last one an engine of 22 GB
# holds some seven requests of 900 tokens.
ROOM_SHARES = (1.0, 0.75, 0.5, 0.3, 0.12)
# Shares of the room that the engines of two whole sets may be left with. With less than
# the smallest a set would hold too few requests to take over those of the other. With
# more than 1 a set has more engines with fewer layers each: memory for requests grows
# faster than the path gets slow, until the slots of its first engine bound it, at some
# 1.9 with 96 slots and requests of 1,000 tokens.
TWO_SET_ROOM_SHARES = (2.0, 1.75, 1.5, 1.25, 1.0, 0.75, 0.5)
# One engine more on a path costs as much as this many layers more on an engine: the
# hop of each token, and one more engine whose loss breaks the path.
ENGINE_COST_LAYERS = 2.0


def plan_layers(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return the layers that engines shall hold and do not hold yet.

    Args:
        holders: All engines of one model, with what they hold or are loading.
        model: Sizes of the model.

    Returns:
        Wanted ranges by engine; those not named keep what they hold. A wanted range
        never needs more than the engine's memory less a tenth of ``room_tokens``.

    Notes:
        Costs engines times gaps. The same input gives the same plan.
    """
    wanted: dict[str, LayerRange] = {}
    available = sorted(
        (holder for holder in holders if holder.is_available),
        key=lambda holder: holder.backend_id,
    )
    for group in _groups(available, model):
        if any(holder.held.count for holder in group):
            wanted |= _repair(group, model)
        else:
            wanted |= _initial_plan(group, model)
    return wanted


def _groups(holders: Sequence[Holder], model: ModelSize) -> list[list[Holder]]:
    """Return the domains that hold a set of their own; the others together."""
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
    """Return whole sets, the first on the fastest engines, and copies on the others."""
    wanted = _two_sets(holders, model)
    for room in ROOM_SHARES:
        wanted = wanted or _whole_set(holders, model, room)
    spare = [holder for holder in holders if holder.backend_id not in wanted]
    return wanted | _extra_copies(spare, wanted, model)


def _two_sets(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return the two whole sets that serve most requests a second; empty for none.

    Load pattern: more requests than one set of the fastest engines has memory for,
    while slower engines stand by with copies that no path needs.
    """
    best: dict[str, LayerRange] = {}
    best_rate = 0.0
    for first_share, second_share in itertools.product(TWO_SET_ROOM_SHARES, repeat=2):
        first = _whole_set(holders, model, first_share)
        rest = [holder for holder in holders if holder.backend_id not in first]
        second = _whole_set(rest, model, second_share)
        if not first or not second:
            continue
        rate = set_throughput(first, holders, model) + set_throughput(
            second, holders, model
        )
        if rate > best_rate:
            best, best_rate = first | second, rate
    return best


def _whole_set(
    holders: Sequence[Holder], model: ModelSize, room: float
) -> dict[str, LayerRange]:
    """Return one whole set on the fastest engines; empty if they cannot hold it.

    Args:
        holders: Engines that may hold it.
        model: Sizes of the model.
        room: Share of the room for requests that each is left.
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
            # The last one is filled too: what it holds twice is a copy.
            wanted[holder.backend_id] = LayerRange(max(0, end - capacity), end)
            reached = end
    return wanted


def _repair(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return the ranges that close gaps, and copies on engines without layers."""
    empty = [holder for holder in holders if not holder.held.count]
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
            end = remaining.first + max(1, model.capacity(holder.size_mb, 1.0))
            wanted[holder.backend_id] = LayerRange(
                remaining.first, min(remaining.end, end)
            )
            remaining = LayerRange(wanted[holder.backend_id].end, remaining.end)
        if remaining.count:
            wanted |= _close_gap(remaining, holders, model)
    return wanted | _extra_copies(empty, held | wanted, model)


def _redundant(
    holders: Sequence[Holder], held: dict[str, LayerRange], model: ModelSize
) -> Holder | None:
    """Return an engine all of whose layers others hold too, or None.

    The one whose layers are held most often, for requests go through it still, and it
    loads new layers only once they are done; of these the slowest, then the largest.
    """
    counts = _copy_counts(held.values(), model.layers)

    def copies(holder: Holder) -> int:
        return min(counts[layer] for layer in range(*holder.held))

    found = [
        holder
        for holder in holders
        if holder.held.count
        and holder.held == held.get(holder.backend_id)
        and copies(holder) > 1
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
    """Return the ranges with which the other engines of a domain close a gap."""
    for share in ROOM_SHARES:

        def capacity(holder: Holder, share: float = share) -> int:
            return model.capacity(holder.size_mb, share)

        extended = _extend_neighbours(gap, holders, capacity)
        if extended:
            return extended
        # Nothing is lost by the layers that a row gives up while it moves over: the
        # set of this domain is broken anyway.
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
    """Extend the engines at both ends of a gap, each by what it has room for."""

    def room(holder: Holder) -> int:
        return max(0, capacity(holder) - holder.held.count)

    first, end = gap
    below = _largest_by(holders, room, lambda held: held.end == first)
    above = _largest_by(holders, room, lambda held: held.first == end)
    room_below = room(below) if below else 0
    room_above = room(above) if above else 0
    if room_below + room_above < gap.count:
        return {}
    # In proportion to the room, so that both keep some for requests.
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
    """Move the row below a gap up; empty if it has not the room."""
    moved: dict[str, LayerRange] = {}
    first, end = gap
    while True:
        holder = _largest_by(holders, capacity, lambda held, at=first: held.end == at)
        if holder is None:
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
    """Move the row above a gap down; empty if it has not the room."""
    moved: dict[str, LayerRange] = {}
    first, end = gap
    while True:
        holder = _largest_by(holders, capacity, lambda held, at=end: held.first == at)
        if holder is None:
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
    """Return copies of ranges, so that each layer is held by as many as possible."""
    wanted: dict[str, LayerRange] = {}
    counts = _copy_counts(held.values(), model.layers)
    # Where the ranges that are held begin and end: a path changes engines there.
    starts = sorted({bound for held_range in held.values() for bound in held_range})
    for holder in spare:
        capacity = model.capacity(holder.size_mb, 1.0)
        if not capacity or not starts:
            continue

        def copies(first: int, capacity: int = capacity) -> float:
            window = counts[first : first + capacity]
            return sum(window) / len(window)

        # Pulled back where it would reach beyond the last layer: room is not wasted.
        last = max(0, model.layers - capacity)
        # It begins or ends where another range does.
        bounds = {start - capacity for start in starts} | set(starts)
        firsts = (min(max(0, bound), last) for bound in bounds)
        first = min(firsts, key=lambda first: (copies(first), first))
        end = min(model.layers, first + capacity)
        wanted[holder.backend_id] = LayerRange(first, end)
        for layer in range(first, end):
            counts[layer] += 1
    return wanted


def _copy_counts(ranges: Iterable[LayerRange], layers: int) -> list[int]:
    """Return how many of the ranges hold each layer."""
    counts = [0] * layers
    for held in ranges:
        for layer in range(*held):
            counts[layer] += 1
    return counts
