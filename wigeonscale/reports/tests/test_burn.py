import json
import pathlib
import sys
from unittest import mock

import fixtures

from wigeonscale.errors import WigeonscaleError
from wigeonscale.reports import BurnRecorder, Objective, draw_burn, merge_exports
from wigeonscale.reports.recorder import MAX_ORGANISATIONS
from wigeonscale.testing import AsyncTestCase, ManualClock

HALF = (
    Objective("success", 0.5),
    Objective("first_token", 0.5, 1.0),
    Objective("gap", 0.5, 0.05),
)


class BurnTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock(start=0.0)

    def recorder(self, **options):
        return BurnRecorder(clock=self.clock, objectives=HALF, **options)

    def totals(self, recorder, objective="success", organisation="press"):
        """Return the (events, bad) pairs of the short and the long window."""
        exported = json.loads(json.dumps(recorder.export()))
        counts = exported["organisations"].get(organisation)
        return counts and [tuple(counts[objective][w]) for w in ("short", "long")]

    def test_thresholds(self):
        recorder = self.recorder()
        recorder.record_request("press", True)
        recorder.record_request("press", False)
        recorder.record_first_token("press", 1.0)
        recorder.record_first_token("press", 1.1)
        recorder.record_gap("press", 0.04, 7)
        recorder.record_gap("press", 0.06, 2)
        self.assertEqual([(2, 1)] * 2, self.totals(recorder))
        self.assertEqual([(2, 1)] * 2, self.totals(recorder, "first_token"))
        self.assertEqual([(9, 2)] * 2, self.totals(recorder, "gap"))

    async def test_windows_slide(self):
        recorder = self.recorder()
        recorder.record_request("press", False)
        await self.clock.advance(299)
        recorder.record_request("press", True)
        self.assertEqual([(2, 1)] * 2, self.totals(recorder))
        await self.clock.advance(61)
        self.assertEqual([(1, 0), (2, 1)], self.totals(recorder))
        await self.clock.advance(3300)
        self.assertEqual([(0, 0), (2, 1)], self.totals(recorder))
        await self.clock.advance(600)
        self.assertIsNone(self.totals(recorder))

    async def test_long_silence_clears_every_slot(self):
        recorder = self.recorder()
        for _ in range(80):
            recorder.record_request("press", False)
            await self.clock.advance(60)
        await self.clock.advance(10**6)
        recorder.record_request("press", True)
        self.assertEqual([(1, 0)] * 2, self.totals(recorder))

    def test_number_of_organisations_is_limited(self):
        recorder = self.recorder(max_organisations=2)
        for name in ("press", "solo", "press", "third"):
            recorder.record_request(name, True)
        exported = recorder.export()
        self.assertEqual({"press", "third"}, set(exported["organisations"]))
        self.assertEqual(1, exported["dropped"])

    def test_memory_of_an_organisation_does_not_grow(self):
        recorder = self.recorder()
        recorder.record_request("press", True)
        counts = recorder._counts["press"]
        before = sys.getsizeof(counts._counts)
        for _ in range(1000):
            recorder.record_gap("press", 0.01, 10**9)
        self.assertEqual(before, sys.getsizeof(counts._counts))
        self.assertLess(before * MAX_ORGANISATIONS, 16 * 2**20)
        self.assertEqual(2**32 - 1, self.totals(recorder, "gap")[0][0])

    def test_merge(self):
        first, second = self.recorder(), self.recorder()
        first.record_request("press", False)
        second.record_request("press", True)
        second.record_request("solo", False)
        second.record_first_token("solo", 0.25)
        report = merge_exports([first.export(), second.export()])
        top, then = report.rows[:2]
        self.assertEqual(("solo", 2.0), (top.organisation, top.worst))
        self.assertEqual(("press", "success"), (then.organisation, then.objective.name))
        short = then.windows["short"]
        self.assertEqual((2, 1, 1.0), (short.events, short.bad, short.burn))
        self.assertAlmostEqual(
            0.25, report.percentiles["first_token"][95.0], delta=0.01
        )

    def test_malformed_export(self):
        self.assertRaises(ValueError, merge_exports, [{"windows": {}}])

    def test_picture(self):
        folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        recorder = self.recorder()
        recorder.record_request("press", False)
        draw_burn(merge_exports([recorder.export()]), str(folder / "burn.png"))
        self.assertEqual(b"\x89PNG", (folder / "burn.png").read_bytes()[:4])

    def test_picture_without_matplotlib(self):
        with mock.patch.dict("sys.modules", {"matplotlib.figure": None}):
            exc = self.assertRaises(
                WigeonscaleError, draw_burn, merge_exports([]), "/nowhere/x.png"
            )
        self.assertIn("needs matplotlib", exc.message)
