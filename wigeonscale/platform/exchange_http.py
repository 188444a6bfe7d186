"""HTTP client that sends requests of callers to backend servers."""

__all__ = ["HttpExchange", "new_session"]

import logging
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from wigeonscale.adapters.http_connector import (
    CleanConnector,
    ResetCheck,
    discard_connection,
)
from wigeonscale.adapters.logs import log_fields
from wigeonscale.platform.connection_limiter import (
    ConnectionContext,
    limit_concurrent_connects,
)
from wigeonscale.platform.headers import (
    REQUEST_ID_HEADER,
    backend_headers,
    is_not_run,
    is_other_incarnation,
    is_unstamped_success,
    is_valid_value,
    matches_request,
    parse_event_id,
    read_failed_address,
    read_notice,
    read_request_id,
    read_response_head,
)
from wigeonscale.ports.exchange import (
    BackendCall,
    BackendStream,
    CallOutcome,
    ExchangeError,
    FullResponse,
    ResponseHead,
    ServerNotice,
    StreamEvent,
)

# A new connection takes a few milliseconds; a VM that is down never responds.
CONNECT_TIMEOUT_S = 0.3
# Backend servers close idle connections after some seconds. A request sent while the
# server closes the connection may or may not have run, so the client closes first.
IDLE_TIMEOUT_S = 1.5
MAX_EVENT_BYTES = 1 << 20
# Lines end with LF, CR LF or CR. A CR behind LF or CR LF may be half of a CR LF,
# so that the event ends only with the byte behind it.
EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))|\r\r")
MAX_EVENT_END_BYTES = 4
MAX_LOGGED_HEAD_BYTES = 256
# A lower status announces that another response follows.
MIN_FINAL_STATUS = 200

logger = logging.getLogger(__name__)


def new_session(*, keeps_connections: bool = True) -> aiohttp.ClientSession:
    """Return a client session that sends each request once and unmodified.

    Args:
        keeps_connections: Whether a connection carries several requests. A late second
            response can be told from the response to the next request only if it bears
            the id of its request.
    """
    options = (
        {"keepalive_timeout": IDLE_TIMEOUT_S}
        if keeps_connections
        else {"force_close": True}
    )
    session = aiohttp.ClientSession(
        connector=CleanConnector(
            id_header=REQUEST_ID_HEADER,
            limit=0,
            enable_cleanup_closed=False,
            **options,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[limit_concurrent_connects()],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # By default aiohttp retries a GET when a pooled connection breaks.
    session._retry_connection = False
    return session


class HttpExchange:
    """Implements the exchange port with one client session.

    Args:
        session: Client session from :func:`new_session`.
    """

    def __init__(self, *, session: aiohttp.ClientSession):
        self._session = session

    async def call(self, call: BackendCall) -> FullResponse:
        """Send a request and return the complete response."""
        async with self.open(call) as stream:
            body = await stream.read_body()
            return FullResponse(stream.head, body)

    @asynccontextmanager
    async def open(self, call: BackendCall) -> AsyncIterator[BackendStream]:
        """Send a request and return its response as a stream.

        Leaving the context before the end of the response cancels the work.
        """
        ctx = ConnectionContext(call.address)
        res = await self._send(call, ctx)
        try:
            notice = _accept_head(call, res, is_reused=ctx.is_reused)
            yield _HttpStream(res=res, address=call.address, notice=notice)
        finally:
            # The rest of an unread response must not be read as the next response.
            res.close() if not res.content.at_eof() else res.release()

    async def _send(
        self, call: BackendCall, ctx: ConnectionContext
    ) -> aiohttp.ClientResponse:
        req = call.req
        try:
            return await self._session.request(
                req.method,
                _target_url(call.address, req.path),
                headers=backend_headers(call),
                data=req.body or None,
                allow_redirects=False,
                trace_request_ctx=ctx,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise ExchangeError(
                CallOutcome.NOT_SENT, f"cannot connect to {call.address}: {exc!r}"
            ) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise ExchangeError(
                CallOutcome.UNKNOWN, f"no response from {call.address}: {exc!r}"
            ) from exc


def _target_url(address: str, target: str) -> URL:
    """Return the URL whose request has the target exactly as the caller sent it.

    The target is not split into path and query, as an empty query or a fragment would
    be lost in that.
    """
    host, _, port = address.rpartition(":")
    return URL.build(
        scheme="http", host=host, port=int(port), path=target, encoded=True
    )


class _HttpStream:
    """A response whose body is being read.

    Args:
        res: The response.
        address: ``ip:port`` of the backend server.
        notice: Status of the backend server as its headers report it.

    Attributes:
        head: Status and headers for the caller.
    """

    def __init__(
        self, *, res: aiohttp.ClientResponse, address: str, notice: ServerNotice
    ):
        self.head: ResponseHead = read_response_head(
            res.status, res.raw_headers, notice
        )
        self._res = res
        self._address = address
        self._reset_check = ResetCheck(res=res)

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events of the stream."""
        pending = b""
        async for chunk in self._chunks():
            searched = max(0, len(pending) - MAX_EVENT_END_BYTES)
            pending += chunk
            while (end := EVENT_END.search(pending, searched)) is not None:
                data, pending = pending[: end.end()], pending[end.end() :]
                searched = 0
                yield StreamEvent(parse_event_id(data), data)
            if len(pending) > MAX_EVENT_BYTES:
                raise self._incomplete_error("an event exceeds the size limit")
        if pending.endswith(b"\n\r"):
            yield StreamEvent(parse_event_id(pending), pending)
        elif pending.strip(b"\r\n"):
            raise self._incomplete_error("the stream ended within an event")
        elif pending:
            yield StreamEvent(None, pending)

    async def read_body(self) -> bytes:
        """Return the complete body of a response that is not an event stream."""
        return b"".join([chunk async for chunk in self._chunks()])

    async def _chunks(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._res.content.iter_any():
                yield chunk
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise self._incomplete_error(repr(exc)) from exc
        exc = self._reset_check.error()
        if exc is not None:
            raise self._incomplete_error(f"connection reset: {exc!r}")

    def _incomplete_error(self, message: str) -> ExchangeError:
        return ExchangeError(
            CallOutcome.UNKNOWN, f"incomplete response of {self._address}: {message}"
        )


def _accept_head(
    call: BackendCall, res: aiohttp.ClientResponse, *, is_reused: bool
) -> ServerNotice:
    """Check the head of a response; close its connection if it is no valid response.

    The response to the request may still follow, and must not be read as the next one.

    Raises:
        ExchangeError: As :func:`_check_head`.
    """
    try:
        return _check_head(call, res, is_reused=is_reused)
    except ExchangeError as exc:
        if exc.outcome is not CallOutcome.NOT_RUN:
            discard_connection(res)
        raise


def _check_head(
    call: BackendCall, res: aiohttp.ClientResponse, *, is_reused: bool
) -> ServerNotice:
    """Return the notice in the headers of a response.

    Raises:
        ExchangeError: If the response belongs to another request, states that the work
            did not run, cannot be forwarded, or is a success without the stamp of a
            backend server.
    """
    is_match = matches_request(res.headers, call.req.request_id, is_reused=is_reused)
    response_id = read_request_id(res.headers)
    if response_id != call.req.request_id:
        _log_other_id(call, res, response_id, is_reused=is_reused, is_match=is_match)
    if not is_match:
        raise ExchangeError(
            CallOutcome.UNKNOWN, f"{call.address} responded to a different request"
        )
    is_other = is_other_incarnation(res.status, res.headers)
    notice = None if is_other else read_notice(res.status, res.headers)
    if is_not_run(res.status, res.headers):
        raise ExchangeError(
            CallOutcome.NOT_RUN,
            f"{call.address} rejected the request with status {res.status}",
            status=res.status,
            failed_address=read_failed_address(res.headers),
            is_other_incarnation=is_other,
            notice=notice,
        )
    if res.status < MIN_FINAL_STATUS or not all(
        map(is_valid_value, res.headers.values())
    ):
        raise ExchangeError(
            CallOutcome.UNKNOWN,
            f"{call.address} sent no valid final response, but status {res.status}",
            status=res.status,
            notice=notice,
        )
    if is_unstamped_success(res.status, res.headers):
        raise ExchangeError(
            CallOutcome.UNKNOWN,
            f"{call.address} responded with status {res.status} without a stamp",
            status=res.status,
            notice=notice,
        )
    return notice


def _log_other_id(
    call: BackendCall,
    res: aiohttp.ClientResponse,
    response_id: str,
    *,
    is_reused: bool,
    is_match: bool,
) -> None:
    """Log which connection and which bytes a response without its id came from."""
    # The public property is unset once a short body has been received.
    transport = res._protocol.transport
    head = b"\r\n".join(b": ".join(header) for header in res.raw_headers)
    logger.warning(
        "response without the id of its request",
        extra=log_fields(
            request_id=call.req.request_id,
            response_id=response_id,
            backend=call.backend_id,
            address=call.address,
            local_address=transport.get_extra_info("sockname") if transport else None,
            is_reused=is_reused,
            status=res.status,
            head=head[:MAX_LOGGED_HEAD_BYTES].decode("latin-1"),
            outcome="taken" if is_match else "rejected",
        ),
    )
