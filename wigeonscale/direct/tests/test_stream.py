import asyncio

from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.runs import Run
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    StreamCase,
    answer,
    engine,
    event,
    fleet,
    not_run,
    not_sent,
    server,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.routes import Repeat, Service


class RelayTest(StreamCase):
    async def test_whole_stream_on_the_own_domain(self):
        self.exchange.script("a1", [event(1), event(2)])
        await self.relay()
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)
        call = self.exchange.calls[0]
        self.assertEqual(("a1:80", "a2:80"), call.addresses)
        self.assertEqual([(0, 5), (5, 10)], [tuple(p.layers) for p in call.path])
        self.assertIsNone(call.after_event)

    async def test_resumes_after_the_last_event(self):
        self.exchange.script("a1", [event(1), event(2), unknown()])
        self.exchange.script("a1", [event(3), event(4)])
        await self.relay()
        self.assertEqual([1, 2, 3, 4], self.got())
        self.assertEqual(2, self.exchange.calls[1].after_event)

    async def test_duplicate_events_are_dropped(self):
        self.exchange.script("a1", [event(1), event(2), unknown()])
        self.exchange.script("a1", [event(2), event(3)])
        await self.relay()
        self.assertEqual([1, 2, 3], self.got())

    async def test_a_missing_event_ends_that_run(self):
        self.exchange.script("a1", [event(1), event(3)])
        self.exchange.script("a1", [event(2), event(3)])
        await self.relay()
        self.assertEqual([1, 2, 3], self.got())

    async def test_last_event_id_of_the_caller(self):
        self.exchange.script("a1", [event(8)])
        await self.relay(last_event_id=7)
        self.assertEqual(7, self.exchange.calls[0].after_event)
        self.assertEqual([8], self.got())

    async def test_engine_error_is_returned(self):
        self.exchange.script("a1", answer(500, b"why"))
        await self.relay()
        self.assertEqual(answer(500, b"why"), self.sink.answer)
        self.assertEqual(1, len(self.exchange.calls))

    async def test_a_refused_send_tries_another_path(self):
        self.exchange.script("a1", not_run(failed_address="a2:80"))
        self.exchange.script("b1", [event(1)])
        await self.relay()
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)
        self.assertEqual(["a2"], self.harness.suspected)

    async def test_first_engine_unreachable(self):
        self.exchange.script("a1", not_sent())
        self.exchange.script("b1", [event(1)])
        await self.relay(resumable=False)
        self.assertEqual(["a1"], self.harness.suspected)


class ExhaustedBudgetTest(StreamCase):
    """The retry budget is exhausted when a stream breaks."""

    async def prepare(self):
        await super().prepare()
        self.budget = self.harness.ctx.budget
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 100)})
        while self.budget.try_spend("model"):
            pass

    async def test_begun_stream_waits_for_the_next_totals(self):
        self.exchange.script("a1", [event(1), unknown()], [event(2)])
        relaying = asyncio.create_task(self.relay())
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(0.4)
        self.assertFalse(relaying.done())
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 45)})
        await self.until(relaying.done)
        await relaying
        self.assertEqual([1, 2], self.got())

    async def test_fails_before_the_caller_disconnects(self):
        self.exchange.script("a1", [event(1), unknown()])
        relaying = asyncio.create_task(self.refused())
        began_at = self.harness.clock.now()
        await self.until(relaying.done)
        self.assertTrue(self.harness.clock.now() - began_at < 1.3)
        self.assertEqual(RunState.UNKNOWN, (await relaying).run_state)

    async def test_pause_of_the_process_is_no_wait(self):
        """Guards against a stream that is cut as soon as a paused entry goes on."""
        self.exchange.script("a1", [event(1), unknown()], [event(2)])
        relaying = asyncio.create_task(self.relay())
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.jump(1.5)
        await self.harness.clock.advance(0.2)
        self.assertFalse(relaying.done())
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 45)})
        await self.until(relaying.done)
        await relaying
        self.assertEqual([1, 2], self.got())

    async def test_request_that_may_have_run_waits_too(self):
        # It may have run, so it cannot be rejected with a Retry-After.
        self.exchange.script("a1", unknown(), [event(1)])
        relaying = asyncio.create_task(self.relay())
        await self.harness.clock.advance(0.4)
        self.assertFalse(relaying.done())
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 45)})
        await self.until(relaying.done)
        await relaying
        self.assertEqual([1], self.got())

    async def test_new_request_is_rejected_at_once(self):
        self.exchange.script("a1", not_run())
        exc = await self.refused()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(1, len(self.exchange.calls))


class WithoutLayersTest(StreamCase):
    """A stream of a service that does not split its model over engines."""

    async def test_relayed_and_resumed_elsewhere(self):
        self.harness.fleet = fleet(server("p1"), server("p2", domain="b"))
        self.exchange.script("p1", [event(1), not_sent()])
        self.exchange.script("p2", [event(2)])
        job = self.harness.job(
            Repeat.STREAM, service=Service(name="plain"), resumable=True, left_s=9.0
        )
        await relay_stream(self.harness.ctx, job, self.sink)
        self.assertEqual([1, 2], self.got())
        self.assertEqual([(), ()], [call.path for call in self.exchange.calls])


class FailedRequestTest(StreamCase):
    async def test_not_resumable_stream_is_not_retried(self):
        self.exchange.script("a1", [event(1), unknown()])
        exc = await self.refused(resumable=False)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertFalse(self.sink.is_whole)

    async def test_not_resumable_unknown_before_any_event(self):
        self.exchange.script("a1", unknown())
        exc = await self.refused(resumable=False)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_run_state_stays_unknown_after_a_refusal(self):
        # The first send was reset before any response, the second was refused.
        self.exchange.script("a1", unknown(), *[not_run()] * 9)
        self.exchange.script("b1", *[not_run()] * 9)
        # It waits briefly for a path, like a stream that has begun.
        task = asyncio.create_task(self.refused())
        await self.until(task.done)
        self.assertEqual(RunState.UNKNOWN, (await task).run_state)

    async def test_run_state_stays_unknown_on_full_engines(self):
        # It is sent to the full engines all the same, and they refuse it.
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [gate, unknown()], *[not_run()] * 9)
        self.exchange.script("b1", *[not_run()] * 9)
        task = asyncio.create_task(self.refused())
        await self.until(lambda: self.exchange.calls)
        capacity = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        for name in ("a1", "b1"):
            self.harness.tracker.begin(Run((name,), {name: capacity}))
        gate.set_result(None)
        await self.until(task.done)
        exc = await task
        self.assertTrue(len(self.exchange.calls) > 1)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_no_path_fails_at_once(self):
        self.harness.fleet = fleet(engine("a1", 0, 5))
        exc = await self.refused()
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertIsNotNone(exc.retry_after)
        self.assertEqual([], self.exchange.calls)

    async def test_no_more_first_engines_than_attempts(self):
        self.harness.fleet = fleet(
            *self.harness.fleet.by_id.values(),
            engine("c1", 0, 5, domain="c"),
            engine("c2", 5, 10, domain="c"),
        )
        self.exchange.script("a1", [event(1), not_sent()])
        self.exchange.script("b1", [event(2), not_sent()])
        # A stream that has begun waits briefly for a path.
        task = asyncio.create_task(self.refused())
        await self.until(task.done)
        exc = await task
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_returns_to_an_earlier_first_engine(self):
        self.harness.fleet = fleet(
            *self.harness.fleet.by_id.values(),
            engine("c1", 0, 5, domain="c"),
            engine("c2", 5, 10, domain="c"),
        )
        self.exchange.script("a1", [event(1), not_run(failed_address="a2:80")])
        self.exchange.script("b1", [event(2), not_run(failed_address="b2:80")])
        self.exchange.script("a1", [event(3)])
        await self.relay()
        self.assertEqual(["a1", "b1", "a1"], self.exchange.sent_to)
        last = self.exchange.calls[-1]
        self.assertEqual(["a1", "c2"], [part.backend_id for part in last.path])

    async def test_sends_are_bounded(self):
        for name in ("a1", "b1"):
            self.exchange.script(name, *[not_run()] * 20)
        exc = await self.refused()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertTrue(len(self.exchange.calls) <= 6)


class ResetTest(StreamCase):
    """A first engine resets connections, or accepts them and never responds."""

    async def fail_at_a1(self):
        self.exchange.script("a1", unknown())
        self.exchange.script("b1", [event(1)])
        self.sink = FakeSink()
        await self.relay()
        self.assertEqual([1], self.got())
        self.assertEqual(["a1", "b1"], self.exchange.sent_to[-2:])

    async def relay_at(self, name):
        self.exchange.script(name, [event(1)])
        self.sink = FakeSink()
        await self.relay()
        self.assertEqual(name, self.exchange.sent_to[-1])

    async def test_the_next_request_does_not_go_there(self):
        # The engine appears idle and would otherwise attract every request.
        await self.fail_at_a1()
        await self.relay_at("b1")

    async def test_second_failure_is_avoided_longer(self):
        await self.fail_at_a1()
        await self.harness.clock.advance(0.5)
        await self.fail_at_a1()
        await self.harness.clock.advance(3.0)
        await self.relay_at("b1")
        await self.harness.clock.advance(1.5)
        await self.relay_at("a1")

    async def test_recovered_engine_is_used_again(self):
        await self.fail_at_a1()
        await self.harness.clock.advance(0.5)
        for _ in range(8):
            await self.relay_at("a1")
        await self.fail_at_a1()
        await self.harness.clock.advance(0.5)
        await self.relay_at("a1")
