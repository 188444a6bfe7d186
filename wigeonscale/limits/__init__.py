"""Admission control: organisation limits, fair queueing and load shedding."""

__all__ = [
    "CLAIM_DELAY_S",
    "CLASS_WINDOW_S",
    "ClassCount",
    "ConcurrencyGuard",
    "FairQueue",
    "OrganisationLimits",
    "Permit",
    "WaitEstimator",
    "accepted_claim",
    "check_deadline",
    "own_share",
    "pool_share",
    "share_weights",
    "target_claim",
]

from wigeonscale.limits.class_count import CLASS_WINDOW_S, ClassCount
from wigeonscale.limits.deadline import check_deadline
from wigeonscale.limits.estimate import WaitEstimator
from wigeonscale.limits.fair_queue import FairQueue
from wigeonscale.limits.guard import ConcurrencyGuard
from wigeonscale.limits.organisations import OrganisationLimits, Permit
from wigeonscale.limits.retry_pool import (
    CLAIM_DELAY_S,
    accepted_claim,
    own_share,
    pool_share,
    target_claim,
)
from wigeonscale.limits.sharing import share_weights
