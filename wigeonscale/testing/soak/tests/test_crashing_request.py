"""One request crashes every engine that begins to run it, and comes again and again.

In seven seconds twelve engines ended, each the first of a path. At each of the ten
whose last runs the logs show there was a request without an event, and its line said
`sends: 1`, at any of four entries. It was the same request again with a new id. No
entry knew that it had come before, none told another, and so each took it in as new:
nineteen engines ended under it, and forty streams were cut with one of them.
"""

import asyncio

from wigeonscale.testing.soak.backends import CRASHING_BODY
from wigeonscale.testing.soak.tests.support import DeploymentCase

REQUESTS = 14
# Three crashes say what the request does; three further ones are borne while that
# becomes known.
MAX_CRASHES = 6


class CrashingRequestTest(DeploymentCase):
    async def repeat_crashing_request(self, kind):
        await self.wait_until_served(kind)
        for number in range(REQUESTS):
            entry = self.dep.entries[number % 2]
            # Another request is on its way with it each time.
            await asyncio.gather(
                self.load.call(self.session, entry, kind, CRASHING_BODY),
                self.load.call(self.session, entry, kind, b"beside"),
            )
            await self.wait_until_served(kind)

    async def test_a_stream_is_refused_after_three_crashes(self):
        await self.repeat_crashing_request("stream")
        crashes = len(self.checker.crashed_at[CRASHING_BODY])
        self.assertTrue(crashes <= MAX_CRASHES, f"{crashes} engines crashed")
        await self.wait_until_served("stream", b"beside")
        self.assertEqual([], self.checker.violations)

    async def test_a_plain_request_is_refused_after_three_crashes(self):
        await self.repeat_crashing_request("safe")
        crashes = len(self.checker.crashed_at[CRASHING_BODY])
        self.assertTrue(crashes <= MAX_CRASHES, f"{crashes} servers crashed")
        await self.wait_until_served("safe", b"beside")
        self.assertEqual([], self.checker.violations)
