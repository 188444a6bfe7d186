"""Opens few connections to one backend server at a time.

Load pattern: entries start together, or an engine comes back, and dozens of requests go
to the same first engine in one instant, each over a new connection. Its queue of new
connections overflows, what does not fit is silently dropped and sent again only after a
second or more, and the engine looks lost to those who wait.
"""

__all__ = ["limit_concurrent_connects"]

import asyncio
from collections import defaultdict
from types import SimpleNamespace

import aiohttp

# A connection opens in some 2 ms, so four at a time are 2,000 a second.
MAX_CONCURRENT_CONNECTS = 4


def limit_concurrent_connects() -> aiohttp.TraceConfig:
    """Return hooks for a client session that let new connections wait their turn.

    The context of each request (``trace_request_ctx``) names the address. A request
    over a connection that was kept never waits.
    """
    semaphores = defaultdict(lambda: asyncio.Semaphore(MAX_CONCURRENT_CONNECTS))

    async def acquire_slot(_, ctx: SimpleNamespace, params) -> None:
        semaphore = semaphores[ctx.trace_request_ctx]
        await semaphore.acquire()
        ctx.semaphore = semaphore

    async def release_slot(_, ctx: SimpleNamespace, params) -> None:
        semaphore = getattr(ctx, "semaphore", None)
        if semaphore is not None:
            ctx.semaphore = None
            semaphore.release()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(acquire_slot)
    trace.on_connection_create_end.append(release_slot)
    # Also where it could not be opened, or its caller left.
    trace.on_request_exception.append(release_slot)
    return trace
