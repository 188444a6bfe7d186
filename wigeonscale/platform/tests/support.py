"""Sample configuration document and HTTP servers for tests of the platform."""

import json

from aiohttp import web

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-gen",
            "host": "Some.example",
            "path-prefix": "/gen/",
            "kind": "streaming",
            "timeout-ms": 20000,
            "target-latency-ms": 500,
            "priority": 1,
            "split": [
                {"service": "model", "weight": 90},
                {"service": "plain", "weight": 10},
            ],
            "max-attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap-target-ms": 200,
            "a-later-field": {},
        },
        {
            "name": "r-plain",
            "host": "some.example",
            "path-prefix": "/plain/",
            "kind": "unsafe",
            "timeout-ms": 800,
            "service": "plain",
        },
    ],
    "services": [
        {
            "name": "model",
            "max-conns": 978,
            "engine": {
                "slots": 96,
                "kv-token-bytes": 1180000,
                "step_ms": 0.85,
                "per_seq_ms": 0.00764,
                "context_per_k": 0.01024,
                "read_per_s": 196000.0,
                "usual": {"prompt": 772, "answer": 167},
                "layers": 80,
                "layer-mb": 1750.0,
                "activation-bytes": 59000,
                "pipe-mbps": 13000.0,
                "kinds": [
                    {"name": "l4", "size-mb": 21600.0, "pace": 16.0, "read-x": 8.2}
                ],
            },
        },
        {"name": "plain", "max-conns": 110},
    ],
    "limits": {"max-body-bytes": 1000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "one", "api-keys": ["k1", "k2"], "priority": 3}],
}


def document(**changes):
    return json.dumps(DOCUMENT | changes).encode()


async def serve(handler):
    """Start a server that passes every request to a handler.

    Returns:
        The runner, which the caller must clean up, and the ``ip:port``.
    """
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"
