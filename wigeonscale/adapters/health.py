"""HTTP server of each daemon for health, readiness, metrics and other routes."""

__all__ = ["bound_address", "start_http"]

from collections.abc import Callable, Iterable

import aioprometheus
from aiohttp import web

from wigeonscale.adapters.channels import TlsFiles, server_tls_context
from wigeonscale.adapters.http_server import DrainingRunner
from wigeonscale.adapters.metrics import METRICS, Metrics

SHUTDOWN_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 1024 * 1024


async def start_http(
    address: str,
    routes: Iterable[web.AbstractRouteDef],
    ready: Callable[[], bool],
    *,
    metrics: Metrics = METRICS,
    tls: TlsFiles | None = None,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> DrainingRunner:
    """Serve ``/healthz``, ``/readyz``, ``/metrics`` and further routes.

    Args:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        routes: Further routes of the daemon.
        ready: Returns whether the load balancer may send requests to this process.
        metrics: Metrics served at ``/metrics``.
        tls: Files for mutual TLS; None for plain HTTP.
        max_body_bytes: Maximum size of a request body, in bytes.
        shutdown_timeout_s: Time that ``cleanup`` waits for requests in progress and for
            their responses to be sent, in seconds.

    Returns:
        A started runner; stop it with ``await runner.cleanup()``.

    Raises:
        OSError: If the address cannot be bound.
    """
    app = web.Application(client_max_size=max_body_bytes)
    app.add_routes(_health_routes(ready, metrics))
    app.add_routes(routes)
    runner = DrainingRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    host, _, port = address.rpartition(":")
    context = server_tls_context(tls) if tls else None
    try:
        await web.TCPSite(runner, host, int(port), ssl_context=context).start()
    except OSError:
        await runner.cleanup()
        raise
    return runner


def bound_address(runner: web.AppRunner) -> str:
    """Return the ``ip:port`` on which a runner listens.

    Args:
        runner: A started runner with one site.

    Returns:
        The first bound address.
    """
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def _health_routes(
    ready: Callable[[], bool], metrics: Metrics
) -> list[web.AbstractRouteDef]:
    async def show_health(req: web.Request) -> web.Response:
        return web.json_response({"ok": True})

    async def show_readiness(req: web.Request) -> web.Response:
        is_ready = ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def show_metrics(req: web.Request) -> web.Response:
        accept = req.headers.getall("Accept", [])
        body, headers = aioprometheus.render(metrics.registry, accept)
        return web.Response(body=body, headers=headers)

    return [
        web.get("/healthz", show_health),
        web.get("/readyz", show_readiness),
        web.get("/metrics", show_metrics),
    ]
