"""Which engine shall hold which layers.

Load pattern: many small engines in a few failure domains, of which one may vanish at
any moment, while each hop between domains costs far more than one inside. So each
domain with the memory for it holds a whole set of layers of its own, split in
proportion to memory: every engine is left with room for the same number of tokens,
and none fills up before the others. What is lost is mended inside its domain: by an
engine without layers, else by the neighbours in layer order, else by a row of them
that moves over. Nothing that serves is moved for a small gain, since a move reloads
weights.
"""

__all__ = ["plan_layers"]

from collections.abc import Callable, Iterable, Sequence

from wigeonscale.layers.model import Holder, LayerRange

# Shares of an engine's memory that layers may take; the rest holds requests, of which
# one of 900 tokens takes the eighth part of each layer's memory. The larger share is
# for gaps that cannot be mended otherwise: with it an engine holds some 15 requests.
MOST_FILLS = (0.8, 0.92)
# The same for an engine that shall hold a copy or mend a gap alone, so that two share a
# large gap.
USUAL_FILL = 0.75


def plan_layers(
    holders: Sequence[Holder], *, layers: int, layer_mb: float
) -> dict[str, LayerRange]:
    """Return the layers that engines shall hold and do not hold yet.

    Args:
        holders: All engines of one model, with what they hold or are loading.
        layers: Layers of the model.
        layer_mb: Memory of one layer.

    Returns:
        Wanted ranges by engine; those not named keep what they hold. A wanted range
        never needs more than the larger of ``MOST_FILLS`` of the engine's memory.

    Notes:
        Costs engines times gaps. The same input gives the same plan.
    """
    wanted: dict[str, LayerRange] = {}
    lasting = sorted(
        (holder for holder in holders if holder.lasting),
        key=lambda holder: holder.backend_id,
    )
    for group in _groups(lasting, layers * layer_mb):
        if any(holder.held.count for holder in group):
            wanted |= _mend(group, layers, layer_mb)
        else:
            wanted |= _split(group, layers, layer_mb)
    return wanted


def _groups(holders: Sequence[Holder], need_mb: float) -> list[list[Holder]]:
    """Return the domains that hold a set of their own; the others together."""
    domains: dict[str, list[Holder]] = {}
    for holder in holders:
        domains.setdefault(holder.domain, []).append(holder)
    groups, rest = [], []
    for _, group in sorted(domains.items()):
        holds_any = any(holder.held.count for holder in group)
        if holds_any or _room_mb(group) >= need_mb:
            groups.append(group)
        else:
            rest += group
    if _room_mb(rest) >= need_mb:
        groups.append(rest)
    return groups


def _room_mb(holders: Iterable[Holder]) -> float:
    return sum(holder.size_mb for holder in holders) * MOST_FILLS[-1]


def _capacity(holder: Holder, layer_mb: float, fill: float) -> int:
    return int(holder.size_mb * fill / layer_mb)


def _split(
    holders: Sequence[Holder], layers: int, layer_mb: float
) -> dict[str, LayerRange]:
    """Return one whole set, split in proportion to memory."""
    # Like next to like, so that a range mostly has a neighbour of its own speed.
    ordered = sorted(holders, key=lambda h: (h.pace, h.domain, h.backend_id))
    total_mb = sum(holder.size_mb for holder in ordered)
    wanted: dict[str, LayerRange] = {}
    first, seen_mb = 0, 0.0
    for holder in ordered:
        seen_mb += holder.size_mb
        end = round(layers * seen_mb / total_mb)
        end = min(end, first + _capacity(holder, layer_mb, MOST_FILLS[-1]))
        if end > first:
            wanted[holder.backend_id] = LayerRange(first, end)
        first = max(first, end)
    return wanted if first == layers else {}


def _mend(
    holders: Sequence[Holder], layers: int, layer_mb: float
) -> dict[str, LayerRange]:
    empty = [holder for holder in holders if not holder.held.count]
    empty.sort(key=lambda h: (h.pace, h.backend_id))
    held = {h.backend_id: h.held for h in holders if h.held.count}
    wanted: dict[str, LayerRange] = {}
    for gap in _gaps(held.values(), layers):
        gap = _fill_with_empty(gap, empty, layer_mb, wanted)
        for fill in MOST_FILLS:
            moved = _take_over(gap, holders, layer_mb, fill) if gap.count else {}
            wanted |= moved
            if moved:
                break
    for holder in empty:
        copy = _copy_for(holder, held | wanted, holders, layer_mb)
        if copy is not None:
            wanted[holder.backend_id] = copy
    return wanted


def _gaps(ranges: Iterable[LayerRange], layers: int) -> list[LayerRange]:
    gaps, reached = [], 0
    for first, end in sorted(ranges):
        if first > reached:
            gaps.append(LayerRange(reached, first))
        reached = max(reached, end)
    if reached < layers:
        gaps.append(LayerRange(reached, layers))
    return gaps


def _fill_with_empty(
    gap: LayerRange,
    empty: list[Holder],
    layer_mb: float,
    wanted: dict[str, LayerRange],
) -> LayerRange:
    """Give a gap to engines without layers; return what is left of it."""
    first, end = gap
    while empty and first < end:
        holder = empty.pop(0)
        till = min(end, first + max(1, _capacity(holder, layer_mb, USUAL_FILL)))
        wanted[holder.backend_id] = LayerRange(first, till)
        first = till
    return LayerRange(first, end)


def _take_over(
    gap: LayerRange, holders: Sequence[Holder], layer_mb: float, fill: float
) -> dict[str, LayerRange]:
    """Return the ranges with which the other engines of a domain close a gap."""

    def room(holder: Holder) -> int:
        return max(0, _capacity(holder, layer_mb, fill) - holder.held.count)

    extended = _extend_neighbours(gap, holders, room)
    if extended:
        return extended
    # Nothing is lost by the layers that a row gives up while it moves over: the set
    # of this domain is broken anyway.
    rows = [
        _shift_up(gap, holders, lambda h: _capacity(h, layer_mb, fill)),
        _shift_down(gap, holders, lambda h: _capacity(h, layer_mb, fill)),
    ]
    return min((row for row in rows if row), key=len, default={})


def _extend_neighbours(
    gap: LayerRange, holders: Sequence[Holder], room: Callable[[Holder], int]
) -> dict[str, LayerRange]:
    """Extend the engines at both ends of a gap, each by what it has room for."""
    first, end = gap
    below = _with_most(holders, room, lambda held: held.end == first)
    above = _with_most(holders, room, lambda held: held.first == end)
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


def _with_most(
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
        holder = _with_most(holders, capacity, lambda held, at=first: held.end == at)
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
        holder = _with_most(holders, capacity, lambda held, at=end: held.first == at)
        if holder is None:
            return {}
        end = holder.held.end
        stop = min(end, first + capacity(holder))
        moved[holder.backend_id] = LayerRange(first, stop)
        if stop == end:
            return moved
        first = stop


def _copy_for(
    holder: Holder,
    ranges: dict[str, LayerRange],
    holders: Sequence[Holder],
    layer_mb: float,
) -> LayerRange | None:
    """Return a range held by the fewest engines, the slowest of these first."""
    if not ranges:
        return None
    paces = {each.backend_id: each.pace for each in holders}

    def rank(backend_id: str) -> tuple[int, float, str]:
        first, end = ranges[backend_id]
        copies = sum(r.first <= first and r.end >= end for r in ranges.values())
        return copies, -paces.get(backend_id, 0.0) * (end - first), backend_id

    first, end = ranges[min(ranges, key=rank)]
    till = min(end, first + _capacity(holder, layer_mb, USUAL_FILL))
    return LayerRange(first, till) if till > first else None
