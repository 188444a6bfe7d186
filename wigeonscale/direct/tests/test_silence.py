"""Engines fall silent for more than a second and go on, or seem to, and are sound."""

import asyncio

from wigeonscale.direct.progress import MAX_SENDS
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.fakes import FakeSink
from wigeonscale.direct.tests.support import (
    StreamCase,
    engine,
    event,
    fleet,
    not_run,
    not_sent,
    unknown,
)
from wigeonscale.errors import RunState
from wigeonscale.ports.exchange import ServerNotice
from wigeonscale.ports.orders import OrderOutcome

SILENCE_S = 1.5
# Window of the retry budget of the harness, in which a stream has this many events.
WINDOW_S = 10.0
TICKS = 100


class SilentEngineCase(StreamCase):
    async def prepare(self):
        await super().prepare()
        self.gate = asyncio.get_running_loop().create_future()
        self.second_gate = asyncio.get_running_loop().create_future()
        # The first engine of the path does not respond to status queries either.
        self.harness.orders.held_up_by["a1:80"] = None
        watch = asyncio.create_task(self.harness.stalls.run())
        self.addCleanup(self.cancel, watch)

    async def cancel(self, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def start(self, **fields):
        task = asyncio.create_task(self.relay(**fields))
        self.addCleanup(self.cancel, task)
        return task

    async def go_on(self, task):
        """End the silence, and check that the stream was never sent elsewhere."""
        await self.harness.clock.advance(SILENCE_S)
        self.assertFalse(task.done())
        self.gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)

    def use_up_budget(self):
        self.budget = self.harness.ctx.budget
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 100)})
        while self.budget.try_spend("model"):
            pass

    async def release_budget(self):
        self.budget.report_sends()
        self.budget.apply_totals({"model": (0, 45)})


class LateStatusTest(SilentEngineCase):
    """Guards against streams that leave an engine which sends their events in time."""

    async def test_engine_whose_streams_have_events_is_not_lost(self):
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        status = asyncio.get_running_loop().create_future()
        self.harness.orders.status = lambda address, timeout_s: status
        task = self.start(resumable=False)
        await self.until(lambda: self.got() == [1])
        await self.harness.clock.advance(0.4)
        other = Run(("a1", "a2"))
        self.harness.tracker.begin(other)
        other.note_progress(self.harness.clock.now())
        status.set_result(None)
        await self.harness.clock.advance(0)
        self.assertFalse(self.harness.tracker.is_avoided("a1"))
        self.assertEqual([], self.harness.suspected)
        await self.go_on(task)


class RunningStreamTest(SilentEngineCase):
    """Guards against a begun stream that is cut, since it cannot be sent again."""

    async def test_must_not_run_twice(self):
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        task = self.start(resumable=False)
        await self.go_on(task)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_engine_that_went_on_is_used_again(self):
        """Guards against engines that stay idle for seconds after a short silence."""
        self.exchange.script("a1", [event(1), self.gate, event(2)], [event(1)])
        await self.go_on(self.start(resumable=False))
        await self.relay()
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)

    async def test_silent_before_the_first_event(self):
        self.exchange.script("a1", [self.gate, event(1), event(2)])
        task = self.start(resumable=False)
        await self.go_on(task)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_no_retry_in_the_budget(self):
        self.use_up_budget()
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        await self.go_on(self.start())
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_sends_used_up(self):
        names = [f"a{number}" for number in range(1, MAX_SENDS + 1)]
        self.harness.fleet = fleet(*(engine(name, 0, 10) for name in names))
        steps = [not_run()] * (MAX_SENDS - 1) + [[event(1), self.gate, event(2)]]
        for name in names:
            self.exchange.scripts[name] = steps
            self.harness.orders.held_up_by[f"{name}:80"] = None
        task = self.start(max_attempts=MAX_SENDS)
        await self.until(lambda: self.got() == [1])
        await self.go_on(task)
        self.assertEqual(MAX_SENDS, len(self.exchange.calls))

    async def test_no_other_engine_responds(self):
        """Guards against retries that are spent on engines that are silent as well."""
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        task = self.start()
        await self.until(lambda: self.got() == [1])
        for name in ("b1", "b2"):
            self.harness.tracker.note_lost(name)
        await self.go_on(task)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_no_attempt_is_left(self):
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        await self.go_on(self.start(max_attempts=1))
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_only_its_connection_is_silent(self):
        """The engine responds to a later query, on a new connection."""
        self.exchange.script("a1", [event(1), self.gate], [event(2)])
        task = self.start(max_attempts=1)
        await self.harness.clock.advance(SILENCE_S)
        self.assertFalse(task.done())
        del self.harness.orders.held_up_by["a1:80"]
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertEqual(["a1", "a1"], self.exchange.sent_to)

    async def test_sent_again_once_the_budget_has_a_retry(self):
        self.use_up_budget()
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        self.exchange.script("b1", [event(2)])
        task = self.start()
        await self.harness.clock.advance(SILENCE_S)
        self.assertFalse(task.done())
        await self.release_budget()
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_rerouted_once_another_engine_has_the_layers(self):
        """Guards against a stream that breaks though its engine was replaced."""
        self.harness.orders.held_up_by = {"a1:80": ["a2:80"]}
        self.harness.orders.reroute_outcome = OrderOutcome.STARTED
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        task = self.start(resumable=False)
        await self.until(lambda: self.got() == [1])
        self.harness.tracker.note_lost("a2")
        await self.harness.clock.advance(0.5)
        self.assertEqual([], self.harness.orders.rerouted)
        servers = self.harness.fleet.by_id.values()
        self.harness.fleet = fleet(*servers, engine("a3", 5, 10))
        await self.go_on(task)
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.harness.orders.rerouted)

    async def test_event_while_a_retry_is_reserved(self):
        """Guards against a run that is ended although it has gone on."""
        self.exchange.script("a1", [event(1), self.gate, event(2), self.second_gate])
        reserved = asyncio.get_running_loop().create_future()
        self.harness.ctx.budget.acquire = lambda service, *, is_begun: reserved
        task = self.start()
        await self.harness.clock.advance(SILENCE_S)
        self.gate.set_result(None)
        await self.until(lambda: self.got() == [1, 2])
        reserved.set_result(True)
        await self.harness.clock.advance(0.2)
        self.second_gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_retry_that_was_reserved_long_ago(self):
        """Guards against retries that count in one window and are used in a later."""
        loop = asyncio.get_running_loop()
        ticks = [loop.create_future() for _ in range(TICKS)]
        events = [event(1), self.gate, event(2)]
        for number, tick in enumerate(ticks, start=3):
            events += [tick, event(number)]
        self.exchange.script("a1", [*events, self.second_gate])
        acquire = self.harness.ctx.budget.acquire
        reserved = loop.create_future()
        self.harness.ctx.budget.acquire = lambda service, *, is_begun: reserved
        task = self.start()
        await self.harness.clock.advance(SILENCE_S)
        self.gate.set_result(None)
        await self.until(lambda: self.got() == [1, 2])
        reserved.set_result(True)
        self.harness.ctx.budget.acquire = acquire
        for tick in ticks:
            await self.harness.clock.advance(WINDOW_S / TICKS)
            tick.set_result(None)
        self.use_up_budget()
        await self.harness.clock.advance(SILENCE_S)
        self.second_gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_engine_that_ended(self):
        """It will not go on, so the caller is not left waiting."""
        self.exchange.script("a1", [event(1), self.gate])
        task = self.start(resumable=False)
        await self.until(lambda: self.got() == [1])
        self.harness.tracker.note_ended("a1")
        await self.until(task.done)
        (exc,) = await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_connection_that_breaks_during_the_silence(self):
        self.exchange.script("a1", [event(1), self.gate])
        task = self.start(resumable=False)
        await self.harness.clock.advance(SILENCE_S)
        self.gate.set_exception(unknown())
        await self.until(task.done)
        (exc,) = await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1"], self.exchange.sent_to)


class GivenUpStreamTest(SilentEngineCase):
    """Guards against a stream that is cut after its entry has ended a sound run."""

    async def prepare(self):
        await super().prepare()
        self.exchange.script("a1", [event(1), self.gate])

    async def finish(self, task):
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)

    async def test_no_other_engine_can_be_reached(self):
        self.exchange.script("b1", not_sent())
        self.exchange.script("a1", not_sent(), [event(2)])
        task = self.start()
        await self.finish(task)
        self.assertEqual(["a1", "b1", "a1", "a1"], self.exchange.sent_to)

    async def test_other_engines_refuse_it_again_and_again(self):
        for name in ("a1", "b1"):
            self.exchange.script(name, *[not_run()] * MAX_SENDS, [event(2)])
        await self.finish(self.start())
        self.assertTrue(len(self.exchange.calls) > MAX_SENDS)

    async def test_engine_that_refused_it_before_responds_again(self):
        """Guards against a stream that is sent to its silent engine again."""
        self.exchange.scripts["a1"] = [not_run(), [event(2)]]
        self.exchange.script("b1", [event(1), self.gate], [event(2)])
        self.harness.orders.held_up_by = {"b1:80": None}
        await self.finish(self.start())
        self.assertEqual(["a1", "b1", "a1"], self.exchange.sent_to)

    async def test_layers_are_missing_for_seconds(self):
        task = self.start()
        await self.until(lambda: self.got() == [1])
        whole = self.harness.fleet
        self.harness.fleet = fleet(engine("a1", 0, 5))
        await self.harness.clock.advance(3.0)
        self.assertFalse(task.done())
        self.harness.fleet = whole
        self.exchange.script("a1", [event(2)])
        self.exchange.script("b1", [event(2)])
        await self.finish(task)


class SlowSink(FakeSink):
    """Passes data on at once, and waits for its caller at some events or at the end.

    Attributes:
        gates: Events that it waits for, by the data that it was sent; empty at the end.
    """

    def __init__(self, *data):
        super().__init__()
        self.gates = {each: asyncio.Event() for each in data}

    async def write(self, data):
        await super().write(data)
        if data in self.gates:
            await self.gates[data].wait()

    async def end(self):
        await super().end()
        if b"" in self.gates:
            await self.gates[b""].wait()


class SlowCallerTest(SilentEngineCase):
    """Guards against a caller that reads slowly and gets an event twice, or a cut."""

    async def prepare(self):
        await super().prepare()
        self.sink = SlowSink(event(1).data)
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        self.task = self.start()
        await self.until(lambda: self.got() == [1])

    async def check_whole(self):
        self.assertFalse(self.task.done())
        self.sink.gates[event(1).data].set()
        await self.until(self.task.done)
        await self.task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)

    async def test_engine_is_not_blamed(self):
        self.gate.set_result(None)
        await self.harness.clock.advance(3.0)
        await self.check_whole()
        self.assertEqual(["a1"], self.exchange.sent_to)
        self.assertEqual([], self.harness.orders.queried)
        self.assertEqual([], self.harness.hinted + self.harness.suspected)

    async def test_no_retry_is_taken_meanwhile(self):
        """Guards against retries that count long before they are used."""
        self.harness.tracker.note_lost("a1")
        await self.harness.clock.advance(3.0)
        self.assertEqual({}, self.harness.ctx.budget.report_sends())
        self.gate.set_result(None)
        await self.check_whole()
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_engine_ends_meanwhile(self):
        self.exchange.script("b1", [event(2)])
        self.harness.tracker.note_ended("a1")
        await self.harness.clock.advance(0.1)
        await self.check_whole()
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)


class NextWriteToSlowCallerTest(SilentEngineCase):
    """Guards against an abort that hits the write after the one that it waited for."""

    async def play(self, sink, *events):
        """Relay events that are all there, of an engine that ends at the first."""
        self.sink = sink
        self.exchange.script("a1", list(events))
        self.exchange.script("b1", [event(2)])
        task = self.start()
        await self.until(lambda: self.got() == [1])
        self.harness.tracker.note_ended("a1")
        for gate in sink.gates.values():
            await self.harness.clock.advance(0.2)
            gate.set()
        await self.until(task.done)
        await task
        self.assertEqual([each.event_id for each in events], self.got())
        self.assertTrue(self.sink.is_whole)
        self.assertEqual(["a1"], self.exchange.sent_to)

    async def test_next_event(self):
        await self.play(SlowSink(event(1).data, event(2).data), event(1), event(2))

    async def test_end_of_the_response(self):
        await self.play(SlowSink(event(1).data, b""), event(1))


class NextSendTest(SilentEngineCase):
    """Guards against a run that is ended although its next send cannot begin."""

    async def prepare(self):
        await super().prepare()
        notice = ServerNotice(retry_after_s=60.0)
        now = self.harness.clock.now()
        self.harness.ctx.notices.note("b1", notice, request_id="r0", sent_at=now)

    async def test_other_engine_accepts_no_request_now(self):
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        await self.go_on(self.start())

    async def test_other_engine_accepts_no_request_before_the_first_event(self):
        self.exchange.script("a1", [self.gate, event(1), event(2)])
        await self.go_on(self.start())
