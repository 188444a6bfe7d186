"""A clock that tests advance explicitly."""

__all__ = ["ManualClock"]

import asyncio
import heapq
import itertools


class ManualClock:
    """Implements the clock port; time passes only in ``advance`` and ``jump``.

    Args:
        start: First reading of :meth:`now`, in seconds.
    """

    def __init__(self, *, start: float = 1000.0):
        self._now = start
        self._sequence = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return 1.7e9 + self._now

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by ``seconds``."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._now + seconds, next(self._sequence), fut))
        await fut

    async def advance(self, seconds: float) -> None:
        """Advance the clock, waking sleepers in the order of their deadlines.

        Tasks get to run after each wake-up.

        Args:
            seconds: How far to advance the clock.
        """
        end = self._now + seconds
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, fut = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            if not fut.done():
                fut.set_result(None)
            await self._run_ready_tasks()
        self._now = end
        await self._run_ready_tasks()

    async def jump(self, seconds: float) -> None:
        """Advance the clock in one step, as if the process had been paused.

        Sleepers whose deadline has passed wake late, each of them once.

        Args:
            seconds: How far to advance the clock.
        """
        self._now += seconds
        await self.advance(0.0)

    async def _run_ready_tasks(self, rounds: int = 20) -> None:
        for _ in range(rounds):
            await asyncio.sleep(0)
