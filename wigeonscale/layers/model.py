"""Plain data on which engine holds which layers of a model."""

__all__ = ["Holder", "LayerRange", "ModelSize", "Part", "set_throughput"]

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple


class LayerRange(NamedTuple):
    """Layers from ``first`` up to, but without, ``end``."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """How many layers it holds."""
        return self.end - self.first


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """An engine with the layers that it holds, or is loading.

    Attributes:
        backend_id: Name of the engine's incarnation.
        domain: Its failure domain.
        size_mb: Memory for layers and requests together.
        pace: Factor on the time of its steps; larger is slower.
        held: Its layers; empty for none.
        lasting: Whether it is to be counted on: heard of, and not leaving.
    """

    backend_id: str
    domain: str
    size_mb: float
    pace: float
    held: LayerRange = LayerRange(0, 0)
    is_available: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSize:
    """Memory that a model and its requests need.

    Attributes:
        layers: Layers of the model.
        layer_mb: Memory of one layer.
        token_mb: Memory of one token in one layer.
        room_tokens: Tokens of requests that an engine should have room for.
        request_tokens: Tokens of a usual request, prompt and answer; 0 if unknown.
        slots: Requests that the first engine of a path runs at once; 0 for any.
        slowdown: Share by which one more request lengthens each step.
    """

    layers: int
    layer_mb: float
    token_mb: float
    room_tokens: float
    request_tokens: float = 0.0
    slots: int = 0
    slowdown: float = 0.0

    def capacity(self, size_mb: float, room_share: float) -> int:
        """Return how many layers an engine holds beside its requests.

        Args:
            size_mb: Memory of the engine.
            room_share: Share of ``room_tokens`` that it is left with.

        Example:
            >>> size = ModelSize(
            ...     layers=80, layer_mb=1750, token_mb=0.01475, room_tokens=50_000
            ... )
            >>> size.capacity(21_600, 1.0), size.capacity(21_600, 0.5)
            (8, 10)
        """
        per_layer_mb = self.layer_mb + room_share * self.room_tokens * self.token_mb
        return int(size_mb / per_layer_mb)

    def requests(self, size_mb: float, layers: int) -> float:
        """Return how many usual requests an engine runs beside its layers.

        Args:
            size_mb: Memory of the engine.
            layers: Layers that it holds, one at least.
        """
        free_mb = max(0.0, size_mb - layers * self.layer_mb)
        tokens = free_mb / (layers * self.token_mb)
        room = tokens / (self.request_tokens or self.room_tokens)
        return min(room, self.slots) if self.slots else room


@dataclass(frozen=True, slots=True)
class Part:
    """Layers that one engine runs on a path.

    Attributes:
        backend_id: The engine.
        layers: Its part.
    """

    backend_id: str
    layers: LayerRange


def set_throughput(
    wanted: Mapping[str, LayerRange], holders: Iterable[Holder], model: ModelSize
) -> float:
    """Return the requests a second that a whole set serves, up to a constant factor.

    As many as its engines have memory for, over the time that a token takes along it.

    Args:
        wanted: Ranges of the set by engine.
        holders: Its engines, and any others.
        model: Sizes of the model.
    """
    by_name = {holder.backend_id: holder for holder in holders}
    most, pace, reached = math.inf, 0.0, 0
    for name, layers in sorted(wanted.items(), key=lambda item: item[1]):
        holder = by_name[name]
        most = min(most, model.requests(holder.size_mb, layers.count))
        pace += holder.pace * (layers.end - max(reached, layers.first))
        reached = layers.end
    return most / (pace * (1.0 + model.slowdown * most))
