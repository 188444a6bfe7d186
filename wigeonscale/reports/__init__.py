"""Service-level burn: recorded at the entries, merged for operators."""

__all__ = [
    "BURN_PATH",
    "DEFAULT_OBJECTIVES",
    "BurnRecorder",
    "BurnReport",
    "BurnRow",
    "Objective",
    "WindowBurn",
    "burn_routes",
    "draw_burn",
    "merge_exports",
]

from wigeonscale.reports.merge import BurnReport, BurnRow, WindowBurn, merge_exports
from wigeonscale.reports.objectives import DEFAULT_OBJECTIVES, Objective
from wigeonscale.reports.picture import draw_burn
from wigeonscale.reports.recorder import BurnRecorder
from wigeonscale.reports.routes import BURN_PATH, burn_routes
