"""Limits how many connections to one backend server are opened concurrently.

When entries start together, or an engine comes back, dozens of requests go to the same
first engine at once, each over a new connection. Without a limit the engine's listen
backlog overflows; excess connection attempts are silently dropped and retransmitted
only after a second or more, and the waiting requests count the engine as failed.
"""

__all__ = ["ConnectionContext", "limit_concurrent_connects"]

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp

# A connection takes about 2 ms to open, so that 4 at a time allow 2,000 per second.
MAX_CONCURRENT_CONNECTS = 4


@dataclass(slots=True)
class ConnectionContext:
    """Context of one request for the hooks of a client session.

    Attributes:
        address: ``ip:port`` of the server.
        is_reused: Whether the connection has carried other requests.
    """

    address: str
    is_reused: bool = False


def limit_concurrent_connects() -> aiohttp.TraceConfig:
    """Return client session hooks that limit concurrent connects per address.

    Each request has a :class:`ConnectionContext` as ``trace_request_ctx``. One that
    reuses a pooled connection never waits.
    """
    semaphores = defaultdict(lambda: asyncio.Semaphore(MAX_CONCURRENT_CONNECTS))

    async def acquire_slot(_, ctx: SimpleNamespace, params) -> None:
        semaphore = semaphores[ctx.trace_request_ctx.address]
        await semaphore.acquire()
        ctx.semaphore = semaphore

    async def release_slot(_, ctx: SimpleNamespace, params) -> None:
        semaphore = getattr(ctx, "semaphore", None)
        if semaphore is not None:
            ctx.semaphore = None
            semaphore.release()

    async def note_reuse(_, ctx: SimpleNamespace, params) -> None:
        ctx.trace_request_ctx.is_reused = True

    async def note_new(_, ctx: SimpleNamespace, params) -> None:
        # The connector may have discarded a pooled connection before.
        ctx.trace_request_ctx.is_reused = False

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(note_reuse)
    trace.on_connection_create_end.append(note_new)
    trace.on_connection_create_start.append(acquire_slot)
    trace.on_connection_create_end.append(release_slot)
    # Also release the slot if the connection fails or the request is cancelled.
    trace.on_request_exception.append(release_slot)
    return trace
