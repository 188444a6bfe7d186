from wigeonscale.agent.answers import Dispatch
from wigeonscale.agent.history import DispatchHistory
from wigeonscale.agent.outcomes import OutcomeReporter
from wigeonscale.agent.table import DispatchTable
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.testing import AsyncTestCase, ManualClock
from wigeonscale.wire import wire_pb2 as wire


class HistoryTest(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.history = DispatchHistory(clock=self.clock, retention_s=100, limit=3)

    async def test_ran_is_final(self):
        self.history.record("d", RunState.RAN)
        self.history.record("d", RunState.NOT_RUN)
        self.assertEqual(RunState.RAN, self.history.state("d"))

    async def test_pinned_id_is_kept_beyond_retention(self):
        self.history.record("once", RunState.RAN)
        self.history.record("other", RunState.RAN)
        self.history.pin("once")
        for _ in range(3):
            await self.clock.advance(101)
            self.history.evict_old()
        self.assertEqual(RunState.RAN, self.history.state("once"))
        self.assertIsNone(self.history.state("other"))
        self.history.unpin("once")
        await self.clock.advance(101)
        self.history.evict_old()
        self.assertIsNone(self.history.state("once"))
        self.assertFalse(self.history.evicted_early)

    async def test_early_eviction_is_recorded(self):
        for number in range(5):
            self.history.record(f"d{number}", RunState.RAN)
        self.history.evict_old()
        self.assertTrue(self.history.evicted_early)
        self.assertEqual(RunState.RAN, self.history.state("d4"))
        self.assertIsNone(self.history.state("d0"))

    async def test_id_is_kept_after_an_answer_that_outlived_retention(self):
        table = DispatchTable(clock=self.clock, keep_bytes=1000, keep_s=5000)
        dispatch = Dispatch(open=wire.Open(dispatch_id="d"))
        dispatch.state = "running"
        table.add(dispatch)
        table.end(dispatch, wire.DispatchItem(done=wire.Done()))
        for _ in range(2):
            await self.clock.advance(4000)
            table.sweep()
        self.assertIsNone(table.get("d"))
        self.assertEqual(RunState.RAN, table.history.state("d"))


class OutcomeTest(AsyncTestCase):
    async def test_retries_without_quorum_and_stops_when_refused(self):
        answers = {"d1": [ErrorKind.NO_QUORUM, None], "d2": [ErrorKind.BAD_REQUEST]}
        reported = []
        clock = ManualClock()

        async def submit(command):
            kind = answers[command.outcome.dispatch_id].pop(0)
            if kind:
                raise WigeonscaleError(kind, "planted")

        reporter = OutcomeReporter(
            submit=submit, clock=clock, on_reported=reported.append
        )
        for dispatch_id in answers:
            reporter.report(wire.Outcome(dispatch_id=dispatch_id))
        await clock.advance(5)
        await reporter.flush()
        self.assertEqual(["d1"], reported)
