"""A laboratory: the product's own decisions before a model of the engines.

Many entries decide apart, on what they know, before hundreds of modelled engines, in
simulated time and drawn from one seed. ``python -m wigeonscale.lab --help`` plays a
scenario, or compares constants of the product on the same seeds.
"""

__all__ = [
    "Burst",
    "SimulationResult",
    "Loss",
    "Scenario",
    "Window",
    "compare",
    "load_scenario",
    "simulate",
]

from wigeonscale.lab.compare import compare
from wigeonscale.lab.results import SimulationResult, Window
from wigeonscale.lab.scenario import Burst, Loss, Scenario, load_scenario
from wigeonscale.lab.simulation import simulate
