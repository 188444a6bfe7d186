"""Results of commands by operation id, so that a resend gets the first one."""

__all__ = ["ResultCache", "operation_digest"]

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from wigeonscale.wire import wire_pb2 as wire


class ResultCache:
    """Remembered results, bounded by count and by age.

    Args:
        limit: Most results kept.
        age_ms: Age at which a result is forgotten, in milliseconds of the
            commands' wall time.

    Notes:
        Records are kept serialised, which is small and makes snapshots cheap.
        Forgetting depends on commands only, so that all replicas forget alike.
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
            operation_id: As the command carried it.

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
        """Remember a result and forget what is too old or too much.

        Args:
            operation_id: Not empty.
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
        """Return every record for a snapshot, serialised, oldest first."""
        return list(self._records.values())

    def load(self, records: Iterable[bytes]) -> None:
        """Replace everything by the records of a snapshot.

        Args:
            records: Serialised, oldest first.
        """
        self._records.clear()
        for data in records:
            record = wire.OperationRecord.FromString(data)
            self._records[record.operation_id] = data


def operation_digest(command: wire.Command) -> bytes:
    """Return a digest of what a command asks for.

    A configuration is what its document's digest says, where that is given: a
    resend may be worked out as other changes from another base revision.

    Args:
        command: Any command.

    Returns:
        A SHA-256 digest, cut to 16 bytes.
    """
    body = wire.Command()
    body.CopyFrom(command)
    body.ClearField("wall_ms")
    body.ClearField("operation_id")
    if body.WhichOneof("body") == "apply_config":
        body.apply_config.ClearField("base_revision")
        if body.apply_config.digest:
            body.apply_config.ClearField("changes")
            body.apply_config.ClearField("document")
    return hashlib.sha256(body.SerializeToString(deterministic=True)).digest()[:16]
