import asyncio
import socket

import aiohttp

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.platform.callers import CallerServer
from wigeonscale.platform.headers import read_response_head
from wigeonscale.platform.tests.test_exchange_http import TARGETS
from wigeonscale.ports import SystemClock
from wigeonscale.ports.exchange import FullResponse, ResponseHead, ServerNotice
from wigeonscale.testing import AsyncTestCase

WAIT_S = 30.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
RECEIVE_BYTES = 4096
CHUNK = b"x" * 16384
# Enough for any callback that is already due.
LOOP_ITERATIONS = 50


class CallerCase(AsyncTestCase):
    """A server on loopback that passes requests to ``self.serve`` of the test."""

    idle_s = 15.0
    max_header = 16_384

    async def prepare(self):
        self.requests = []
        self.cancelled = asyncio.Event()
        self.server = CallerServer(
            address="127.0.0.1:0",
            serve=self._serve,
            max_body=lambda: 1000,
            clock=SystemClock(),
            idle_s=lambda: self.idle_s,
            max_header=lambda: self.max_header,
            refuse_connection=self.refuse_connection,
        )
        await self.server.start()
        self.addCleanup(self.server.close)
        self.port = self.server.port
        self.session = aiohttp.ClientSession()
        self.addCleanup(self.session.close)

    def refuse_connection(self):
        return False

    async def _serve(self, req, sink):
        self.requests.append(req)
        try:
            await self.serve(req, sink)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    async def serve(self, req, sink):
        await sink.send(FullResponse(ResponseHead(200, (("Stamp", "s"),)), b"whole"))

    def url(self, path="/a/b"):
        return f"http://127.0.0.1:{self.port}{path}"

    async def raw(self, data, until=b""):
        """Send bytes on a new connection and read until ``until`` arrives."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        got = await reader.readuntil(until) if until else b""
        return reader, writer, got


class RefusedConnectionTest(CallerCase):
    async def prepare(self):
        await super().prepare()
        self.refuses = False

    def refuse_connection(self):
        return self.refuses

    async def test_refused_connection_is_reset_unread(self):
        """Guards against requests that are read by an entry without processor time."""
        self.refuses = True
        with self.assertRaises(aiohttp.ClientError):
            async with self.session.get(self.url()) as res:
                await res.read()
        self.assertEqual([], self.requests)
        self.refuses = False
        async with self.session.get(self.url()) as res:
            self.assertEqual(b"whole", await res.read())

    async def test_open_connections_are_still_served(self):
        for refuses in (False, True, True):
            self.refuses = refuses
            async with self.session.get(self.url()) as res:
                self.assertEqual(b"whole", await res.read())
        self.assertEqual(3, len(self.requests))


class CloseTest(CallerCase):
    async def test_close_does_not_wait_for_unfinished_responses(self):
        started = asyncio.Event()

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            started.set()
            await asyncio.get_running_loop().create_future()

        self.serve = serve
        reader, _, _ = await self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"\r\n\r\n")
        await started.wait()
        async with asyncio.timeout(WAIT_S):
            await self.server.close()
            # The response lacks its last chunk, so that it is visibly incomplete.
            self.assertEqual(b"", await reader.read())


class AnswerTest(CallerCase):
    async def test_request_is_passed_on_as_it_was_sent(self):
        head = b"POST /a%2Fb/../c?x=%41&y HTTP/1.1\r\nHost: h.example\r\n"
        body = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        _, _, got = await self.raw(head + b"Attempt-Id: id1\r\n" + body, b"whole")
        self.assertIn(b"200 OK", got)
        req = self.requests[0]
        self.assertEqual("/a%2Fb/../c?x=%41&y", req.path)
        self.assertEqual(b"abcde", req.body)
        self.assertEqual(("id1", "h.example"), (req.request_id, req.host))

    async def test_targets_are_passed_on_as_they_were_sent(self):
        for target in TARGETS:
            await self.raw(
                f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode(), b"whole"
            )
            self.assertEqual(target, self.requests[-1].path)

    async def test_target_with_other_bytes_is_rejected(self):
        for target in (b"/\xe4", b"/\xc3\xa4", b"/a?b=\xff", b"/a\tb"):
            _, _, got = await self.raw(
                b"GET " + target + b" HTTP/1.1\r\nHost: h\r\n\r\n", b"\r\n\r\n"
            )
            self.assertIn(b"400", got)
        self.assertEqual([], self.requests)

    async def test_header_of_a_response_is_passed_on_as_it_was_received(self):
        """Guards against UTF-8 that is read as another encoding."""
        raw = ((b"X", "\u017elu\u0165ou\u010dk\u00fd".encode()),)

        async def serve(req, sink):
            head = read_response_head(200, raw, ServerNotice())
            await sink.send(FullResponse(head, b"whole"))

        self.serve = serve
        _, _, got = await self.raw(REQUEST, b"whole")
        self.assertIn(b"X: " + raw[0][1] + b"\r\n", got)

    async def test_many_requests_on_one_connection(self):
        for _ in range(3):
            async with self.session.get(self.url()) as res:
                self.assertEqual(b"whole", await res.read())
        self.assertEqual(3, len(self.requests))

    async def test_request_with_many_headers(self):
        """Guards against a limit of their number, which callers are not told of."""
        lines = b"".join(b"x%d: y\r\n" % number for number in range(1000))
        head = REQUEST.removesuffix(b"\r\n") + lines + b"\r\n"
        self.assertTrue(len(head) < self.max_header)
        _, _, got = await self.raw(head, b"\r\n\r\n")
        self.assertIn(b"200 OK", got)
        self.assertEqual(1001, len(self.requests[0].headers))

    async def test_header_as_long_as_the_configuration_allows(self):
        self.max_header = 100_000
        value = b"y" * 90_000
        head = REQUEST.removesuffix(b"\r\n") + b"x: " + value + b"\r\n\r\n"
        _, _, got = await self.raw(head, b"\r\n\r\n")
        self.assertIn(b"200 OK", got)
        self.assertIn(("x", value.decode()), self.requests[0].headers)

    async def test_too_large_body_is_rejected(self):
        async with self.session.post(self.url(), data=b"x" * 1001) as res:
            self.assertEqual(413, res.status)
        self.assertEqual([], self.requests)

    async def test_error_status_shows_whether_the_work_ran(self):
        for run_state, status in ((RunState.NOT_RUN, 503), (RunState.UNKNOWN, 502)):

            async def serve(req, sink, run_state=run_state):
                raise WigeonscaleError(
                    ErrorKind.NO_BACKEND, "none", run_state=run_state, retry_after=0.25
                )

            self.serve = serve
            headers = {"Attempt-Id": "id1"}
            async with self.session.get(self.url(), headers=headers) as res:
                self.assertEqual(status, res.status)
                self.assertEqual("0.25", res.headers["Retry-After"])
                self.assertEqual("id1", res.headers["Attempt-Id"])

    async def test_unhandled_exception_returns_500(self):
        async def serve(req, sink):
            raise ValueError("planted")

        self.serve = serve
        async with self.session.get(self.url()) as res:
            self.assertEqual(500, res.status)


class StreamTest(CallerCase):
    async def test_events_are_sent_immediately(self):
        proceed = asyncio.Event()

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, (("Stamp", "s"),)))
            await sink.write(b"id: 1\n\n")
            await proceed.wait()
            await sink.write(b"id: 2\n\n")
            await sink.end()

        self.serve = serve
        async with self.session.get(self.url()) as res:
            self.assertEqual("s", res.headers["Stamp"])
            self.assertEqual(b"id: 1\n\n", await res.content.readany())
            proceed.set()
            self.assertEqual(b"id: 2\n\n", await res.content.read())

    async def test_aborted_stream_is_visibly_incomplete(self):
        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            await sink.write(b"id: 1\n\n")
            raise WigeonscaleError(
                ErrorKind.BACKEND_FAILED, "broke", run_state=RunState.UNKNOWN
            )

        self.serve = serve
        async with self.session.get(self.url()) as res:
            try:
                await res.read()
            except aiohttp.ClientPayloadError:
                return
        self.fail("it looked complete")

    async def test_handler_is_cancelled_when_the_caller_disconnects(self):
        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            await sink.write(b"id: 1\n\n")
            await asyncio.get_running_loop().create_future()

        self.serve = serve
        _, writer, _ = await self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"id: 1")
        writer.close()
        async with asyncio.timeout(WAIT_S):
            await self.cancelled.wait()


class StopTest(CallerCase):
    async def test_drain_closes_idle_connections(self):
        reader, _, _ = await self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"whole")
        fresh, _, _ = await self.raw(b"")
        # Wait until the server has accepted the second connection.
        async with asyncio.timeout(WAIT_S):
            while self.server.connections < 2:  # noqa: ASYNC110
                await asyncio.sleep(0)
        await self.server.drain(0.0)
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(b"", await reader.read())
            self.assertEqual(b"", await fresh.read())

    async def test_drain_serves_a_request_that_was_just_read(self):
        reader, _, _ = await self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"whole")
        (conn,) = self.server._runner.server.connections
        conn.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.server.drain(0.0)
        async with asyncio.timeout(WAIT_S):
            self.assertTrue((await reader.read()).endswith(b"whole"))
        self.assertEqual(2, len(self.requests))

    async def test_drain_waits_for_requests_in_progress(self):
        proceed = asyncio.Event()

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            await sink.write(b"id: 1\n\n")
            await proceed.wait()
            await sink.end()

        self.serve = serve
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        reader, _, _ = await self.raw(request, b"id: 1")
        finish = asyncio.create_task(self.server.drain(0.0))
        await asyncio.sleep(0)
        self.assertFalse(finish.done())
        proceed.set()
        async with asyncio.timeout(WAIT_S):
            await finish
            rest = await reader.read()
        self.assertTrue(rest.endswith(b"0\r\n\r\n"), rest)

    async def test_responses_close_their_connections_during_drain(self):
        finish = asyncio.create_task(self.server.drain(WAIT_S))
        await asyncio.sleep(0)
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        reader, _, got = await self.raw(request, b"whole")
        self.assertIn(b"connection: close", got.lower())
        self.assertEqual(b"", await reader.read())
        finish.cancel()
        await asyncio.gather(finish, return_exceptions=True)


class SlowCallerTest(CallerCase):
    """The process exits after the drain, with whatever its transports still hold."""

    async def prepare(self):
        await super().prepare()
        self.transport = None
        self.is_full = asyncio.Event()
        self.proceed = asyncio.Event()

    async def send(self, data):
        """Send bytes on a new connection that is not read before :meth:`read_rest`."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def fill(self, sink):
        """Write until the kernel takes no more and the transport holds the rest."""
        await sink.begin(ResponseHead(200, ()))
        self.transport = sink._req.transport
        while not self.transport.get_write_buffer_size():
            await sink.write(CHUNK)
        self.is_full.set()

    async def serve(self, req, sink):
        await self.fill(sink)
        await self.proceed.wait()
        await sink.end()

    async def stop(self):
        """Drain; return how many bytes the process would lose by its exit."""
        await self.server.drain(0.0)
        return self.transport.get_write_buffer_size()

    async def stop_and_read(self, reader):
        """Drain while the caller begins to read; return what it has received."""
        stop = asyncio.create_task(self.stop())
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        self.proceed.set()
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        async with asyncio.timeout(WAIT_S):
            data = await reader.read()
            reader._transport.close()
            self.assertEqual(0, await stop, "bytes lost by the exit")
        return data

    async def test_end_of_a_response_is_sent_before_the_drain_ends(self):
        """Guards against responses that count as sent when they are only buffered."""
        reader = await self.send(REQUEST)
        await self.is_full.wait()
        data = await self.stop_and_read(reader)
        self.assertTrue(data.endswith(b"x\r\n0\r\n\r\n"), data[-30:])

    async def test_end_of_a_response_that_closes_its_connection(self):
        """Guards against the same loss after ``Connection: close``."""
        close = b"Connection: close\r\n\r\n"
        reader = await self.send(REQUEST.removesuffix(b"\r\n") + close)
        await self.is_full.wait()
        data = await self.stop_and_read(reader)
        self.assertTrue(data.endswith(b"x\r\n0\r\n\r\n"), data[-30:])

    async def test_end_of_a_response_on_a_connection_that_is_idle(self):
        """Guards against the same loss when the drain closes idle connections."""
        self.proceed.set()
        reader = await self.send(REQUEST)
        await self.is_full.wait()
        data = await self.stop_and_read(reader)
        self.assertTrue(data.endswith(b"x\r\n0\r\n\r\n"), data[-30:])

    async def test_events_before_an_abort_are_sent(self):
        """Guards against the loss of events that were written before an abort."""

        async def serve(req, sink):
            await self.fill(sink)
            await sink.write(b"id: 9\n\n")
            await self.proceed.wait()
            sink.abort()

        self.serve = serve
        reader = await self.send(REQUEST)
        await self.is_full.wait()
        data = await self.stop_and_read(reader)
        self.assertTrue(data.endswith(b"id: 9\n\n\r\n"), data[-30:])

    async def test_drain_does_not_wait_for_a_caller_that_is_gone(self):
        reader = await self.send(REQUEST)
        await self.is_full.wait()
        stop = asyncio.create_task(self.stop())
        reader._transport.abort()
        async with asyncio.timeout(WAIT_S):
            await stop


class UnreadBodyTest(CallerCase):
    """A response sent before the request was read must not be lost by a reset."""

    REST = b"y" * 4_000_000

    async def send_all(self, head):
        """Send a request and read the response only when all of it was sent."""
        reader, writer, _ = await self.raw(head)
        writer.write(self.REST)
        async with asyncio.timeout(WAIT_S):
            await writer.drain()
            return await reader.read()

    async def test_caller_that_sends_a_too_large_body_gets_the_response(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        data = await self.send_all(head % len(self.REST))
        self.assertIn(b"413", data)
        self.assertIn(b"connection: close", data.lower())

    async def test_caller_that_sends_a_malformed_head_gets_the_response(self):
        data = await self.send_all(b"GET / HTTP/1.1\r\nHost : h\r\n\r\n")
        self.assertIn(b"400", data)
