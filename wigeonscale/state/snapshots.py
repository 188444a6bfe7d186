"""Parsing and format version of snapshots of the whole state."""

__all__ = ["SNAPSHOT_FORMAT", "parse_snapshot"]

from google.protobuf.message import DecodeError

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

SNAPSHOT_FORMAT = 1


def parse_snapshot(data: bytes) -> wire.StateSnapshot:
    """Parse a snapshot and check its format version.

    Args:
        data: Bytes from :meth:`ControlState.snapshot`.

    Raises:
        WigeonscaleError: ``CORRUPT_LOG`` if the data cannot be parsed or the format is
            unknown.
    """
    try:
        snapshot = wire.StateSnapshot.FromString(data)
    except DecodeError as exc:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG, "the snapshot cannot be parsed"
        ) from exc
    if snapshot.format != SNAPSHOT_FORMAT:
        raise WigeonscaleError(
            ErrorKind.CORRUPT_LOG, f"unknown snapshot format {snapshot.format}"
        )
    return snapshot
