"""Desired states like those of the users' pages, for a small deployment."""

__all__ = ["HOST", "desired_state", "model_service", "plain_service", "route"]

HOST = "ficu95.example"


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route for ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 20000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": True,
        "sticky": kind == "streaming",
        "resumable": False,
        "gap-target-ms": 200 if kind == "streaming" else 0,
    } | fields


def model_service(name: str, layers: int, kinds: list[dict]) -> dict:
    """Return a service of model engines."""
    engine = {
        "slots": 96,
        "kv-capacity": 50000,
        "kv-token-bytes": 1180000,
        "link-mbps": 480000.0,
        "stride": 2,
        "models": [{"name": "m", "pace": 1.0, "load-s": 14.0, "warm-s": 1.0}],
        "step_ms": 0.85,
        "per_seq_ms": 0.00764,
        "context_per_k": 0.01024,
        "read_per_s": 196000.0,
        "pairs_per_m": 0.166,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads-per-s": 0.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 772, "answer": 167},
        "layers": layers,
        "layer-mb": 1750.0,
        "activation-bytes": 59000,
        "pipe-mbps": 13000.0,
        "kinds": kinds,
    }
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 978,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def plain_service(name: str) -> dict:
    """Return a service of plain servers."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 110,
        "protocol": "h1",
        "tls": False,
    }


def desired_state(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a desired state without tenants."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
