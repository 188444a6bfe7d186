"""Discrete-time simulation of the router's routing decisions.

Many entries run the production routing code independently, each on its own view of the
load, against hundreds of simulated engines. Time is simulated and every random draw
comes from one seed. ``python -m wigeonscale.lab --help`` describes the command line,
which simulates a scenario or compares values of a constant on the same seeds.
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
