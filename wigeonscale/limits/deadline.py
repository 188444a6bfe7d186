"""Early refusal of requests that cannot meet their deadline."""

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
    """Refuse a request that is estimated to complete after its deadline.

    Args:
        wait_s: Estimated queueing time, in seconds.
        service_s: Estimated service time, in seconds.
        deadline_s: Seconds until the deadline; None for no deadline.
        rng: Source of the jitter of ``retry_after``; None for no jitter.

    Raises:
        WigeonscaleError: ``OVERLOADED``, not run; ``retry_after`` is the time after
            which the current backlog has drained far enough for the request.
    """
    if deadline_s is None or wait_s + service_s <= deadline_s:
        return
    late_s = wait_s + service_s - deadline_s
    # If the deadline is shorter than the service time, a longer wait does not help.
    drain_s = min(late_s, wait_s)
    raise WigeonscaleError(
        ErrorKind.OVERLOADED,
        f"estimated wait {wait_s:.2f} s and service {service_s:.2f} s "
        f"exceed the deadline of {deadline_s:.2f} s",
        retry_after=jitter_retry_after(drain_s, rng),
    )


def jitter_retry_after(seconds: float, rng: random.Random | None = None) -> float:
    """Return a retry delay with jitter, so that refused clients do not retry at once.

    Args:
        seconds: Earliest useful delay, in seconds.
        rng: Source of the jitter; None for no jitter.

    Returns:
        Seconds, between one and two times the larger of ``seconds`` and
        ``MIN_RETRY_AFTER_S``.
    """
    base = max(seconds, MIN_RETRY_AFTER_S)
    return base * (1.0 + (rng.random() if rng else 0.0))
