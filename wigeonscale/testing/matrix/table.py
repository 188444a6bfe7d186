"""The table of cells: which runs cover each fault at each step."""

__all__ = ["Cell", "cells"]

from dataclasses import dataclass

from wigeonscale.testing.matrix.faults import FAULTS
from wigeonscale.testing.matrix.steps import ISOLATED_ORDERS, STEPS, Step

CONTROL_ROLES = ("leader", "follower")
AGENT_ROLES = ("head", "middle", "last", "here")
CONTROL_STREAM_REASON = (
    "not applicable: a stream between control replicas doubles nothing by itself;"
    " what its users send again is in the row of resends"
)


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step.

    Attributes:
        fault: Row.
        step: Column.
        runs: Pairs of a variant of the step and the target role of the fault.
        reason: Why there is no run, or empty.
    """

    fault: str
    step: str
    runs: tuple[tuple[Step, str], ...] = ()
    reason: str = ""


def _runs(fault: str, step: str) -> tuple[tuple[Step, str], ...]:
    pairs = [(variant, role) for variant in STEPS[step] for role in variant.roles]
    if fault == "lost disk":
        # Only control replicas have disks; they lose them while the pipeline works.
        selected = [pair for pair in pairs if pair[1] in CONTROL_ROLES]
        return tuple(selected or [(STEPS[step][0], "leader")])
    if fault == "doubled messages":
        return tuple(pair for pair in pairs if pair[1] in AGENT_ROLES)
    if not FAULTS[fault].targets_node:
        return tuple((variant, variant.roles[0]) for variant in STEPS[step])
    if (fault, step) == ("cut both ways", "repair"):
        pairs += [(ISOLATED_ORDERS, role) for role in ISOLATED_ORDERS.roles]
    return tuple(pairs)


def _cell(fault: str, step: str) -> Cell:
    runs = _runs(fault, step)
    return Cell(
        fault=fault, step=step, runs=runs, reason="" if runs else CONTROL_STREAM_REASON
    )


def cells() -> list[Cell]:
    """Return every cell, row by row."""
    return [_cell(fault, step) for fault in FAULTS for step in STEPS]
