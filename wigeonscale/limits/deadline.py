"""Refusal at once of requests that cannot be answered in time."""

__all__ = ["check_deadline", "jitter_retry_after"]

import random

from wigeonscale.errors import ErrorKind, WigeonscaleError

MIN_RETRY_AFTER_S = 1.0


def check_deadline(
    *,
    wait_s: float,
    service_s: float,
    deadline_s: float | None,
    rng: random.Random | None = None,
) -> None:
    """Refuse a request whose estimated answer comes after its deadline.

    Args:
        wait_s: Estimated seconds until it starts.
        service_s: Estimated seconds from its start to its whole answer.
        deadline_s: Seconds until its deadline; None for no deadline.
        rng: Spreads the times at which the refused come back; None: no spread.

    Raises:
        WigeonscaleError: ``OVERLOADED``, not run, with ``retry_after`` the time
            after which the present backlog leaves room for the request.
    """
    if deadline_s is None or wait_s + service_s <= deadline_s:
        return
    late_s = wait_s + service_s - deadline_s
    # A deadline shorter than the service alone is not helped by waiting longer.
    drain_s = min(late_s, wait_s)
    raise WigeonscaleError(
        ErrorKind.OVERLOADED,
        f"estimated wait {wait_s:.2f} s and service {service_s:.2f} s "
        f"exceed the deadline of {deadline_s:.2f} s",
        retry_after=jitter_retry_after(drain_s, rng),
    )


def jitter_retry_after(seconds: float, rng: random.Random | None = None) -> float:
    """Return a time to come back, spread so that not all come at once.

    Args:
        seconds: Earliest time at which a retry is worth while.
        rng: Source of the spread; None for none.

    Returns:
        Seconds, between one and two times the larger of ``seconds`` and
        ``MIN_RETRY_AFTER_S``.
    """
    base = max(seconds, MIN_RETRY_AFTER_S)
    return base * (1.0 + (rng.random() if rng else 0.0))
