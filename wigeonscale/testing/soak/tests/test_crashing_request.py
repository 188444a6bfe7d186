"""One request crashes every engine that begins to run it, and comes again and again.

In seven seconds twelve engines ended, each the first of a path. At each of the ten
whose last runs the logs show there was a request without an event, and its line said
`sends: 1`, at any of four entries. It was the same request again with a new id. No
entry knew that it had come before, none told another, and so each took it in as new:
nineteen engines ended under it, and forty streams were cut with one of them.
"""

import asyncio

from wigeonscale.testing.soak.backends import CRASHING
from wigeonscale.testing.soak.tests.support import DeploymentCase

ATTEMPTS = 14
# Three crashes say what the request does; three further ones are borne while that
# becomes known.
MOST_CRASHES = 6


class CrashingRequestTest(DeploymentCase):
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
