"""gRPC channels and servers between the daemons, and their TLS configuration.

This module defines all settings for keepalive, message size and reconnection.
"""

__all__ = [
    "TlsFiles",
    "client_tls_context",
    "new_server",
    "open_channel",
    "server_tls_context",
    "wait_connected",
]

import pathlib
import ssl
from dataclasses import dataclass

import grpc

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
KEEPALIVE_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 5_000
MIN_PING_INTERVAL_MS = 5_000
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 1_000

_COMMON_OPTIONS = (
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
)
_CHANNEL_OPTIONS = (
    *_COMMON_OPTIONS,
    # Otherwise a new channel reuses the connection of an old one, which may be dead.
    ("grpc.use_local_subchannel_pool", 1),
    # The application decides which calls to retry, never the transport.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", MIN_RECONNECT_MS),
    ("grpc.min_reconnect_backoff_ms", MIN_RECONNECT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_MS),
)
_SERVER_OPTIONS = (
    *_COMMON_OPTIONS,
    ("grpc.http2.min_ping_interval_without_data_ms", MIN_PING_INTERVAL_MS),
    # With port sharing, two processes on one port would receive each other's calls.
    ("grpc.so_reuseport", 0),
)
_FAILED_STATES = (
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the PEM files for mutual TLS.

    Attributes:
        ca: Certificates of the authority that signs the certificates of all processes.
        cert: Certificate of this process, which names its IP address.
        key: Private key of ``cert``.
    """

    ca: str
    cert: str
    key: str


def open_channel(address: str, *, tls: TlsFiles | None = None) -> grpc.aio.Channel:
    """Return a channel to a peer that does not share its connection.

    Args:
        address: ``ip:port`` of the peer's gRPC server.
        tls: Files for mutual TLS; None for plain TCP.

    Returns:
        A channel that connects on first use; the caller must close it.
    """
    if tls is None:
        return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
    creds = grpc.ssl_channel_credentials(
        root_certificates=_read_file(tls.ca),
        private_key=_read_file(tls.key),
        certificate_chain=_read_file(tls.cert),
    )
    return grpc.aio.secure_channel(address, creds, options=_CHANNEL_OPTIONS)


async def wait_connected(channel: grpc.aio.Channel) -> None:
    """Wait until a channel is connected, failing on the first error.

    Args:
        channel: The channel. Nothing is sent on it before it is connected.

    Raises:
        ConnectionError: If the connection fails or the channel is closed.
    """
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        if state in _FAILED_STATES:
            raise ConnectionError(f"channel is in state {state.name}")
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)


def new_server(
    address: str, *, tls: TlsFiles | None = None
) -> tuple[grpc.aio.Server, str]:
    """Return a server that is bound but not started.

    Args:
        address: ``ip:port`` to listen on; port 0 selects a free port.
        tls: Files for mutual TLS; clients without a certificate of the same
            authority are rejected. None for plain TCP.

    Returns:
        The server and the bound ``ip:port``.

    Raises:
        OSError: If the address cannot be bound.
    """
    server = grpc.aio.server(options=_SERVER_OPTIONS)
    try:
        if tls is None:
            port = server.add_insecure_port(address)
        else:
            port = server.add_secure_port(address, _server_credentials(tls))
    except RuntimeError as exc:
        raise OSError(f"cannot listen on {address}: {exc}") from exc
    return server, f"{address.rpartition(':')[0]}:{port}"


def server_tls_context(tls: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of an HTTP server that requires client certificates.

    Args:
        tls: PEM files of the process.

    Returns:
        A context for the ``ssl_context`` argument of aiohttp's sites.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.ca)
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(tls.cert, tls.key)
    return context


def client_tls_context(tls: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of an HTTP client that sends its certificate.

    Args:
        tls: PEM files of the process.

    Returns:
        A context for the ``ssl`` argument of aiohttp's requests.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.ca)
    context.load_cert_chain(tls.cert, tls.key)
    return context


def _server_credentials(tls: TlsFiles) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(_read_file(tls.key), _read_file(tls.cert))],
        root_certificates=_read_file(tls.ca),
        require_client_auth=True,
    )


def _read_file(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
