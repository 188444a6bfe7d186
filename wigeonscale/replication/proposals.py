"""Proposals that were appended and wait for their outcome."""

__all__ = ["Proposals"]

import asyncio

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire


class Proposals:
    """Proposals of one leader by the index of their entry.

    Args:
        retry_after_s: Advice to a proposer whose outcome is not known, in seconds.
    """

    def __init__(self, *, retry_after_s: float):
        self._retry_after_s = retry_after_s
        self._pending: dict[int, tuple[int, asyncio.Future]] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._pending)

    async def wait_for_result(self, index: int, term: int) -> object:
        """Wait for what became of an entry.

        Args:
            index: Index of the entry.
            term: Its term.

        Returns:
            What the state machine returned for it.

        Raises:
            WigeonscaleError: The error that :meth:`answer` or :meth:`fail_all` gave.
        """
        fut = asyncio.get_running_loop().create_future()
        self._pending[index] = (term, fut)
        return await fut

    def resolve(self, entry: wire.LogEntry, result: object) -> None:
        """Give the result of a committed entry to its proposer, if one waits."""
        term, fut = self._pending.pop(entry.index, (None, None))
        if fut is None or fut.done() or term != entry.term:
            return
        if isinstance(result, WigeonscaleError):
            fut.set_exception(result)
        else:
            fut.set_result(result)

    def fail_all(self, message: str) -> None:
        """Tell every waiting proposer that its outcome is not known."""
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
