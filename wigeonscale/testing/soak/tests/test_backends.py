"""The fake backend servers behave as the servers of the platform."""

import random

import aiohttp

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.backends import Backend
from wigeonscale.testing.soak.invariants import InvariantChecker


class BackendTest(AsyncTestCase):
    async def prepare(self):
        self.backend = Backend(
            service="plain",
            controls=[],
            checker=InvariantChecker(),
            engines={},
            rng=random.Random(1),
        )
        self.addCleanup(self.backend.close)
        await self.backend.start()
        self.session = aiohttp.ClientSession()
        self.addCleanup(self.session.close)

    async def report(self):
        url = f"http://{self.backend.relay.address}/report"
        async with self.session.get(url) as res:
            return res.status

    async def test_stopped_server_refuses_connections_until_it_starts_again(self):
        self.assertEqual(200, await self.report())
        await self.backend.stop()
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.report()
        await self.backend.start()
        self.assertEqual(200, await self.report())
