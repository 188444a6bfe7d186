"""Detection and refusal of requests and prompt parts that crash backend servers."""

__all__ = [
    "CRASHES_TO_REFUSE",
    "MAX_COMMON_PARTS",
    "MAX_CRASHES_PER_REQUEST",
    "MAX_TRACKED_REQUESTS",
    "START_CRASH_WINDOW_S",
    "CrashReport",
    "CrashTracker",
    "KnownCrashes",
    "TRIAL_INTERVAL_S",
    "crash_refusal",
    "is_part_key",
    "next_to_evict",
    "prompt_part_key",
    "refusal_s",
    "report_crashes",
    "request_fingerprint",
    "retention_s",
    "wait_for_trial",
]

from wigeonscale.crashes.common_parts import MAX_COMMON_PARTS
from wigeonscale.crashes.fingerprint import (
    is_part_key,
    prompt_part_key,
    request_fingerprint,
)
from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    START_CRASH_WINDOW_S,
    next_to_evict,
    refusal_s,
    retention_s,
)
from wigeonscale.crashes.records import CrashReport, KnownCrashes
from wigeonscale.crashes.refusal import crash_refusal, wait_for_trial
from wigeonscale.crashes.reporter import report_crashes
from wigeonscale.crashes.tracker import CrashTracker
from wigeonscale.crashes.trials import TRIAL_INTERVAL_S
