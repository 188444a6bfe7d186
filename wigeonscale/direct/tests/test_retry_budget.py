from wigeonscale.direct import SharedRetryBudget
from wigeonscale.testing import AsyncTestCase, ManualClock


class BudgetTest(AsyncTestCase):
    def budget(self, *, ratio, slack, entries=1):
        self.clock = ManualClock()
        return SharedRetryBudget(
            clock=self.clock,
            ratio=ratio,
            slack=slack,
            window_s=10.0,
            entry_count=lambda: entries,
        )

    async def test_all_entries_together_stay_below_ratio_and_slack(self):
        ratio, slack, entries, requests = 0.2, 198, 4, 500
        spent = 0
        for _ in range(entries):
            budget = self.budget(ratio=ratio, slack=slack, entries=entries)
            for _ in range(requests):
                budget.record("s")
                while budget.try_spend("s"):
                    spent += 1
        self.assertTrue(spent <= ratio * requests * entries + slack, spent)
        self.assertTrue(spent >= 0.5 * (ratio * requests * entries + slack), spent)

    async def test_separate_services_and_sliding_window(self):
        budget = self.budget(ratio=0.0, slack=2)
        self.assertTrue(budget.try_spend("s"))
        self.assertFalse(budget.try_spend("s"))
        self.assertTrue(budget.try_spend("t"))
        await self.clock.advance(9.9)
        self.assertFalse(budget.try_spend("s"))
        await self.clock.advance(0.2)
        self.assertTrue(budget.try_spend("s"))


class Entries:
    """Entries with separate counts and the totals from control."""

    RATIO = 0.2
    SLACK = 320
    REQUESTS = 26
    REPORT_INTERVAL_S = 0.5

    def __init__(self, count):
        self.clock = ManualClock()
        self.budgets = [
            SharedRetryBudget(
                clock=self.clock,
                ratio=self.RATIO,
                slack=self.SLACK,
                window_s=10.0,
                entry_count=lambda: count,
            )
            for _ in range(count)
        ]
        for budget in self.budgets:
            for _ in range(self.REQUESTS):
                budget.record("s")

    @property
    def allowed(self):
        return self.RATIO * self.REQUESTS * len(self.budgets) + self.SLACK

    def sums(self):
        with_totals = [budget.report_sends()["s"] for budget in self.budgets]
        return {"s": (sum(r for r, _ in with_totals), sum(f for _, f in with_totals))}

    def apply_totals(self, sums):
        for budget in self.budgets:
            budget.apply_totals(sums)


class SharedPoolTest(AsyncTestCase):
    """A few entries need many retries, and the others need none."""

    AFFECTED_ENTRIES = 7
    STREAMS = 12

    async def retry_streams(self, entries, *, with_totals):
        """Return how many streams of the affected entries are retried."""
        left = dict.fromkeys(entries.budgets[: self.AFFECTED_ENTRIES], self.STREAMS)
        retried = 0
        for _ in range(3):
            if with_totals:
                entries.apply_totals(entries.sums())
            for budget in left:
                while left[budget] and budget.try_spend("s"):
                    left[budget] -= 1
                    retried += 1
            await entries.clock.advance(entries.REPORT_INTERVAL_S)
        return retried

    async def test_unused_budget_of_others_is_used(self):
        self.assertEqual(42, await self.retry_streams(Entries(68), with_totals=False))
        retried = await self.retry_streams(Entries(68), with_totals=True)
        self.assertTrue(retried >= 78, retried)

    async def test_stale_totals_stay_within_the_budget(self):
        for count in (5, 29, 68, 300, 900):
            entries = Entries(count)
            before = entries.sums()
            spent = 0
            for _ in range(19):
                now = entries.sums()
                # The totals are one round late.
                entries.apply_totals(before)
                before = now
                for budget in entries.budgets:
                    while budget.try_spend("s"):
                        spent += 1
                await entries.clock.advance(entries.REPORT_INTERVAL_S)
            self.assertTrue(spent <= entries.allowed, (count, spent, entries.allowed))

    async def test_equal_share_without_recent_totals(self):
        entries = Entries(68)
        entries.apply_totals(entries.sums())
        await entries.clock.advance(3)
        budget = entries.budgets[0]
        spent = 0
        while budget.try_spend("s"):
            spent += 1
        self.assertEqual(6, spent)

    async def test_reserve_for_begun_streams(self):
        budget = Entries(68).budgets[0]
        while budget.try_spend("s", is_begun=False):
            pass
        self.assertTrue(budget.try_spend("s", is_begun=True))
