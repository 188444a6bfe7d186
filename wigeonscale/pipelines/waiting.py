"""Waits for an event with a timeout on the clock port."""

__all__ = ["wait_event"]

import asyncio

from wigeonscale.ports import Clock


async def wait_event(event: asyncio.Event, clock: Clock, seconds: float) -> bool:
    """Wait until an event is set or a timeout expires.

    Args:
        event: The event to wait for; it is not cleared.
        clock: Clock port that measures the time.
        seconds: Timeout, in seconds.

    Returns:
        Whether the event is set.
    """
    if event.is_set():
        return True
    waits = {
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep(seconds)),
    }
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
    return event.is_set()
