"""Timeouts by the clock port."""

__all__ = ["with_timeout"]

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

from wigeonscale.ports import Clock

T = TypeVar("T")


async def with_timeout(
    clock: Clock, seconds: float, coro: Coroutine[object, object, T]
) -> T:
    """Await a coroutine for a limited time.

    Args:
        clock: Clock that measures the limit.
        seconds: The limit.
        coro: What to await; cancelled when the limit passes.

    Returns:
        What the coroutine returned.

    Raises:
        TimeoutError: If the limit passed first.

    Notes:
        Costs two tasks, so it is meant for commands and not for tokens.
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
