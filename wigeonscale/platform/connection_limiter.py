"""Opens few connections to one backend server at a time.

Load pattern: entries start together, or an engine comes back, and dozens of requests go
to the same first engine in one instant, each over a new connection. Its queue of new
connections overflows, what does not fit is silently dropped and sent again only after a
second or more, and the engine looks lost to those who wait.
"""

__all__ = ["pace_connections"]

import asyncio
from collections import defaultdict
from types import SimpleNamespace

import aiohttp

# A connection opens in some 2 ms, so four at a time are 2,000 a second.
MOST_AT_ONCE = 4


def pace_connections() -> aiohttp.TraceConfig:
    """Return hooks for a client session that let new connections wait their turn.

    The context of each request (``trace_request_ctx``) names the address. A request
    over a connection that was kept never waits.
    """
    turns = defaultdict(lambda: asyncio.Semaphore(MOST_AT_ONCE))

    async def begin(_, ctx: SimpleNamespace, params) -> None:
        turn = turns[ctx.trace_request_ctx]
        await turn.acquire()
        ctx.turn = turn

    async def end(_, ctx: SimpleNamespace, params) -> None:
        turn = getattr(ctx, "turn", None)
        if turn is not None:
            ctx.turn = None
            turn.release()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(begin)
    trace.on_connection_create_end.append(end)
    # Also where it could not be opened, or its caller left.
    trace.on_request_exception.append(end)
    return trace
