"""A fake plain service that records every call as an effect.

Usage: ``python -m wigeonscale.testing.fake_service --listen 127.0.0.1:0 --name N``.
"""

__all__ = ["main", "serve_service"]

import argparse
import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from wigeonscale.testing.fake_engine import json_lines_writer

MAX_BODY_BYTES = 1 << 26


async def serve_service(
    *,
    name: str,
    trace: Callable[[dict], None],
    host: str = "127.0.0.1",
    port: int = 0,
    delay_s: float = 0.0,
    before_answer: Callable[[], Awaitable[None]] | None = None,
) -> tuple[web.AppRunner, str]:
    """Serve a plain service that responds to every path.

    Args:
        name: Name of the service.
        trace: Called with one record per call, before the response.
        host: IP address to listen on.
        port: Port to listen on; 0 for any.
        delay_s: Seconds between the effect and the response.
        before_answer: Awaited between the effect and the response, or None.

    Returns:
        The runner, which the caller must clean up, and the URL of the service.
    """
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    handler = _call_handler(name, trace, delay_s, before_answer)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    bound = runner.addresses[0]
    return runner, f"http://{bound[0]}:{bound[1]}"


def _call_handler(
    name: str,
    trace: Callable[[dict], None],
    delay_s: float,
    before_answer: Callable[[], Awaitable[None]] | None,
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def call(req: web.Request) -> web.Response:
        body = await req.read()
        record = {
            "service": name,
            "method": req.method,
            "path": req.path_qs,
            "key": req.headers.get("Idempotency-Key", ""),
            "digest": hashlib.sha256(body).hexdigest(),
            "at_ns": time.monotonic_ns(),
        }
        trace(record)
        await asyncio.sleep(delay_s)
        if before_answer is not None:
            await before_answer()
        return web.json_response(
            {"service": name, "path": req.path_qs, "digest": record["digest"]}
        )

    return call


def main(argv: list[str] | None = None) -> None:
    """Serve one fake service until the process is stopped."""
    parser = argparse.ArgumentParser(prog="fake_service", description=__doc__)
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--name", required=True)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--trace", default="", help="file for JSON lines")
    args = parser.parse_args(argv)
    asyncio.run(_serve(args))


async def _serve(args: argparse.Namespace) -> None:
    host, _, port = args.listen.rpartition(":")
    runner, url = await serve_service(
        name=args.name,
        trace=json_lines_writer(args.trace) if args.trace else lambda record: None,
        host=host,
        port=int(port),
        delay_s=args.delay_ms / 1000.0,
    )
    print(f"service {args.name} at {url}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


if __name__ == "__main__":
    main()
