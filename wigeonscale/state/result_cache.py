"""Bounded cache of command results, so that a retry gets the first result."""

__all__ = ["ResultCache", "operation_digest"]

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from wigeonscale.wire import wire_pb2 as wire


class ResultCache:
    """Results by operation id, bounded by count and by age.

    Args:
        limit: Largest number of results kept.
        age_ms: Age at which a result is evicted, in milliseconds of the commands'
            wall time.

    Notes:
        Records are kept serialised, which saves memory and makes snapshots cheap.
        Eviction depends on commands only, so that it is the same on all replicas.
    """

    def __init__(self, *, limit: int, age_ms: int):
        self._limit = limit
        self._age_ms = age_ms
        self._records: OrderedDict[str, bytes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, operation_id: str) -> tuple[bytes, wire.CommandResult] | None:
        """Return the digest and first result of an operation, or None.

        Args:
            operation_id: Operation id of the command.

        Returns:
            Digest of the first command's body, and its result.
        """
        data = self._records.get(operation_id)
        if data is None:
            return None
        record = wire.OperationRecord.FromString(data)
        return record.digest, record.result

    def add(
        self, operation_id: str, digest: bytes, wall_ms: int, result: wire.CommandResult
    ) -> None:
        """Store a result and evict results beyond the age or count limit.

        Args:
            operation_id: Operation id of the command; not empty.
            digest: Digest of the command's body.
            wall_ms: Largest wall time of any command so far, in milliseconds.
            result: The command's result.
        """
        record = wire.OperationRecord(
            operation_id=operation_id, digest=digest, wall_ms=wall_ms, result=result
        )
        self._records[operation_id] = record.SerializeToString()
        self._evict(wall_ms - self._age_ms)

    def _evict(self, before_ms):
        while len(self._records) > self._limit:
            self._records.popitem(last=False)
        while self._records:
            oldest = wire.OperationRecord.FromString(next(iter(self._records.values())))
            if oldest.wall_ms >= before_ms:
                return
            self._records.popitem(last=False)

    def save(self) -> list[bytes]:
        """Return every record, serialised, oldest first."""
        return list(self._records.values())

    def load(self, records: Iterable[bytes]) -> None:
        """Replace the contents by the records of a snapshot.

        Args:
            records: Serialised, oldest first.
        """
        self._records.clear()
        for data in records:
            record = wire.OperationRecord.FromString(data)
            self._records[record.operation_id] = data


def operation_digest(command: wire.Command) -> bytes:
    """Return a digest that identifies the effect of a command.

    If a configuration command has a document digest, only that digest counts: a retry
    may reach the same document by other changes from another base revision.

    Args:
        command: Any command.

    Returns:
        The first 16 bytes of a SHA-256 digest.
    """
    body = wire.Command()
    body.CopyFrom(command)
    body.ClearField("wall_ms")
    body.ClearField("expired_index")
    body.ClearField("operation_id")
    if body.WhichOneof("body") == "apply_config":
        body.apply_config.ClearField("base_revision")
        if body.apply_config.digest:
            body.apply_config.ClearField("changes")
            body.apply_config.ClearField("document")
    return hashlib.sha256(body.SerializeToString(deterministic=True)).digest()[:16]
