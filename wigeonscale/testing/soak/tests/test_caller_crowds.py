"""Crowds of callers that do not behave, at a running entry.

Each crowd keeps its connections open and reads no answers. The bounds are those of the
smallest machine that an entry runs on.
"""

import asyncio
import contextlib
import os
import socket

from wigeonscale.testing.soak.load import HOST, document, new_session
from wigeonscale.testing.soak.tests.support import DeploymentCase

MAX_MEMORY_KB = 152_000
MAX_DESCRIPTORS = 1535
HEAD_BYTES = 16384
BODY_BYTES = 4 << 20
LIMITS = {
    "max-header-bytes": HEAD_BYTES,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
FLOOD_BYTES = 2 << 20
# Bounds the time of a sender whose connection is not read any more.
SEND_TIMEOUT_S = 8.0
# Far more than a busy machine needs.
ANSWER_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.1

START = f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: crowd\r\n".encode()
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
FILLED_BYTES = HEAD_BYTES - 400
SHORT_LINE = b"a:\r\n"
SHORT_LINES = START + SHORT_LINE * ((FILLED_BYTES - len(START)) // len(SHORT_LINE))
FOLD = b" \r\n"
FOLDED_LINES = START + b"b: c\r\n" + FOLD * ((FILLED_BYTES - len(START)) // len(FOLD))


class CallerCrowdTest(DeploymentCase):
    async def prepare(self):
        await super().prepare()
        self.entry = self.dep.entries[0]
        await self.put_limits()
        await self.assert_served()

    async def put_limits(self):
        config = document(1000) | {"limits": LIMITS}
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                for address in self.dep.control_addresses:
                    with contextlib.suppress(OSError):
                        url = f"http://{address}/config"
                        async with self.session.put(url, json=config) as res:
                            if res.status == 200:
                                return
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def assert_served(self):
        """Send an ordinary request on new connections until it is served."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S), new_session() as session:
            while not await self.load.call(session, self.entry, "safe"):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def check(self, data, *, connections):
        """Send data over some connections; the entry must go on within its bounds.

        Args:
            data: What each connection sends.
            connections: Number of connections.
        """
        loop = asyncio.get_running_loop()
        host, port = self.dep.caller_address(self.entry).split(":")

        async def send(sock):
            # The entry may refuse the caller or leave its data unread.
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await loop.sock_connect(sock, (host, int(port)))
                    await loop.sock_sendall(sock, data)

        with contextlib.ExitStack() as stack:
            socks = [stack.enter_context(socket.socket()) for _ in range(connections)]
            for sock in socks:
                sock.setblocking(False)
            await asyncio.gather(*map(send, socks))
            descriptors = len(os.listdir(f"/proc/{self.entry.child.proc.pid}/fd"))
            await self.assert_served()
        await self.assert_served()
        self.assertEqual([], self.dep.unexpected_exits)
        self.assertLessEqual(self.peak_memory_kb(), MAX_MEMORY_KB)
        self.assertLessEqual(descriptors, MAX_DESCRIPTORS)

    def peak_memory_kb(self):
        with open(f"/proc/{self.entry.child.proc.pid}/status") as status:
            line = next(line for line in status if line.startswith("VmHWM:"))
        return int(line.split()[1])

    async def test_heads_of_short_lines(self):
        """Guards against heads whose lines cost far more memory than their bytes."""
        await self.check(SHORT_LINES, connections=300)

    async def test_heads_of_folded_lines(self):
        """Guards against the same with one header folded into many lines."""
        await self.check(FOLDED_LINES, connections=300)

    async def test_heads_without_end(self):
        """Guards against heads that are read beyond their limit."""
        await self.check(START + SHORT_LINE * (FLOOD_BYTES // 4), connections=100)

    async def test_header_line_without_end(self):
        """Guards against the same with a single line."""
        await self.check(START + b"a: " + b"b" * FLOOD_BYTES, connections=100)

    async def test_empty_lines_before_a_request(self):
        """Guards against callers whose empty lines take all of the processor."""
        await self.check(b"\r\n" * (FLOOD_BYTES // 2), connections=100)

    async def test_requests_ahead(self):
        """Guards against requests that are read before those ahead are answered."""
        await self.check((SHORT_LINES + b"\r\n") * 1000, connections=20)

    async def test_requests_of_short_lines(self):
        """Guards against whole requests that together exceed the memory."""
        await self.check(SHORT_LINES + b"\r\n", connections=300)

    async def test_small_requests_ahead(self):
        """Guards against the same with small requests."""
        await self.check((START + b"\r\n") * 20_000, connections=20)

    async def test_bodies_without_their_last_byte(self):
        """Guards against bodies that together exceed the memory."""
        head = START + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        await self.check(head + b"x" * (BODY_BYTES - 1), connections=60)

    async def test_chunks_of_one_byte(self):
        """Guards against chunks that cost far more memory than their bytes."""
        await self.check(CHUNKED + b"1\r\nx\r\n" * 300_000, connections=60)

    async def test_chunk_size_without_end(self):
        """Guards against a chunk size that is read without a limit."""
        await self.check(CHUNKED + b"0" * FLOOD_BYTES, connections=100)

    async def test_trailers_without_end(self):
        """Guards against trailers that are read without a limit."""
        data = CHUNKED + b"0\r\n" + SHORT_LINE * (FLOOD_BYTES // 4)
        await self.check(data, connections=100)
