"""A backend server must get no requests during its `Retry-After`.

An entry avoids a refusing server for 0.4 s and then chooses it again if it is cheapest.
If the entry ignores the `Retry-After`, it retries too early: after a 503 with three
seconds of `Retry-After`, it sent again 0.40, 0.82, 1.48, 2.10 and 2.90 s later and was
refused each time. Two refusals were at least 0.40 s apart, and all 24 requests in eight
seconds were rejected.
"""

import asyncio

from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    MODEL,
    EntryHarness,
    answer,
    engine,
    event,
    not_run,
    server,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

RETRY_AFTER_S = 3.0
REQUESTS = 40
STEP_S = 0.1
# Requests that are in flight during the refusal are allowed.
MAX_SENDS_DURING_RETRY_AFTER = 2


def refused_with_retry_after():
    return not_run(notice=ServerNotice(retry_after_s=RETRY_AFTER_S))


class RetryAfterTest(AsyncTestCase):
    async def ask(self, harness, flow):
        for _ in range(REQUESTS):
            asking = asyncio.create_task(flow())
            await harness.clock.advance(STEP_S)
            await asyncio.gather(asking, return_exceptions=True)

    def sends_during_retry_after(self, harness, name, sent_at):
        first = next(at for at, to in sent_at if to == name)
        return sum(
            to == name and first < at < first + RETRY_AFTER_S for at, to in sent_at
        )

    def prepare_entry(self, *servers):
        harness = EntryHarness(*servers)
        sent_at = []
        open_stream = harness.exchange.open

        def open_noted(call):
            sent_at.append((harness.clock.now(), call.backend_id))
            return open_stream(call)

        harness.exchange.open = open_noted
        return harness, sent_at

    async def test_first_engine_of_the_cheapest_path(self):
        harness, sent_at = self.prepare_entry(
            engine("a", 0, 10), engine("b", 0, 10, domain="b")
        )
        harness.exchange.script(
            "a", *[refused_with_retry_after() for _ in range(REQUESTS)]
        )
        harness.exchange.script("b", *[[event(1)] for _ in range(REQUESTS)])

        async def flow():
            job = harness.job(Repeat.STREAM, service=MODEL, resumable=True)
            await relay_stream(harness.ctx, job, FakeSink())

        await self.ask(harness, flow)
        sends = self.sends_during_retry_after(harness, "a", sent_at)
        self.assertTrue(
            sends <= MAX_SENDS_DURING_RETRY_AFTER,
            f"{sends} sends during the Retry-After",
        )
        self.assertEqual(REQUESTS, sum(to == "b" for _, to in sent_at))

    async def test_retry_after_longer_than_callers_wait(self):
        harness, _ = self.prepare_entry(engine("a", 0, 10))
        harness.exchange.script("a", refused_with_retry_after())
        sink = FakeSink()
        for _ in range(2):
            job = harness.job(Repeat.STREAM, service=MODEL, resumable=True, left_s=20.0)
            try:
                # No time passes: neither request waits.
                await relay_stream(harness.ctx, job, sink)
            except WigeonscaleError as exc:
                refused = exc
        self.assertEqual(
            (ErrorKind.OVERLOADED, RunState.NOT_RUN), (refused.kind, refused.run_state)
        )
        self.assertTrue(refused.retry_after >= RETRY_AFTER_S)

    async def test_short_retry_after_of_the_only_engine(self):
        harness, sent_at = self.prepare_entry(engine("a", 0, 10))
        moment = not_run(notice=ServerNotice(retry_after_s=0.5))
        harness.exchange.script("a", moment, [event(1)])
        sink = FakeSink()
        for _ in range(2):
            job = harness.job(Repeat.STREAM, service=MODEL, resumable=True, left_s=20.0)
            asking = asyncio.create_task(relay_stream(harness.ctx, job, sink))
            await harness.clock.advance(0.6)
            await asyncio.gather(asking, return_exceptions=True)
        self.assertTrue(sink.is_whole)
        (first, _), (second, _) = sent_at[:2]
        self.assertTrue(second - first >= 0.5)

    async def test_shorter_retry_after_does_not_replace_longer_one(self):
        harness, _ = self.prepare_entry(engine("a", 0, 10))
        for retry_after_s in (RETRY_AFTER_S, 0.1):
            harness.ctx.notices.note(
                "a",
                ServerNotice(retry_after_s=retry_after_s),
                request_id="r",
                sent_at=0.0,
            )
        self.assertEqual(RETRY_AFTER_S, harness.ctx.notices.send_delay_s("a"))
        await harness.clock.advance(RETRY_AFTER_S)
        self.assertTrue(harness.ctx.notices.may_send("a"))

    async def test_the_only_plain_server(self):
        harness, sent_at = self.prepare_entry(server("p"))
        harness.exchange.script(
            "p", *[refused_with_retry_after() for _ in range(REQUESTS)]
        )
        harness.exchange.script("p", *[answer() for _ in range(REQUESTS)])
        refusals = []

        async def flow():
            try:
                await call_plain(harness.ctx, harness.job())
            except WigeonscaleError as exc:
                refusals.append(exc)

        await self.ask(harness, flow)
        sends = self.sends_during_retry_after(harness, "p", sent_at)
        self.assertTrue(
            sends <= MAX_SENDS_DURING_RETRY_AFTER,
            f"{sends} sends during the Retry-After",
        )
        # The Retry-After of each caller ends with that of the server.
        first = refusals[0].retry_after
        self.assertTrue(0.9 * RETRY_AFTER_S <= first <= RETRY_AFTER_S, first)
