"""The error for a request that has crashed too many backend servers."""

__all__ = ["crash_refusal", "wait_for_trial"]

import asyncio
import contextlib
from collections.abc import Collection, Iterable

from wigeonscale.crashes.tracker import CrashTracker
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError

# Control answers within some 40 ms.
MAX_GRANT_WAIT_S = 0.3


def crash_refusal(
    tracker: CrashTracker,
    fingerprint: bytes,
    *,
    parts: Iterable[bytes] = (),
    run_state: RunState = RunState.NOT_RUN,
) -> WigeonscaleError | None:
    """Return the error with which a request is refused, or None if it may be sent.

    Args:
        tracker: Crash records of this entry.
        fingerprint: Fingerprint of the request.
        parts: Keys of the parts of its prompt.
        run_state: State of the earlier attempts of the request.

    Returns:
        An error with ``retry_after``, or None.
    """
    refused = tracker.refused_keys((fingerprint, *parts))
    if not refused:
        return None
    key = max(refused, key=refused.get)
    name = "request" if key == fingerprint else "prompt part"
    return WigeonscaleError(
        ErrorKind.CRASHES_BACKENDS,
        f"{name} {key.hex()} has crashed several backend servers",
        run_state=run_state,
        retry_after=refused[key],
    )


async def wait_for_trial(
    tracker: CrashTracker, fingerprint: bytes, parts: Collection[bytes]
) -> None:
    """Wait for control's answer if a refused request may be sent as a trial.

    Args:
        tracker: Crash records of this entry.
        fingerprint: Fingerprint of the request.
        parts: Keys of the parts of its prompt.
    """
    keys = (fingerprint, *parts)
    refused = tracker.refused_keys(keys)
    if not refused or not tracker.ask_for_trials(refused, keys=keys):
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_GRANT_WAIT_S):
            while tracker.refused_keys(keys):
                await tracker.wait_for_records()
