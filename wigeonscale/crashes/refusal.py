"""The answer to a request under which too many backend servers have ended."""

__all__ = ["refusal_of"]

from wigeonscale.crashes.tracker import CrashTracker
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError


def refusal_of(
    tracker: CrashTracker, fingerprint: bytes, *, run_state: RunState = RunState.NOT_RUN
) -> WigeonscaleError | None:
    """Return why a request must not be sent to a backend server, or None.

    Args:
        tracker: What this entry knows.
        fingerprint: The request's.
        run_state: What became of its earlier sends.

    Returns:
        An error with word when it may be tried again.
    """
    refused_s = tracker.refusal_remaining_s(fingerprint)
    if refused_s <= 0:
        return None
    return WigeonscaleError(
        ErrorKind.CRASHES_BACKENDS,
        f"backend servers ended under request {fingerprint.hex()} before",
        run_state=run_state,
        retry_after=refused_s,
    )
