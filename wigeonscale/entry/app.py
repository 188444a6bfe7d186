"""The entry's HTTP server for callers."""

__all__ = ["CallerServer"]

import asyncio

from aiohttp import hdrs, web

from wigeonscale.adapters import bound_address
from wigeonscale.entry.calls import call_service
from wigeonscale.entry.completions import completions_handler
from wigeonscale.entry.flow import make_handler
from wigeonscale.entry.malformed_http import CallerRunner
from wigeonscale.entry.resume import resume_answer
from wigeonscale.entry.service import EntryService
from wigeonscale.entry.sse import Shape

BACKLOG = 1024
# Time for the load balancer to notice that the entry is not ready.
UNREADY_GRACE_S = 1.0
# Time for aborted answers to write their error event.
ABORT_GRACE_S = 0.5


class CallerServer:
    """HTTP server for callers with a graceful shutdown.

    Args:
        entry: The entry.
        address: ``ip:port`` to listen on; port 0 selects a free port.
    """

    def __init__(self, *, entry: EntryService, address: str):
        self._entry = entry
        self._address = address
        self._runner: CallerRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """The bound ``ip:port``."""
        return bound_address(self._runner)

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: If the address cannot be bound.
        """
        # handler_cancellation: when a caller disconnects, its handler is cancelled and
        # then stops or detaches the work.
        self._runner = CallerRunner(
            _application(self._entry),
            handler_cancellation=True,
            shutdown_timeout=ABORT_GRACE_S,
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port), backlog=BACKLOG)
        await self._site.start()

    async def stop_accepting(self) -> None:
        """Become unready, then stop accepting connections.

        Open connections are still served; each is closed after its next response.
        """
        self._entry.draining = True
        if self._runner is not None:
            self._runner.open_conns.is_draining = True
        await self._entry.clock.sleep(UNREADY_GRACE_S)
        if self._site is not None:
            await self._site.stop()

    async def finish(self) -> None:
        """Wait until the answers in progress are complete and sent."""
        await self._entry.wait_until_idle()
        if self._runner is not None:
            await self._runner.open_conns.drain()

    async def abort(self) -> None:
        """Abort the answers still in progress with an error event."""
        self._entry.stopping = True
        self._entry.abort()
        try:
            async with asyncio.timeout(ABORT_GRACE_S):
                await self._entry.wait_until_idle()
        except TimeoutError:
            return

    async def close(self) -> None:
        """Close all connections; requests that still arrive are refused."""
        self._entry.stopping = True
        if self._runner is not None:
            await self._runner.cleanup()
        await self._entry.close()


def _application(entry: EntryService) -> web.Application:
    app = web.Application(client_max_size=entry.limits.body_limit_bytes)

    async def close_when_draining(req: web.Request, resp: web.StreamResponse) -> None:
        if entry.draining:
            resp.headers[hdrs.CONNECTION] = "close"
            resp.force_close()

    app.on_response_prepare.append(close_when_draining)
    app.router.add_post(
        "/v1/completions", make_handler(entry, completions_handler(Shape.COMPLETION))
    )
    app.router.add_post(
        "/v1/chat/completions", make_handler(entry, completions_handler(Shape.CHAT))
    )
    app.router.add_get("/v1/requests/{id}", make_handler(entry, resume_answer))
    app.router.add_route("*", "/{path:.*}", make_handler(entry, call_service))
    return app
