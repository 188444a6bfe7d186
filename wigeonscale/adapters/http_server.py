"""Connections of an HTTP server that bound what they read and deliver what they write.

When a handler has finished, the end of its response may still wait in the buffer of the
transport, and is lost if the process exits. Besides, closing a socket with unread data
resets the connection, which discards what the peer has not received.

A head reaches the parser only when it is complete, and the next request only when the
one before is in progress.
"""

__all__ = [
    "HEAD_TIMEOUT_S",
    "REFUSAL_KINDS",
    "REFUSED_RETRY_AFTER_S",
    "Connection",
    "DrainingRunner",
    "OpenConnections",
    "RequestLimits",
    "accept_waiting",
]

import asyncio
import enum
import logging
import select
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.request_framing import (
    ChunkScanner,
    FramingError,
    find_head_end,
)
from wigeonscale.adapters.request_memory import RequestMemory
from wigeonscale.errors import ErrorKind

# Time for the peer to close its side of a connection that was closed here.
LINGER_S = 1.0
# Time for the peer to read the rest of a response before its connection is reset.
MAX_LINGER_S = 75.0
# Requests still in progress after the timeout of a shutdown are cancelled. Each of two
# steps of the cancellation takes this time at most.
CANCEL_TIMEOUT_S = 0.05
# Event loop iterations from the last byte read to the start of the handler: the task of
# the connection wakes up and starts another task.
LOOP_ITERATIONS_TO_HANDLER = 5
# Iterations from an accepted socket to its connection: the task that makes the
# transport, and the call of the protocol.
LOOP_ITERATIONS_TO_CONNECTION = 3
# Bound of the wait if connections arrive all the time.
MAX_ACCEPT_ITERATIONS = 100
# Bytes read at once, which a connection may hold besides its requests.
READ_BYTES = 32 * 1024
# Data that waits in the kernel while a connection is not read.
RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
HEAD_TIMEOUT_S = 30.0
# Longest time without any data in the middle of a body.
BODY_TIMEOUT_S = 75.0
# Memory of a request: its objects, those of each header line, and the copies of its
# head and of its body.
REQUEST_BYTES = 2048
LINE_BYTES = 320
HEAD_COPIES = 4
BODY_COPIES = 2
REFUSED_RETRY_AFTER_S = 1.0
# Processor time for a chunk, and the share of the processor for bodies with more chunks
# in one read than a caller needs.
CHUNK_S = 3e-6
CHUNK_SHARE = 0.5
MAX_UNTHROTTLED_CHUNKS = 256
# Kinds of the errors for requests that are refused before they are complete.
REFUSAL_KINDS = {408: ErrorKind.REQUEST_TIMEOUT, 503: ErrorKind.OVERLOADED}
LINE_ENDS = b"\r\n"

logger = logging.getLogger(__name__)


class OpenConnections:
    """The open connections of one server.

    Attributes:
        is_draining: Whether each connection closes after its next response.
    """

    def __init__(self):
        self.is_draining = False
        self._conns: set[Connection] = set()
        self._none_open = asyncio.Event()
        self._none_open.set()

    def add(self, conn: "Connection") -> None:
        """Add a connection that was opened."""
        self._conns.add(conn)
        self._none_open.clear()

    def discard(self, conn: "Connection") -> None:
        """Remove a connection that is closed, with nothing left to send."""
        self._conns.discard(conn)
        if not self._conns:
            self._none_open.set()

    async def drain(self) -> None:
        """Close idle connections, and the others after their responses were sent.

        The server must not accept connections any more.
        """
        self.is_draining = True
        for _ in range(LOOP_ITERATIONS_TO_HANDLER):
            idle = [conn for conn in self._conns if conn.is_idle]
            unread = _with_unread_data(idle)
            for conn in idle:
                if conn not in unread:
                    conn.force_close()
            await asyncio.sleep(0)
        for conn in [conn for conn in self._conns if conn.is_idle]:
            conn.force_close()
        await self._none_open.wait()


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits of the requests of one server.

    Attributes:
        head_bytes: Returns the maximum size of a head, with empty lines before it.
        head_timeout_s: Returns the longest time from the first byte of a head to its
            end, in seconds.
        body_timeout_s: Returns the longest time without data within a body, in seconds.
        memory: Memory that the requests of all connections may hold.
        throttle: Bounds the processor time for bodies of tiny chunks.
    """

    head_bytes: Callable[[], int] = lambda: MAX_HEAD_BYTES
    head_timeout_s: Callable[[], float] = lambda: HEAD_TIMEOUT_S
    body_timeout_s: Callable[[], float] = lambda: BODY_TIMEOUT_S
    memory: RequestMemory = field(default_factory=RequestMemory)
    throttle: "ReadThrottle" = field(default_factory=lambda: ReadThrottle())


class ReadThrottle:
    """Leaves a part of the processor to other work than bodies of tiny chunks."""

    def __init__(self):
        self._free_at = 0.0

    def delay_s(self, chunks: int, now: float) -> float:
        """Return how long a connection is not read after chunks that it sent at once.

        Args:
            chunks: Number of chunks.
            now: Time of the event loop.
        """
        if chunks <= MAX_UNTHROTTLED_CHUNKS:
            return 0.0
        self._free_at = max(self._free_at, now) + chunks * CHUNK_S / CHUNK_SHARE
        return self._free_at - now


class _Reading(enum.Enum):
    """What a connection reads next."""

    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNKS = enum.auto()
    NOTHING = enum.auto()  # a request was refused, so that the connection closes


class Connection(web.RequestHandler):
    """Connection of an HTTP server, closed only when its responses were sent.

    Args:
        manager: The server.
        open_conns: Contains this connection as long as it is open.
        idle_s: Returns how long the connection stays open without a request, in
            seconds, if that is longer than the option ``keepalive_timeout``.
        limits: Limits of the requests.
        **options: Options of :class:`aiohttp.web.RequestHandler`.
    """

    __slots__ = (
        "_body_left",
        "_chunks",
        "_costs",
        "_idle_s",
        "_is_half_closed",
        "_latest_body",
        "_limits",
        "_linger_timer",
        "_linger_until",
        "_open_conns",
        "_progress_timer",
        "_reading",
        "_skipped_bytes",
        "_unread",
        "_unsearched_from",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        open_conns: OpenConnections,
        limits: RequestLimits,
        idle_s: Callable[[], float] = lambda: 0.0,
        **options: object,
    ):
        super().__init__(manager, **options)
        # Reading continues as soon as no parsed request waits.
        self._msg_queue_resume_size = 0
        self._open_conns = open_conns
        self._idle_s = idle_s
        self._limits = limits
        self._is_half_closed = False
        self._latest_body: StreamReader = EMPTY_PAYLOAD
        self._linger_timer: asyncio.TimerHandle | None = None
        self._linger_until = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._reading = _Reading.HEAD
        self._unread = bytearray()
        self._unsearched_from = 0
        self._skipped_bytes = 0
        self._body_left = 0
        self._chunks: ChunkScanner | None = None
        # Memory of each request that was parsed and has not ended, in order.
        self._costs: deque[int] = deque()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no request was read."""
        is_open = self.transport is not None and not self.transport.is_closing()
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_open and is_waiting and not self._messages

    @property
    def has_next_request(self) -> bool:
        """Whether another request was read behind the one in progress."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve a new connection."""
        super().connection_made(transport)
        self._open_conns.add(self)
        transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release a connection that is closed or broken."""
        super().connection_lost(exc)
        self._open_conns.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._stop_reading()
        self._costs.clear()
        self._update_memory()

    def data_received(self, data: bytes) -> None:
        """Parse data of the peer, as far as it may be read now.

        Args:
            data: The data; empty to parse what the parser holds of a body.
        """
        if self._reading is _Reading.NOTHING or self._force_close or self._close:
            return
        if not data:
            self._parse(data)
        self._unread += data
        self._parse_unread()
        self._set_progress_timer(has_progress=bool(data))
        if not self._update_memory():
            self._refuse(_overloaded())

    def _resume_reading_if_drained(self) -> None:
        if self.transport is None:
            return
        self.data_received(b"")
        if not self._is_behind:
            self._resume_reading_for_buffer()

    @property
    def _is_behind(self) -> bool:
        """Whether the next request must wait until the one before is in progress."""
        return self._reading is _Reading.HEAD and bool(self._messages or self._upgraded)

    def _parse_unread(self) -> None:
        """Hand to the parser what is complete, up to the end of the next request."""
        parsers = {
            _Reading.HEAD: self._parse_head,
            _Reading.BODY: self._parse_body,
            _Reading.CHUNKS: self._parse_chunks,
        }
        while self._unread and not self._reading_paused:
            if self._is_behind:
                if not self._buffer_paused:
                    self._pause_reading_for_buffer()
                return
            parse = parsers.get(self._reading)
            if parse is None or not parse():
                return

    def _parse_head(self) -> bool:
        """Parse the next head; return False if it is not complete."""
        size = len(self._unread)
        if self._unread[0] in LINE_ENDS:
            self._unread = self._unread.lstrip(LINE_ENDS)
            self._skipped_bytes += size - len(self._unread)
        end = find_head_end(self._unread, self._unsearched_from)
        self._unsearched_from = len(self._unread)
        head_bytes = end if end > 0 else len(self._unread)
        if self._skipped_bytes + head_bytes > self._limits.head_bytes():
            self._refuse(web.HTTPRequestHeaderFieldsTooLarge())
            return False
        if end < 0:
            return False
        head = bytes(self._unread[:end])
        del self._unread[:end]
        self._unsearched_from = self._skipped_bytes = 0
        self._stop_progress_timer()
        lines = head.count(b"\n")
        self._costs.append(REQUEST_BYTES + LINE_BYTES * lines + HEAD_COPIES * end)
        if not self._update_memory():
            self._costs.pop()
            self._refuse(_overloaded())
            return False
        self._parse(head)
        return self._begin_body()

    def _begin_body(self) -> bool:
        """Read the body of the request just parsed; return False if it is invalid."""
        if not self._messages:
            self._refuse(web.HTTPBadRequest(text="invalid head"))
            return False
        message, body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            self._stop_reading()
            return False
        self._latest_body = body
        if body.is_eof():
            return True
        if message.chunked:
            self._reading = _Reading.CHUNKS
            self._chunks = ChunkScanner(max_trailer_bytes=self._limits.head_bytes())
        else:
            self._reading = _Reading.BODY
            self._body_left = int(message.headers.get("Content-Length", 0))
            if not self._body_left:
                self._refuse(web.HTTPBadRequest(text="body without a length"))
                return False
        return True

    def _parse_body(self) -> bool:
        part = bytes(self._unread[: self._body_left])
        del self._unread[: len(part)]
        self._body_left -= len(part)
        return self._parse_part(part, size=len(part), is_complete=not self._body_left)

    def _parse_chunks(self) -> bool:
        size, chunks = self._chunks.body_bytes, self._chunks.chunks
        try:
            part = self._chunks.feed(self._unread)
        except FramingError as exc:
            self._refuse(web.HTTPBadRequest(text=str(exc)))
            return False
        self._throttle(self._chunks.chunks - chunks)
        if not part:
            return False
        return self._parse_part(
            part,
            size=self._chunks.body_bytes - size,
            is_complete=self._chunks.is_complete,
        )

    def _throttle(self, chunks: int) -> None:
        delay_s = self._limits.throttle.delay_s(chunks, self._loop.time())
        if delay_s > 0.0 and not self._buffer_paused:
            self._pause_reading_for_buffer()
            self._loop.call_later(delay_s, self._resume_reading_if_drained)

    def _parse_part(self, part: bytes, *, size: int, is_complete: bool) -> bool:
        """Parse a part of a body; return False if the request was refused."""
        if self._costs:
            # The request may have been answered before its body was received.
            self._costs[-1] += BODY_COPIES * size
        if not self._update_memory():
            self._refuse(_overloaded())
            return False
        if is_complete:
            self._reading = _Reading.HEAD
        self._parse(part)
        if self._messages and not isinstance(self._messages[-1][0], RawRequestMessage):
            # The parser has failed within the body, whose reader would wait for ever.
            error = web.RequestPayloadError(self._messages[-1][0].message)
            self._latest_body.set_exception(error)
            self._stop_reading()
            return False
        return True

    def _parse(self, data: bytes) -> None:
        super().data_received(data)

    def _refuse(self, exc: web.HTTPException) -> None:
        """Refuse the request that is being read; the connection closes behind it.

        Its handler gets the exception if it reads the body. If there is no handler yet,
        the exception is the response, after those to the requests before.
        """
        is_in_body = self._reading in (_Reading.BODY, _Reading.CHUNKS)
        self._stop_reading()
        if is_in_body:
            self._latest_body.set_exception(exc)
        else:
            error = _ErrInfo(status=exc.status, exc=exc, message=exc.text)
            self._messages.append((error, EMPTY_PAYLOAD))
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)
        self._update_memory()

    def _stop_reading(self) -> None:
        self._reading = _Reading.NOTHING
        self._unread.clear()
        self._skipped_bytes = 0
        self._stop_progress_timer()

    def _stop_progress_timer(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _set_progress_timer(self, *, has_progress: bool) -> None:
        """Bound the time in which the caller has to continue.

        A head has to be complete in time, however it arrives.
        """
        in_head = self._reading is _Reading.HEAD
        waits = not (self._is_behind or self._reading_paused) and (
            bool(self._unread or self._skipped_bytes)
            if in_head
            else self._reading is not _Reading.NOTHING
        )
        if not waits or (has_progress and not in_head):
            self._stop_progress_timer()
        if waits and self._progress_timer is None:
            limits = self._limits
            timeout_s = limits.head_timeout_s if in_head else limits.body_timeout_s
            self._progress_timer = self._loop.call_later(timeout_s(), self._end_wait)

    def _end_wait(self) -> None:
        self._progress_timer = None
        self._refuse(web.HTTPRequestTimeout())

    def _update_memory(self) -> bool:
        """Hold the memory of this connection; return False if there is not enough."""
        size = sum(self._costs) + self._waiting_bytes
        return self._limits.memory.hold(self, size)

    @property
    def _waiting_bytes(self) -> int:
        """Data that no request in progress needs."""
        return len(self._unread) + RECEIVE_BUFFER_BYTES * self._buffer_paused

    @property
    def evictable_bytes(self) -> int:
        """Memory that :meth:`evict` frees."""
        if self._reading in (_Reading.BODY, _Reading.CHUNKS) and self._costs:
            return self._costs[-1] + self._waiting_bytes
        return self._waiting_bytes

    def evict(self) -> None:
        """Refuse what the caller has sent in part, and free its memory."""
        if self._reading in (_Reading.BODY, _Reading.CHUNKS) and self._costs:
            self._costs[-1] = 0
        self._refuse(_overloaded())

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that reached no handler, and close."""
        if not isinstance(exc, web.HTTPException):
            return super().handle_error(request, status, exc, message)
        logger.info("request refused", extra=log_fields(status=status, reason=message))
        resp = web.Response(status=status, text=message)
        if "Retry-After" in exc.headers:
            resp.headers["Retry-After"] = exc.headers["Retry-After"]
        resp.force_close()
        return resp

    def _process_keepalive(self) -> None:
        extra_s = max(0.0, self._idle_s() - self._keepalive_timeout)
        close_at = self._next_keepalive_close_time + extra_s
        if self._loop.time() < close_at and not self._force_close:
            self._keepalive_handle = self._loop.call_at(
                close_at, self._process_keepalive
            )
        else:
            super()._process_keepalive()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of a response, and close the connection if it is the last."""
        if self._is_half_closed:
            return resp, True
        is_draining = self._open_conns.is_draining
        if is_draining and not resp.prepared and not self.has_next_request:
            resp.force_close()
        resp, reset = await super().finish_response(request, resp, start_time)
        if self._costs:
            self._costs.popleft()
        self._update_memory()
        if self._open_conns.is_draining:
            await self._close_unless_requested()
        if not reset and (self._close or not resp.keep_alive):
            self.half_close()
        return resp, reset

    async def _close_unless_requested(self) -> None:
        # The head may have been sent before the drain, so that the caller doesn't know
        # that its next request will not be read.
        if _with_unread_data([self]):
            for _ in range(2):
                await asyncio.sleep(0)
        if not self.has_next_request:
            self.close()

    def half_close(self) -> None:
        """Send what was written and the end of the data, and close soon after.

        Until then data of the peer is read and discarded.
        """
        transport = self.transport
        if transport is None or transport.is_closing() or self._is_half_closed:
            return
        self._stop_reading()
        # The base class then neither reads requests nor closes the connection.
        self._force_close = True
        self._is_half_closed = True
        self._linger_until = self._loop.time() + MAX_LINGER_S
        if not transport.can_write_eof():
            transport.close()
            return
        transport.resume_reading()
        try:
            transport.write_eof()
        except OSError:  # the peer has reset the connection
            transport.close()
            return
        self._linger_timer = self._loop.call_later(LINGER_S, self._end_linger)

    def _end_linger(self) -> None:
        transport = self.transport
        if transport is None:
            return
        if not transport.get_write_buffer_size():
            transport.close()
        elif self._loop.time() < self._linger_until:
            self._linger_timer = self._loop.call_later(LINGER_S, self._end_linger)
        else:
            # The peer does not read.
            transport.abort()


class DrainingRunner(web.AppRunner):
    """Runs an application, and sends its responses before it ends.

    Args:
        app: The application.
        shutdown_timeout: Time that ``cleanup`` waits for requests in progress and for
            their responses to be sent, in seconds.
        handler_cancellation: Whether a handler is cancelled when its caller closes the
            connection.
        limits: Limits of the requests.

    Attributes:
        open_conns: The open connections.
    """

    connection_class = Connection

    def __init__(
        self,
        app: web.Application,
        *,
        shutdown_timeout: float,
        handler_cancellation: bool = False,
        limits: RequestLimits | None = None,
    ):
        super().__init__(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=handler_cancellation,
            shutdown_timeout=CANCEL_TIMEOUT_S,
        )
        self.open_conns = OpenConnections()
        self.limits = limits or RequestLimits()
        self._drain_timeout_s = shutdown_timeout

    @property
    def server(self) -> "_ConnectionFactory | None":
        """Factory that sites call for each connection."""
        server = super().server
        return (
            None if server is None else _ConnectionFactory(server=server, runner=self)
        )

    async def cleanup(self) -> None:
        """Stop listening, answer the requests in progress and close."""
        for site in self.sites:
            await site.stop()
        try:
            async with asyncio.timeout(self._drain_timeout_s):
                await self.open_conns.drain()
        except TimeoutError:
            pass
        await super().cleanup()


class _ConnectionFactory:
    def __init__(self, *, server: web.Server, runner: DrainingRunner):
        self._server = server
        self._runner = runner

    def __call__(self) -> Connection:
        return self._runner.connection_class(
            self._server,
            open_conns=self._runner.open_conns,
            limits=self._runner.limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


def _overloaded() -> web.HTTPException:
    headers = {"Retry-After": f"{REFUSED_RETRY_AFTER_S:g}"}
    return web.HTTPServiceUnavailable(headers=headers)


async def accept_waiting(socks: Iterable[socket.socket]) -> None:
    """Wait until the event loop has accepted the connections that wait for it.

    When a listening socket is closed, those that wait are reset, with their requests.

    Args:
        socks: Listening sockets of the event loop.
    """
    poll = select.poll()
    for sock in socks:
        poll.register(sock.fileno(), select.POLLIN)
    for _ in range(MAX_ACCEPT_ITERATIONS):
        if not poll.poll(0):
            break
        await asyncio.sleep(0)
    # The last ones accepted are not connections of the server yet.
    for _ in range(LOOP_ITERATIONS_TO_CONNECTION):
        await asyncio.sleep(0)


def _with_unread_data(conns: Iterable[Connection]) -> set[Connection]:
    """Return the connections whose data the kernel has, but not yet this process."""
    by_fd = {}
    poll = select.poll()
    for conn in conns:
        if conn.transport is None or conn.transport.is_closing():
            continue
        fd = conn.transport.get_extra_info("socket").fileno()
        by_fd[fd] = conn
        poll.register(fd, select.POLLIN)
    return {by_fd[fd] for fd, _ in poll.poll(0)} if by_fd else set()
