"""Data types for the layers of a model and the engines that hold them."""

__all__ = [
    "MAX_MODEL_LAYERS",
    "Holder",
    "LayerRange",
    "ModelSize",
    "Part",
    "set_throughput",
]

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

# Bounds the memory and time that a plan takes.
MAX_MODEL_LAYERS = 4096


class LayerRange(NamedTuple):
    """A half-open range of layers, from ``first`` up to but excluding ``end``."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers in the range."""
        return self.end - self.first


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """An engine with the layers that it holds or is loading.

    Attributes:
        backend_id: Name of the engine's incarnation.
        domain: Failure domain of the engine.
        size_mb: Memory for layers and requests together, in MB.
        pace: Factor on the duration of its steps; larger is slower.
        held: Layers that it holds; an empty range for none.
        is_available: Whether the plan may rely on it: it responds and is not leaving.
        is_settled: Whether it has loaded these layers.
    """

    backend_id: str
    domain: str
    size_mb: float
    pace: float
    held: LayerRange = LayerRange(0, 0)
    is_available: bool = True
    is_settled: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSize:
    """Memory that a model and its requests need.

    Attributes:
        layers: Number of layers of the model, at most ``MAX_MODEL_LAYERS``.
        layer_mb: Memory of one layer, in MB; more than 0.
        token_mb: Memory of one token in one layer, in MB; 0 if unknown.
        room_tokens: Tokens of requests that an engine should have memory for.
        request_tokens: Tokens of a typical request, prompt and answer; 0 if unknown.
        slots: Maximum concurrent requests of a path's first engine; 0 for no limit.
        slowdown: Relative increase of the duration of each step per concurrent request.
    """

    layers: int
    layer_mb: float
    token_mb: float
    room_tokens: float
    request_tokens: float = 0.0
    slots: int = 0
    slowdown: float = 0.0

    def contains(self, layers: LayerRange) -> bool:
        """Return whether a range is not empty and the model has all its layers.

        Args:
            layers: Any range, for example one that an engine reports.
        """
        return 0 <= layers.first < layers.end <= self.layers

    def capacity(self, size_mb: float, room_share: float) -> int:
        """Return how many layers fit on an engine beside the memory for requests.

        Args:
            size_mb: Memory of the engine, in MB.
            room_share: Share of ``room_tokens`` to reserve for requests.

        Example:
            >>> size = ModelSize(
            ...     layers=80, layer_mb=1750, token_mb=0.01475, room_tokens=50_000
            ... )
            >>> size.capacity(21_600, 1.0), size.capacity(21_600, 0.5)
            (8, 10)
        """
        per_layer_mb = self.layer_mb + room_share * self.room_tokens * self.token_mb
        return int(min(size_mb / per_layer_mb, MAX_MODEL_LAYERS))

    def tokens(self, size_mb: float, layers: int) -> float:
        """Return for how many tokens of requests an engine has memory.

        Args:
            size_mb: Memory of the engine, in MB.
            layers: Number of layers that it holds, at least one.

        Returns:
            Tokens beside the layers; ``room_tokens`` if their memory is unknown.
        """
        if not self.token_mb:
            return self.room_tokens
        free_mb = max(0.0, size_mb - layers * self.layer_mb)
        return free_mb / (layers * self.token_mb)

    def requests(self, size_mb: float, layers: int) -> float:
        """Return how many typical requests fit on an engine beside its layers.

        Args:
            size_mb: Memory of the engine, in MB.
            layers: Number of layers that it holds, at least one.
        """
        request_tokens = self.request_tokens or self.room_tokens or 1.0
        room = self.tokens(size_mb, layers) / request_tokens
        return min(room, self.slots) if self.slots else room


@dataclass(frozen=True, slots=True)
class Part:
    """The layers that one engine runs on a path.

    Attributes:
        backend_id: Name of the engine's incarnation.
        layers: Layers that it runs.
    """

    backend_id: str
    layers: LayerRange


def set_throughput(
    wanted: Mapping[str, LayerRange], holders: Iterable[Holder], model: ModelSize
) -> float:
    """Return the throughput of a complete set of layers, up to a constant factor.

    It is the number of requests that its engines have memory for, divided by the time
    that a token takes to pass all engines of the set.

    Args:
        wanted: Layers of the set by engine.
        holders: Engines, including all of the set.
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
