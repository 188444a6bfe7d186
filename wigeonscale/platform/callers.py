"""Callers' HTTP: requests in, answers out, one task a connection."""

__all__ = ["CallerServer"]

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage

from wigeonscale.adapters.logs import log_fields
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

# Callers keep connections for less; see the limits of the configuration.
IDLE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 32 * 1024
# What is still being answered when the server closes is cut, and told so at once.
SHUTDOWN_TIMEOUT_S = 0.05
# Connections that wait to be taken in: those of some seconds.
LISTEN_BACKLOG = 512
# A status that promises that the work did not run, and the one that does not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
# From the last byte read to the handler: wake the connection's task, start another.
LOOP_ITERATIONS_TO_HANDLER = 5

Handler = Callable[[CallerRequest, ResponseSink], Awaitable[None]]

logger = logging.getLogger(__name__)


class CallerServer:
    """Serves callers.

    Args:
        address: ``ip:port`` to listen on.
        serve: Answers one request.
        max_body: Returns the most bytes of a body.
        clock: Clock port.
        sock: Socket that listens on the address already; None to open one.
    """

    def __init__(
        self,
        *,
        address: str,
        serve: Handler,
        max_body: Callable[[], int],
        clock: Clock,
        sock: socket.socket | None = None,
    ):
        self._address = address
        self._serve = serve
        self._max_body = max_body
        self._clock = clock
        self._runner: web.ServerRunner | None = None
        self._sock = sock
        self._site: web.BaseSite | None = None
        self._stopping = False
        self._active_conns: set[web.RequestHandler] = set()
        self._no_active_conns = asyncio.Event()
        self._no_active_conns.set()

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: If the address cannot be bound.
        """
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            lingering_time=0.0,
        )
        self._runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        self._site = self._new_site()
        await self._site.start()

    def _new_site(self) -> web.BaseSite:
        if self._sock is not None:
            return web.SockSite(self._runner, self._sock, backlog=LISTEN_BACKLOG)
        host, _, port = self._address.rpartition(":")
        return web.TCPSite(self._runner, host, int(port), backlog=LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._runner.addresses[0][1]

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._runner.server.connections)

    async def drain(self, settle_s: float) -> None:
        """Serve on until the balancer sends nothing more and all is answered.

        Args:
            settle_s: Time in which the balancer notices that this entry is not
                ready, in seconds. Each answer from now on closes its connection.
        """
        self._stopping = True
        await self._clock.sleep(settle_s)
        if self._site is not None:
            await self._site.stop()
        await self._close_idle()
        await self._no_active_conns.wait()

    async def _close_idle(self) -> None:
        # Not by the server's own pre_shutdown: it stops reading idle connections but
        # leaves them open, and a request sent there would wait for nothing.
        if self._runner is None:
            return
        idle = [
            conn
            for conn in self._runner.server.connections
            if conn not in self._active_conns and _is_open(conn)
        ]
        for conn in idle:
            conn.transport.pause_reading()
        # A request that was read just now is begun within a few turns of the loop.
        for _ in range(LOOP_ITERATIONS_TO_HANDLER):
            await asyncio.sleep(0)
        for conn in idle:
            if conn not in self._active_conns:
                conn.force_close()
            elif _is_open(conn):
                conn.transport.resume_reading()

    async def close(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        conn = req.protocol
        self._active_conns.add(conn)
        self._no_active_conns.clear()
        sink = _HttpSink(req=req, is_stopping=lambda: self._stopping)
        try:
            await self._respond(req, sink)
        finally:
            self._active_conns.discard(conn)
            if self._stopping:
                # Also where the answer was begun before, and says nothing of it.
                conn.close()
            if not self._active_conns:
                self._no_active_conns.set()
        return sink.response

    async def _respond(self, req: web.BaseRequest, sink: "_HttpSink") -> None:
        arrived_at = self._clock.now()
        request_id = req.headers.get("Attempt-Id", "")
        try:
            caller_req = await self._read_request(req, arrived_at)
            await self._serve(caller_req, sink)
        except WigeonscaleError as exc:
            await self._send_error(request_id, exc, sink)
        except ConnectionError:
            logger.info("caller left", extra=log_fields(request_id=request_id))
            sink.abort()
        except Exception:
            logger.exception("request failed", extra=log_fields(request_id=request_id))
            error = WigeonscaleError(
                ErrorKind.INTERNAL, "internal error", run_state=RunState.UNKNOWN
            )
            await self._send_error(request_id, error, sink)

    async def _read_request(
        self, req: web.BaseRequest, arrived_at: float
    ) -> CallerRequest:
        limit = self._max_body()
        body = b""
        if req.body_exists:
            try:
                body = await _read_body(req, limit)
            except (BadHttpMessage, ValueError) as exc:
                raise WigeonscaleError(ErrorKind.BAD_REQUEST, str(exc)) from exc
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
        )

    async def _send_error(
        self, request_id: str, exc: WigeonscaleError, sink: "_HttpSink"
    ) -> None:
        answer = ERROR_RESPONSES[exc.kind]
        status = answer.status
        if status in NOT_RUN_STATUSES and exc.run_state is not RunState.NOT_RUN:
            status = BAD_GATEWAY
        logger.info(
            "request refused: %s",
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
            logger.info("caller left", extra=log_fields(request_id=request_id))


def _is_open(conn: web.RequestHandler) -> bool:
    return conn.transport is not None and not conn.transport.is_closing()


async def _read_body(req: web.BaseRequest, limit: int) -> bytes:
    chunks, size = [], 0
    async for chunk in req.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise WigeonscaleError(
                ErrorKind.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


class _HttpSink:
    """Writes the answer to one request.

    Args:
        req: The request.
        is_stopping: Returns whether connections close after their answer.

    Attributes:
        response: The answer, once it was begun.
    """

    def __init__(self, *, req: web.BaseRequest, is_stopping: Callable[[], bool]):
        self.response: web.StreamResponse = web.Response(status=BAD_GATEWAY)
        self._req = req
        self._is_stopping = is_stopping
        self.has_started = False

    async def send(self, answer: FullResponse) -> None:
        """Send a whole answer."""
        response = web.Response(
            status=answer.head.status,
            body=answer.body,
            headers=answer.head.headers,
        )
        await self._prepare(response)
        await response.write_eof()

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""
        response = web.StreamResponse(status=head.status, headers=head.headers)
        response.enable_chunked_encoding()
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Send part of a stream."""
        await self.response.write(data)

    async def end(self) -> None:
        """End a stream as complete."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if self._req.transport is not None:
            self._req.transport.close()

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._is_stopping():
            response.force_close()
        self.response = response
        self.has_started = True
        await response.prepare(self._req)
