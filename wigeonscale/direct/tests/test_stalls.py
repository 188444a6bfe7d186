import asyncio

from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.fakes import FakeExchange, FakeSink
from wigeonscale.direct.tests.support import StreamCase, engine, event, fleet, not_sent
from wigeonscale.ports.orders import OrderOutcome

HANG = FakeExchange.HANG


class StallTest(StreamCase):
    """An engine with several streams becomes unreachable."""

    async def test_all_streams_leave_the_culprit(self):
        self.exchange.script("a1", *[[event(1), HANG] for _ in range(5)])
        self.exchange.script("b1", *[[event(2), event(3)] for _ in range(5)])
        self.harness.orders.held_up_by["a1:80"] = ["a2:80"] * 5
        sinks = [FakeSink() for _ in range(5)]
        tasks = []
        for sink in sinks:
            self.sink = sink
            tasks.append(asyncio.create_task(self.relay()))
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.until(lambda: all(task.done() for task in tasks))
        watch.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)
        for sink in sinks:
            self.assertEqual(b"id: 1\n\nid: 2\n\nid: 3\n\n", sink.data)
            self.assertTrue(sink.is_whole)
        # One query for all streams; the engine is reported to control.
        self.assertEqual(["a1:80"], self.harness.orders.queried)
        self.assertEqual(["a2"], self.harness.suspected)
        waited_s = self.harness.clock.now() - 1000.0
        self.assertTrue(waited_s < 1.0, waited_s)

    async def test_engine_named_by_another_one_is_no_own_finding(self):
        # Guards against two entries that count as witnesses of a loss because the same
        # first engine told both of them.
        self.exchange.script("a1", [event(1), HANG])
        self.exchange.script("b1", [event(2)])
        self.harness.orders.held_up_by["a1:80"] = ["a2:80"]
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.until(task.done)
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual(["a2"], self.harness.suspected)
        self.assertEqual([], self.harness.witnessed)

    async def test_first_engine_does_not_respond(self):
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [event(1)])
        self.harness.orders.held_up_by["a1:80"] = None
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.until(task.done)
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual([1], self.got())
        self.assertEqual(["a1"], self.harness.suspected)
        # With the timeout of 0.7 s that orders have, streams stalled for 0.95 s.
        self.assertTrue(max(self.harness.orders.limits) <= 0.3)

    async def test_streams_wait_for_busy_engines(self):
        """All streams stall: another path would only prefill them again."""
        self.exchange.script("a1", *[[event(1), HANG] for _ in range(3)])
        tasks = [asyncio.create_task(self.relay()) for _ in range(3)]
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.harness.clock.advance(1.9)
        self.assertEqual(3, len(self.exchange.calls))
        self.assertEqual([], self.harness.suspected)
        for task in (*tasks, watch):
            task.cancel()
        await asyncio.gather(*tasks, watch, return_exceptions=True)

    async def test_single_stalled_connection_is_retried(self):
        self.exchange.script("a1", [event(1), HANG])
        self.exchange.script("a1", [event(2)])
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.harness.clock.advance(0)
        others = [Run(("a1",), events=1) for _ in range(2)]
        for other in others:
            self.harness.stalls.add(other)
        for _ in range(200):
            for other in others:
                other.progress_at = self.harness.clock.now()
            await self.harness.clock.advance(0.01)
            if task.done():
                break
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual([1, 2], self.got())

    async def test_engines_of_a_stalled_path_are_hinted_early(self):
        # Control probes them, and reports one that has crashed to all entries.
        self.exchange.script("a1", [event(1), HANG])
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.harness.stalls.run())
        await self.harness.clock.advance(0.15)
        self.assertEqual({"a1", "a2"}, set(self.harness.hinted))
        self.assertEqual([], self.harness.suspected)
        task.cancel()
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)

    async def test_engines_with_active_runs_are_not_hinted(self):
        self.exchange.script("a1", [event(1), HANG])
        task = asyncio.create_task(self.relay())
        await self.harness.clock.advance(0.15)
        other = Run(("a1", "b2"), events=1, progress_at=self.harness.clock.now())
        self.harness.stalls.add(other)
        self.harness.stalls.check()
        # It is also probed, and responds.
        await self.harness.clock.advance(0)
        self.assertEqual({"a2"}, set(self.harness.hinted))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_engine_marked_silent_by_control(self):
        self.exchange.script("a1", [event(1), HANG])
        self.exchange.script("b1", [event(2)])
        task = asyncio.create_task(self.relay())
        await self.harness.clock.advance(0.2)
        self.harness.fleet = fleet(
            engine("a1", 0, 5),
            engine("a2", 5, 10, is_silent=True),
            engine("b1", 0, 5, domain="b"),
            engine("b2", 5, 10, domain="b"),
        )
        self.harness.stalls.check()
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertEqual([], self.harness.orders.queried)


class DetourTest(StreamCase):
    """An engine of a stream is lost; another one of the domain holds its layers."""

    async def prepare(self):
        await super().prepare()
        self.harness.fleet = self.fleet_now()
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
            # It is added only now, so that the first path is known.
            engines.append(engine("a3", 4, 10))
        return fleet(*engines)

    async def lose(self, name):
        task = asyncio.create_task(self.relay())
        await self.until(lambda: self.sink.data)
        await self.harness.clock.advance(0.1)
        self.harness.fleet = self.fleet_now(lost=name)
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        if not self.gate.done():
            # The connection was kept, and the rest arrives over the new path.
            self.gate.set_result(None)
        await self.until(task.done)
        await task
        self.assertEqual([1, 2], self.got())
        self.assertTrue(self.sink.is_whole)

    async def test_rerouted_within_the_same_run(self):
        self.harness.orders.reroute_outcome = OrderOutcome.STARTED
        await self.lose("a2")
        self.assertEqual([("a1:80", "r1", ["a1", "a3"])], self.harness.orders.rerouted)
        self.assertEqual(["a1"], self.exchange.sent_to)
        # The load is removed from all engines that ran it.
        for name in ("a1", "a2", "a3"):
            self.assertEqual((0, 0.0), self.harness.tracker.load_of(name, 1))

    async def test_retried_if_the_engine_refuses_the_reroute(self):
        self.harness.orders.reroute_outcome = OrderOutcome.CONFLICT
        self.exchange.script("a1", [event(2)])
        await self.lose("a2")
        paths = [[p.backend_id for p in call.path] for call in self.exchange.calls]
        self.assertEqual([["a1", "a2"], ["a1", "a3"]], paths)

    async def test_retried_if_the_first_engine_is_lost(self):
        self.harness.orders.reroute_outcome = OrderOutcome.STARTED
        await self.lose("a1")
        self.assertEqual([], self.harness.orders.rerouted)
        self.assertEqual(["a1", "b1"], self.exchange.sent_to)


class SlowTest(StreamCase):
    """An engine is many times slower than usual; its streams continue late."""

    def run_on(self, *names, gap_s, expected_interval_s=0.04):
        run = Run(names, expected_interval_s=expected_interval_s)
        self.harness.stalls.add(run)
        now = self.harness.clock.now()
        for number in range(5):
            run.note_progress(now - (4 - number) * gap_s)
        return run

    async def test_slow_path_is_hinted(self):
        self.run_on("a1", "a2", gap_s=0.2)
        self.harness.stalls.check()
        self.assertEqual({"a1", "a2"}, set(self.harness.hinted))

    async def test_engine_of_a_fast_path_is_not_hinted(self):
        self.run_on("a1", "a2", gap_s=0.2)
        self.run_on("a1", "b2", gap_s=0.04)
        self.harness.stalls.check()
        self.assertEqual({"a2"}, set(self.harness.hinted))

    async def test_expected_interval_includes_load(self):
        self.run_on("a1", "a2", gap_s=0.2, expected_interval_s=0.1)
        self.harness.stalls.check()
        self.assertEqual([], self.harness.hinted)

    async def test_recent_interval_follows_latest_events(self):
        run = self.run_on("a1", "a2", gap_s=0.2)
        for _ in range(6):
            run.note_progress(run.progress_at + 0.04)
        self.assertTrue(run.recent_interval_s < 0.06, run.recent_interval_s)


class LaggingEntryTest(StreamCase):
    """The only entry left for all callers lacks processor time for a second."""

    async def test_lag_does_not_count_as_a_stall(self):
        runs = [Run(("a1", "a2"), expected_interval_s=0.04) for _ in range(3)]
        for run in runs:
            self.harness.tracker.begin(run)
            run.note_progress(self.harness.clock.now())
            self.harness.stalls.add(run)
        await self.harness.clock.advance(1.5)
        self.harness.stalls.note_lag(1.47)
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        self.assertEqual([], self.harness.hinted)
        self.assertEqual([], self.harness.orders.queried)
        self.assertFalse(self.harness.tracker.is_avoided("a1"))

    async def test_short_lag_does_not_count_as_a_stall(self):
        """Reading a large document blocks the process for about 65 ms."""
        run = Run(("a1", "a2"), expected_interval_s=0.04)
        self.harness.tracker.begin(run)
        for _ in range(5):
            run.note_progress(self.harness.clock.now())
            await self.harness.clock.advance(0.035)
        self.harness.stalls.add(run)
        await self.harness.clock.advance(0.065)
        self.harness.stalls.note_lag(0.065)
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        self.assertEqual([], self.harness.check_reachable.probed)
        self.assertEqual([], self.harness.hinted)
        self.assertFalse(self.harness.stalls.is_lagging)

    async def test_stall_after_a_lag_is_detected(self):
        run = Run(("a1", "a2"))
        self.harness.tracker.begin(run)
        run.note_progress(self.harness.clock.now())
        self.harness.stalls.add(run)
        await self.harness.clock.advance(1.5)
        self.harness.stalls.note_lag(1.47)
        await self.harness.clock.advance(0.3)
        self.harness.stalls.check()
        await self.harness.clock.advance(0)
        self.assertEqual(["a1:80"], self.harness.orders.queried)

    async def test_check_in_time_changes_nothing(self):
        run = Run(("a1", "a2"))
        run.note_progress(self.harness.clock.now())
        self.harness.stalls.add(run)
        before = run.progress_at
        await self.harness.clock.advance(0.05)
        self.harness.stalls.note_lag(0.02)
        self.assertEqual(before, run.progress_at)
        self.assertFalse(self.harness.stalls.is_lagging)

    async def test_connection_timeout_after_a_lag(self):
        self.exchange.script("a1", not_sent(), [event(1)])
        self.exchange.script("b1", [event(1)])
        self.harness.stalls.note_lag(0.4)
        await self.relay()
        self.assertTrue(self.harness.tracker.is_avoided("a1"))
        await self.harness.clock.advance(0.5)
        self.assertFalse(self.harness.tracker.is_avoided("a1"))
        self.assertEqual([], self.harness.suspected)

    async def test_check_after_a_change_that_took_long_to_read(self):
        """Guards against sound engines that are blamed at each large configuration."""
        watch = asyncio.create_task(self.harness.stalls.run())
        run = Run(("a1", "a2"))
        self.harness.tracker.begin(run)
        run.note_progress(self.harness.clock.now())
        self.harness.stalls.add(run)
        await self.harness.clock.advance(0.05)
        self.harness.clock._now += 0.4
        self.harness.stalls.check_after_change()
        await self.harness.clock.advance(0.1)
        self.assertEqual([], self.harness.orders.queried)
        await self.harness.clock.advance(0.3)
        self.assertEqual(["a1:80"], self.harness.orders.queried)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
