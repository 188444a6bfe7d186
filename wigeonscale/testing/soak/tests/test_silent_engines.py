"""Sound engines fall silent for more than a second and go on.

Guards against a stream that is cut although its engine goes on, because its entry gave
the engine up before it knew whether the stream could be resumed elsewhere.
"""

import asyncio
import json

import aiohttp

from wigeonscale.testing.matrix.relay import Direction
from wigeonscale.testing.soak.backends import stream_events
from wigeonscale.testing.soak.load import HOST, document
from wigeonscale.testing.soak.tests.support import DeploymentCase

# Below the capacity of the engines, which is 13 streams.
STREAMS = 8
EVENT_INTERVAL_S = 0.08
SILENCE_S = 1.3
SILENCES = 3
DEADLINE_S = 6.0
BODY = b"q"


class SilentEnginesTest(DeploymentCase):
    # Fewer than the streams that one silence interrupts.
    retry_slack = 4

    async def prepare(self):
        await super().prepare()
        self.engines = [each for each in self.backends if each.service == "model"]
        for engine in self.engines:
            engine.event_interval_s = EVENT_INTERVAL_S
        self.number = 1

    async def change(self, *, resumable):
        """Put the next configuration in force."""
        self.number += 1
        content = document(self.number)
        for route in content["routes"]:
            route["resumable"] = resumable
        async with asyncio.timeout(DEADLINE_S):
            while True:
                for control in self.dep.control_addresses:
                    url = f"http://{control}/config"
                    async with self.session.put(url, data=json.dumps(content)) as res:
                        if res.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def read_stream(self, number, has_events):
        """Return what a caller receives, and set the event once it has a part."""
        entry = self.dep.entries[number % 2]
        request_id = f"s{self.number}-{number}"
        now = asyncio.get_running_loop().time()
        self.checker.notices.record_sent(request_id, entry.name, now)
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Request-Deadline": str(int(DEADLINE_S * 1000)),
            "Token-Count": "10,12",
        }
        url = f"http://{self.dep.caller_address(entry)}/stream/x"
        got = b""
        async with self.session.post(url, headers=headers, data=BODY) as res:
            try:
                async for chunk in res.content.iter_any():
                    got += chunk
                    has_events.set()
            except (aiohttp.ClientError, OSError) as exc:
                return f"cut after {got[-40:]!r}: {exc!r}"
            finally:
                has_events.set()
        is_whole = got == b"".join(stream_events(request_id, BODY))
        return "whole" if is_whole else f"{res.status}: {got!r}"

    async def be_silent(self):
        for engine in self.engines:
            engine.relay.block(Direction.BOTH, new=True)
        await asyncio.sleep(SILENCE_S)
        for engine in self.engines:
            engine.relay.heal()

    async def check_streams(self, *, resumable):
        await self.change(resumable=resumable)
        await self.wait_until_served("stream")
        for _ in range(SILENCES):
            await self.change(resumable=resumable)
            begun = [asyncio.Event() for _ in range(STREAMS)]
            streams = [
                asyncio.create_task(self.read_stream(n, begun[n]))
                for n in range(STREAMS)
            ]
            await asyncio.gather(*(each.wait() for each in begun))
            await asyncio.gather(self.be_silent(), self.change(resumable=resumable))
            results = await asyncio.gather(*streams)
            self.assertEqual(["whole"] * STREAMS, results)

    async def test_stream_that_must_not_run_twice_is_not_cut(self):
        await self.check_streams(resumable=False)

    async def test_stream_without_a_retry_in_the_budget_is_not_cut(self):
        await self.check_streams(resumable=True)
