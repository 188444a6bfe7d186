"""Timeouts measured by the clock port."""

__all__ = ["with_timeout"]

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

from wigeonscale.ports import Clock

T = TypeVar("T")


async def with_timeout(
    clock: Clock, seconds: float, coro: Coroutine[object, object, T]
) -> T:
    """Await a coroutine with a timeout.

    Args:
        clock: Clock that measures the timeout.
        seconds: The timeout.
        coro: The coroutine; cancelled at the timeout.

    Returns:
        The result of the coroutine.

    Raises:
        TimeoutError: If the coroutine did not finish in time.

    Notes:
        Creates two tasks, so it is meant for commands and not for single tokens.
    """
    work = asyncio.create_task(coro)
    timer = asyncio.create_task(clock.sleep(seconds))
    try:
        await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            raise TimeoutError
        return work.result()
    finally:
        work.cancel()
        timer.cancel()
        await asyncio.gather(work, timer, return_exceptions=True)
