import asyncio
import random

from wigeonscale.direct import DirectService
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.tests.fakes import FakeExchange, FakeSink
from wigeonscale.direct.tests.support import EntryHarness, answer, event, server
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import CallerRequest
from wigeonscale.routes import (
    CallerLimits,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
    build_table,
)
from wigeonscale.testing import AsyncTestCase

TABLE = build_table(
    number=1,
    routes=[
        Route(
            name="r",
            host="h",
            prefix="/",
            repeat=Repeat.UNSAFE,
            timeout_s=0.8,
            priority=2,
            shares=(Share("plain", 1.0),),
        )
    ],
    services=[Service(name="plain")],
    organisations=[Organisation(name="one", keys=("k",), priority=7)],
    limits=CallerLimits(),
)


class ServiceCase(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(server("one"))
        self.exchange = self.harness.exchange
        self.table = TABLE
        self.config_received = asyncio.Event()
        self.config_received.set()
        self.confirmed = True
        self.sink = FakeSink()
        self.service = DirectService(
            ctx=self.harness.ctx,
            table=lambda: self.table,
            config_received=self.config_received,
            may_serve=lambda: self.confirmed,
            rng=random.Random(1),
        )

    def serve(self, **fields):
        fields = {"host": "h", "key": "k", "deadline_s": 1.5} | fields
        req = CallerRequest(
            request_id="r1",
            method="POST",
            path="/p",
            headers=(),
            body=b"",
            arrived_at=self.harness.clock.now(),
            **fields,
        )
        return self.service.serve(req, self.sink)

    async def refused(self, **fields):
        try:
            await self.serve(**fields)
        except WigeonscaleError as exc:
            return exc
        self.fail("it was answered")


class ServeTest(ServiceCase):
    async def test_answer(self):
        self.exchange.script("one", answer())
        await self.serve()
        self.assertEqual(answer(), self.sink.answer)

    async def test_remaining_time_is_the_shorter_limit(self):
        for deadline_s, most_s in ((1.5, 0.8), (0.3, 0.3), (None, 0.8)):
            self.exchange.script("one", answer())
            await self.serve(deadline_s=deadline_s)
            left_s = self.exchange.calls[-1].left_s
            self.assertTrue(most_s - 0.05 < left_s <= most_s, left_s)

    async def test_priority_of_the_organisation_overrides(self):
        self.exchange.script("one", answer())
        await self.serve()
        call = self.exchange.calls[0]
        self.assertEqual((7, "one"), (call.priority, call.organisation))

    async def test_timeout(self):
        self.exchange.script("one", FakeExchange.HANG)
        exc = await self.refused(deadline_s=0.1)
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["one"], self.exchange.cancelled)

    async def test_no_route_or_unknown_key(self):
        for fields, kind in (
            ({"host": "other"}, ErrorKind.NO_MATCHING_RULE),
            ({"key": "wrong"}, ErrorKind.UNKNOWN_KEY),
        ):
            exc = await self.refused(**fields)
            self.assertEqual((kind, RunState.NOT_RUN), (exc.kind, exc.run_state))
        self.assertEqual([], self.exchange.calls)

    async def test_expired_lease(self):
        self.confirmed = False
        exc = await self.refused()
        self.assertEqual(ErrorKind.LEASE_EXPIRED, exc.kind)
        self.assertEqual([], self.exchange.calls)


class StreamTest(ServiceCase):
    async def test_stream_of_a_plain_service(self):
        self.exchange.script("one", [event(1)])
        self.table = build_table(
            number=2,
            routes=[
                Route(
                    name="r",
                    host="h",
                    prefix="/",
                    repeat=Repeat.STREAM,
                    timeout_s=5.0,
                    shares=(Share("plain", 1.0),),
                )
            ],
            services=[Service(name="plain")],
            organisations=None,
            limits=CallerLimits(),
        )
        with self.assertLogs("wigeonscale.direct.service", "INFO") as logs:
            await self.serve()
        self.assertEqual(event(1).data, self.sink.data)
        self.assertTrue(self.sink.is_whole)
        fields = logs.records[-1].fields
        self.assertEqual((0.0, 1), (fields["first_event_s"], fields["sends"]))


class ProgressTest(AsyncTestCase):
    """The log shows the delays of a stream: its start and its longest pause."""

    def test_the_longest_pause_and_the_event_before_it(self):
        progress = Progress(last_id=None)
        for now, number in ((1.0, 1), (1.1, 2), (1.6, 3), (1.8, 4)):
            progress.note_event(now, number)
        self.assertEqual((1.0, 4), (progress.first_event_at, progress.last_id))
        self.assertTrue(abs(progress.longest_pause_s - 0.5) < 1e-9)
        self.assertEqual(2, progress.paused_after)


class StartTest(ServiceCase):
    """Requests that arrive before the configuration."""

    async def prepare(self):
        await super().prepare()
        self.config_received.clear()
        self.table = RouteTable()

    async def test_waits_for_the_configuration(self):
        self.exchange.script("one", answer())
        task = asyncio.create_task(self.serve())
        await asyncio.sleep(0)
        self.table = TABLE
        await asyncio.sleep(0)
        self.assertEqual([], self.exchange.calls)
        self.config_received.set()
        await task
        self.assertEqual(answer(), self.sink.answer)

    async def test_wait_is_bounded(self):
        exc = await self.refused(deadline_s=0.1)
        self.assertEqual(ErrorKind.LEASE_EXPIRED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertIsNotNone(exc.retry_after)
