"""A backend server turns an entry away and asks for rest, and is asked on and on.

An engine refused with 503 and three seconds of `Retry-After`. The entry sent to it
again 0.40, 0.82, 1.48, 2.10 and 2.90 s later, and was refused each time: it leaves a
server that refuses alone for 0.4 s, whatever that asks for, and then takes it again
where it is cheapest.
"""

import asyncio

from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.support import (
    MODEL,
    Parts,
    Sink,
    answer,
    engine,
    event,
    not_run,
    server,
)
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

REST_S = 3.0
REQUESTS = 40
STEP_S = 0.1
# Requests on their way when it asked are borne.
BORNE = 2


def asks_for_rest():
    return not_run(notice=ServerNotice(rest_s=REST_S))


class RestTest(AsyncTestCase):
    async def ask(self, parts, flow):
        for _ in range(REQUESTS):
            asking = asyncio.create_task(flow())
            await parts.clock.advance(STEP_S)
            await asyncio.gather(asking, return_exceptions=True)

    def sends_in_rest(self, parts, name, sent_at):
        first = next(at for at, to in sent_at if to == name)
        return sum(to == name and first < at < first + REST_S for at, to in sent_at)

    def entry_of(self, *servers):
        parts = Parts(*servers)
        sent_at = []
        open_stream = parts.exchange.open

        def open_noted(call):
            sent_at.append((parts.clock.now(), call.backend_id))
            return open_stream(call)

        parts.exchange.open = open_noted
        return parts, sent_at

    async def test_the_first_engine_of_the_nearest_path(self):
        parts, sent_at = self.entry_of(
            engine("a", 0, 10), engine("b", 0, 10, domain="b")
        )
        parts.exchange.script("a", *[asks_for_rest() for _ in range(REQUESTS)])
        parts.exchange.script("b", *[[event(1)] for _ in range(REQUESTS)])

        async def flow():
            job = parts.job(Repeat.STREAM, service=MODEL, resumable=True)
            await relay_stream(parts.around, job, Sink())

        await self.ask(parts, flow)
        sends = self.sends_in_rest(parts, "a", sent_at)
        self.assertTrue(sends <= BORNE, f"{sends} sends while it rested")
        self.assertEqual(REQUESTS, sum(to == "b" for _, to in sent_at))

    async def test_the_only_plain_server(self):
        parts, sent_at = self.entry_of(server("p"))
        parts.exchange.script("p", *[asks_for_rest() for _ in range(REQUESTS)])
        parts.exchange.script("p", *[answer() for _ in range(REQUESTS)])
        refusals = []

        async def flow():
            try:
                await call_plain(parts.around, parts.job())
            except WigeonscaleError as exc:
                refusals.append(exc)

        await self.ask(parts, flow)
        sends = self.sends_in_rest(parts, "p", sent_at)
        self.assertTrue(sends <= BORNE, f"{sends} sends while it rested")
        # Each caller is told when it is worth coming back.
        first = refusals[0].retry_after
        self.assertTrue(0.9 * REST_S <= first <= REST_S, first)
