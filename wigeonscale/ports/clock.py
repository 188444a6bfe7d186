"""The clock port, so that no verdict of a test depends on speed."""

__all__ = ["Clock", "SystemClock"]

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Reads and waits for time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock:
    """The clock of this machine."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await asyncio.sleep(seconds)
