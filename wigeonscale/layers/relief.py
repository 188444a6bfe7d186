"""Relief of engines that a repair has left with little memory for requests.

Load pattern: an engine is lost, and its layers are closed by neighbours that have
memory for few requests then. The engine comes back and holds copies of layers that
others hold by now, but each request of the domain still passes the neighbours, so the
overload outlasts its cause.
"""

__all__ = ["relief"]

from collections.abc import Iterable, Mapping, Sequence

from wigeonscale.layers.model import Holder, LayerRange, ModelSize

# A layer is short of memory if its engines have less than this share of the tokens in
# ``room_tokens``.
RELIEF_SHARE = 0.3


def relief(holders: Sequence[Holder], model: ModelSize) -> dict[str, LayerRange]:
    """Return one step that gives the layers of a domain more memory for requests.

    The first step moves an engine whose layers others hold too to layers of an engine
    with little memory. Once it has loaded them, the next step takes them from that
    engine.

    Args:
        holders: Engines of one domain.
        model: Sizes of the model.

    Returns:
        Wanted range of one engine; empty if there is nothing to gain, layers are
        missing, or an engine still loads.

    Notes:
        Takes time proportional to engines times layers for each engine with little
        memory. Each pair of steps reduces the number of layers that are short of
        memory, so that the steps end.
    """
    held = {h.backend_id: h.held for h in holders if h.held.count}
    counts = copy_counts(held.values(), model.layers)
    fewest = min(counts)
    if not fewest or not all(holder.is_settled for holder in holders):
        return {}
    by_name = {holder.backend_id: holder for holder in holders}

    def short_layers(changed: Mapping[str, LayerRange]) -> int:
        return _short_layers(held | changed, by_name, model)

    short = short_layers({})
    if not short:
        return {}
    narrow = sorted(
        (holder for holder in holders if holder.held.count),
        key=lambda h: (_tokens(h, h.held, model), h.backend_id),
    )
    narrow = [
        holder
        for holder in narrow
        if _tokens(holder, holder.held, model) < RELIEF_SHARE * model.room_tokens
    ]
    for holder in narrow:
        kept = _without_surplus(holder, counts, fewest, model)
        if short_layers({holder.backend_id: kept}) < short:
            return {holder.backend_id: kept}
    for holder in narrow:
        spare = _spare(holders, holder, counts, fewest)
        if spare is None:
            return {}
        first, end = holder.held
        size = min(model.capacity(spare.size_mb, 1.0), holder.held.count // 2)
        taken = LayerRange(end - size, end)
        kept = LayerRange(first, end - size)
        changed = {spare.backend_id: taken, holder.backend_id: kept}
        if short_layers(changed) < short:
            return {spare.backend_id: taken}
    return {}


def copy_counts(ranges: Iterable[LayerRange], layers: int) -> list[int]:
    """Return the number of ranges that contain each layer."""
    counts = [0] * layers
    for held in ranges:
        for layer in range(*held):
            counts[layer] += 1
    return counts


def _short_layers(
    held: Mapping[str, LayerRange], by_name: Mapping[str, Holder], model: ModelSize
) -> int:
    """Return the number of layers whose engines have memory for too few requests."""
    room = [0.0] * model.layers
    for name, layers in held.items():
        tokens = _tokens(by_name[name], layers, model)
        for layer in range(*layers):
            room[layer] += tokens
    return sum(tokens < RELIEF_SHARE * model.room_tokens for tokens in room)


def _tokens(holder: Holder, layers: LayerRange, model: ModelSize) -> float:
    """Return for how many tokens of requests an engine has memory beside layers."""
    if not layers.count:
        return 0.0
    return model.tokens(holder.size_mb, layers.count)


def _without_surplus(
    holder: Holder, counts: Sequence[int], fewest: int, model: ModelSize
) -> LayerRange:
    """Return the range of an engine without layers at its ends that others hold."""
    first, end = holder.held
    smallest = max(1, model.capacity(holder.size_mb, 1.0))
    while end - first > smallest and counts[first] > fewest:
        first += 1
    while end - first > smallest and counts[end - 1] > fewest:
        end -= 1
    return LayerRange(first, end)


def _spare(
    holders: Sequence[Holder],
    relieved: Holder,
    counts: Sequence[int],
    fewest: int,
) -> Holder | None:
    """Return the slowest engine all of whose layers others hold; None if none."""
    found = [
        holder
        for holder in holders
        if holder.held.count
        and holder.backend_id != relieved.backend_id
        and min(counts[layer] for layer in range(*holder.held)) > fewest
    ]
    return max(found, key=lambda h: (h.pace, h.size_mb, h.backend_id), default=None)
