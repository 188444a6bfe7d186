"""Requests on kept connections around the drain, the idle timeout and a close."""

import asyncio
import contextlib
import socket
from unittest import mock

from aiohttp import web

from wigeonscale.adapters import http_server
from wigeonscale.adapters.http_server import Connection
from wigeonscale.platform import callers
from wigeonscale.platform.tests.test_callers import REQUEST, WAIT_S, CallerCase
from wigeonscale.ports.exchange import FullResponse, ResponseHead

LOOP_ITERATIONS = 50
WAITING_CONNECTIONS = 5
MAX_RESPONSE_BYTES = 4096
RESPONSE_END = b"whole"


class KeptConnectionCase(CallerCase):
    async def prepare(self):
        await super().prepare()
        self.proceed = asyncio.Event()
        self.started = asyncio.Event()

    async def serve_after(self, req, sink):
        """Handle the first request only after ``proceed``."""
        if len(self.requests) == 1:
            self.started.set()
            await self.proceed.wait()
        await sink.send(FullResponse(ResponseHead(200, ()), RESPONSE_END))

    async def read_all(self, reader):
        async with asyncio.timeout(WAIT_S):
            return await reader.read()

    async def begin_drain(self):
        """Start to drain; return the task once idle connections are closed."""
        finish = asyncio.create_task(self.server.drain(0.0))
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        return finish


class DrainTest(KeptConnectionCase):
    async def test_request_that_arrives_as_the_drain_closes_idle_connections(self):
        """Guards against a reset of a connection whose request is in the kernel."""
        reader, writer, _ = await self.raw(REQUEST, RESPONSE_END)
        stop = web.TCPSite.stop

        async def stop_and_send(site):
            await stop(site)
            # Written to the socket at once; the server has not read it.
            writer.write(REQUEST)

        with mock.patch.object(web.TCPSite, "stop", stop_and_send):
            finish = await self.begin_drain()
        self.assertTrue((await self.read_all(reader)).endswith(RESPONSE_END))
        writer.close()
        await finish
        self.assertEqual(2, len(self.requests))

    async def test_connections_that_wait_to_be_accepted(self):
        """Guards against their reset when the entry stops listening."""
        self.proceed.set()
        loop = asyncio.get_running_loop()
        socks = []
        for _ in range(WAITING_CONNECTIONS):
            sock = socket.create_connection(("127.0.0.1", self.server.port))
            self.addCleanup(sock.close)
            sock.sendall(REQUEST)
            sock.setblocking(False)
            socks.append(sock)
        finish = asyncio.create_task(self.server.drain(0.0))
        async with asyncio.timeout(WAIT_S):
            for sock in socks:
                data = await loop.sock_recv(sock, MAX_RESPONSE_BYTES)
                self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)
                sock.close()
            await finish

    async def test_request_whose_body_is_read_during_the_drain(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
        reader, writer, _ = await self.raw(head + b"12345")
        async with asyncio.timeout(WAIT_S):
            while self.server.connections < 1:  # noqa: ASYNC110
                await asyncio.sleep(0)
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        finish = await self.begin_drain()
        self.assertFalse(finish.done())
        writer.write(b"67890")
        got = await self.read_all(reader)
        writer.close()
        await finish
        self.assertIn(b"connection: close", got.lower())
        self.assertTrue(got.endswith(RESPONSE_END))
        self.assertEqual(b"1234567890", self.requests[0].body)

    async def test_request_behind_another_when_the_drain_begins(self):
        """Guards against a request that was read whole and is never answered."""
        self.serve = self.serve_after
        reader, writer, _ = await self.raw(REQUEST + REQUEST)
        await self.started.wait()
        finish = await self.begin_drain()
        self.proceed.set()
        got = await self.read_all(reader)
        writer.close()
        await finish
        self.assertEqual(2, got.count(RESPONSE_END))
        self.assertEqual(1, got.lower().count(b"connection: close"))

    async def test_request_behind_a_stream_that_began_before_the_drain(self):
        """Guards against the same loss behind a head without ``Connection: close``."""

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            await sink.write(b"id: 1\n\n")
            if len(self.requests) == 1:
                await self.proceed.wait()
            await sink.end()

        self.serve = serve
        reader, writer, _ = await self.raw(REQUEST, b"id: 1\n\n")
        finish = await self.begin_drain()
        writer.write(REQUEST)
        self.proceed.set()
        got = await self.read_all(reader)
        writer.close()
        await finish
        self.assertEqual(2, got.count(b"\r\n0\r\n\r\n"))
        self.assertEqual(1, got.lower().count(b"connection: close"))


class CloseTest(KeptConnectionCase):
    async def test_response_before_data_that_is_not_read(self):
        """Guards against a reset that discards the response that closes."""
        self.serve = self.serve_after
        closing = REQUEST.removesuffix(b"\r\n") + b"Connection: close\r\n\r\n"
        reader, writer, _ = await self.raw(closing)
        await self.started.wait()
        writer.write(REQUEST)
        self.proceed.set()
        async with asyncio.timeout(WAIT_S):
            got = await reader.readuntil(RESPONSE_END)
            writer.write(REQUEST * 10_000)
            await writer.drain()
            self.assertEqual(b"", await reader.read())
        self.assertIn(b"connection: close", got.lower())
        self.assertEqual(1, len(self.requests))

    async def test_caller_that_does_not_read_the_end_of_a_response(self):
        """Guards against a connection that stays open without end."""
        self.started = asyncio.Event()

        async def serve(req, sink):
            await sink.begin(ResponseHead(200, ()))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0):
                    while True:
                        await sink.write(b"x" * 65_536)
            sink.abort()
            self.started.set()

        self.serve = serve
        with (
            mock.patch.object(http_server, "LINGER_S", 0.01),
            mock.patch.object(http_server, "MAX_LINGER_S", 0.05),
        ):
            _, writer, _ = await self.raw(REQUEST)
            writer.transport.pause_reading()
            async with asyncio.timeout(WAIT_S):
                await self.started.wait()
                await self.server.drain(0.0)
        self.assertEqual(0, self.server.connections)

    async def test_caller_that_closes_its_side_gets_what_was_written(self):
        body = b"x" * 8_000_000

        async def serve(req, sink):
            await sink.send(FullResponse(ResponseHead(200, ()), body))

        self.serve = serve
        reader, writer, _ = await self.raw(REQUEST, b"\r\n\r\n")
        writer.write_eof()
        self.assertEqual(len(body), len(await self.read_all(reader)))

    async def test_caller_that_closes_its_side_has_its_request_cancelled(self):
        """Guards against work for callers that are gone; their close looks the same."""
        self.serve = self.serve_after
        reader, writer, _ = await self.raw(REQUEST)
        await self.started.wait()
        writer.write_eof()
        async with asyncio.timeout(WAIT_S):
            await self.cancelled.wait()
        self.assertEqual(b"", await self.read_all(reader))


class IdleTimeoutTest(KeptConnectionCase):
    """The configuration tells callers how long they may keep a connection idle."""

    MIN_IDLE_S = 0.02

    async def prepare(self):
        self.idle_s = 3600.0
        self.enterContext(mock.patch.object(callers, "IDLE_TIMEOUT_S", self.MIN_IDLE_S))
        self.checked = asyncio.Event()
        check = Connection._process_keepalive

        def process_keepalive(conn):
            check(conn)
            self.checked.set()

        self.enterContext(
            mock.patch.object(Connection, "_process_keepalive", process_keepalive)
        )
        await super().prepare()

    async def test_idle_connection_is_kept_as_long_as_the_configuration_says(self):
        """Guards against a close of connections that callers may still use."""
        reader, writer, _ = await self.raw(REQUEST, RESPONSE_END)
        async with asyncio.timeout(WAIT_S):
            await self.checked.wait()
        writer.write(REQUEST)
        async with asyncio.timeout(WAIT_S):
            await reader.readuntil(RESPONSE_END)

    async def test_timeout_that_grows_while_a_connection_is_idle(self):
        """Guards against the timeout of the configuration at the last request."""
        self.idle_s = 0.0
        reader, writer, _ = await self.raw(REQUEST, RESPONSE_END)
        self.idle_s = 3600.0
        async with asyncio.timeout(WAIT_S):
            await self.checked.wait()
        writer.write(REQUEST)
        async with asyncio.timeout(WAIT_S):
            await reader.readuntil(RESPONSE_END)

    async def test_idle_connection_is_closed_after_the_timeout(self):
        self.idle_s = 2 * self.MIN_IDLE_S
        reader, _, _ = await self.raw(REQUEST, RESPONSE_END)
        self.assertEqual(b"", await self.read_all(reader))
