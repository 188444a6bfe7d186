import asyncio

from wigeonscale.direct.probing import MAX_PROBED_PER_ROUND
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.fakes import FakeExchange, FakeSink
from wigeonscale.direct.tests.support import StreamCase, engine, event, fleet
from wigeonscale.ports import ProbeResult

HANG = FakeExchange.HANG
# A pause of more than 300 ms is late, and prefill on another path takes up to 100 ms.
MAX_DETECTION_S = 0.2


class UnreachableEngineTest(StreamCase):
    """An engine with several streams becomes unreachable; the others respond."""

    async def stall_streams(self, name, *, streams=5):
        """Start streams on a1 and a2, and stall all of them after a few events."""
        self.sinks = [FakeSink() for _ in range(streams)]
        self.gates = []
        self.tasks = []
        for sink in self.sinks:
            gates = [asyncio.get_running_loop().create_future() for _ in range(4)]
            steps = [event(1)]
            for number, gate in enumerate(gates, start=2):
                steps += [gate, event(number)]
            self.exchange.script("a1", [*steps, HANG])
            self.exchange.script("b1", [event(6)])
            self.gates.append(gates)
            self.sink = sink
            self.tasks.append(asyncio.create_task(self.relay()))
        self.watch = asyncio.create_task(self.harness.stalls.run())
        await self.harness.clock.advance(0)
        for number in range(4):
            await self.harness.clock.advance(0.035)
            for gates in self.gates:
                gates[number].set_result(None)
            await self.harness.clock.advance(0)
        self.harness.check_reachable.unreachable = {name}
        return self.harness.clock.now()

    async def end(self):
        for task in (*self.tasks, self.watch):
            task.cancel()
        await asyncio.gather(*self.tasks, self.watch, return_exceptions=True)

    async def test_lost_engine_is_detected_in_time(self):
        for name in ("a1", "a2"):
            await self.prepare()
            stalled_at = await self.stall_streams(f"{name}:80")
            await self.until(lambda: all(task.done() for task in self.tasks))
            waited_s = self.harness.clock.now() - stalled_at
            await self.end()
            self.assertTrue(waited_s <= MAX_DETECTION_S, (name, waited_s))
            self.assertEqual([name], self.harness.suspected)
            self.assertEqual([name], self.harness.witnessed)
            self.assertTrue(all(sink.is_whole for sink in self.sinks))

    async def test_responding_engines_keep_their_streams(self):
        await self.stall_streams("nobody")
        await self.harness.clock.advance(0.2)
        await self.end()
        self.assertEqual([], self.harness.suspected)
        self.assertEqual(5, len(self.exchange.calls))
        # One probe for each engine, not one for each check and stream.
        self.assertEqual(
            ["a1:80", "a2:80"], sorted(self.harness.check_reachable.probed)
        )

    async def test_no_engine_is_lost_if_none_responds(self):
        await self.stall_streams("a1:80")
        self.harness.check_reachable.unreachable = {"a1:80", "a2:80"}
        await self.harness.clock.advance(0.22)
        await self.end()
        self.assertEqual([], self.harness.suspected)

    async def test_all_engines_of_a_path_lost_while_others_get_events(self):
        stalled_at = await self.stall_streams("a1:80", streams=1)
        self.harness.check_reachable.unreachable = {"a1:80", "a2:80"}
        other = Run(("b1", "b2"), events=1)
        self.harness.stalls.add(other)
        while (
            not self.harness.suspected and self.harness.clock.now() < stalled_at + 0.2
        ):
            other.progress_at = self.harness.clock.now()
            await self.harness.clock.advance(0.01)
        await self.end()
        self.assertEqual({"a1", "a2"}, set(self.harness.suspected))

    async def test_timeout_grows_with_the_delay(self):
        # With a one-way delay of 50 ms, a connection takes 100 ms.
        for delay_s, at_fault in ((0.05, []), (0.0, ["a2"])):
            await self.prepare()
            await self.stall_streams("nobody")
            self.harness.check_reachable.answer_s["a2:80"] = 0.105
            self.harness.delays_s["a"] = delay_s
            await self.harness.clock.advance(0.25)
            await self.end()
            self.assertEqual(at_fault, self.harness.suspected)

    async def test_probes_per_round_are_bounded(self):
        """Half of the runs pass an unreachable engine; it is in the first round."""
        names = [f"x{number:02}" for number in range(40)]
        self.harness.fleet = fleet(*[engine(name, 0, 10) for name in [*names, "dark"]])
        now = self.harness.clock.now()
        for number, name in enumerate(names):
            path = (name, "dark") if number % 2 else (name,)
            self.harness.stalls.add(
                Run(path, events=9, first_event_at=now, progress_at=now)
            )
        await self.harness.clock.advance(0.1)
        self.harness.stalls.check()
        await self.harness.clock.advance(0.1)
        self.assertIn("dark:80", self.harness.check_reachable.probed)
        self.assertEqual(
            MAX_PROBED_PER_ROUND, len(set(self.harness.check_reachable.probed))
        )

    async def test_lost_packet_does_not_mark_engine_lost(self):
        await self.stall_streams("a2:80")
        # The packet of the first probe is lost; the next probe gets a response.
        await self.until(lambda: "a2:80" in self.harness.check_reachable.probed)
        self.harness.check_reachable.unreachable = set()
        await self.harness.clock.advance(0.12)
        await self.end()
        self.assertEqual([], self.harness.suspected)

    async def test_event_during_the_probe_keeps_the_engine(self):
        await self.stall_streams("a2:80")
        await self.until(lambda: "a2:80" in self.harness.check_reachable.probed)
        for run in self.harness.tracker.runs_on("a2"):
            run.note_progress(self.harness.clock.now() + 0.09)
        await self.harness.clock.advance(0.12)
        await self.end()
        self.assertEqual([], self.harness.suspected)

    async def test_refused_connection_marks_engine_lost_at_once(self):
        stalled_at = await self.stall_streams("nobody")
        self.harness.check_reachable.answers["a2:80"] = ProbeResult.REFUSED
        await self.until(lambda: all(task.done() for task in self.tasks))
        waited_s = self.harness.clock.now() - stalled_at
        await self.end()
        self.assertTrue(waited_s < 0.15, waited_s)
        self.assertEqual(["a2"], self.harness.suspected)

    async def test_engine_lost_before_the_first_event(self):
        self.exchange.script("a1", [HANG])
        self.exchange.script("b1", [event(1)])
        self.harness.check_reachable.unreachable = {"a1:80"}
        task = asyncio.create_task(self.relay())
        watch = asyncio.create_task(self.harness.stalls.run())
        began_at = self.harness.clock.now()
        await self.until(task.done)
        waited_s = self.harness.clock.now() - began_at
        watch.cancel()
        await asyncio.gather(task, watch, return_exceptions=True)
        self.assertEqual([1], self.got())
        # The first event is due within 0.5 s, and takes 0.1 s on the other path.
        self.assertTrue(waited_s < 0.4, waited_s)

    async def test_probes_of_busy_engines_are_rate_limited(self):
        await self.stall_streams("nobody")
        await self.harness.clock.advance(3.0)
        await self.end()
        probe_count = len(self.harness.check_reachable.probed)
        # Two engines, each probed at most once a second.
        self.assertTrue(2 <= probe_count <= 8, probe_count)

    async def test_no_probes_while_the_entry_lags(self):
        runs = [Run(("a1", "a2"), expected_interval_s=0.04) for _ in range(3)]
        for run in runs:
            self.harness.tracker.begin(run)
            run.note_progress(self.harness.clock.now())
            self.harness.stalls.add(run)
        await self.harness.clock.advance(0.2)
        self.harness.check_reachable.unreachable = {"a2:80"}
        self.harness.stalls.check()
        self.harness.stalls.note_lag(0.2)
        await self.harness.clock.advance(0.12)
        self.assertEqual([], self.harness.suspected)
        # It starts no new probes either.
        probe_count = len(self.harness.check_reachable.probed)
        await self.harness.clock.advance(0.5)
        self.harness.stalls.check()
        await self.harness.clock.advance(0.12)
        self.assertEqual(probe_count, len(self.harness.check_reachable.probed))


class StaggeredEventsTest(StreamCase):
    """An engine is lost whose streams expect their next events at different times."""

    INTERVAL_S = 0.08
    STREAMS = 4

    async def detect(self, *, detects_early):
        """Return the time from the loss of an engine until it is detected."""
        lost_at = self.harness.clock.now() + 10 * self.INTERVAL_S
        last_event_at = [
            lost_at - number * self.INTERVAL_S / self.STREAMS
            for number in range(self.STREAMS)
        ]
        self.harness.fleet = fleet(engine("lost", 0, 10), engine("other", 0, 10))
        self.harness.check_reachable.unreachable = {"lost:80"}
        healthy = Run(("other",), events=1)
        self.harness.stalls.add(healthy)
        await self.harness.clock.advance(10 * self.INTERVAL_S)
        for at in last_event_at:
            run = Run(
                ("lost",),
                events=11,
                first_event_at=at - 10 * self.INTERVAL_S,
                detects_early=detects_early,
            )
            self.harness.tracker.begin(run)
            run.progress_at = run.latest_event_at = at
            self.harness.stalls.add(run)
        while not self.harness.suspected and self.harness.clock.now() < lost_at + 1:
            healthy.progress_at = self.harness.clock.now()
            await self.harness.clock.advance(0.01)
            self.harness.stalls.check()
        return self.harness.clock.now() - lost_at

    async def test_first_overdue_stream_is_enough(self):
        late_s = await self.detect(detects_early=False)
        await self.prepare()
        early_s = await self.detect(detects_early=True)
        self.assertEqual(["lost"], self.harness.suspected)
        # The first stream is overdue 0.75 intervals before the last one.
        self.assertTrue(early_s <= late_s - 0.7 * self.INTERVAL_S, (early_s, late_s))

    async def test_engine_without_answer_but_with_events_is_kept(self):
        """Probes are lost on the network, and one of two streams is slow."""
        self.harness.fleet = fleet(engine("a", 0, 10))
        self.harness.check_reachable.unreachable = {"a:80"}
        now = self.harness.clock.now()
        slow, busy = (
            Run(("a",), events=9, first_event_at=now, detects_early=True)
            for _ in range(2)
        )
        for run in (slow, busy):
            self.harness.tracker.begin(run)
            self.harness.stalls.add(run)
        for _ in range(30):
            busy.progress_at = busy.latest_event_at = self.harness.clock.now()
            await self.harness.clock.advance(0.01)
            self.harness.stalls.check()
        self.assertEqual([], self.harness.suspected)

    async def test_suspected_engine_is_probed_again_sooner(self):
        """It was lost just after a probe, and several streams are stalled."""
        self.harness.fleet = fleet(engine("a", 0, 10), engine("b", 0, 10))
        now = self.harness.clock.now()
        for _ in range(4):
            run = Run(
                ("a",),
                events=9,
                first_event_at=now,
                detects_early=True,
                latest_event_at=now,
            )
            self.harness.tracker.begin(run)
            self.harness.stalls.add(run)
        healthy = Run(("b",), events=1)
        self.harness.stalls.add(healthy)
        for number in range(50):
            healthy.progress_at = self.harness.clock.now()
            await self.harness.clock.advance(0.01)
            self.harness.stalls.check()
            if number == 10:
                self.harness.check_reachable.unreachable = {"a:80"}
        self.assertEqual(["a"], self.harness.suspected)

    async def test_probes_of_an_engine_with_many_stalled_streams_are_bounded(self):
        # Guards against a probe in each check, which takes the processor time that the
        # streams need, and costs a busy engine a connection each.
        self.harness.fleet = fleet(engine("a", 0, 10))
        now = self.harness.clock.now()
        for _ in range(70):
            run = Run(("a",), events=9, first_event_at=now, detects_early=True)
            self.harness.tracker.begin(run)
            self.harness.stalls.add(run)
        for _ in range(50):
            await self.harness.clock.advance(0.02)
            self.harness.stalls.check()
        await self.harness.clock.advance(0.1)
        probe_count = len(self.harness.check_reachable.probed)
        self.assertTrue(2 <= probe_count <= 11, probe_count)
