"""Tests of the settle timer."""

from wigeonscale.control.settle_timer import MAX_SETTLE_PERIODS, SettleTimer
from wigeonscale.placement import EngineSpec
from wigeonscale.testing import AsyncTestCase, ManualClock

SETTLE_S = 0.5
REBUILD_AFTER_S = 10.0


class SettleTimerTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.timer = SettleTimer(
            clock=self.clock, settle_s=SETTLE_S, rebuild_after_s=REBUILD_AFTER_S
        )

    def observe(self, count):
        self.timer.observe([EngineSpec(f"e{n}", 1, "", "a") for n in range(count)])

    async def test_new_chains_wait_until_no_engine_joins(self):
        for count in (1, 2, 3):
            self.observe(count)
            await self.clock.advance(SETTLE_S / 2)
            self.observe(count)
            self.assertFalse(self.timer.may_load())
        await self.clock.advance(SETTLE_S / 2)
        self.assertTrue(self.timer.may_load())

    async def test_constantly_joining_engines_delay_chains_only_so_long(self):
        for count in range(1, 2 * MAX_SETTLE_PERIODS + 1):
            self.assertFalse(count > 1 and self.timer.may_load())
            self.observe(count)
            await self.clock.advance(SETTLE_S / 2)
        self.assertTrue(self.timer.may_load())

    async def test_rebuilds_wait_longer_and_also_after_losses(self):
        self.observe(3)
        await self.clock.advance(REBUILD_AFTER_S)
        self.assertTrue(self.timer.may_rebuild())
        self.observe(2)
        self.assertTrue(self.timer.may_load())
        self.assertFalse(self.timer.may_rebuild())
        await self.clock.advance(REBUILD_AFTER_S)
        self.assertTrue(self.timer.may_rebuild())
