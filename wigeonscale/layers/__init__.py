"""Placement of a model's layers on engines, and the paths of requests over them."""

__all__ = [
    "Holder",
    "LayerRange",
    "ModelSize",
    "Part",
    "find_detour",
    "find_path",
    "plan_layers",
]

from wigeonscale.layers.model import Holder, LayerRange, ModelSize, Part
from wigeonscale.layers.path import find_detour, find_path
from wigeonscale.layers.plan import plan_layers
