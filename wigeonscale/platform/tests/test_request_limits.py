"""Callers that exceed the limits of requests, or that do not go on."""

import asyncio
import re
from unittest import mock

from wigeonscale.adapters import http_server
from wigeonscale.adapters.http_server import ReadThrottle
from wigeonscale.adapters.request_memory import RequestMemory
from wigeonscale.platform import callers
from wigeonscale.platform.callers import CallerServer
from wigeonscale.platform.tests.test_callers import WAIT_S, CallerCase
from wigeonscale.ports import SystemClock
from wigeonscale.ports.exchange import FullResponse, ResponseHead

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
MAX_BODY = 200_000
MEMORY = 300_000
POLLS = 3000
STATUS = rb"HTTP/1\.\d (\d+) "
# Too much memory for two of them, and for one beside other requests.
LARGE_BODY = 120_000


def post(body, *, number=0):
    """Return a request whose body is sent with a length."""
    return HEAD + b"Attempt-Id: %d\r\nContent-Length: %d\r\n\r\n%s" % (
        number,
        len(body),
        body,
    )


def post_chunked(body, *, number=0, trailers=b""):
    """Return a request whose body is sent in chunks."""
    return (
        HEAD
        + b"Attempt-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % number
        + b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(body), body, trailers)
    )


class RequestLimitsCase(CallerCase):
    header_timeout_s = 60.0

    async def prepare(self):
        await super().prepare()
        await self.server.close()
        self.memory = RequestMemory(limit_bytes=MEMORY)
        self.server = CallerServer(
            address="127.0.0.1:0",
            serve=self._serve,
            max_body=lambda: MAX_BODY,
            clock=SystemClock(),
            header_timeout_s=lambda: self.header_timeout_s,
            memory=self.memory,
        )
        await self.server.start()
        self.addCleanup(self.server.close)
        self.port = self.server.port
        self.proceed = asyncio.Event()
        self.started = asyncio.Event()

    async def serve_after(self, req, sink):
        """Handle requests only after ``proceed``."""
        self.started.set()
        await self.proceed.wait()
        await sink.send(FullResponse(ResponseHead(200, ()), b"whole"))

    async def echo(self, req, sink):
        await sink.send(FullResponse(ResponseHead(200, ()), req.body))

    async def read_all(self, reader):
        async with asyncio.timeout(WAIT_S):
            return await reader.read()

    async def assert_refused(self, data, status):
        """Send data; the connection ends with a single response of the status."""
        reader, _, _ = await self.raw(data)
        got = await self.read_all(reader)
        self.assertEqual([b"%d" % status], re.findall(STATUS, got))
        self.assertEqual([], self.requests)
        return got

    async def until(self, condition):
        for _ in range(POLLS):
            if condition():
                return
            await asyncio.sleep(WAIT_S / POLLS)
        self.fail("the condition did not come true")


class FramingTest(RequestLimitsCase):
    async def test_requests_sent_ahead_are_answered_in_order(self):
        """Guards against a request whose end is taken for another place."""
        self.serve = self.echo
        bodies = [b"x" * size for size in (0, 1, 5000, 2, 70_000, 3)]
        requests = [post(body) for body in bodies]
        requests += [post_chunked(body) for body in bodies if body]
        requests += [post_chunked(b"last", trailers=b"A: b\r\n")]
        reader, _, _ = await self.raw(b"\r\n".join(requests))
        for body in (*bodies, *filter(None, bodies), b"last"):
            async with asyncio.timeout(WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"Content-Length: (\d+)", head)[1])
                self.assertEqual(body, await reader.readexactly(length))

    async def test_request_that_arrives_byte_by_byte(self):
        self.serve = self.echo
        for data in (post(b"one"), post_chunked(b"two", trailers=b"A: b\r\n")):
            reader, writer, _ = await self.raw(b"")
            for position in range(len(data)):
                writer.write(data[position : position + 1])
                await writer.drain()
                await asyncio.sleep(0)
            async with asyncio.timeout(WAIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)

    async def test_only_one_request_ahead_is_parsed(self):
        """Guards against memory for requests that wait for those before them."""
        self.serve = self.serve_after
        await self.raw(post(b"x") * 5000)
        await self.started.wait()
        (conn,) = self.server._runner.server.connections
        self.assertEqual(1, len(conn._messages))
        self.assertLess(self.memory.used_bytes, MEMORY)
        self.proceed.set()
        await self.until(lambda: len(self.requests) == 5000)

    async def test_head_that_exceeds_the_limit(self):
        size = callers.MAX_HEADER_BYTES + callers.REQUEST_LINE_BYTES
        for data in (
            HEAD + b"a: b\r\n" * (size // 5),
            HEAD + b"a: b\r\n" * (size // 5) + b"\r\n",
            b"\r\n" * size,
        ):
            await self.assert_refused(data, 431)

    async def test_chunks_that_exceed_the_limits(self):
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for data in (b"0" * 5000, b"x\r\n", b"0\r\n" + b"a:\r\n" * 20_000):
            await self.assert_refused(start + data, 400)


class ThrottleTest(RequestLimitsCase):
    async def test_body_of_tiny_chunks_is_served(self):
        self.serve = self.echo
        body = b"1\r\nx\r\n" * 20_000
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n"
        reader, _, _ = await self.raw(data)
        async with asyncio.timeout(WAIT_S):
            got = await reader.readuntil(b"x" * 20_000)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got[:100])

    def test_share_of_the_processor(self):
        """Guards against bodies of tiny chunks that leave no time for others."""
        throttle = ReadThrottle()
        self.assertEqual(0.0, throttle.delay_s(256, 10.0))
        delays_s = [throttle.delay_s(1000, 10.0) for _ in range(3)]
        work_s = 3 * 1000 * http_server.CHUNK_S
        self.assertAlmostEqual(work_s / http_server.CHUNK_SHARE, delays_s[-1])
        self.assertEqual(sorted(delays_s), delays_s)


class TimeoutTest(RequestLimitsCase):
    header_timeout_s = 0.0

    async def prepare(self):
        patch = mock.patch.object(callers, "HEAD_TIMEOUT_SLACK_S", 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch.object(callers, "IDLE_TIMEOUT_S", 0.1)
        patch.start()
        self.addCleanup(patch.stop)
        await super().prepare()

    async def test_head_that_does_not_go_on(self):
        """Guards against a head that is waited for without end."""
        await self.assert_refused(HEAD, 408)
        await self.assert_refused(b"\r\n\r\n", 408)

    async def test_body_that_does_not_go_on(self):
        """Guards against a body that is waited for without end."""
        await self.assert_refused(post(b"whole")[:-1], 408)
        await self.assert_refused(post_chunked(b"whole")[:-2], 408)

    async def test_request_in_progress_is_not_refused(self):
        """Guards against a timeout of the next head that hits the request before."""
        self.serve = self.serve_after
        reader, _, _ = await self.raw(post(b"whole") + HEAD)
        await self.started.wait()
        await self.until(lambda: not self.memory.used_bytes or self.is_refused())
        self.proceed.set()
        got = await self.read_all(reader)
        self.assertEqual([b"200", b"408"], re.findall(STATUS, got))

    def is_refused(self):
        (conn,) = self.server._runner.server.connections
        return bool(conn._messages)


class MemoryTest(RequestLimitsCase):
    async def test_incomplete_body_gives_way_to_another_request(self):
        """Guards against callers that do not go on and keep out the others."""
        self.serve = self.echo
        reader, _, _ = await self.raw(post(b"x" * LARGE_BODY)[:-1])
        await self.until(lambda: self.memory.used_bytes > LARGE_BODY)
        other, _, _ = await self.raw(post(b"y" * LARGE_BODY))
        got = await self.read_all(reader)
        self.assertTrue(got.startswith(b"HTTP/1.1 503"), got[:100])
        self.assertIn(b"Retry-After", got)
        async with asyncio.timeout(WAIT_S):
            got = await other.readuntil(b"y" * LARGE_BODY)
        self.assertTrue(got.startswith(b"HTTP/1.1 200"), got[:100])

    async def test_large_requests_in_progress_leave_memory_to_common_ones(self):
        self.serve = self.serve_after
        first, _, _ = await self.raw(post(b"x" * LARGE_BODY))
        await self.started.wait()
        other, _, _ = await self.raw(post(b"y" * LARGE_BODY))
        got = await self.read_all(other)
        self.assertTrue(got.startswith(b"HTTP/1.1 503"), got[:100])
        common, _, _ = await self.raw(post(b"z"))
        await self.until(lambda: len(self.requests) == 2)
        self.proceed.set()
        for reader in (first, common):
            async with asyncio.timeout(WAIT_S):
                got = await reader.readuntil(b"whole")
            self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)

    async def test_answered_requests_hold_no_memory(self):
        self.serve = self.echo
        for data in (post(b"x" * 5000) * 20, post_chunked(b"x" * 5000) * 20):
            reader, writer, _ = await self.raw(data)
            async with asyncio.timeout(WAIT_S):
                for _ in range(20):
                    await reader.readuntil(b"x" * 5000)
            await self.until(lambda: not self.memory.used_bytes)
            writer.close()
        reader, writer, _ = await self.raw(post(b"x" * 5000)[:-1])
        await self.until(lambda: self.memory.used_bytes)
        writer.close()
        await self.until(lambda: not self.memory.used_bytes)
