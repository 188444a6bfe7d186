"""Converts reservations and shares of retries to commands of control."""

__all__ = ["hold_retry_share_command", "reserve_retries_command"]

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


def hold_retry_share_command(
    entry: str, *, process: int, sequence: int, parts: int, release_s: float
) -> wire.Command:
    """Return the command that sets an entry's share of the retry budget.

    Args:
        entry: Name of the entry.
        process: Number drawn at the start of its process.
        sequence: Number of the command, higher than of all before it.
        parts: Wanted share, in parts of ``ALL_SHARE_PARTS``.
        release_s: Time after the last contact to the entry until its share may be
            dropped, in seconds.
    """
    return wire.Command(
        hold_retry_share=wire.RetryShare(
            entry=entry,
            process=process,
            sequence=sequence,
            parts=parts,
            release_ms=int(release_s * MS_PER_S),
        )
    )
