import asyncio

from wigeonscale.direct.beliefs import Run
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.room_queue import ROOM_WAIT_S
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.support import (
    ENGINE,
    MODEL,
    FakeExchange,
    Parts,
    Sink,
    answer,
    event,
    fleet,
    not_run,
    not_sent,
    server,
    unknown,
)
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import Generation
from wigeonscale.ports.orders import OrderOutcome
from wigeonscale.routes import Repeat, Service
from wigeonscale.testing import AsyncTestCase

HANG = FakeExchange.HANG


def engine(name, first, end, **fields):
    return server(name, "model", layers=(first, end), **fields)


class StreamCase(AsyncTestCase):
    async def prepare(self):
        self.parts = Parts(
            engine("a1", 0, 5),
            engine("a2", 5, 10),
            engine("b1", 0, 5, domain="b"),
            engine("b2", 5, 10, domain="b"),
        )
        self.exchange = self.parts.exchange
        self.sink = Sink()

    def relay(self, **fields):
        fields.setdefault("resumable", True)
        job = self.parts.job(Repeat.STREAM, service=MODEL, left_s=20.0, **fields)
        return relay_stream(self.parts.around, job, self.sink)

    async def refused(self, **fields):
        try:
            await self.relay(**fields)
        except WigeonscaleError as exc:
            return exc
        self.fail("it was answered")

    def got(self):
        return [int(line[4:]) for line in self.sink.data.split(b"\n\n") if line]

    async def until(self, condition):
        for _ in range(500):
            if condition():
                return
            await self.parts.clock.advance(0.01)
        self.fail("the condition never held")


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

    async def test_goes_on_after_the_last_event_elsewhere(self):
        self.exchange.script("a1", [event(1), event(2), unknown()])
        self.exchange.script("a1", [event(3), event(4)])
        await self.relay()
        self.assertEqual([1, 2, 3, 4], self.got())
        self.assertEqual(2, self.exchange.calls[1].after_event)

    async def test_events_that_the_caller_has_are_left_out(self):
        self.exchange.script("a1", [event(1), event(2), unknown()])
        self.exchange.script("a1", [event(2), event(3)])
        await self.relay()
        self.assertEqual([1, 2, 3], self.got())

    async def test_a_missing_event_ends_that_run(self):
        self.exchange.script("a1", [event(1), event(3)])
        self.exchange.script("a1", [event(2), event(3)])
        await self.relay()
        self.assertEqual([1, 2, 3], self.got())

    async def test_the_callers_own_last_event_is_handed_on(self):
        self.exchange.script("a1", [event(8)])
        await self.relay(last_event_id=7)
        self.assertEqual(7, self.exchange.calls[0].after_event)
        self.assertEqual([8], self.got())

    async def test_error_of_the_engine_is_handed_on(self):
        self.exchange.script("a1", answer(500, b"why"))
        await self.relay()
        self.assertEqual(answer(500, b"why"), self.sink.answer)
        self.assertEqual(1, len(self.exchange.calls))

    async def test_a_refused_send_tries_another_path(self):
        self.exchange.script("a1", not_run(at_fault="a2:80"))
        self.exchange.script("b1", [event(1)])
        await self.relay()
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)
        self.assertEqual(["a2"], self.parts.suspected)

    async def test_first_engine_out_of_reach(self):
        self.exchange.script("a1", not_sent())
        self.exchange.script("b1", [event(1)])
        await self.relay(resumable=False)
        self.assertEqual(["a1"], self.parts.suspected)


class WithoutLayersTest(StreamCase):
    """A stream whose service does not split a model over engines."""

    async def test_relayed_as_it_comes_and_resumed_elsewhere(self):
        self.parts.fleet = fleet(server("p1"), server("p2", domain="b"))
        self.exchange.script("p1", [event(1), not_sent()])
        self.exchange.script("p2", [event(2)])
        job = self.parts.job(
            Repeat.STREAM, service=Service(name="plain"), resumable=True, left_s=9.0
        )
        await relay_stream(self.parts.around, job, self.sink)
        self.assertEqual([1, 2], self.got())
        self.assertEqual([(), ()], [call.path for call in self.exchange.calls])


class GivenUpTest(StreamCase):
    async def test_not_resumable_is_never_sent_again_after_a_run(self):
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

    async def test_what_may_have_run_is_never_said_not_to(self):
        # The first send was reset before any answer, the second one was refused.
        self.exchange.script("a1", unknown(), *[not_run()] * 9)
        self.exchange.script("b1", *[not_run()] * 9)
        exc = await self.refused()
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_nor_when_the_engines_are_full_by_then(self):
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [gate, unknown()])
        task = asyncio.create_task(self.refused())
        await self.until(lambda: self.exchange.calls)
        room = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        for name in ("a1", "b1"):
            self.parts.beliefs.begin(Run((name,), {name: room}))
        gate.set_result(None)
        await self.until(task.done)
        exc = await task
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)

    async def test_no_path_is_said_at_once(self):
        self.parts.fleet = fleet(engine("a1", 0, 5))
        exc = await self.refused()
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertIsNotNone(exc.retry_after)
        self.assertEqual([], self.exchange.calls)

    async def test_no_more_first_engines_than_attempts(self):
        self.parts.fleet = fleet(
            *self.parts.fleet.by_id.values(),
            engine("c1", 0, 5, domain="c"),
            engine("c2", 5, 10, domain="c"),
        )
        self.exchange.script("a1", [event(1), not_sent()])
        self.exchange.script("b1", [event(2), not_sent()])
        # A caller that has part of a stream waits a little for a path.
        task = asyncio.create_task(self.refused())
        await self.until(task.done)
        exc = await task
        self.assertEqual(ErrorKind.NO_BACKEND, exc.kind)
        self.assertEqual(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)

    async def test_back_to_a_first_engine_that_had_it_before(self):
        self.parts.fleet = fleet(
            *self.parts.fleet.by_id.values(),
            engine("c1", 0, 5, domain="c"),
            engine("c2", 5, 10, domain="c"),
        )
        self.exchange.script("a1", [event(1), not_run(at_fault="a2:80")])
        self.exchange.script("b1", [event(2), not_run(at_fault="b2:80")])
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
    """A first engine resets what it gets, or takes it and says nothing."""

    async def fail_at_a1(self):
        self.exchange.script("a1", unknown())
        self.exchange.script("b1", [event(1)])
        self.sink = Sink()
        await self.relay()
        self.assertEqual([1], self.got())
        self.assertEqual(["a1", "b1"], self.exchange.sent_to[-2:])

    async def relay_at(self, name):
        self.exchange.script(name, [event(1)])
        self.sink = Sink()
        await self.relay()
        self.assertEqual(name, self.exchange.sent_to[-1])

    async def test_the_next_request_does_not_go_there(self):
        # It is idle, since nothing lasts there: it would draw every request.
        await self.fail_at_a1()
        await self.relay_at("b1")

    async def test_it_is_tried_again_soon_and_left_alone_for_longer(self):
        await self.fail_at_a1()
        await self.parts.clock.advance(0.5)
        await self.fail_at_a1()
        await self.parts.clock.advance(3.0)
        await self.relay_at("b1")
        await self.parts.clock.advance(1.5)
        await self.relay_at("a1")

    async def test_one_that_serves_again_is_trusted_again(self):
        await self.fail_at_a1()
        await self.parts.clock.advance(0.5)
        for _ in range(8):
            await self.relay_at("a1")
        await self.fail_at_a1()
        await self.parts.clock.advance(0.5)
        await self.relay_at("a1")


class FullTest(StreamCase):
    """Engines without room for one more request."""

    def fill(self, *names):
        room = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        runs = [Run((name,), {name: room}) for name in names]
        for run in runs:
            self.parts.beliefs.begin(run)
        return runs

    async def test_room_that_comes_free_in_a_moment_is_waited_for(self):
        runs = self.fill("a1", "b2")
        self.exchange.script("a1", [event(1)])
        task = asyncio.create_task(self.relay())
        await self.parts.clock.advance(0.1)
        self.assertEqual([], self.exchange.calls)
        self.parts.beliefs.end(runs[0])
        await self.parts.clock.advance(0.05)
        await task
        self.assertEqual([1], self.got())
        self.assertEqual(0, len(self.parts.around.waiting))

    async def test_turned_away_soon_with_word_when_to_return(self):
        self.fill("a1", "b2")
        task = asyncio.create_task(self.refused())
        await self.parts.clock.advance(ROOM_WAIT_S + 0.05)
        self.assertTrue(task.done())
        exc = await task
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertTrue(0.4 <= exc.retry_after <= 1.4)
        self.assertEqual([], self.exchange.calls)
        self.assertEqual(0, len(self.parts.around.waiting))

    async def test_turned_away_at_once_where_enough_wait_already(self):
        self.fill("a1", "b2")
        waiting = asyncio.create_task(self.refused())
        await self.parts.clock.advance(0)
        # No time passes in this one.
        exc = await self.refused()
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual(RunState.NOT_RUN, exc.run_state)
        self.assertTrue(0.4 <= exc.retry_after <= 1.4)
        await self.parts.clock.advance(ROOM_WAIT_S + 0.05)
        await waiting

    async def test_a_caller_that_leaves_gives_its_place_back(self):
        self.fill("a1", "b2")
        task = asyncio.create_task(self.relay())
        await self.parts.clock.advance(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(0, len(self.parts.around.waiting))

    async def test_another_domain_with_room_takes_it(self):
        self.fill("a2")
        self.exchange.script("b1", [event(1)])
        await self.relay()
        self.assertEqual([1], self.got())

    async def test_what_was_begun_is_finished(self):
        gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), gate, unknown()])
        self.exchange.script("a1", [event(2)])
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.sink.data)
        self.fill("a1", "a2", "b1", "b2")
        gate.set_result(None)
        await task
        self.assertEqual([1, 2], self.got())

    async def test_large_requests_are_not_turned_away_before_small_ones(self):
        room = FULL_SHARE * (5000 - 5 * 100) * 1e6 / 1e5
        usual = 5 * (ENGINE.usual_prompt + ENGINE.usual_answer)
        for name in ("a1", "b1"):
            self.parts.beliefs.begin(Run((name,), {name: room - usual}))
        self.exchange.script("a1", [event(1)])
        await self.relay(generation=Generation(prompt=5000, most=900, expected=900))
        self.assertEqual([1], self.got())


class DetourTest(StreamCase):
    """An engine is lost under a stream, and another one near it holds its layers."""

    async def prepare(self):
        await super().prepare()
        self.parts.fleet = self.fleet_now()
        self.gate = asyncio.get_running_loop().create_future()
        self.exchange.script("a1", [event(1), self.gate, event(2)])
        self.exchange.script("b1", [event(2)])

    def fleet_now(self, *, lost=""):
        engines = [
            engine("a1", 0, 5, is_silent=lost == "a1"),
            engine("a2", 5, 10, is_silent=lost == "a2"),
            engine("b1", 0, 5, domain="b"),
            engine("b2", 5, 10, domain="b"),
        ]
        if lost:
            # Not there before, so that the first path is sure.
            engines.append(engine("a3", 4, 10))
        return fleet(*engines)

    async def lose(self, name):
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.sink.data)
        await self.parts.clock.advance(0.1)
        self.parts.fleet = self.fleet_now(lost=name)
        self.parts.stalls.check()
        await self.parts.clock.advance(0)
        if not self.gate.done():
            # Its connection was kept, and the new path brings the rest.
            self.gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)

    async def test_goes_on_along_another_path_in_the_same_run(self):
        self.parts.orders.move_outcome = OrderOutcome.BEGUN
        await self.lose("a2")
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.parts.orders.moved)
        self.assertEqual(["a1"], self.exchange.sent_to)
        # What it took of memory is given back where it ran at last.
        for name in ("a1", "a2", "a3"):
            self.assertEqual((0, 0.0), self.parts.beliefs.load_of(name, 1))

    async def test_sent_anew_where_the_engine_refuses_the_order(self):
        self.parts.orders.move_outcome = OrderOutcome.MISFIT
        self.exchange.script("a1", [event(2)])
        await self.lose("a2")
        paths = [[p.backend_id for p in call.path] for call in self.exchange.calls]
        self.assertEqual([["a1", "a2"], ["a1", "a3"]], paths)

    async def test_sent_elsewhere_where_the_first_engine_is_lost(self):
        self.parts.orders.move_outcome = OrderOutcome.BEGUN
        await self.lose("a1")
        self.assertEqual([], self.parts.orders.moved)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)


class StallTest(StreamCase):
    """An engine goes dark under several streams at once."""

    async def test_all_streams_leave_the_engine_that_is_named(self):
        self.exchange.script("a1", *[[event(1), HANG] for _ in range(5)])
        self.exchange.script("b1", *[[event(2), event(3)] for _ in range(5)])
        self.parts.orders.held_up_by["a1:80"] = ["a2:80"] * 5
        sinks = [Sink() for _ in range(5)]
        tasks = []
        for sink in sinks:
            self.sink = sink
            tasks.append(asyncio.create_task(self.relay()))
        watch = asyncio.create_task(self.parts.stalls.run())
        await self.until(lambda: all(task.done() for task in tasks))
        watch.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)
        for sink in sinks:
            self.assertEqual(b"id: 1\n\nid: 2\n\nid: 3\n\n", sink.data)
            self.assertTrue(sink.is_whole)
        # One question for all of them; the engine is named to control.
        self.assertEqual(["a1:80"], self.parts.orders.asked)
        self.assertEqual(["a2"], self.parts.suspected)
        waited_s = self.parts.clock.now() - 1000.0
        self.assertTrue(waited_s < 1.0, waited_s)

    async def test_first_engine_does_not_answer(self):
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [event(1)])
        self.parts.orders.held_up_by["a1:80"] = None
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.parts.stalls.run())
        await self.until(task.done)
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual([1], self.got())
        self.assertEqual(["a1"], self.parts.suspected)
        # With 0.7 s, as orders have, its streams stood still for 0.95 s.
        self.assertTrue(max(self.parts.orders.limits) <= 0.3)

    async def test_busy_but_sound_engines_are_waited_for(self):
        """All streams stand still: another path would only read them once more."""
        self.exchange.script("a1", *[[event(1), HANG] for _ in range(3)])
        tasks = [asyncio.create_task(self.relay()) for _ in range(3)]
        watch = asyncio.create_task(self.parts.stalls.run())
        await self.parts.clock.advance(1.9)
        self.assertEqual(3, len(self.exchange.calls))
        self.assertEqual([], self.parts.suspected)
        for task in (*tasks, watch):
            task.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)

    async def test_silent_connection_while_the_others_move_on(self):
        self.exchange.script("a1", [event(1), HANG])
        self.exchange.script("a1", [event(2)])
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.parts.stalls.run())
        await self.parts.clock.advance(0)
        others = [Run(("a1",), events=1) for _ in range(2)]
        for other in others:
            self.parts.stalls.add(other)
        for _ in range(200):
            for other in others:
                other.progress_at = self.parts.clock.now()
            await self.parts.clock.advance(0.01)
            if task.done():
                break
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual([1, 2], self.got())

    async def test_engines_of_a_quiet_path_are_named_to_control_early(self):
        # Control probes them: one that has crashed refuses, and all entries hear of it.
        self.exchange.script("a1", [event(1), HANG])
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.parts.stalls.run())
        await self.parts.clock.advance(0.15)
        self.assertEqual({"a1", "a2"}, set(self.parts.hinted))
        self.assertEqual([], self.parts.suspected)
        task.cancel()
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)

    async def test_engines_through_which_others_move_are_not_named(self):
        self.exchange.script("a1", [event(1), HANG])
        task = asyncio.create_task(self.relay())
        await self.parts.clock.advance(0.15)
        other = Run(("a1", "b2"), events=1, progress_at=self.parts.clock.now())
        self.parts.stalls.add(other)
        self.parts.stalls.check()
        self.assertEqual({"a2"}, set(self.parts.hinted))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_engine_that_control_calls_silent(self):
        self.exchange.script("a1", [event(1), HANG])
        self.exchange.script("b1", [event(2)])
        task = asyncio.create_task(self.relay())
        await self.parts.clock.advance(0.2)
        self.parts.fleet = fleet(
            engine("a1", 0, 5),
            engine("a2", 5, 10, is_silent=True),
            engine("b1", 0, 5, domain="b"),
            engine("b2", 5, 10, domain="b"),
        )
        self.parts.stalls.check()
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertEqual([], self.parts.orders.asked)
