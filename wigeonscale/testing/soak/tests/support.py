"""The daemons under test with fake backends, for tests without random faults."""

import asyncio
import pathlib
import random

import fixtures

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.backends import Backend
from wigeonscale.testing.soak.deployment import RETRY_SLACK, Deployment
from wigeonscale.testing.soak.invariants import InvariantChecker
from wigeonscale.testing.soak.load import Load, new_session

ENGINES = 4
PLAIN_SERVERS = 2
# Far more than a busy machine needs.
TIMEOUT_S = 60.0


class DeploymentCase(AsyncTestCase):
    """Three control replicas, two entries, four engines and two plain servers."""

    retry_slack = RETRY_SLACK

    async def prepare(self):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        rng = random.Random(1)
        self.checker = InvariantChecker()
        self.dep = Deployment(folder=folder, retry_slack=self.retry_slack)
        self.addCleanup(self.dep.close)
        self.load = Load(dep=self.dep, checker=self.checker, rng=rng)
        engines = {}
        self.backends = [
            Backend(
                service=service,
                controls=self.dep.control_addresses,
                checker=self.checker,
                engines=engines,
                rng=rng,
            )
            for service in ["model"] * ENGINES + ["plain"] * PLAIN_SERVERS
        ]
        self.session = new_session()
        self.addCleanup(self.session.close)
        for node in self.dep.nodes:
            await self.dep.start(node)
        for backend in self.backends:
            self.addCleanup(backend.close)
            await backend.start()
        await self.load.change(self.session, 1)

    async def wait_until_served(self, kind, body=b"q"):
        for entry in self.dep.entries:
            async with asyncio.timeout(TIMEOUT_S):
                while not await self.load.call(self.session, entry, kind, body):
                    await asyncio.sleep(0.05)
