"""Plain data on which engine holds which layers of a model."""

__all__ = ["Holder", "LayerRange", "Part"]

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


@dataclass(frozen=True, slots=True)
class Part:
    """Layers that one engine runs on a path.

    Attributes:
        backend_id: The engine.
        layers: Its part.
    """

    backend_id: str
    layers: LayerRange
