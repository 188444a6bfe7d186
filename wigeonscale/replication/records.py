"""Checksummed records: how log entries, snapshots and the vote lie on disk.

A record is a header (length, checksum of the payload, checksum of the header)
and the payload. The header has its own checksum so that a flipped byte in the
length is told apart from a record that a crash cut short.
"""

__all__ = [
    "HEADER_BYTES",
    "ScanFault",
    "ScanResult",
    "decode_single",
    "encode_record",
    "scan_records",
]

import struct
import zlib
from dataclasses import dataclass
from enum import StrEnum

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _LENGTH_AND_CHECKSUM.size + _HEADER_CHECKSUM.size


class ScanFault(StrEnum):
    """Why the reading of a file of records ended early.

    Attributes:
        NONE: It did not.
        TORN: A crash cut the last record short, which was never acknowledged.
        CORRUPT: Anything else.
    """

    NONE = ""
    TORN = "torn"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True)
class ScanResult:
    """What was read from a file of records.

    Attributes:
        payloads: Payloads of the whole records, in order.
        offsets: Offset of each record in bytes.
        valid_bytes: Length of the part that holds whole records.
        fault: What follows that part.
    """

    payloads: tuple[bytes, ...]
    offsets: tuple[int, ...]
    valid_bytes: int
    fault: ScanFault


def encode_record(payload: bytes) -> bytes:
    """Return the record that holds ``payload``."""
    lengths = _LENGTH_AND_CHECKSUM.pack(len(payload), zlib.crc32(payload))
    return lengths + _HEADER_CHECKSUM.pack(zlib.crc32(lengths)) + payload


def scan_records(data: bytes) -> ScanResult:
    """Read records up to the end or the first fault.

    Notes:
        A record is torn when its bytes end before its length says, or when
        nothing but zeros follows (a file that grew before its data was written).
        A complete record with a wrong checksum counts as corrupt also when it is
        the last: it may have been acknowledged, and taking it for torn would
        forget a commit. Cost: one pass.
    """
    payloads = []
    offsets = []
    offset = 0
    fault = ScanFault.NONE
    while offset < len(data):
        payload = _payload_at(data, offset)
        if payload is None:
            fault = ScanFault.TORN if _is_torn(data, offset) else ScanFault.CORRUPT
            break
        payloads.append(payload)
        offsets.append(offset)
        offset += HEADER_BYTES + len(payload)
    return ScanResult(tuple(payloads), tuple(offsets), offset, fault)


def decode_single(data: bytes) -> bytes | None:
    """Return the payload of a file that holds one record; None when it is bad."""
    payload = _payload_at(data, 0)
    if payload is None or HEADER_BYTES + len(payload) != len(data):
        return None
    return payload


def _payload_at(data: bytes, offset: int) -> bytes | None:
    header = _header_at(data, offset)
    if header is None:
        return None
    length, checksum = header
    begin = offset + HEADER_BYTES
    payload = data[begin : begin + length]
    if len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _header_at(data: bytes, offset: int) -> tuple[int, int] | None:
    if offset + HEADER_BYTES > len(data):
        return None
    lengths = data[offset : offset + _LENGTH_AND_CHECKSUM.size]
    (check,) = _HEADER_CHECKSUM.unpack_from(data, offset + _LENGTH_AND_CHECKSUM.size)
    if zlib.crc32(lengths) != check:
        return None
    return _LENGTH_AND_CHECKSUM.unpack(lengths)


def _is_torn(data: bytes, offset: int) -> bool:
    if offset + HEADER_BYTES > len(data):
        return True
    header = _header_at(data, offset)
    if header is None:
        return not any(data[offset:])
    return offset + HEADER_BYTES + header[0] > len(data)
