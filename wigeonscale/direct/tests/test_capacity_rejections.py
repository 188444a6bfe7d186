"""Rejections for lack of capacity of a service with traffic classes."""

import asyncio
import dataclasses
import random

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.admission import overloaded_error
from wigeonscale.direct.class_demand import TOTALS_MAX_AGE_S
from wigeonscale.direct.next_path import NO_PATH_RETRY_AFTER_S
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    MODEL,
    EntryHarness,
    engine,
    event,
    not_run,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.limits import DEFAULT_RETRY_AFTER_S, ClassCount
from wigeonscale.limits.retry_after import MAX_RETRY_AFTER_S
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

# Longer than a refused generation may wait for a retry.
REFUSED_WITHIN_S = 3.0


class CapacityRejectionTest(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(engine("a", 0, 10), slack=0)
        self.classes = {MODEL.name}
        self.harness.ctx = dataclasses.replace(
            self.harness.ctx, has_classes=lambda name: name in self.classes
        )
        self.tracker = self.harness.ctx.class_demand

    def job(self, **fields):
        fields.setdefault("left_s", 20.0)
        return self.harness.job(Repeat.STREAM, service=MODEL, resumable=True, **fields)

    def apply_totals(self, **fields):
        fields = {
            "priority": self.job().priority,
            "released": 50,
            "arrived": 50,
        } | fields
        self.tracker.apply_totals(
            [ClassCount(service=MODEL.name, domain="a", **fields)]
        )

    def rejected(self, **fields):
        fields.setdefault("may_have_run", False)
        return overloaded_error(self.harness.ctx, self.job(), "full", **fields)

    async def refused(self, *steps):
        self.harness.exchange.script("a", *steps)
        task = asyncio.create_task(
            relay_stream(self.harness.ctx, self.job(), FakeSink())
        )
        await self.harness.clock.advance(REFUSED_WITHIN_S)
        try:
            await task
        except WigeonscaleError as exc:
            return exc
        self.fail("it was answered")

    async def test_time_follows_the_totals(self):
        # Fails if the totals of the own domain and service are not used.
        self.apply_totals(returning=2)
        few_s = self.rejected().retry_after
        self.apply_totals(returning=30)
        many_s = self.rejected().retry_after
        self.assertTrue(few_s < 0.4 and 0.9 < many_s < 1.7, (few_s, many_s))

    async def test_rejection_is_recorded(self):
        # Fails if the callers of the next rejections do not wait for this one.
        labels = {"priority": str(self.job().priority), "basis": "release-rate"}
        before = METRICS.capacity_rejections.value(**labels)
        self.apply_totals()
        exc = self.rejected()
        (own,) = self.tracker.report()
        self.assertEqual((1, 1), (own.rejected, own.returning))
        self.assertEqual(before + 1, METRICS.capacity_rejections.value(**labels))
        await self.harness.clock.advance(exc.retry_after + 0.01)
        (own,) = self.tracker.report()
        self.assertEqual((1, 0), (own.rejected, own.returning))

    async def test_missing_totals(self):
        # Fails if an entry without totals sends its callers back at once.
        low, high = DEFAULT_RETRY_AFTER_S
        for _ in range(50):
            self.assertTrue(low <= self.rejected().retry_after <= high)

    async def test_outdated_totals(self):
        # Fails if an entry cut off from control relies on an old release rate.
        self.apply_totals(released=1000)
        await self.harness.clock.advance(TOTALS_MAX_AGE_S + 0.1)
        low, high = DEFAULT_RETRY_AFTER_S
        self.assertTrue(low <= self.rejected().retry_after <= high)
        # The own releases stand for those of the domain.
        for _ in range(100):
            self.tracker.note_released(self.job())
        self.assertTrue(self.rejected().retry_after < low)

    async def test_known_minimum_wait_still_applies(self):
        # Fails if a caller returns before the rate limit of the engine allows it.
        self.apply_totals()
        self.assertTrue(self.rejected(min_wait_s=5.0).retry_after >= 5.0)
        refusal = not_run(notice=ServerNotice(retry_after_s=30.0))
        await self.refused(refusal)
        exc = await self.refused()
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertTrue(exc.retry_after >= 30.0 - REFUSED_WITHIN_S, exc.retry_after)

    async def test_refused_generation_without_a_retry(self):
        # Fails if all generations that an engine refused return after exactly 1 s.
        self.apply_totals(returning=30)
        waits = set()
        for _ in range(5):
            exc = await self.refused(not_run())
            self.assertEqual(
                (ErrorKind.NO_BACKEND, RunState.NOT_RUN), (exc.kind, exc.run_state)
            )
            self.assertTrue(exc.retry_after <= MAX_RETRY_AFTER_S)
            waits.add(exc.retry_after)
        self.assertEqual(5, len(waits))

    async def test_lack_of_a_path_keeps_its_time(self):
        # Fails if callers return before lost layers are loaded elsewhere.
        self.apply_totals(released=1000)
        self.harness.fleet = dataclasses.replace(
            self.harness.fleet, by_service={}, by_id={}, by_address={}
        )
        exc = await self.refused()
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(NO_PATH_RETRY_AFTER_S, exc.retry_after)
        self.assertEqual([], self.tracker.report())

    async def test_request_that_may_have_run_is_never_said_not_to(self):
        # Fails if a caller is told to repeat a generation that may have run.
        self.apply_totals()
        exc = self.rejected(may_have_run=True)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        for steps in ([unknown()], [[event(1), unknown()]]):
            exc = await self.refused(*steps)
            self.assertEqual(
                (ErrorKind.BACKEND_FAILED, RunState.UNKNOWN), (exc.kind, exc.run_state)
            )
            self.assertEqual(NO_PATH_RETRY_AFTER_S, exc.retry_after)

    async def test_refusal_after_a_run_that_broke(self):
        # Fails if the refusal of a second send hides that the first may have run.
        self.harness.fleet = EntryHarness(engine("a", 0, 10), engine("b", 0, 10)).fleet
        self.harness.ctx = dataclasses.replace(
            self.harness.ctx, budget=EntryHarness(slack=2).ctx.budget
        )
        self.apply_totals()
        self.harness.exchange.script("b", not_run())
        exc = await self.refused(unknown())
        self.assertEqual(["a", "b"], self.harness.exchange.sent_to)
        self.assertEqual(
            (ErrorKind.BACKEND_FAILED, RunState.UNKNOWN), (exc.kind, exc.run_state)
        )
        self.assertEqual(NO_PATH_RETRY_AFTER_S, exc.retry_after)

    async def test_service_without_classes(self):
        # Fails if decisions of a service change whose callers are all equal.
        self.classes.clear()
        self.apply_totals(released=1000)
        rng = random.Random(1)
        self.assertEqual(
            0.5 + rng.uniform(*DEFAULT_RETRY_AFTER_S),
            self.rejected(min_wait_s=0.5).retry_after,
        )
        self.assertEqual(
            rng.uniform(*DEFAULT_RETRY_AFTER_S), self.rejected().retry_after
        )
        exc = await self.refused(not_run())
        self.assertEqual(NO_PATH_RETRY_AFTER_S, exc.retry_after)
        self.assertEqual([], self.tracker.report())
