"""Pending proposals: entries that were appended and await their result."""

__all__ = ["Proposals"]

import asyncio

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire


class Proposals:
    """Pending proposals of one leader, by the index of their entry.

    Args:
        retry_after_s: Retry delay in the error for an unknown outcome, in seconds.
    """

    def __init__(self, *, retry_after_s: float):
        self._retry_after_s = retry_after_s
        self._pending: dict[int, tuple[int, asyncio.Future]] = {}

    def __len__(self) -> int:
        """Return the number of pending proposals."""
        return len(self._pending)

    async def wait_for_result(self, index: int, term: int) -> object:
        """Wait for the result of an entry.

        Args:
            index: Index of the entry.
            term: Term of the entry.

        Returns:
            What the state machine returned for the entry.

        Raises:
            WigeonscaleError: The error set by :meth:`resolve` or :meth:`fail_all`.
        """
        fut = asyncio.get_running_loop().create_future()
        self._pending[index] = (term, fut)
        return await fut

    def resolve(self, entry: wire.LogEntry, result: object) -> None:
        """Set the result of a committed entry if its proposal is pending."""
        term, fut = self._pending.pop(entry.index, (None, None))
        if fut is None or fut.done() or term != entry.term:
            return
        if isinstance(result, WigeonscaleError):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    def fail_all(self, message: str) -> None:
        """Fail every pending proposal with an unknown outcome."""
        pending = [fut for _, fut in self._pending.values()]
        self._pending.clear()
        for fut in pending:
            if not fut.done():
                fut.set_exception(
                    WigeonscaleError(
                        ErrorKind.NO_QUORUM,
                        message,
                        run_state=RunState.UNKNOWN,
                        retry_after=self._retry_after_s,
                    )
                )
