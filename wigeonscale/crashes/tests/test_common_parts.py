"""Entries report to control which prompt parts many of their runs share."""

import random
from types import SimpleNamespace

from wigeonscale.crashes.common_parts import (
    COUNT_WINDOW_S,
    MAX_COUNTED_PARTS,
    MAX_PARTS_PER_REPORT,
    MIN_RUNS,
    REFRESH_S,
    CommonParts,
)
from wigeonscale.testing import AsyncTestCase, ManualClock

SHARED = b"shared"
UPDATE_S = 0.05


class CommonPartsTest(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.common = self.new_parts()

    def new_parts(self, rng=None):
        rng = rng or SimpleNamespace(random=lambda: 0.0)
        return CommonParts(clock=self.clock, rng=rng)

    def run_parts(self, *parts, times=MIN_RUNS):
        for _ in range(times):
            self.common.note_run(parts)

    async def test_part_of_a_few_runs_is_reported_once(self):
        self.run_parts(SHARED, times=MIN_RUNS - 1)
        self.assertEqual((), self.common.take())
        self.run_parts(SHARED, times=1)
        self.assertTrue(self.common.is_due())
        self.assertEqual((SHARED,), self.common.take())
        self.run_parts(SHARED)
        self.assertEqual((), self.common.take())

    async def test_parts_of_few_among_many_runs_are_not_reported(self):
        """Each session has parts of its own."""
        for number in range(100):
            self.run_parts(SHARED, b"session %d" % number)
        self.assertEqual((SHARED,), self.common.take())

    async def test_part_known_to_control_is_not_reported(self):
        self.run_parts(SHARED)
        self.common.note_reported(SHARED, self.clock.now(), is_new=True)
        self.assertEqual((), self.common.take())

    async def test_reported_again_before_entries_forget_the_run(self):
        self.run_parts(SHARED)
        self.common.take()
        await self.clock.advance(REFRESH_S + 1.0)
        self.run_parts(SHARED)
        self.assertEqual((SHARED,), self.common.take())

    async def test_part_that_no_longer_runs_is_not_reported_again(self):
        self.run_parts(SHARED)
        self.common.take()
        await self.clock.advance(REFRESH_S + COUNT_WINDOW_S)
        self.run_parts(b"other")
        self.assertEqual((b"other",), self.common.take())

    async def test_failed_report_is_repeated(self):
        self.run_parts(SHARED)
        self.common.restore(self.common.take())
        self.assertEqual((SHARED,), self.common.take())

    async def test_report_is_bounded(self):
        parts = [b"part %d" % number for number in range(MAX_COUNTED_PARTS)]
        self.run_parts(SHARED, *parts)
        self.run_parts(SHARED, times=1)
        reported = self.common.take()
        self.assertEqual(MAX_PARTS_PER_REPORT, len(reported))
        # The most common first.
        self.assertEqual(SHARED, reported[0])

    async def test_load_of_many_entries_is_bounded(self):
        """Each entry has new parts all the time, and learns of reports late."""
        rng = random.Random(1)
        entries = [self.new_parts(rng) for _ in range(300)]
        reports, updates = [], []
        for step in range(400):
            await self.clock.advance(UPDATE_S)
            now = self.clock.now()
            for keys in updates:
                for entry in entries:
                    for key in keys:
                        entry.note_reported(key, now, is_new=True)
            updates = []
            for number, entry in enumerate(entries):
                if step % 20 == 0:
                    parts = [SHARED, b"session %d %d" % (number, step // 100)]
                    entry.note_run(parts)
                if entry.is_due():
                    updates.append(entry.take())
                    reports.append(now)
        # An update takes 50 ms here, and some ten entries report in that time.
        seconds = 400 * UPDATE_S
        self.assertTrue(len(reports) < 12 * seconds, len(reports))
