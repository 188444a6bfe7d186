"""HTTP routes of a control replica for operators and backend servers."""

__all__ = ["control_routes"]

import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from wigeonscale.control import Registry
from wigeonscale.errors import ERROR_RESPONSES, RunState, WigeonscaleError
from wigeonscale.platform.documents import read_route_table
from wigeonscale.platform.heartbeats import read_deregistration, read_heartbeat

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# Tells the client to repeat the call: it may or may not have taken effect, or it failed
# for a reason other than its content.
UNAVAILABLE = 503

logger = logging.getLogger(__name__)


def control_routes(
    *,
    put_document: Callable[[int, bytes], Awaitable[None]],
    get_document: Callable[[], Awaitable[bytes]],
    registry: Registry,
    heartbeat_address: str,
) -> list[web.AbstractRouteDef]:
    """Return the routes for the configuration document and for heartbeats.

    Args:
        put_document: Applies a document under its version number; returns once a
            majority of replicas has it on disk.
        get_document: Returns the current document, confirmed by a majority.
        registry: Registry of backend servers, which receives heartbeats.
        heartbeat_address: Address of this replica for later heartbeats.

    Returns:
        Routes for an aiohttp application.
    """

    async def put_config(req: web.Request) -> web.Response:
        content = await req.read()
        table = read_route_table(content)
        await put_document(table.number, content)
        return web.json_response({"version": table.number})

    async def get_config(req: web.Request) -> web.Response:
        content = await get_document()
        return web.Response(body=content, content_type="application/json")

    async def put_instance(req: web.Request) -> web.Response:
        heartbeat = read_heartbeat(req.match_info["id"], await req.read())
        await registry.announce(heartbeat.backend, heartbeat.sequence)
        return web.json_response({"heartbeat-addr": heartbeat_address})

    async def delete_instance(req: web.Request) -> web.Response:
        name = req.match_info["id"]
        deregistration = read_deregistration(name, await req.read())
        await registry.leave(name, deregistration.incarnation)
        return web.json_response({})

    return [
        web.put("/config", _with_error_responses(put_config)),
        web.get("/config", _with_error_responses(get_config)),
        web.put("/instances/{id}", _with_error_responses(put_instance)),
        web.delete("/instances/{id}", _with_error_responses(delete_instance)),
    ]


def _with_error_responses(
    handler: Callable[[web.Request], Awaitable[web.Response]],
) -> Callable[[web.Request], Awaitable[web.Response]]:
    """Wrap a handler to map :class:`WigeonscaleError` to a JSON error response."""

    async def handle(req: web.Request) -> web.Response:
        try:
            return await handler(req)
        except WigeonscaleError as exc:
            status = ERROR_RESPONSES[exc.kind].status
            if exc.run_state is not RunState.NOT_RUN or status >= 500:
                # The call may have taken effect, or could not be carried out.
                status = UNAVAILABLE
            logger.info(
                "%s %s rejected with status %s: %s",
                req.method,
                req.path,
                status,
                exc.message,
            )
            return web.json_response(
                {"error": exc.kind.value, "message": exc.message}, status=status
            )

    return handle
