import asyncio
import socket

from aiohttp import web

from wigeonscale.adapters.health import start_http
from wigeonscale.testing import AsyncTestCase

WAIT_S = 30.0
RECEIVE_BYTES = 4096
CHUNK = b"x" * 16384
LOOP_ITERATIONS = 50


class CleanupTest(AsyncTestCase):
    """The process exits after the cleanup, with whatever its transports still hold."""

    async def prepare(self):
        self.transport = None
        self.is_full = asyncio.Event()
        self.proceed = asyncio.Event()
        self.runner = await start_http(
            "127.0.0.1:0",
            [web.get("/page", self.send_page)],
            lambda: True,
            shutdown_timeout_s=WAIT_S,
        )
        self.addCleanup(self.runner.cleanup)

    async def send_page(self, req):
        """Write until the kernel takes no more and the transport holds the rest."""
        resp = web.StreamResponse()
        await resp.prepare(req)
        self.transport = req.transport
        while not self.transport.get_write_buffer_size():
            await resp.write(CHUNK)
        self.is_full.set()
        await self.proceed.wait()
        return resp

    async def send(self, data):
        """Send bytes on a new connection that is not read yet."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.runner.addresses[0])
        reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def stop(self):
        """Clean up; return how many bytes the process would lose by its exit."""
        await self.runner.cleanup()
        return self.transport.get_write_buffer_size()

    async def test_end_of_a_page_is_sent_before_the_cleanup_ends(self):
        """Guards against pages that count as sent when they are only buffered."""
        reader = await self.send(b"GET /page HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.is_full.wait()
        stop = asyncio.create_task(self.stop())
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)
        self.proceed.set()
        async with asyncio.timeout(WAIT_S):
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            data = await reader.read()
            reader._transport.close()
            self.assertEqual(0, await stop, "bytes lost by the exit")
        self.assertTrue(data.endswith(b"x\r\n0\r\n\r\n"), data[-30:])


class PageLimitsTest(AsyncTestCase):
    """The pages of every daemon read requests within the same limits."""

    async def prepare(self):
        self.runner = await start_http("127.0.0.1:0", [], lambda: True)
        self.addCleanup(self.runner.cleanup)

    async def test_heads_and_empty_lines_without_end(self):
        """Guards against a page that reads without a limit."""
        start = b"GET /healthz HTTP/1.1\r\nHost: h\r\n"
        for data in (start + b"a:\r\n" * 100_000, b"\r\n" * 100_000):
            reader, writer = await asyncio.open_connection(*self.runner.addresses[0])
            self.addCleanup(writer.close)
            writer.write(data)
            async with asyncio.timeout(WAIT_S):
                status = await reader.readline()
            self.assertRegex(status, rb"HTTP/1\.\d 4\d\d ")
            self.assertEqual(0, self.runner.limits.memory.used_bytes)
