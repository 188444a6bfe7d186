"""Reports for operators: use of error budgets, and decisions counted from logs."""

__all__ = [
    "BURN_PATH",
    "DEFAULT_OBJECTIVES",
    "BurnRecorder",
    "BurnReport",
    "BurnRow",
    "DecisionReport",
    "DecisionRow",
    "Objective",
    "WindowBurn",
    "burn_routes",
    "count_decisions",
    "draw_burn",
    "merge_exports",
]

from wigeonscale.reports.decisions import (
    DecisionReport,
    DecisionRow,
    count_decisions,
)
from wigeonscale.reports.merge import BurnReport, BurnRow, WindowBurn, merge_exports
from wigeonscale.reports.objectives import DEFAULT_OBJECTIVES, Objective
from wigeonscale.reports.picture import draw_burn
from wigeonscale.reports.recorder import BurnRecorder
from wigeonscale.reports.routes import BURN_PATH, burn_routes
