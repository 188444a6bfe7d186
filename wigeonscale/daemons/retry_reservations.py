"""Connects the retry budget of an entry to control."""

__all__ = ["retry_reserver", "retry_share_holder"]

import random
from collections.abc import Callable

from wigeonscale.direct import (
    MAX_UNUSED_RESERVATION_S,
    HoldRetryShare,
    ReserveRetries,
)
from wigeonscale.membership import (
    ControlClient,
    hold_retry_share_command,
    reserve_retries_command,
)

# A commit takes some milliseconds; the rest is for finding a new leader.
TIMEOUT_S = 1.0
PROCESS_BITS = 62


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


def retry_share_holder(
    control: Callable[[], ControlClient], *, name: str, rng: random.Random
) -> HoldRetryShare:
    """Return a function that holds this entry's share of the retry budget at control.

    Args:
        control: Returns the client of control.
        name: Name of this entry.
        rng: Random source of the number of this process.
    """
    process = rng.getrandbits(PROCESS_BITS)

    async def hold(sequence: int, parts: int, release_s: float) -> int:
        command = hold_retry_share_command(
            name,
            process=process,
            sequence=sequence,
            parts=parts,
            release_s=release_s,
        )
        result = await control().submit(command, TIMEOUT_S)
        return result.share_parts

    return hold
