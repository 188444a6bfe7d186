"""Requests under which backend servers crash: what is known of them."""

__all__ = [
    "BEGINNING_S",
    "CRASHES_REMEMBERED",
    "CRASHES_TO_REFUSE",
    "MOST_REQUESTS",
    "CrashBook",
    "CrashReport",
    "KnownCrashes",
    "first_to_forget",
    "hold_among",
    "hold_s",
    "kept_s",
    "refusal_of",
    "report_crashes",
    "request_fingerprint",
]

from wigeonscale.crashes.book import CrashBook
from wigeonscale.crashes.fingerprint import request_fingerprint
from wigeonscale.crashes.policy import (
    BEGINNING_S,
    CRASHES_REMEMBERED,
    CRASHES_TO_REFUSE,
    MOST_REQUESTS,
    first_to_forget,
    hold_among,
    hold_s,
    kept_s,
)
from wigeonscale.crashes.records import CrashReport, KnownCrashes
from wigeonscale.crashes.refusal import refusal_of
from wigeonscale.crashes.reporter import report_crashes
