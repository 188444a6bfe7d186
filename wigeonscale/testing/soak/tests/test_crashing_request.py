"""One request crashes every engine that begins to run it, and comes again and again.

In seven seconds twelve engines ended, each the first of a path. At each of the ten
whose last runs the logs show there was a request without an event, and its line said
`sends: 1`, at any of four entries. It was the same request again with a new id. No
entry knew that it had come before, none told another, and so each took it in as new:
nineteen engines ended under it, and forty streams were cut with one of them.
"""

import asyncio
import pathlib
import random

import fixtures

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.backends import CRASHING, Backend
from wigeonscale.testing.soak.deployment import Deployment
from wigeonscale.testing.soak.ledger import Ledger
from wigeonscale.testing.soak.load import Load, new_session

ENGINES = 4
PLAIN = 2
ATTEMPTS = 14
# Three crashes say what the request does; three further ones are borne while that
# becomes known.
MOST_CRASHES = 6
# Far above what a busy machine needs.
LIMIT_S = 60.0


class CrashingRequestTest(AsyncTestCase):
    async def prepare(self):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        rng = random.Random(1)
        self.ledger = Ledger()
        self.dep = Deployment(folder=folder)
        self.addCleanup(self.dep.close)
        self.load = Load(dep=self.dep, ledger=self.ledger, rng=rng)
        engines = {}
        backends = [
            Backend(
                service=service,
                controls=self.dep.control_addresses,
                ledger=self.ledger,
                engines=engines,
                rng=rng,
            )
            for service in ["model"] * ENGINES + ["plain"] * PLAIN
        ]
        self.session = new_session()
        self.addCleanup(self.session.close)
        for node in self.dep.nodes:
            await self.dep.start(node)
        for backend in backends:
            self.addCleanup(backend.close)
            await backend.start()
        await self.load.change(self.session, 1)

    async def until_served(self, kind, body=b"q"):
        for entry in self.dep.entries:
            async with asyncio.timeout(LIMIT_S):
                while not await self.load.call(self.session, entry, kind, body):
                    await asyncio.sleep(0.05)

    async def ask_again_and_again(self, kind):
        await self.until_served(kind)
        for number in range(ATTEMPTS):
            entry = self.dep.entries[number % 2]
            # Another request is on its way with it each time.
            await asyncio.gather(
                self.load.call(self.session, entry, kind, CRASHING),
                self.load.call(self.session, entry, kind, b"beside"),
            )
            await self.until_served(kind)

    async def test_a_stream_is_refused_after_three_crashes(self):
        await self.ask_again_and_again("stream")
        crashes = len(self.ledger.crashed_at[CRASHING])
        self.assertTrue(crashes <= MOST_CRASHES, f"{crashes} engines crashed")
        await self.until_served("stream", b"beside")
        self.assertEqual([], self.ledger.broken)

    async def test_a_plain_request_is_refused_after_three_crashes(self):
        await self.ask_again_and_again("safe")
        crashes = len(self.ledger.crashed_at[CRASHING])
        self.assertTrue(crashes <= MOST_CRASHES, f"{crashes} servers crashed")
        await self.until_served("safe", b"beside")
        self.assertEqual([], self.ledger.broken)
