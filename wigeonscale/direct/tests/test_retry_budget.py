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
            entries=lambda: entries,
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

    async def test_services_apart_and_windows_slide(self):
        budget = self.budget(ratio=0.0, slack=2)
        self.assertTrue(budget.try_spend("s"))
        self.assertFalse(budget.try_spend("s"))
        self.assertTrue(budget.try_spend("t"))
        await self.clock.advance(9.9)
        self.assertFalse(budget.try_spend("s"))
        await self.clock.advance(0.2)
        self.assertTrue(budget.try_spend("s"))


class Entries:
    """Entries that count apart, and what control tells them of all."""

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
                entries=lambda: count,
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
        told = [budget.report_sends()["s"] for budget in self.budgets]
        return {"s": (sum(r for r, _ in told), sum(f for _, f in told))}

    def tell(self, sums):
        for budget in self.budgets:
            budget.apply_totals(sums)


class CommonRestTest(AsyncTestCase):
    """A few entries need many further sends, while the others need none."""

    LOSERS = 7
    STREAMS = 12

    async def go_on(self, entries, *, told):
        """Return how many streams of the losers go on within a second."""
        left = dict.fromkeys(entries.budgets[: self.LOSERS], self.STREAMS)
        gone_on = 0
        for _ in range(3):
            if told:
                entries.tell(entries.sums())
            for budget in left:
                while left[budget] and budget.try_spend("s"):
                    left[budget] -= 1
                    gone_on += 1
            await entries.clock.advance(entries.REPORT_INTERVAL_S)
        return gone_on

    async def test_what_others_do_not_need_is_taken(self):
        self.assertEqual(42, await self.go_on(Entries(68), told=False))
        gone_on = await self.go_on(Entries(68), told=True)
        self.assertTrue(gone_on >= 78, gone_on)

    async def test_all_together_stay_below_the_bound_on_old_word(self):
        for count in (5, 29, 68, 300, 900):
            entries = Entries(count)
            before = entries.sums()
            spent = 0
            for _ in range(19):
                now = entries.sums()
                # Word of the others is one round late.
                entries.tell(before)
                before = now
                for budget in entries.budgets:
                    while budget.try_spend("s"):
                        spent += 1
                await entries.clock.advance(entries.REPORT_INTERVAL_S)
            self.assertTrue(spent <= entries.allowed, (count, spent, entries.allowed))

    async def test_without_fresh_word_each_has_its_equal_share(self):
        entries = Entries(68)
        entries.tell(entries.sums())
        await entries.clock.advance(3)
        budget = entries.budgets[0]
        spent = 0
        while budget.try_spend("s"):
            spent += 1
        self.assertEqual(6, spent)

    async def test_new_requests_leave_some_to_streams_that_were_begun(self):
        budget = Entries(68).budgets[0]
        while budget.try_spend("s", is_begun=False):
            pass
        self.assertTrue(budget.try_spend("s", is_begun=True))
