"""Adapters for gRPC, HTTP, logging and metrics."""

__all__ = [
    "METRICS",
    "OK",
    "Metrics",
    "TlsFiles",
    "bound_address",
    "client_tls_context",
    "log_fields",
    "new_server",
    "open_channel",
    "server_tls_context",
    "setup_logging",
    "start_http",
    "wait_connected",
]

from wigeonscale.adapters.channels import (
    TlsFiles,
    client_tls_context,
    new_server,
    open_channel,
    server_tls_context,
    wait_connected,
)
from wigeonscale.adapters.health import bound_address, start_http
from wigeonscale.adapters.logs import log_fields, setup_logging
from wigeonscale.adapters.metrics import METRICS, OK, Metrics
