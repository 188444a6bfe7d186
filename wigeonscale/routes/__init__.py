"""Routes by host and path: the route table, its validation and the matching."""

__all__ = [
    "Accelerator",
    "CallerLimits",
    "EngineProfile",
    "Organisation",
    "Repeat",
    "Route",
    "RouteTable",
    "Service",
    "Share",
    "build_table",
    "choose_service",
    "detects_early",
    "find_organisation",
    "find_route",
    "needs_early_detection",
    "traffic_classes",
]

from wigeonscale.routes.build import build_table
from wigeonscale.routes.classes import traffic_classes
from wigeonscale.routes.detection import detects_early, needs_early_detection
from wigeonscale.routes.matching import choose_service, find_organisation, find_route
from wigeonscale.routes.model import (
    Accelerator,
    CallerLimits,
    EngineProfile,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)
