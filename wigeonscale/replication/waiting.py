"""Timeouts by the clock port, and tasks shielded from cancellation."""

__all__ = ["run_shielded", "with_timeout"]

import asyncio
from collections.abc import Coroutine

from wigeonscale.ports import Clock


async def with_timeout(clock: Clock, seconds: float, coro: Coroutine) -> object:
    """Await a coroutine for at most ``seconds``, as measured by the clock port.

    Args:
        clock: Clock port.
        seconds: Timeout in seconds.
        coro: Coroutine to await; cancelled at the timeout.

    Returns:
        The coroutine's result.

    Raises:
        TimeoutError: The timeout expired first.
        ConnectionError: The coroutine was cancelled, but not by the caller.
    """
    task = asyncio.create_task(coro)
    timer = asyncio.create_task(clock.sleep(seconds))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if task.cancelled():
            # Not by the caller: the client was reset or the server is stopping.
            raise ConnectionError("the call was cancelled by the transport or the peer")
        if task.done():
            return task.result()
        raise TimeoutError(f"no reply within {seconds:g} s")
    finally:
        task.cancel()
        timer.cancel()
        await asyncio.gather(task, timer, return_exceptions=True)


async def run_shielded(tasks: set[asyncio.Task], coro: Coroutine) -> object:
    """Await a coroutine that continues when the caller is cancelled.

    Args:
        tasks: Holds the task until it is done, so that its owner can await it.
        coro: Coroutine to run.

    Returns:
        The coroutine's result.
    """
    task = asyncio.create_task(coro)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return await asyncio.shield(task)
