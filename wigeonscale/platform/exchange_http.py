"""Sends requests to backend servers over HTTP, and reads their answers."""

__all__ = ["HttpExchange", "new_session"]

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from yarl import URL

from wigeonscale.platform.connection_limiter import limit_concurrent_connects
from wigeonscale.platform.headers import (
    backend_headers,
    is_not_run,
    is_other_incarnation,
    matches_request,
    parse_event_id,
    read_failed_address,
    read_notice,
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

# A new connection takes a few milliseconds; a machine that is gone never answers.
CONNECT_TIMEOUT_S = 0.3
# Backend servers close idle connections after some seconds, and a request that
# crosses such a close may or may not have run.
IDLE_TIMEOUT_S = 1.5
MAX_EVENT_BYTES = 1 << 20
EVENT_END = b"\n\n"

logger = logging.getLogger(__name__)


def new_session() -> aiohttp.ClientSession:
    """Return a client session that sends each request once, as it is."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=IDLE_TIMEOUT_S, enable_cleanup_closed=False
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[limit_concurrent_connects()],
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )
    # aiohttp would send a GET again by itself when a kept connection broke.
    session._retry_connection = False
    return session


class HttpExchange:
    """Exchanges over one client session.

    Args:
        session: As :func:`new_session` makes it.
    """

    def __init__(self, *, session: aiohttp.ClientSession):
        self._session = session

    async def call(self, call: BackendCall) -> FullResponse:
        """Return the whole answer."""
        async with self.open(call) as stream:
            body = await stream.read_body()
            return FullResponse(stream.head, body)

    @asynccontextmanager
    async def open(self, call: BackendCall) -> AsyncIterator[BackendStream]:
        """Open a stream; leaving the context early cancels the work."""
        res = await self._send(call)
        try:
            notice = _check_head(call, res)
            yield _HttpStream(res=res, address=call.address, notice=notice)
        finally:
            # What was not read to its end must not be taken for the next answer.
            res.close() if not res.content.at_eof() else res.release()

    async def _send(self, call: BackendCall) -> aiohttp.ClientResponse:
        req = call.req
        try:
            return await self._session.request(
                req.method,
                URL(f"http://{call.address}{req.path}", encoded=True),
                headers=backend_headers(call),
                data=req.body or None,
                allow_redirects=False,
                trace_request_ctx=call.address,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise ExchangeError(
                CallOutcome.NOT_SENT, f"{call.address} cannot be reached: {exc!r}"
            ) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise ExchangeError(
                CallOutcome.UNKNOWN, f"{call.address} gave no answer: {exc!r}"
            ) from exc


class _HttpStream:
    """An answer being read.

    Args:
        res: The response.
        address: Where it comes from.
        notice: What the backend server says of itself in it.

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
        # Kept, since the response forgets it at its end.
        self._protocol = res.connection.protocol if res.connection else None

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events; ends after the last one."""
        pending = b""
        async for chunk in self._chunks():
            pending += chunk
            while EVENT_END in pending:
                data, _, pending = pending.partition(EVENT_END)
                yield StreamEvent(parse_event_id(data), data + EVENT_END)
            if len(pending) > MAX_EVENT_BYTES:
                raise self._incomplete_error("an event is too large")
        if pending:
            raise self._incomplete_error("it ended inside an event")

    async def read_body(self) -> bytes:
        """Return the whole body of an answer that is no stream."""
        return b"".join([chunk async for chunk in self._chunks()])

    async def _chunks(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._res.content.iter_any():
                yield chunk
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise self._incomplete_error(repr(exc)) from exc
        self._check_end()

    def _check_end(self) -> None:
        """Refuse an answer without a length whose connection was reset."""
        headers = self._res.headers
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            return
        if self._protocol is None:
            return
        exc = self._protocol.exception()
        if exc is not None and not isinstance(exc, aiohttp.ServerDisconnectedError):
            raise self._incomplete_error(f"reset: {exc!r}")

    def _incomplete_error(self, message: str) -> ExchangeError:
        return ExchangeError(
            CallOutcome.UNKNOWN, f"answer of {self._address} broke off: {message}"
        )


def _check_head(call: BackendCall, res: aiohttp.ClientResponse) -> ServerNotice:
    """Return what the backend server says of itself.

    Raises:
        ExchangeError: The answer is to another request, or says the work never ran.
    """
    if not matches_request(res.headers, call.req.request_id):
        raise ExchangeError(
            CallOutcome.UNKNOWN, f"{call.address} answered another request than asked"
        )
    is_other = is_other_incarnation(res.status, res.headers)
    notice = None if is_other else read_notice(res.status, res.headers)
    if is_not_run(res.status, res.headers):
        raise ExchangeError(
            CallOutcome.NOT_RUN,
            f"{call.address} refused with {res.status}",
            status=res.status,
            failed_address=read_failed_address(res.headers),
            is_other_incarnation=is_other,
            notice=notice,
        )
    return notice
