"""The table of cells: what is run for each fault at each step, and what is not."""

__all__ = ["Cell", "cells"]

from dataclasses import dataclass

from wigeonscale.testing.matrix.faults import FAULTS
from wigeonscale.testing.matrix.steps import STEPS, Step

CONTROL_ROLES = ("leader", "follower")
WHOLE_PROCESS_ONLY = "one process cannot be frozen alone; see the whole-process runs"


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step.

    Attributes:
        fault: Row.
        step: Column.
        runs: What is run: the variant of the step and the role that is met.
        reason: Why nothing is run, or empty.
    """

    fault: str
    step: str
    runs: tuple[tuple[Step, str], ...] = ()
    reason: str = ""


def _runs(fault: str, step: str) -> tuple[tuple[Step, str], ...]:
    pairs = [(variant, role) for variant in STEPS[step] for role in variant.roles]
    if fault == "lost disk":
        pairs = [pair for pair in pairs if pair[1] in CONTROL_ROLES]
        if not pairs:
            # Only control has disks; it is met while the pipeline works.
            pairs = [(STEPS[step][0], "leader")]
    if not FAULTS[fault].at_node:
        pairs = [(variant, variant.roles[0]) for variant in STEPS[step]]
    return tuple(pairs)


def cells() -> list[Cell]:
    """Return every cell, row by row."""
    return [
        Cell(fault=fault, step=step, runs=_runs(fault, step))
        for fault in FAULTS
        for step in STEPS
    ]
