import asyncio
from unittest import mock

from wigeonscale.direct import plain
from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.tests.fakes import FakeExchange
from wigeonscale.direct.tests.support import (
    EntryHarness,
    answer,
    fleet,
    not_run,
    not_sent,
    server,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase


class PlainCase(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(server("one"), server("two", domain="b"))
        self.exchange = self.harness.exchange

    async def call(self, *args, **fields):
        return await call_plain(self.harness.ctx, self.harness.job(*args, **fields))

    async def refused(self, *args, **fields):
        try:
            got = await self.call(*args, **fields)
        except WigeonscaleError as exc:
            return exc
        self.fail(f"answered {got}")


class SafeTest(PlainCase):
    async def test_answered_by_the_own_domain(self):
        self.exchange.script("one", answer())
        self.assertEqual(answer(), await self.call())
        self.assertEqual(["one"], self.exchange.sent_to)

    async def test_second_server_after_any_failure(self):
        for failure in (unknown(), not_run(), answer(500)):
            await self.prepare()
            self.exchange.script("one", failure)
            self.exchange.script("two", answer())
            self.assertEqual(200, (await self.call()).head.status)
            self.assertEqual(["one", "two"], self.exchange.sent_to)

    async def test_server_error_is_returned_if_the_retry_fails(self):
        self.exchange.script("one", answer(500, b"why"))
        self.exchange.script("two", unknown())
        self.assertEqual(answer(500, b"why"), await self.call())

    async def test_no_more_servers_than_attempts(self):
        self.exchange.script("one", unknown())
        exc = await self.refused(max_attempts=1)
        self.assertEqual(ErrorKind.BACKEND_FAILED, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["one"], self.exchange.sent_to)

    async def test_no_retry_without_budget(self):
        self.harness = EntryHarness(server("one"), server("two"), slack=0)
        self.exchange = self.harness.exchange
        self.exchange.script("one", not_run())
        exc = await self.refused()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(["one"], self.exchange.sent_to)

    async def test_a_server_that_hangs_leaves_time_for_another(self):
        self.exchange.script("one", FakeExchange.HANG)
        self.exchange.script("two", answer())
        self.assertEqual(answer(), await self.call(left_s=0.1))
        self.assertEqual(["one"], self.exchange.cancelled)

    async def test_a_server_is_waited_for_without_a_retry(self):
        """Guards against an answer that is given up and cannot be asked for again."""
        self.harness.ctx.budget.report_sends()
        while self.harness.ctx.budget.try_spend("plain"):
            pass
        await self.check_is_waited_for(attempts=2)

    async def test_the_last_server_is_waited_for(self):
        """Guards against a last attempt that ends long before its deadline."""
        self.exchange.script("one", unknown())
        await self.check_is_waited_for("two", attempts=2)

    async def test_the_only_server_is_waited_for(self):
        self.harness.fleet = fleet(server("one"))
        await self.check_is_waited_for(attempts=2)

    async def check_is_waited_for(self, name="one", *, attempts):
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script(name, gate)
        calling = asyncio.create_task(self.call(max_attempts=attempts, left_s=60.0))
        with mock.patch.object(plain, "ATTEMPT_TIME_FRACTION", 0.0):
            for _ in range(50):
                await asyncio.sleep(0)
        self.assertFalse(calling.done())
        self.assertEqual(name, self.exchange.sent_to[-1])
        gate.set_result(answer())
        self.assertEqual(answer(), await calling)
        self.assertEqual([], self.exchange.cancelled)


class UnsafeTest(PlainCase):
    async def refused(self, **fields):
        return await super().refused(Repeat.UNSAFE, **fields)

    async def test_never_sent_again_once_it_may_have_run(self):
        self.exchange.script("one", unknown())
        exc = await self.refused()
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["one"], self.exchange.sent_to)

    async def test_server_error_is_returned(self):
        self.exchange.script("one", answer(500))
        got = await self.call(Repeat.UNSAFE)
        self.assertEqual(500, got.head.status)
        self.assertEqual(["one"], self.exchange.sent_to)

    async def test_retried_if_it_was_not_sent(self):
        self.exchange.script("one", not_sent())
        self.exchange.script("two", answer())
        self.assertEqual(answer(), await self.call(Repeat.UNSAFE, max_attempts=1))
        self.assertEqual(["one"], self.harness.suspected)

    async def test_retried_if_the_server_did_not_run_it(self):
        self.exchange.script("one", not_run())
        self.exchange.script("two", answer())
        self.assertEqual(answer(), await self.call(Repeat.UNSAFE))

    async def test_not_run_error_has_retry_after(self):
        self.exchange.script("one", not_run())
        exc = await self.refused(max_attempts=1)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertIsNotNone(exc.retry_after)

    async def test_no_server_at_all(self):
        self.harness.fleet = EntryHarness().fleet
        exc = await self.refused()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual([], self.exchange.calls)

    async def test_all_servers_unreachable(self):
        for name in ("one", "two"):
            self.exchange.script(name, *[not_sent()] * 50)
        exc = await self.refused()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual({"one", "two"}, set(self.exchange.sent_to))
        self.assertEqual(2, len(self.exchange.calls))
