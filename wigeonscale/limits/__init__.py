"""Admission control: organisation limits, fair queueing and load shedding."""

__all__ = [
    "CLASS_WINDOW_S",
    "ClassCount",
    "ConcurrencyGuard",
    "FairQueue",
    "OrganisationLimits",
    "Permit",
    "ServiceLevel",
    "WaitEstimator",
    "check_deadline",
    "derive_service_level",
    "share_weights",
]

from wigeonscale.limits.class_count import CLASS_WINDOW_S, ClassCount
from wigeonscale.limits.deadline import check_deadline
from wigeonscale.limits.estimate import WaitEstimator
from wigeonscale.limits.fair_queue import FairQueue
from wigeonscale.limits.guard import ConcurrencyGuard
from wigeonscale.limits.organisations import OrganisationLimits, Permit
from wigeonscale.limits.service_level import ServiceLevel, derive_service_level
from wigeonscale.limits.sharing import share_weights
