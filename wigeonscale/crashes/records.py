"""Data types for the crashes of one request or prompt part."""

__all__ = [
    "AbortedStart",
    "ConfirmedCrashes",
    "CrashReport",
    "KnownCrashes",
    "key_fields",
    "log_record",
]

import logging
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.fingerprint import is_part_key
from wigeonscale.crashes.policy import CRASHES_TO_REFUSE

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class KnownCrashes:
    """The crashes attributed to one request or part in an update from control.

    Attributes:
        fingerprint: Fingerprint of the request, or key of the part.
        backends: Incarnations that ended while they ran it; empty if it has run without
            a crash since.
        age_s: Time since the last crash, in seconds.
        span_s: Time from the first crash to the last, in seconds.
        trial: Id of the entry that may send one request with the part after its refusal
            has expired; empty for none.
        trial_age_s: Time since the trial was granted, in seconds.
        ran_age_s: Time since the last good run known to control, in seconds; None if
            none is known.
        failed_trials: Trials that ended with a crash since then; None if control is of
            an older version.
    """

    fingerprint: bytes
    backends: tuple[str, ...]
    age_s: float
    span_s: float
    trial: str = ""
    trial_age_s: float = 0.0
    ran_age_s: float | None = None
    failed_trials: int | None = None


@dataclass(frozen=True, slots=True)
class ConfirmedCrashes:
    """The crashes of one request or part that control has confirmed.

    Attributes:
        backends: Incarnations that ended while they ran it.
        first_at: Local instant of the first crash.
        last_at: Local instant of the last crash.
        trial: Id of the entry that may send one request with the part; empty for none.
        trial_at: Local instant at which that was granted.
        failed_trials: Trials that ended with a crash; None if control does not count
            them.
    """

    backends: frozenset[str]
    first_at: float
    last_at: float
    trial: str = ""
    trial_at: float = float("-inf")
    failed_trials: int | None = None


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Findings that an entry reports to control.

    Attributes:
        crashes: Pairs of the key of a request or part, and an incarnation that ended
            while it ran it.
        cleared: Keys of requests and parts that have run without a crash.
        trials: Keys of refused parts of which the entry asks to send one request.
        trial_id: Id of the entry in trials.
        ran: Keys of parts that many good runs share.
        withdrawn: Incarnations reported before that have not crashed.
    """

    crashes: tuple[tuple[bytes, str], ...]
    cleared: tuple[bytes, ...]
    trials: tuple[bytes, ...] = ()
    trial_id: str = ""
    ran: tuple[bytes, ...] = ()
    withdrawn: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        found = self.crashes or self.cleared or self.trials or self.ran
        return not (found or self.withdrawn)


@dataclass(slots=True)
class AbortedStart:
    """A run that an incarnation aborted just after its start, as seen by this entry.

    Attributes:
        at: Local instant of the abort.
        is_broken: Whether the server broke the run off. If not, its silence ended the
            run, and only its confirmed end counts as a crash.
        has_ended: Whether the incarnation is known to have ended.
        reported_at: Local instant at which it was put into a report; None before.
    """

    at: float
    is_broken: bool = True
    has_ended: bool = False
    reported_at: float | None = None


def key_fields(key: bytes) -> dict[str, str]:
    """Return the log field that names a request or a part.

    Args:
        key: Fingerprint of the request, or key of the part.
    """
    return {"part_key" if is_part_key(key) else "fingerprint": key.hex()}


def log_record(record: KnownCrashes) -> None:
    """Log the crashes of one request or part from control's update."""
    crashes = len(record.backends)
    level = logging.WARNING if crashes >= CRASHES_TO_REFUSE else logging.INFO
    outcome = "refused" if crashes >= CRASHES_TO_REFUSE else "suspected"
    is_part = is_part_key(record.fingerprint)
    logger.log(
        level,
        "%d backend servers crashed while running %s",
        crashes,
        "requests with one prompt part" if is_part else "one request",
        extra=log_fields(
            **key_fields(record.fingerprint),
            backends=sorted(record.backends),
            age_s=round(record.age_s, 3),
            trial=record.trial or None,
            failed_trials=record.failed_trials,
            outcome=outcome if crashes else "cleared",
        ),
    )
