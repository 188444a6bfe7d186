from wigeonscale.direct.loss_evidence import suspected_engines
from wigeonscale.direct.runs import Run
from wigeonscale.routes import Accelerator, EngineProfile, needs_early_detection
from wigeonscale.testing import AsyncTestCase

INTERVAL_S = 0.08


def profile(*, event_tokens, paces=(2.0, 14.0), step_ms=1.0):
    kinds = {
        str(pace): Accelerator(name=str(pace), size_mb=1.0, pace=pace, read_factor=1.0)
        for pace in paces
    }
    return EngineProfile(step_ms=step_ms, event_tokens=event_tokens, accelerators=kinds)


def run_through(*names, last_event_at):
    """Return a run with an event every INTERVAL_S, the last one at a given time."""
    return Run(
        names,
        events=11,
        first_event_at=last_event_at - 10 * INTERVAL_S,
        progress_at=last_event_at,
        latest_event_at=last_event_at,
    )


class NeedsEarlyDetectionTest(AsyncTestCase):
    """Probes cost engines connections, so they start early only where they must."""

    def test_coarse_events_need_it(self):
        # 40 ms an event: 100 ms until all runs are overdue, 50 and 100 ms after that.
        self.assertTrue(needs_early_detection(profile(event_tokens=5), 0.24))
        self.assertFalse(needs_early_detection(profile(event_tokens=5), 0.26))

    def test_fine_events_do_not(self):
        self.assertFalse(needs_early_detection(profile(event_tokens=2), 0.2))

    def test_no_target_or_no_figures(self):
        self.assertFalse(needs_early_detection(profile(event_tokens=5), 0.0))
        self.assertFalse(needs_early_detection(None, 0.2))
        self.assertFalse(needs_early_detection(EngineProfile(event_tokens=5), 0.2))


class SuspectedEnginesTest(AsyncTestCase):
    """A lost engine must not be cleared by runs whose next event is not due yet."""

    def suspects(self, stalled, *others):
        runs = (stalled, *others)
        return suspected_engines(
            [stalled], lambda name: [run for run in runs if name in run.backend_ids]
        )

    def test_runs_that_are_not_overdue_clear_nothing(self):
        lost_at = 10.0
        stalled = run_through("a", "lost", last_event_at=lost_at - 0.07)
        # Its last event came just before the loss.
        other = run_through("b", "lost", last_event_at=lost_at - 0.001)
        self.assertEqual({"a": 1, "lost": 1}, dict(self.suspects(stalled, other)))

    def test_a_later_event_clears_an_engine(self):
        stalled = run_through("a", "lost", last_event_at=10.0)
        other = run_through("a", last_event_at=10.0 + 1.1 * INTERVAL_S)
        self.assertEqual({"lost": 1}, dict(self.suspects(stalled, other)))

    def test_a_run_before_its_first_event_clears_nothing(self):
        stalled = run_through("a", last_event_at=10.0)
        sent = Run(("a",), progress_at=11.0)
        self.assertEqual({"a": 1}, dict(self.suspects(stalled, sent)))

    def test_runs_of_an_engine_are_looked_at_once(self):
        # Guards against checks of the stall detector that take time proportional to the
        # square of the streams of a lost engine.
        runs = [run_through("a", "b", last_event_at=10.0) for _ in range(70)]
        asked = []

        def runs_on(name):
            asked.append(name)
            return runs

        counts = suspected_engines(runs, runs_on)
        self.assertEqual({"a": 70, "b": 70}, dict(counts))
        self.assertEqual(["a", "b"], asked)
