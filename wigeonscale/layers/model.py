"""Plain data on which engine holds which layers of a model."""

__all__ = ["Holder", "LayerRange", "ModelSize", "Part"]

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
    lasting: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSize:
    """Memory that a model and its requests need.

    Attributes:
        layers: Layers of the model.
        layer_mb: Memory of one layer.
        token_mb: Memory of one token in one layer.
        room_tokens: Tokens of requests that an engine should have room for.
    """

    layers: int
    layer_mb: float
    token_mb: float
    room_tokens: float

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


@dataclass(frozen=True, slots=True)
class Part:
    """Layers that one engine runs on a path.

    Attributes:
        backend_id: The engine.
        layers: Its part.
    """

    backend_id: str
    layers: LayerRange
