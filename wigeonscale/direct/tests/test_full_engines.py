import asyncio

from wigeonscale.direct.admission_queue import MAX_QUEUE_WAIT_S, ON_TIME_WAIT_S
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.support import (
    ENGINE,
    StreamCase,
    engine,
    event,
    fleet,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState
from wigeonscale.ports.exchange import GenerationSize


class FullTest(StreamCase):
    """Engines without capacity for one more request."""

    def fill(self, *names):
        capacity = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        runs = [Run((name,), {name: capacity}) for name in names]
        for run in runs:
            self.harness.tracker.begin(run)
        return runs

    async def test_waits_for_capacity(self):
        runs = self.fill("a1", "b2")
        self.exchange.script("a1", [event(1)])
        task = asyncio.create_task(self.relay())
        await self.harness.clock.advance(0.1)
        self.assertEqual([], self.exchange.calls)
        self.harness.tracker.end(runs[0])
        await self.harness.clock.advance(0.05)
        await task
        self.assertEqual([1], self.got())
        self.assertEqual(0, len(self.harness.ctx.admission_queue))

    async def test_rejected_with_retry_after_before_the_caller_disconnects(self):
        self.fill("a1", "b2")
        task = asyncio.create_task(self.refused())
        # Callers disconnect after two seconds without an event.
        await self.harness.clock.advance(MAX_QUEUE_WAIT_S + 0.05)
        self.assertTrue(MAX_QUEUE_WAIT_S + 0.05 < 2.0)
        self.assertTrue(task.done())
        exc = await task
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertTrue(0.4 <= exc.retry_after <= 1.4)
        self.assertEqual([], self.exchange.calls)
        self.assertEqual(0, len(self.harness.ctx.admission_queue))

    async def test_rejected_at_once_when_queue_is_full(self):
        self.fill("a1", "b2")
        waiting = asyncio.create_task(self.refused())
        await self.harness.clock.advance(0)
        # No time passes: it is rejected at once.
        exc = await self.refused()
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertTrue(0.4 <= exc.retry_after <= 1.4)
        await self.harness.clock.advance(MAX_QUEUE_WAIT_S + 0.05)
        await waiting

    async def test_late_capacity_is_used(self):
        runs = self.fill("a1", "b2")
        self.exchange.script("a1", [event(1)])
        task = asyncio.create_task(self.relay())
        await self.harness.clock.advance(ON_TIME_WAIT_S + 0.5)
        self.harness.tracker.end(runs[0])
        await self.harness.clock.advance(0.05)
        await task
        self.assertEqual([1], self.got())

    async def test_path_lost_during_the_wait(self):
        self.fill("a1", "b2")
        task = asyncio.create_task(self.refused())
        await self.harness.clock.advance(0.1)
        self.harness.fleet = fleet(engine("a1", 0, 5))
        await self.harness.clock.advance(MAX_QUEUE_WAIT_S)
        exc = await task
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)

    async def test_disconnected_caller_leaves_the_queue(self):
        self.fill("a1", "b2")
        task = asyncio.create_task(self.relay())
        await self.harness.clock.advance(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.harness.ctx.admission_queue))

    async def test_other_domain_with_capacity(self):
        self.fill("a2")
        self.exchange.script("b1", [event(1)])
        await self.relay()
        self.assertEqual([1], self.got())

    async def test_begun_stream_is_completed_on_full_engines(self):
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, unknown()])
        self.exchange.script("a1", [event(2)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.sink.data)
        self.fill("a1", "a2", "b1", "b2")
        gate.set_result(None)
        await task
        self.assertEqual([1, 2], self.got())

    async def test_request_that_may_have_run_is_completed_on_full_engines(self):
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [gate, unknown()], [event(1)])
        self.exchange.script("b1", [event(1)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.exchange.calls)
        self.fill("a1", "a2", "b1", "b2")
        gate.set_result(None)
        await self.harness.clock.advance(0.1)
        await task
        self.assertEqual([1], self.got())

    async def test_large_requests_are_admitted_like_small_ones(self):
        capacity = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        usual = 5 * (ENGINE.usual_prompt + ENGINE.usual_answer)
        for name in ("a1", "b1"):
            self.harness.tracker.begin(Run((name,), {name: capacity - usual}))
        self.exchange.script("a1", [event(1)])
        await self.relay(
            generation=GenerationSize(
                prompt_tokens=5000, max_tokens=900, expected_tokens=900
            )
        )
        self.assertEqual([1], self.got())
