"""Waits of generations for capacity and retries, with and without traffic classes."""

import asyncio
import dataclasses

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.progress import MAX_SENDS
from wigeonscale.direct.runs import Run
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    MODEL,
    StreamCase,
    engine,
    event,
    fleet,
    not_run,
    not_sent,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.routes import Repeat

POLL_S = 0.04
STEP_S = 0.05


class ClassCase(StreamCase):
    """Generations of a service with traffic classes."""

    HAS_CLASSES = True

    async def prepare(self):
        await super().prepare()
        self.ctx = dataclasses.replace(
            self.harness.ctx,
            has_classes=lambda name: self.HAS_CLASSES and name == "model",
        )

    def job(self, *, target_s=1.2, priority=2, left_s=20.0, resumable=True):
        job = self.harness.job(
            Repeat.STREAM, service=MODEL, left_s=left_s, resumable=resumable
        )
        route = dataclasses.replace(
            job.route, target_s=target_s, gap_target_s=0.2, priority=priority
        )
        return dataclasses.replace(job, route=route)

    def start(self, job=None):
        """Start a generation; the task returns its error, or None if answered."""
        self.sink = FakeSink()
        return asyncio.create_task(self.run_to_end(job or self.job(), self.sink))

    async def run_to_end(self, job, sink):
        try:
            await relay_stream(self.ctx, job, sink)
        except WigeonscaleError as exc:
            return exc
        return None

    async def advance(self, seconds):
        await self.harness.clock.advance(seconds)

    async def take_time(self, task):
        """Return the time until a task is done, in seconds."""
        began_at = self.harness.clock.now()
        while not task.done():
            await self.advance(STEP_S)
        return self.harness.clock.now() - began_at


class CapacityCase(ClassCase):
    async def prepare(self):
        await super().prepare()
        capacity = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        self.runs = [Run((name,), {name: capacity}) for name in ("a1", "b2")]
        for run in self.runs:
            self.harness.tracker.begin(run)

    def counted(self, outcome, priority=2):
        return METRICS.capacity_waits.value(priority=str(priority), outcome=outcome)


class CapacityWaitTest(CapacityCase):
    async def test_rejected_after_the_patience_of_its_route(self):
        # Guards against the rejection of a caller after 1.5 s who stays for 4.8 s.
        before = self.counted("rejected")
        task = self.start()
        self.assertAlmostEqual(4.3, await self.take_time(task), delta=POLL_S + STEP_S)
        exc = task.result()
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual([], self.exchange.calls)
        self.assertEqual(1, self.counted("rejected") - before)

    async def test_late_capacity_is_used(self):
        # Guards against a queue that forgets a request which it has demoted.
        before = self.counted("admitted")
        self.exchange.script("a1", [event(1)])
        task = self.start()
        await self.advance(3.0)
        self.harness.tracker.end(self.runs[0])
        await self.advance(0.05)
        self.assertIsNone(task.result())
        self.assertEqual(1, self.counted("admitted") - before)

    async def test_demoted_after_its_own_on_time_wait(self):
        # Guards against a request due in 1.2 s that is overtaken after 0.25 s by a
        # later one of its class.
        self.ctx.stalls.add(Run(("a1",), {"a1": 1.0}))
        self.ctx.stalls.add(Run(("a1",), {"a1": 1.0}))
        tasks = [self.start()]
        first_sink = self.sink
        await self.advance(0.6)
        tasks.append(self.start())
        await self.advance(0.1)
        self.exchange.script("a1", [event(1)], [event(2)])
        self.harness.tracker.end(self.runs[0])
        await self.advance(0.05)
        self.assertEqual(
            [event(1).data, event(2).data], [first_sink.data, self.sink.data]
        )
        self.assertEqual([None, None], [task.result() for task in tasks])

    async def test_waits_count_from_the_arrival(self):
        # Guards against a second full wait after a refused send: the caller leaves
        # 4.8 s after the arrival, whatever the entry did in that time.
        job = self.job()
        await self.advance(3.0)
        task = self.start(job)
        self.assertAlmostEqual(1.3, await self.take_time(task), delta=POLL_S + STEP_S)
        await task

    async def test_request_without_patience_left_does_not_shorten_the_queue(self):
        # Guards against requests that arrive too late to wait, as after a start of the
        # entry, and make the queue reject those that can wait.
        for _ in range(20):
            job = self.job()
            await self.advance(5.0)
            task = self.start(job)
            await self.advance(0)
            self.assertEqual(RunState.NOT_RUN, task.result().run_state)
        for _ in range(2):
            self.ctx.stalls.add(Run(("a1",), {"a1": 1.0}))
        tasks = [self.start() for _ in range(5)]
        await self.advance(0.5)
        self.assertEqual([False] * 5, [task.done() for task in tasks])
        await self.advance(4.0)
        await asyncio.gather(*tasks)

    async def test_deadline_ends_the_wait(self):
        # Guards against a wait of 4.3 s for a response that must end within 1 s.
        task = self.start(self.job(left_s=1.0))
        self.assertAlmostEqual(1.0, await self.take_time(task), delta=POLL_S + STEP_S)
        self.assertEqual(RunState.NOT_RUN, task.result().run_state)

    async def test_urgent_request_goes_first(self):
        # Guards against free capacity for whichever request asked first.
        self.exchange.script("a1", [event(1)], [event(1)])
        relaxed = self.start()
        await self.advance(0.1)
        urgent = self.start(self.job(target_s=0.5, priority=0))
        await self.advance(0.1)
        self.harness.tracker.end(self.runs[0])
        await self.advance(0.05)
        await asyncio.gather(relaxed, urgent)
        self.assertEqual([0, 2], [call.priority for call in self.exchange.calls])

    async def test_disconnected_caller_leaves_the_queue(self):
        # Guards against a place in the queue that nobody waits in, and a cancelled wait
        # counted as a rejection.
        before = self.counted("cancelled")
        task = self.start()
        await self.advance(2.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.ctx.admission_queue))
        self.assertEqual(1, self.counted("cancelled") - before)

    async def test_admitted_at_once_is_no_wait(self):
        # Guards against a count of requests that found capacity on arrival behind
        # waiting ones of another class.
        before = self.counted("admitted", priority=0)
        relaxed = self.ctx.admission_queue.enqueue(
            organisation="", priority=2, running=0
        )
        self.harness.tracker.end(self.runs[0])
        self.exchange.script("a1", [event(1)])
        task = self.start(self.job(target_s=0.5, priority=0))
        await self.advance(0)
        self.assertIsNone(task.result())
        self.assertEqual(before, self.counted("admitted", priority=0))
        self.ctx.admission_queue.release(relaxed, admitted=None)


class CapacityWithoutClassesTest(CapacityCase):
    HAS_CLASSES = False

    async def test_waits_as_before(self):
        # Guards against other waits for services without traffic classes: 1.5 s from
        # the start of the wait, whatever the target and the arrival.
        outcomes = ("admitted", "rejected", "cancelled")
        before = [self.counted(outcome) for outcome in outcomes]
        job = self.job()
        await self.advance(3.0)
        task = self.start(job)
        self.assertAlmostEqual(1.5, await self.take_time(task), delta=POLL_S + STEP_S)
        self.assertEqual(ErrorKind.OVERLOADED, task.result().kind)
        self.assertEqual(before, [self.counted(outcome) for outcome in outcomes])


class RetryCase(ClassCase):
    """The retry budget is exhausted when an engine refuses a generation."""

    async def prepare(self):
        await super().prepare()
        self.budget = self.ctx.budget
        self.exhaust()

    def exhaust(self, *, is_begun=False):
        """Take all retries of new requests, and optionally of interrupted streams."""
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 100)})
        while self.budget.try_spend("model", is_begun=is_begun):
            pass

    def renew(self, retries=22):
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, retries)})


class RetryWaitTest(RetryCase):
    async def test_waits_for_the_next_totals(self):
        # Guards against the rejection of a generation that an engine refused, while the
        # entries together have retries left.
        self.exchange.script("a1", not_run())
        self.exchange.script("b1", [event(1)])
        task = self.start()
        await self.advance(0.6)
        self.assertFalse(task.done())
        self.renew()
        await self.advance(0.15)
        self.assertIsNone(task.result())
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_unsent_generation_waits_too(self):
        # Guards against a wait after refusals only: a generation whose connection was
        # never opened has not run either.
        self.exchange.script("a1", not_sent())
        self.exchange.script("b1", [event(1)])
        task = self.start(self.job(resumable=False))
        await self.advance(0.6)
        self.renew()
        await self.advance(0.15)
        self.assertIsNone(task.result())

    async def test_rejected_once_it_cannot_be_in_time(self):
        # Guards against a rejection so late that the caller's own retry is late, and
        # one before the last moment at which a retry still helps.
        for target_s, wait_s in ((0.5, 0.25), (1.2, 0.95)):
            self.exchange.script("a1", not_run(), not_run())
            self.exchange.script("b1", not_run(), not_run())
            began_at = self.harness.clock.now()
            task = self.start(self.job(target_s=target_s))
            await self.advance(wait_s - 0.01)
            self.assertFalse(task.done())
            await self.advance(0.01)
            self.assertTrue(task.done(), self.harness.clock.now() - began_at)
            exc = task.result()
            self.assertEqual(RunState.NOT_RUN, exc.run_state)
            self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
            self.exhaust()

    async def test_wait_counts_from_the_arrival(self):
        # Guards against one wait after each of several refusals.
        self.exchange.script("a1", not_run())
        job = self.job()
        await self.advance(0.9)
        task = self.start(job)
        await self.advance(0.049)
        self.assertFalse(task.done())
        await self.advance(0.002)
        self.assertEqual(RunState.NOT_RUN, task.result().run_state)

    async def test_rejected_at_once_after_its_on_time_wait(self):
        # Guards against a wait for a retry that can only be late.
        self.exchange.script("a1", not_run())
        job = self.job()
        await self.advance(1.0)
        task = self.start(job)
        await self.advance(0)
        self.assertEqual(RunState.NOT_RUN, task.result().run_state)

    async def test_rejected_at_once_with_an_earlier_deadline(self):
        # Guards against a caller who learns only at the deadline that the generation
        # has not run, and has no time left for a retry.
        self.exchange.script("a1", not_run())
        task = self.start(self.job(left_s=0.9))
        await self.advance(0)
        exc = task.result()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)

    async def test_rejected_at_once_at_the_send_limit(self):
        # Guards against a wait for a retry that the send limit forbids.
        domains = "abcdefgh"
        self.harness.fleet = fleet(
            *(engine(f"{name}1", 0, 5, domain=name) for name in domains),
            *(engine(f"{name}2", 5, 10, domain=name) for name in domains),
        )
        for name in domains:
            self.exchange.script(f"{name}1", not_run())
        self.renew()
        task = self.start()
        for _ in range(MAX_SENDS):
            await self.advance(0)
        exc = task.result()
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertEqual(MAX_SENDS, len(self.exchange.calls))

    async def test_disconnected_caller_takes_no_retry(self):
        # Guards against a retry, and a send, for a caller who has left.
        self.exchange.script("a1", not_run())
        task = self.start()
        await self.advance(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertTrue(task.cancelled())
        self.renew()
        spent = self.budget.report_sends().get("model")
        await self.advance(0.5)
        self.assertEqual(spent, self.budget.report_sends().get("model"))
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_generation_that_may_have_run_is_never_promised_not_to(self):
        # Guards against a caller who repeats a generation that has run: it has lost its
        # connection after the send, and waits as an interrupted stream.
        self.exhaust(is_begun=True)
        self.exchange.script("a1", unknown())
        task = self.start()
        await self.advance(0.96)
        self.assertFalse(task.done())
        await self.advance(0.1)
        self.assertEqual(RunState.UNKNOWN, task.result().run_state)

    async def test_run_after_a_wait_is_no_promise_either(self):
        # Guards against the run state of the first, refused send being kept after the
        # second one may have run.
        self.exchange.script("a1", not_run())
        self.exchange.script("b1", unknown())
        task = self.start(self.job(resumable=False))
        await self.advance(0.3)
        self.renew()
        await self.advance(0.15)
        self.assertEqual(RunState.UNKNOWN, task.result().run_state)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_interrupted_stream_waits_as_before(self):
        # Guards against the on-time wait of 0.25 s for a stream that has begun, which
        # waits for 1 s from the interruption.
        self.exhaust(is_begun=True)
        self.exchange.script("a1", [event(1), unknown()], [event(2)])
        task = self.start(self.job(target_s=0.5))
        await self.advance(0.8)
        self.assertFalse(task.done())
        self.renew(45)
        await self.advance(0.15)
        self.assertIsNone(task.result())
        self.assertEqual([1, 2], self.got())


class RetryWithoutClassesTest(RetryCase):
    HAS_CLASSES = False

    async def test_rejected_at_once(self):
        # Guards against a wait for services without traffic classes.
        self.exchange.script("a1", not_run())
        task = self.start()
        await self.advance(0)
        self.assertEqual(RunState.NOT_RUN, task.result().run_state)
        self.assertEqual(1, len(self.exchange.calls))
