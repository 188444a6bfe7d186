"""What is known of one request under which backend servers crash, as plain data."""

__all__ = [
    "CrashReport",
    "KnownCrashes",
    "AbortedStart",
    "ConfirmedCrashes",
    "log_record",
]

import logging
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.policy import CRASHES_TO_REFUSE

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownCrashes:
    """Crashes under one request, as control tells them.

    Attributes:
        fingerprint: What tells the request from all others.
        backends: Incarnations that ended under it; none where it ran well since.
        age_s: Time since the last of them, in seconds.
        span_s: Time from the first of them to the last, in seconds.
    """

    fingerprint: bytes
    backends: tuple[str, ...]
    age_s: float
    span_s: float


@dataclass(frozen=True, slots=True)
class ConfirmedCrashes:
    """What control told of one request.

    Attributes:
        names: Incarnations that ended under it.
        first_at: Local instant of the first crash.
        last_at: Local instant of the last one.
    """

    backends: frozenset[str]
    first_at: float
    last_at: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """What an entry has to tell control.

    Attributes:
        crashes: Fingerprints with an incarnation that ended under each.
        cleared: Fingerprints of requests that ran without a crash.
    """

    crashes: tuple[tuple[bytes, str], ...]
    cleared: tuple[bytes, ...]


@dataclass(slots=True)
class AbortedStart:
    """An incarnation that this entry saw break off a run that had just begun.

    Attributes:
        at: Local instant of it.
        has_ended: Whether the incarnation is known to have ended.
        reported_at: Local instant at which it was handed out to be told; None before.
    """

    at: float
    has_ended: bool = False
    reported_at: float | None = None


def log_record(record: KnownCrashes) -> None:
    """Log what control told of one request."""
    crashes = len(record.backends)
    level = logging.WARNING if crashes >= CRASHES_TO_REFUSE else logging.INFO
    outcome = "refused" if crashes >= CRASHES_TO_REFUSE else "suspected"
    logger.log(
        level,
        "%d backend servers ended under one request",
        crashes,
        extra=log_fields(
            fingerprint=record.fingerprint.hex(),
            backends=sorted(record.backends),
            age_s=round(record.age_s, 3),
            outcome=outcome if crashes else "cleared",
        ),
    )
