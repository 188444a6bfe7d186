"""Interrupted streams that wait for a path with room."""

import asyncio
import dataclasses

from wigeonscale.adapters.metrics import METRICS
from wigeonscale.direct.admission_queue import QUEUE_POLL_INTERVAL_S
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.interrupted import MAX_GROUPS, InterruptedStreams
from wigeonscale.direct.runs import Run
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import MODEL, StreamCase, event, not_run, unknown
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.limits import ClassCount
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

CAPACITY = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5


class OrderTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.streams = InterruptedStreams()

    def add(self, since, *, group=0, service="s", room=False):
        return self.streams.add(
            service, since=since, group=group, has_room=lambda: room
        )

    def test_order_of_the_last_event(self):
        # Guards against room for the stream that was interrupted last, or asked first.
        tickets = [self.add(since) for since in (3.0, 1.0, 2.0, 1.0)]
        order = []
        left = list(tickets)
        while left:
            (ticket,) = [each for each in left if self.streams.is_next(each)]
            order.append(tickets.index(ticket))
            self.streams.remove(ticket)
            left.remove(ticket)
        self.assertEqual([1, 3, 2, 0], order)

    def test_stream_that_cannot_use_the_room_blocks_no_other(self):
        # Guards against free capacity behind a stream that has left these engines.
        first = self.add(1.0, group="left")
        second, third = self.add(2.0), self.add(3.0)
        tickets = [first, second, third]
        next_ones = [each for each in tickets if self.streams.is_next(each)]
        self.assertEqual([first, second], next_ones)
        self.assertFalse(self.streams.is_overtaking(second))

    def test_stream_of_another_group_does_not_overtake(self):
        # Guards against room for a later stream that an earlier one could use.
        first = self.add(1.0, group="left", room=True)
        second = self.add(2.0)
        self.assertTrue(self.streams.is_overtaking(second))
        self.assertFalse(self.streams.is_overtaking(first))
        self.streams.remove(first)
        self.assertFalse(self.streams.is_overtaking(second))

    def test_few_groups_look_for_a_path(self):
        # Guards against a look of each of many streams that have left other engines.
        tickets = [self.add(float(number), group=number) for number in range(9)]
        next_ones = [each for each in tickets if self.streams.is_next(each)]
        self.assertEqual(tickets[:MAX_GROUPS], next_ones)
        self.streams.remove(tickets[0])
        self.assertTrue(self.streams.is_next(tickets[MAX_GROUPS]))

    def test_services_do_not_block_each_other(self):
        # Guards against streams that wait for the engines of another service.
        self.add(1.0, service="other", room=True)
        ticket = self.add(2.0)
        self.assertTrue(self.streams.is_next(ticket))
        self.assertFalse(self.streams.is_overtaking(ticket))
        self.assertTrue(self.streams.is_waiting_for("other"))
        self.assertFalse(self.streams.is_waiting_for("third"))

    def test_late_stream_does_not_hold_up_new_requests(self):
        # Guards against new requests that become late behind streams that are late.
        self.streams.add(
            "s", since=1.0, on_time_until=1.3, group=0, has_room=lambda: False
        )
        self.assertTrue(self.streams.goes_first("s", now=1.2))
        self.assertFalse(self.streams.goes_first("other", now=1.2))
        self.assertFalse(self.streams.goes_first("s", now=1.3))
        self.assertTrue(self.streams.is_waiting_for("s"))


class WaitCase(StreamCase):
    HAS_CLASSES = True

    async def prepare(self):
        await super().prepare()
        self.ctx = dataclasses.replace(
            self.harness.ctx,
            has_classes=lambda name: self.HAS_CLASSES and name == "model",
        )
        self.clock = self.harness.clock
        self.before = {outcome: self.counted(outcome) for outcome in OUTCOMES}

    def counted(self, outcome):
        return METRICS.capacity_waits.value(priority="interrupted", outcome=outcome)

    def outcomes(self):
        """Return the outcomes of waits since the start of the test."""
        after = {outcome: self.counted(outcome) for outcome in OUTCOMES}
        return {
            outcome: after[outcome] - self.before[outcome]
            for outcome in OUTCOMES
            if after[outcome] != self.before[outcome]
        }

    def job(
        self,
        *,
        repeat=Repeat.STREAM,
        resumable=True,
        left_s=20.0,
        priority=2,
        gap_target_s=0.2,
    ):
        job = self.harness.job(
            repeat, service=MODEL, left_s=left_s, resumable=resumable
        )
        route = dataclasses.replace(
            job.route,
            target_s=0.5,
            gap_target_s=gap_target_s,
            priority=priority,
        )
        return dataclasses.replace(job, route=route)

    def fill(self):
        """Fill all paths."""
        self.runs = [Run((name,), {name: CAPACITY}) for name in ("a1", "b1")]
        for run in self.runs:
            self.harness.tracker.begin(run)

    def free(self):
        self.harness.tracker.end(self.runs[0])

    def start(self, job=None):
        """Start a generation; the task returns its error, or None if answered."""

        async def run_to_end(sink):
            try:
                await relay_stream(self.ctx, job or self.job(), sink)
            except WigeonscaleError as exc:
                return exc
            return None

        self.sink = FakeSink()
        return asyncio.create_task(run_to_end(self.sink))

    async def interrupt(self, job=None, *, pause_s=0.1):
        """Break a stream after its first event, while all engines are full."""
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, unknown()], [event(2)])
        task = self.start(job)
        await self.until(lambda: self.sink.data)
        self.fill()
        await self.clock.advance(pause_s)
        gate.set_result(None)
        await self.clock.advance(0.0)
        return task

    def interrupted(self):
        """Return the counts of the class of interrupted streams."""
        counts = [each for each in self.ctx.class_demand.report() if each.priority < 0]
        return counts[0] if counts else None


OUTCOMES = ("admitted", "full", "rejected", "cancelled", "no-path")


def count(**fields):
    return ClassCount(service="model", priority=-1, domain="a", **fields)


class WaitTest(WaitCase):
    async def test_resumes_when_capacity_is_released(self):
        # Guards against a send to full engines, which refuse the stream or preempt
        # those of others.
        task = await self.interrupt()
        await self.clock.advance(0.5)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(count(arrived=1, waiting=1), self.interrupted())
        self.free()
        await self.clock.advance(QUEUE_POLL_INTERVAL_S)
        self.assertIsNone(task.result())
        self.assertEqual([1, 2], self.got())
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)
        self.assertEqual(count(arrived=1, admitted=1), self.interrupted())
        self.assertEqual({"admitted": 1}, self.outcomes())

    async def test_no_wait_while_there_is_room(self):
        # Guards against a pause that nothing calls for.
        self.exchange.script("a1", [event(1), unknown()], [event(2)])
        task = self.start()
        await self.clock.advance(0.0)
        self.assertIsNone(task.result())
        self.assertIsNone(self.interrupted())
        self.assertEqual({}, self.outcomes())

    async def test_takes_the_full_path_after_its_patience(self):
        # Guards against a stream whose caller leaves before it is sent, and one that
        # is sent to full engines too soon: 1.5 s after the event, not the failure.
        task = await self.interrupt(pause_s=0.4)
        await self.clock.advance(1.08)
        self.assertEqual(["a1"], self.exchange.sent_to)
        await self.clock.advance(0.03)
        self.assertIsNone(task.result())
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)
        self.assertEqual(count(arrived=1), self.interrupted())
        self.assertEqual({"full": 1}, self.outcomes())

    async def test_patience_without_an_event_counts_from_the_send(self):
        # Guards against a full patience after each of several sends.
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [gate, unknown()], [event(1)])
        task = self.start()
        await self.clock.advance(0.5)
        self.fill()
        gate.set_result(None)
        await self.clock.advance(0.98)
        self.assertEqual(["a1"], self.exchange.sent_to)
        await self.clock.advance(0.03)
        self.assertIsNone(task.result())

    async def test_no_wait_after_its_patience(self):
        # Guards against a second wait of a stream whose second send was refused.
        task = await self.interrupt()
        self.exchange.scripts["a1"] = [not_run()]
        self.exchange.script("b1", [event(2)])
        await self.clock.advance(1.45)
        self.assertIsNone(task.result())
        self.assertEqual(["a1", "a1", "b1"], self.exchange.sent_to)
        self.assertEqual({"full": 1}, self.outcomes())

    async def test_disconnected_caller(self):
        # Guards against a place that nobody waits in, which blocks new requests.
        task = await self.interrupt()
        await self.clock.advance(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.ctx.interrupted))
        self.assertEqual(count(arrived=1), self.interrupted())
        self.assertEqual({"cancelled": 1}, self.outcomes())
        self.free()
        await self.clock.advance(2.0)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_deadline(self):
        # Guards against a wait beyond the deadline, and an engine that is blamed for a
        # send which the deadline did not allow.
        task = await self.interrupt(self.job(left_s=1.0))
        # The broken stream itself is reported.
        suspected = list(self.harness.suspected)
        await self.clock.advance(0.85)
        self.assertFalse(task.done())
        await self.clock.advance(0.06)
        exc = task.result()
        self.assertEqual(ErrorKind.DEADLINE_EXCEEDED, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual(suspected, self.harness.suspected)
        self.assertEqual({"rejected": 1}, self.outcomes())
        self.assertEqual(0, len(self.ctx.interrupted))

    async def test_at_most_once_route(self):
        # Guards against a second run of a request that must run at most once, and a
        # wait for a send that will not happen.
        for repeat in (Repeat.STREAM, Repeat.UNSAFE):
            self.exchange.calls.clear()
            self.exchange.scripts.clear()
            task = await self.interrupt(self.job(repeat=repeat, resumable=False))
            self.assertEqual(RunState.UNKNOWN, task.result().run_state)
            self.assertEqual(["a1"], self.exchange.sent_to)
            for run in self.runs:
                self.harness.tracker.end(run)
        self.assertIsNone(self.interrupted())
        self.assertEqual({}, self.outcomes())

    async def test_lost_path_ends_the_wait(self):
        # Guards against a stream that waits for room where no path is left, beyond the
        # 1 s in which another engine may take over the layers.
        task = await self.interrupt()
        await self.clock.advance(0.9)
        self.harness.fleet = dataclasses.replace(
            self.harness.fleet, by_service={}, by_id={}
        )
        await self.clock.advance(0.9)
        self.assertFalse(task.done())
        await self.clock.advance(0.3)
        self.assertEqual(ErrorKind.NO_BACKEND, task.result().kind)
        self.assertEqual({"no-path": 1}, self.outcomes())

    async def test_new_requests_wait_behind_it_while_it_is_on_time(self):
        # Guards against released capacity for new requests, whatever their class.
        stream = await self.interrupt(self.job(gap_target_s=0.5))
        sink = self.sink
        for _ in range(4):
            self.ctx.stalls.add(Run(("a1",), {"a1": 1.0}))
        new = [self.start(self.job(priority=priority)) for priority in (0, 2)]
        self.exchange.script("a1", [event(1)], [event(1)])
        await self.clock.advance(0.2)
        self.free()
        await self.clock.advance(QUEUE_POLL_INTERVAL_S)
        self.assertTrue(sink.is_whole)
        self.assertEqual(2, self.exchange.calls[1].priority)
        self.assertEqual(1, self.exchange.calls[1].after_event)
        await self.clock.advance(QUEUE_POLL_INTERVAL_S)
        results = [task.result() for task in (stream, *new)]
        self.assertEqual([None] * 3, results)
        self.assertEqual([0, 2], [call.priority for call in self.exchange.calls[2:]])

    async def test_new_request_does_not_take_room_at_once(self):
        # Guards against a new request that finds room in the moment of its release.
        await self.interrupt(self.job(gap_target_s=0.5))
        self.ctx.stalls.add(Run(("a1",), {"a1": 1.0}))
        self.free()
        task = self.start(self.job(priority=0))
        self.exchange.script("a1", [event(1)])
        await self.clock.advance(QUEUE_POLL_INTERVAL_S)
        self.assertIsNone(task.result())
        after = [call.after_event for call in self.exchange.calls]
        self.assertEqual([None, 1, None], after)


class WaitWithoutClassesTest(WaitCase):
    HAS_CLASSES = False

    async def test_sent_at_once(self):
        # Guards against other sends of services without traffic classes.
        task = await self.interrupt()
        self.assertIsNone(task.result())
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)
        self.assertEqual([], self.ctx.class_demand.report())
        self.assertEqual({}, self.outcomes())
