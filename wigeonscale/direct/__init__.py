"""Direct routing: an entry sends requests to backend servers without agents."""

__all__ = [
    "AdmissionQueue",
    "BackendRateLimits",
    "BackendServer",
    "BackendTracker",
    "ClassDemandTracker",
    "DirectService",
    "EntryContext",
    "Fleet",
    "HoldRetryShare",
    "MAX_UNUSED_RESERVATION_S",
    "NamedLimit",
    "Notices",
    "OverloadDetector",
    "ReserveRetries",
    "ReservedRetries",
    "RetryShare",
    "SharedRetryBudget",
    "StallDetector",
    "read_fleet",
    "replaced_incarnations",
]

from wigeonscale.direct.admission_queue import AdmissionQueue
from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.class_demand import ClassDemandTracker
from wigeonscale.direct.fleet import (
    BackendServer,
    Fleet,
    read_fleet,
    replaced_incarnations,
)
from wigeonscale.direct.job import EntryContext
from wigeonscale.direct.notices import Notices
from wigeonscale.direct.overload import OverloadDetector
from wigeonscale.direct.rate_limits import BackendRateLimits, NamedLimit
from wigeonscale.direct.reserved_retries import (
    MAX_UNUSED_RESERVATION_S,
    ReservedRetries,
    ReserveRetries,
)
from wigeonscale.direct.retry_budget import SharedRetryBudget
from wigeonscale.direct.retry_share import HoldRetryShare, RetryShare
from wigeonscale.direct.service import DirectService
from wigeonscale.direct.stalls import StallDetector
