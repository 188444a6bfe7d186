"""Placement of chains on engines, and the order in which layers load."""

__all__ = [
    "ChainPlan",
    "EngineSpec",
    "Plan",
    "StagePlan",
    "chain_rate",
    "hardware_bound",
    "improve_chains",
    "order_loads",
    "plan_chains",
    "preload_spares",
]

from wigeonscale.placement.bound import hardware_bound
from wigeonscale.placement.improve import improve_chains
from wigeonscale.placement.loads import order_loads
from wigeonscale.placement.model import ChainPlan, EngineSpec, Plan, StagePlan
from wigeonscale.placement.planner import plan_chains
from wigeonscale.placement.preload import preload_spares
from wigeonscale.placement.rates import chain_rate
