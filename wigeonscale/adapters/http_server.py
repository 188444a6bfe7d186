"""Connections of an HTTP server that deliver their responses before they close.

When a handler has finished, the end of its response may still wait in the buffer of the
transport, and is lost if the process exits. Besides, closing a socket with unread data
resets the connection, which discards what the peer has not received.
"""

__all__ = ["Connection", "DrainingRunner", "OpenConnections", "accept_waiting"]

import asyncio
import select
import socket
from collections.abc import Callable, Iterable

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage

# Time for the peer to close its side of a connection that was closed here.
LINGER_S = 1.0
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


class Connection(web.RequestHandler):
    """Connection of an HTTP server, closed only when its responses were sent.

    Args:
        manager: The server.
        open_conns: Contains this connection as long as it is open.
        idle_s: Returns how long the connection stays open without a request, in
            seconds, if that is longer than the option ``keepalive_timeout``.
        **options: Options of :class:`aiohttp.web.RequestHandler`.
    """

    __slots__ = (
        "_idle_s",
        "_is_half_closed",
        "_latest_body",
        "_linger_timer",
        "_open_conns",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        open_conns: OpenConnections,
        idle_s: Callable[[], float] = lambda: 0.0,
        **options: object,
    ):
        super().__init__(manager, **options)
        self._open_conns = open_conns
        self._idle_s = idle_s
        self._is_half_closed = False
        self._latest_body: StreamReader | None = None
        self._linger_timer: asyncio.TimerHandle | None = None

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

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release a connection that is closed or broken."""
        super().connection_lost(exc)
        self._open_conns.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse data of the peer."""
        super().data_received(data)
        if not self._messages:
            return
        message, body = self._messages[-1]
        if isinstance(message, RawRequestMessage):
            self._latest_body = body
        elif self._latest_body is not None and not self._latest_body.is_eof():
            # The parser has failed within a body, whose reader would wait for ever.
            self._latest_body.set_exception(web.RequestPayloadError(message.message))

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
        # The base class then neither reads requests nor closes the connection.
        self._force_close = True
        self._is_half_closed = True
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
        if transport.get_write_buffer_size():
            self._linger_timer = self._loop.call_later(LINGER_S, self._end_linger)
        else:
            transport.close()


class DrainingRunner(web.AppRunner):
    """Runs an application, and sends its responses before it ends.

    Args:
        app: The application.
        shutdown_timeout: Time that ``cleanup`` waits for requests in progress and for
            their responses to be sent, in seconds.
        handler_cancellation: Whether a handler is cancelled when its caller closes the
            connection.

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
    ):
        super().__init__(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=handler_cancellation,
            shutdown_timeout=CANCEL_TIMEOUT_S,
        )
        self.open_conns = OpenConnections()
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
            loop=asyncio.get_running_loop(),
            access_log=None,
        )


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
