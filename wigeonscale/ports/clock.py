"""Clock port; tests replace it so that their results do not depend on timing."""

__all__ = ["Clock", "SystemClock"]

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time and of delays."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await asyncio.sleep(seconds)
