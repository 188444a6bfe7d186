"""Converts reservations of retries to commands of control."""

__all__ = ["reserve_retries_command"]

from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000


def reserve_retries_command(
    service: str, *, count: int, limit: int, window_s: float
) -> wire.Command:
    """Return the command that reserves retries for an entry.

    Args:
        service: Service of the requests.
        count: Wanted retries.
        limit: How many all entries may have reserved at a time.
        window_s: Time after which a reservation no longer counts, in seconds.
    """
    return wire.Command(
        reserve_retries=wire.ReserveRetries(
            service=service,
            count=count,
            limit=limit,
            window_ms=int(window_s * MS_PER_S),
        )
    )
