"""Connects the retry budget of an entry to control."""

__all__ = ["retry_reserver"]

from collections.abc import Callable

from wigeonscale.direct import MAX_UNUSED_RESERVATION_S, ReserveRetries
from wigeonscale.membership import ControlClient, reserve_retries_command

# A commit takes some milliseconds; the rest is for finding a new leader.
TIMEOUT_S = 1.0


def retry_reserver(
    control: Callable[[], ControlClient], *, window_s: float
) -> ReserveRetries:
    """Return a function that reserves retries at control.

    Args:
        control: Returns the client of control.
        window_s: Time window of the retry budget, in seconds.
    """

    async def reserve(service: str, count: int, limit: int) -> int:
        command = reserve_retries_command(
            service,
            count=count,
            limit=limit,
            window_s=window_s + MAX_UNUSED_RESERVATION_S,
        )
        result = await control().submit(command, TIMEOUT_S)
        return result.reserved

    return reserve
