"""Checksummed records, the on-disk format of log entries, snapshots and votes.

A record is a header (length, checksum of the payload, checksum of the header)
followed by the payload. The header has a checksum of its own so that a corrupt
length can be distinguished from a record that a crash truncated.
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
    """Why a scan of a file of records stopped before the end of the file.

    Attributes:
        NONE: The scan reached the end.
        TORN: A crash truncated the last record, which was never acknowledged.
        CORRUPT: Any other damage.
    """

    NONE = ""
    TORN = "torn"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Result of a scan of a file of records.

    Attributes:
        payloads: Payloads of the complete records, in order.
        offsets: Offset of each record, in bytes.
        valid_bytes: Length of the prefix that holds complete records, in bytes.
        fault: Kind of damage after that prefix.
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
        A record is torn when the file ends before the length in its header, or
        when only zeros follow (the file size was extended before the data was
        written). A complete record with a wrong checksum is corrupt even when it is
        the last one: it may have been acknowledged, and treating it as torn would
        lose a committed entry. Takes one pass over the data.
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
    """Return the payload of a file that holds one record, or None if it is damaged."""
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
