from wigeonscale.routing import RetryBudget
from wigeonscale.testing import AsyncTestCase, ManualClock


class RetryBudgetTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()

    def spend_all(self, budget):
        spent = 0
        while budget.try_spend():
            spent += 1
        return spent

    def test_retries_are_a_share_of_requests(self):
        budget = RetryBudget(clock=self.clock, ratio=0.1, floor_per_s=0.0)
        for _ in range(200):
            budget.record()
        self.assertIn(self.spend_all(budget), (19, 20))

    async def test_entry_without_traffic_may_retry(self):
        budget = RetryBudget(clock=self.clock, ratio=0.1, floor_per_s=1.0)
        self.assertEqual(1, self.spend_all(budget))
        await self.clock.advance(30.0)
        self.assertEqual(1, self.spend_all(budget))

    async def test_unused_retries_are_bounded_by_recent_traffic(self):
        budget = RetryBudget(clock=self.clock, ratio=0.1, floor_per_s=0.0)
        for _ in range(6000):
            await self.clock.advance(0.01)
            budget.record()
        # 100 requests per second for 60 s; 10 s of them add 100 retries.
        self.assertLessEqual(self.spend_all(budget), 100)

    async def test_old_traffic_adds_no_retries(self):
        budget = RetryBudget(clock=self.clock, ratio=0.1, floor_per_s=0.0)
        for _ in range(1000):
            budget.record()
        await self.clock.advance(60.0)
        self.assertEqual(0, self.spend_all(budget))
