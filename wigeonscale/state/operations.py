"""Results of commands by operation id, so that a resend gets the first one."""

__all__ = ["Operations", "operation_digest"]

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonscale.wire import wire_pb2 as wire


@dataclass(frozen=True, slots=True)
class _Record:
    digest: bytes
    wall_ms: int
    result: bytes  # serialised: a third of the memory of the message


class Operations:
    """Remembered results, bounded by count and by age.

    Args:
        limit: Most results kept.
        age_ms: Age at which a result is forgotten, in milliseconds of the
            commands' wall time.

    Notes:
        About 300 bytes a result. Forgetting depends on commands only, so that
        all replicas forget alike.
    """

    def __init__(self, *, limit: int, age_ms: int):
        self._limit = limit
        self._age_ms = age_ms
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, operation_id: str) -> tuple[bytes, wire.CommandResult] | None:
        """Return the digest and first result of an operation, or None.

        Args:
            operation_id: As the command carried it.

        Returns:
            Digest of the first command's body, and its result.
        """
        record = self._records.get(operation_id)
        if record is None:
            return None
        return record.digest, wire.CommandResult.FromString(record.result)

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
        self._records[operation_id] = _Record(
            digest, wall_ms, result.SerializeToString()
        )
        self._forget(wall_ms - self._age_ms)

    def _forget(self, before_ms):
        while len(self._records) > self._limit:
            self._records.popitem(last=False)
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.wall_ms >= before_ms:
                return
            self._records.popitem(last=False)

    def save(self) -> list[wire.OperationRecord]:
        """Return every record for a snapshot, oldest first."""
        return [
            wire.OperationRecord(
                operation_id=operation_id,
                digest=record.digest,
                wall_ms=record.wall_ms,
                result=wire.CommandResult.FromString(record.result),
            )
            for operation_id, record in self._records.items()
        ]

    def load(self, records: Iterable[wire.OperationRecord]) -> None:
        """Replace everything by the records of a snapshot.

        Args:
            records: Oldest first.
        """
        self._records.clear()
        for record in records:
            self._records[record.operation_id] = _Record(
                record.digest, record.wall_ms, record.result.SerializeToString()
            )


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
