"""Detection and refusal of requests that crash backend servers."""

__all__ = [
    "CRASHES_TO_REFUSE",
    "MAX_CRASHES_PER_REQUEST",
    "MAX_TRACKED_REQUESTS",
    "START_CRASH_WINDOW_S",
    "CrashReport",
    "CrashTracker",
    "KnownCrashes",
    "refusal_s_among",
    "next_to_evict",
    "crash_refusal",
    "refusal_s",
    "report_crashes",
    "request_fingerprint",
    "retention_s",
]

from wigeonscale.crashes.fingerprint import request_fingerprint
from wigeonscale.crashes.policy import (
    CRASHES_TO_REFUSE,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    START_CRASH_WINDOW_S,
    next_to_evict,
    refusal_s,
    refusal_s_among,
    retention_s,
)
from wigeonscale.crashes.records import CrashReport, KnownCrashes
from wigeonscale.crashes.refusal import crash_refusal
from wigeonscale.crashes.reporter import report_crashes
from wigeonscale.crashes.tracker import CrashTracker
