"""Admission control: organisation limits, fair queueing and load shedding."""

__all__ = [
    "AGE_STEP_S",
    "ALL_SHARE_PARTS",
    "CLASS_WINDOW_S",
    "DEFAULT_RETRY_AFTER_S",
    "INTERRUPTED_PRIORITY",
    "NEW_REPORT",
    "NO_RESERVE",
    "ClassCount",
    "ConcurrencyGuard",
    "FairQueue",
    "OrganisationLimits",
    "Permit",
    "ReserveLevel",
    "ServiceLevel",
    "WaitEstimator",
    "add_ages",
    "check_deadline",
    "class_reserve",
    "count_newer",
    "derive_service_level",
    "is_below_floor",
    "is_short",
    "next_level",
    "older_by",
    "retry_after_s",
    "share_weights",
    "spread_interrupted",
]

from wigeonscale.limits.class_count import (
    CLASS_WINDOW_S,
    INTERRUPTED_PRIORITY,
    ClassCount,
    spread_interrupted,
)
from wigeonscale.limits.class_reserve import (
    NO_RESERVE,
    ReserveLevel,
    class_reserve,
    is_below_floor,
    is_short,
    next_level,
)
from wigeonscale.limits.deadline import check_deadline
from wigeonscale.limits.estimate import WaitEstimator
from wigeonscale.limits.fair_queue import FairQueue
from wigeonscale.limits.guard import ConcurrencyGuard
from wigeonscale.limits.organisations import OrganisationLimits, Permit
from wigeonscale.limits.report_ages import (
    AGE_STEP_S,
    NEW_REPORT,
    add_ages,
    count_newer,
    older_by,
)
from wigeonscale.limits.retry_after import DEFAULT_RETRY_AFTER_S, retry_after_s
from wigeonscale.limits.service_level import ServiceLevel, derive_service_level
from wigeonscale.limits.share_parts import ALL_SHARE_PARTS
from wigeonscale.limits.sharing import share_weights
