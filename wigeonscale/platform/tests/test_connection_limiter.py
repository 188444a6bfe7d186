import asyncio

import aiohttp
from aiohttp import web

from wigeonscale.platform.connection_limiter import (
    MAX_CONCURRENT_CONNECTS,
    ConnectionContext,
)
from wigeonscale.platform.exchange_http import new_session
from wigeonscale.platform.tests.support import serve
from wigeonscale.testing import AsyncTestCase

REQUESTS = 50


class ConnectionLimitTest(AsyncTestCase):
    """Guards against a listen backlog that overflows from many concurrent connects.

    When entries start together or an engine comes back, many requests go to one engine
    at once, and each opens a new connection.
    """

    async def prepare(self):
        async def handle(req):
            return web.Response()

        runner, self.address = await serve(handle)
        self.addCleanup(runner.cleanup)
        self.session = new_session()
        self.addCleanup(self.session.close)
        self.opening = 0
        self.max_opening = 0
        self.expected = 0
        self.reached = asyncio.Event()
        self.proceed = asyncio.Event()
        self.proceed.set()
        self._create = self.session.connector._create_connection
        self.session.connector._create_connection = self.counted_create

    async def counted_create(self, *args, **fields):
        self.opening += 1
        self.max_opening = max(self.max_opening, self.opening)
        if self.opening == self.expected:
            self.reached.set()
        try:
            await self.proceed.wait()
            return await self._create(*args, **fields)
        finally:
            self.opening -= 1

    async def get(self, address=None):
        address = address or self.address
        async with self.session.get(
            f"http://{address}/", trace_request_ctx=ConnectionContext(address)
        ) as res:
            return res.status

    async def test_concurrent_connects_are_limited(self):
        statuses = await asyncio.gather(*[self.get() for _ in range(REQUESTS)])
        self.assertEqual([200] * REQUESTS, statuses)
        self.assertTrue(self.max_opening <= MAX_CONCURRENT_CONNECTS, self.max_opening)

    async def test_limit_applies_per_address(self):
        self.proceed.clear()
        self.expected = MAX_CONCURRENT_CONNECTS + 1
        waiting = [asyncio.create_task(self.get()) for _ in range(REQUESTS)]
        other = asyncio.create_task(self.get("127.0.0.1:1"))
        await self.reached.wait()
        self.proceed.set()
        await asyncio.gather(*waiting)
        result = (await asyncio.gather(other, return_exceptions=True))[0]
        self.assertIsInstance(result, aiohttp.ClientConnectorError)

    async def test_cancelled_and_failed_connects_release_their_slots(self):
        self.proceed.clear()
        self.expected = MAX_CONCURRENT_CONNECTS
        leaving = [asyncio.create_task(self.get()) for _ in range(REQUESTS)]
        await self.reached.wait()
        for task in leaving:
            task.cancel()
        await asyncio.gather(*leaving, return_exceptions=True)
        self.proceed.set()
        for _ in range(2 * MAX_CONCURRENT_CONNECTS):
            results = await asyncio.gather(
                self.get("127.0.0.1:1"), return_exceptions=True
            )
            self.assertIsInstance(results[0], aiohttp.ClientConnectorError)
        self.assertEqual(200, await self.get())
