"""Data types for the crashes of one request."""

__all__ = [
    "AbortedStart",
    "ConfirmedCrashes",
    "CrashReport",
    "KnownCrashes",
    "log_record",
]

import logging
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.policy import CRASHES_TO_REFUSE

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownCrashes:
    """The crashes attributed to one request in an update from control.

    Attributes:
        fingerprint: Fingerprint of the request.
        backends: Incarnations that ended while they ran the request; empty if the
            request has completed without a crash since.
        age_s: Time since the last crash, in seconds.
        span_s: Time from the first crash to the last, in seconds.
    """

    fingerprint: bytes
    backends: tuple[str, ...]
    age_s: float
    span_s: float


@dataclass(frozen=True, slots=True)
class ConfirmedCrashes:
    """The crashes of one request that control has confirmed.

    Attributes:
        backends: Incarnations that ended while they ran the request.
        first_at: Local instant of the first crash.
        last_at: Local instant of the last crash.
    """

    backends: frozenset[str]
    first_at: float
    last_at: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Findings that an entry reports to control.

    Attributes:
        crashes: Pairs of a request's fingerprint and an incarnation that ended while it
            ran the request.
        cleared: Fingerprints of requests that completed without a crash.
    """

    crashes: tuple[tuple[bytes, str], ...]
    cleared: tuple[bytes, ...]


@dataclass(slots=True)
class AbortedStart:
    """A run that an incarnation aborted just after its start, as seen by this entry.

    Attributes:
        at: Local instant of the abort.
        has_ended: Whether the incarnation is known to have ended.
        reported_at: Local instant at which it was put into a report; None before.
    """

    at: float
    has_ended: bool = False
    reported_at: float | None = None


def log_record(record: KnownCrashes) -> None:
    """Log the crashes of one request from control's update."""
    crashes = len(record.backends)
    level = logging.WARNING if crashes >= CRASHES_TO_REFUSE else logging.INFO
    outcome = "refused" if crashes >= CRASHES_TO_REFUSE else "suspected"
    logger.log(
        level,
        "%d backend servers crashed while running one request",
        crashes,
        extra=log_fields(
            fingerprint=record.fingerprint.hex(),
            backends=sorted(record.backends),
            age_s=round(record.age_s, 3),
            outcome=outcome if crashes else "cleared",
        ),
    )
