"""Results of commands by operation id, so that each command takes effect once."""

__all__ = ["OperationResults"]

from wigeonscale.errors import ErrorKind
from wigeonscale.state.result_cache import ResultCache, operation_digest
from wigeonscale.state.results import refused
from wigeonscale.wire import wire_pb2 as wire

OPERATOR_OPERATIONS_LIMIT = 50_000
OPERATOR_OPERATIONS_AGE_MS = 24 * 3600 * 1000
PEER_OPERATIONS_LIMIT = 20_000
PEER_OPERATIONS_AGE_MS = 10 * 60 * 1000

_OPERATOR_COMMANDS = frozenset({"apply_config", "drain"})


class OperationResults:
    """Results by operation id; those of operators' commands are kept longer."""

    def __init__(self):
        self._operator_results = ResultCache(
            limit=OPERATOR_OPERATIONS_LIMIT, age_ms=OPERATOR_OPERATIONS_AGE_MS
        )
        self._peer_results = ResultCache(
            limit=PEER_OPERATIONS_LIMIT, age_ms=PEER_OPERATIONS_AGE_MS
        )

    def find(self, command: wire.Command) -> wire.CommandResult | None:
        """Return the first result of an operation, or None if it is new.

        Args:
            command: A command with an operation id.

        Returns:
            The first result; ``IDEMPOTENCY_KEY_REUSED`` if the id was used for a
            different command.
        """
        found = self._cache_for(command).find(command.operation_id)
        if found is None:
            return None
        digest, result = found
        if digest != operation_digest(command):
            return refused(
                ErrorKind.IDEMPOTENCY_KEY_REUSED,
                f"operation id {command.operation_id!r} was used for another command",
            )
        return result

    def add(
        self, command: wire.Command, result: wire.CommandResult, *, now_ms: int
    ) -> None:
        """Store the result of a command.

        Args:
            command: A command with an operation id.
            result: Its result.
            now_ms: Largest wall time of any command so far, in milliseconds.
        """
        self._cache_for(command).add(
            command.operation_id, operation_digest(command), now_ms, result
        )

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        snapshot.operator_operations.extend(self._operator_results.save())
        snapshot.peer_operations.extend(self._peer_results.save())

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.

        Raises:
            DecodeError: A record cannot be read.
        """
        self._operator_results.load(snapshot.operator_operations)
        self._peer_results.load(snapshot.peer_operations)

    def _cache_for(self, command: wire.Command) -> ResultCache:
        if command.WhichOneof("body") in _OPERATOR_COMMANDS:
            return self._operator_results
        return self._peer_results
