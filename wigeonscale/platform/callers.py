"""HTTP server for callers, with one task per connection."""

__all__ = ["CallerServer"]

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable, Sequence

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import BadHttpMessage

from wigeonscale.adapters.http_server import (
    HEAD_TIMEOUT_S,
    REFUSAL_KINDS,
    Connection,
    OpenConnections,
    RequestLimits,
    accept_waiting,
)
from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.request_memory import RequestMemory
from wigeonscale.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    RunState,
    WigeonscaleError,
)
from wigeonscale.platform.headers import read_request_headers, response_headers
from wigeonscale.ports import Clock
from wigeonscale.ports.exchange import (
    CallerRequest,
    FullResponse,
    ResponseHead,
    ResponseSink,
)

# Lower bound of the idle timeout. The limits of the configuration document, which tell
# callers how long they may keep a connection idle, extend it.
IDLE_TIMEOUT_S = 75.0
# Lower bound of the limit of a header. The configuration document can extend it, for
# connections that are opened after that.
MAX_HEADER_BYTES = 32 * 1024
# Room for the request line, which the limit of the header does not include.
REQUEST_LINE_BYTES = 8 * 1024
# Name, colon and the end of the line.
MIN_HEADER_BYTES = 4
# A retransmission may delay the rest of a head that was sent in time.
HEAD_TIMEOUT_SLACK_S = 2.0
# When the server closes, the requests in progress get an error within this time. Those
# that are left are cancelled; each of two steps of that takes the second time at most.
ABORT_TIMEOUT_S = 0.2
CANCEL_TIMEOUT_S = 0.05
# A caller of a server that stops is sent to another one at once.
STOPPING_RETRY_AFTER_S = 0.1
# Room for the connections that arrive within a few seconds.
LISTEN_BACKLOG = 512
# Statuses that tell the caller that the work did not run. An error after which the work
# may have run is sent as BAD_GATEWAY instead.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[CallerRequest, ResponseSink], Awaitable[None]]

logger = logging.getLogger(__name__)


class CallerServer:
    """HTTP server that passes requests of callers to a handler.

    Args:
        address: ``ip:port`` to listen on.
        serve: Handles one request and writes the response to the sink.
        max_body: Returns the maximum size of a request body, in bytes.
        max_header: Returns the maximum size of all headers of a request, in bytes.
        header_timeout_s: Returns the longest time in which a caller sends a head, in
            seconds.
        memory: Memory that requests may hold.
        clock: Clock port.
        idle_s: Returns how long callers may keep a connection idle, in seconds.
        sock: Socket already listening on the address; None to open one.
        refuse_connection: Called for each new connection; if it returns True, the
            connection is reset without a request being read.
    """

    def __init__(
        self,
        *,
        address: str,
        serve: Handler,
        max_body: Callable[[], int],
        clock: Clock,
        max_header: Callable[[], int] = lambda: MAX_HEADER_BYTES,
        header_timeout_s: Callable[[], float] = lambda: HEAD_TIMEOUT_S,
        memory: RequestMemory | None = None,
        idle_s: Callable[[], float] = lambda: 0.0,
        sock: socket.socket | None = None,
        refuse_connection: Callable[[], bool] = lambda: False,
    ):
        self._refuse_connection = refuse_connection
        self._address = address
        self._serve = serve
        self._max_body = max_body
        self._max_header = max_header
        self._limits = RequestLimits(
            head_bytes=lambda: _max_header_bytes(max_header) + REQUEST_LINE_BYTES,
            head_timeout_s=lambda: header_timeout_s() + HEAD_TIMEOUT_SLACK_S,
            body_timeout_s=lambda: max(IDLE_TIMEOUT_S, idle_s()),
            memory=memory or RequestMemory(),
        )
        self._clock = clock
        self._idle_s = idle_s
        self._runner: web.ServerRunner | None = None
        self._sock = sock
        self._site: web.BaseSite | None = None
        self._listening: Sequence[socket.socket] = ()
        self._open_conns = OpenConnections()
        self._timeouts: set[asyncio.Timeout] = set()

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: If the address cannot be bound.
        """
        server = _CallerConnections(
            self._handle,
            refuse_connection=self._refuse_connection,
            open_conns=self._open_conns,
            max_header=self._max_header,
            limits=self._limits,
            idle_s=self._idle_s,
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,
            auto_decompress=False,
            lingering_time=0.0,
        )
        self._runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=CANCEL_TIMEOUT_S
        )
        await self._runner.setup()
        self._site = self._new_site()
        await self._site.start()
        self._listening = self._site._server.sockets

    def _new_site(self) -> web.BaseSite:
        if self._sock is not None:
            return web.SockSite(self._runner, self._sock, backlog=LISTEN_BACKLOG)
        host, _, port = self._address.rpartition(":")
        return web.TCPSite(self._runner, host, int(port), backlog=LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """TCP port the server listens on."""
        return self._runner.addresses[0][1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._runner.server.connections)

    async def drain(self, settle_s: float) -> None:
        """Stop accepting connections and wait for the requests in progress.

        From now on each response closes its connection. A request has ended when its
        response was sent, or when the caller has closed the connection.

        Args:
            settle_s: Time to keep accepting connections until the load balancer
                notices that this entry is not ready, in seconds.
        """
        self._open_conns.is_draining = True
        await self._clock.sleep(settle_s)
        if self._site is not None:
            await accept_waiting(self._listening)
            await self._site.stop()
        await self._open_conns.drain()

    async def close(self) -> None:
        """Answer the requests in progress with an error, and close all connections."""
        if self._runner is None:
            return
        for site in self._runner.sites:
            await site.stop()
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)
        try:
            async with asyncio.timeout(ABORT_TIMEOUT_S):
                await self._open_conns.drain()
        except TimeoutError:
            pass
        await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        sink = _HttpSink(req=req, open_conns=self._open_conns)
        await self._respond(req, sink)
        return sink.response

    async def _respond(self, req: web.BaseRequest, sink: "_HttpSink") -> None:
        arrived_at = self._clock.now()
        request_id = req.headers.get("Attempt-Id", "")
        caller_req = None
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                caller_req = await self._read_request(req, arrived_at)
                await self._serve(caller_req, sink)
                return
        except WigeonscaleError as exc:
            error = exc
        except asyncio.CancelledError as exc:
            if asyncio.current_task().cancelling():
                raise
            # Something that the request awaited was cancelled, not the request.
            error = _internal_error(request_id, exc)
        except Exception as exc:
            if isinstance(exc, ConnectionError) and not sink.is_open:
                logger.info(
                    "caller closed the connection",
                    extra=log_fields(request_id=request_id),
                )
                return
            error = (
                _stopping_error(is_read=caller_req is not None)
                if timeout.expired()
                else _internal_error(request_id, exc)
            )
        finally:
            self._timeouts.discard(timeout)
        await self._send_error(request_id, error, sink)

    async def _read_request(
        self, req: web.BaseRequest, arrived_at: float
    ) -> CallerRequest:
        limit = self._max_body()
        body = b""
        if req.body_exists:
            try:
                _send_continue(req)
                body = await _read_body(req, limit)
            except (BadHttpMessage, web.RequestPayloadError, ValueError) as exc:
                raise WigeonscaleError(ErrorKind.BAD_REQUEST, str(exc)) from exc
            except web.HTTPException as exc:
                raise _refusal(exc) from exc
        headers = read_request_headers(req.headers)
        return CallerRequest(
            request_id=headers.request_id,
            host=headers.host,
            method=req.method,
            path=req.raw_path,
            headers=headers.forwarded,
            body=body,
            key=headers.key,
            arrived_at=arrived_at,
            deadline_s=headers.deadline_s,
            generation=headers.generation,
            last_event_id=headers.last_event_id,
            prompt_parts=headers.prompt_parts,
        )

    async def _send_error(
        self, request_id: str, exc: WigeonscaleError, sink: "_HttpSink"
    ) -> None:
        error_response = ERROR_RESPONSES[exc.kind]
        status = error_response.status
        if status in NOT_RUN_STATUSES and exc.run_state is not RunState.NOT_RUN:
            status = BAD_GATEWAY
        logger.info(
            "request rejected: %s",
            exc.message,
            extra=log_fields(
                request_id=request_id,
                kind=exc.kind,
                outcome="cut" if sink.has_started else "refused",
                status=status,
                run_state=exc.run_state,
                retry_after_s=exc.retry_after,
            ),
        )
        if sink.has_started:
            sink.abort()
            return
        headers = response_headers(request_id, exc.retry_after)
        head = ResponseHead(status, tuple(headers.items()))
        try:
            await sink.send(FullResponse(head, f"{exc.kind.value}\n".encode()))
        except ConnectionError:
            logger.info(
                "caller closed the connection", extra=log_fields(request_id=request_id)
            )


def _internal_error(request_id: str, exc: BaseException) -> WigeonscaleError:
    logger.error(
        "unhandled exception in a request",
        exc_info=exc,
        extra=log_fields(request_id=request_id),
    )
    return WigeonscaleError(
        ErrorKind.INTERNAL, "internal error", run_state=RunState.UNKNOWN
    )


def _refusal(exc: web.HTTPException) -> WigeonscaleError:
    """Return the error for a request that was refused before its body was read."""
    kind = REFUSAL_KINDS.get(exc.status, ErrorKind.BAD_REQUEST)
    retry_after = exc.headers.get("Retry-After")
    return WigeonscaleError(
        kind,
        f"request refused: {exc.reason}",
        retry_after=float(retry_after) if retry_after else None,
    )


def _send_continue(req: web.BaseRequest) -> None:
    """Send the interim response for which a caller waits with its body, if it does."""
    expects = req.headers.get("Expect", "").strip().lower() == "100-continue"
    has_come = req.content.total_bytes or req.content.is_eof()
    if expects and not has_come and req.version >= HttpVersion11 and req.transport:
        req.transport.write(CONTINUE)


def _stopping_error(*, is_read: bool) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.STOPPING,
        "this entry stops",
        run_state=RunState.UNKNOWN if is_read else RunState.NOT_RUN,
        retry_after=STOPPING_RETRY_AFTER_S,
    )


async def _read_body(req: web.BaseRequest, limit: int) -> bytes:
    chunks, size = [], 0
    async for chunk in req.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise WigeonscaleError(
                ErrorKind.BODY_TOO_LARGE, f"request body is larger than {limit} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _max_header_bytes(configured: Callable[[], int]) -> int:
    return max(MAX_HEADER_BYTES, configured())


class _CallerConnections(web.Server):
    """HTTP server that can refuse connections before it reads from them.

    Args:
        handler: Handles one request; cancelled when its connection breaks.
        refuse_connection: Returns whether a new connection is refused.
        open_conns: Receives the connections.
        max_header: Returns the maximum size of all headers of a request, in bytes.
        **options: Options of the connections.
    """

    def __init__(
        self,
        handler,
        *,
        refuse_connection: Callable[[], bool],
        open_conns: OpenConnections,
        max_header: Callable[[], int],
        **options: object,
    ):
        super().__init__(handler, handler_cancellation=True)
        self._refuse_connection = refuse_connection
        self._open_conns = open_conns
        self._max_header = max_header
        self._options = options

    def __call__(self) -> asyncio.Protocol:
        """Return the protocol of a new connection."""
        if self._refuse_connection():
            return _RefusedConnection()
        size = _max_header_bytes(self._max_header)
        return Connection(
            self,
            open_conns=self._open_conns,
            loop=self._loop,
            max_line_size=size,
            max_field_size=size,
            max_headers=size // MIN_HEADER_BYTES,
            **self._options,
        )


class _RefusedConnection(asyncio.Protocol):
    """Resets its connection, so that the caller knows that nothing was read."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        transport.abort()


class _HttpSink:
    """Writes the response to one request.

    Args:
        req: The request.
        open_conns: Connections of the server.

    Attributes:
        response: The response in progress; a 502 response before it has started.
        has_started: Whether the head of the response was sent.
    """

    def __init__(self, *, req: web.BaseRequest, open_conns: OpenConnections):
        self.response: web.StreamResponse = web.Response(status=BAD_GATEWAY)
        self._req = req
        self._open_conns = open_conns
        self.has_started = False

    @property
    def is_open(self) -> bool:
        """Whether the caller has not closed the connection."""
        transport = self._req.transport
        return transport is not None and not transport.is_closing()

    async def send(self, response: FullResponse) -> None:
        """Send a complete response."""
        res = web.Response(
            status=response.head.status,
            body=response.body,
            headers=response.head.headers,
        )
        await self._prepare(res)
        await res.write_eof()

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        response.enable_chunked_encoding()
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Send a part of the body of a streamed response."""
        await self.response.write(data)

    async def end(self) -> None:
        """Finish a streamed response normally."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection without the end of the body.

        The caller can thus tell that the response is incomplete.
        """
        self._req.protocol.half_close()

    async def _prepare(self, response: web.StreamResponse) -> None:
        is_last = (
            self._open_conns.is_draining and not self._req.protocol.has_next_request
        )
        if is_last or not self._req.content.is_eof():
            response.force_close()
        try:
            await response.prepare(self._req)
        except ValueError:
            # The head cannot be written. Another response, which may be framed in
            # another way, takes its place.
            self._req.writer.chunked, self._req.writer.length = False, None
            raise
        self.response = response
        self.has_started = True
