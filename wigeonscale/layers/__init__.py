"""Layers of a model over engines: who shall hold which, and a request's path."""

__all__ = ["Holder", "LayerRange", "Part", "find_path", "plan_layers"]

from wigeonscale.layers.model import Holder, LayerRange, Part
from wigeonscale.layers.path import find_path
from wigeonscale.layers.plan import plan_layers
