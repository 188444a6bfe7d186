"""Waits for capacity that the callers of a route can afford."""

__all__ = ["ServiceLevel", "derive_service_level"]

from dataclasses import dataclass

# Callers of streams disconnect after a gap of this many seconds, targets for the first
# event, or targets for a pause, whichever is longest.
MIN_CALLER_GAP_S = 2.0
CALLER_GAP_TARGETS = 4.0
CALLER_GAP_PAUSES = 8.0
# The response still has to begin between the longest wait and the disconnect.
RESPONSE_START_RESERVE_S = 0.5
# Responses begin 100 to 200 ms after the send.
ON_TIME_RESERVE_S = 0.25
# A short target leaves no room for that reserve; half of it is still waited.
MIN_ON_TIME_SHARE = 0.5
# On-time wait of a route without a target, as for a target of 500 ms.
NO_TARGET_ON_TIME_WAIT_S = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLevel:
    """Waits of one request before its response begins.

    Attributes:
        on_time_wait_s: Longest wait after which a response can still be in time.
        patience_s: Longest wait after which the caller is still connected when the
            response begins.
    """

    on_time_wait_s: float
    patience_s: float


def derive_service_level(target_s: float, gap_target_s: float) -> ServiceLevel:
    """Return the service level of a route.

    Args:
        target_s: Target for the first event; 0 if there is none.
        gap_target_s: Target for the longest pause between events; 0 if there is none.

    Notes:
        Constant time, about a microsecond.

    Example:
        >>> derive_service_level(0.5, 0.2)
        ServiceLevel(on_time_wait_s=0.25, patience_s=1.5)
    """
    caller_gap_s = max(
        MIN_CALLER_GAP_S,
        CALLER_GAP_TARGETS * target_s,
        CALLER_GAP_PAUSES * gap_target_s,
    )
    if target_s > 0:
        on_time_wait_s = max(target_s - ON_TIME_RESERVE_S, MIN_ON_TIME_SHARE * target_s)
    else:
        on_time_wait_s = NO_TARGET_ON_TIME_WAIT_S
    return ServiceLevel(
        on_time_wait_s=on_time_wait_s,
        patience_s=caller_gap_s - RESPONSE_START_RESERVE_S,
    )
