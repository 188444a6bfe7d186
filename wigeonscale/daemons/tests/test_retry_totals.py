import dataclasses

from wigeonscale.daemons.load_exchange import apply_load_totals, build_load_report
from wigeonscale.direct import SharedRetryBudget
from wigeonscale.direct.tests.support import EntryHarness
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class RetryTotalsTest(AsyncTestCase):
    def entry(self, *, has_classes):
        harness = EntryHarness()
        self.clock = harness.clock
        self.budget = SharedRetryBudget(
            clock=self.clock,
            ratio=0.0,
            slack=20,
            window_s=10.0,
            entry_count=lambda: 2,
            has_classes=lambda service: has_classes,
        )
        self.budget.record("s")
        return dataclasses.replace(harness.ctx, budget=self.budget)

    def totals(self, **fields):
        sends = wire.ServiceSends(service="s", requests=2, **fields)
        return wire.Loads(sends=[sends], tellers=2)

    async def test_denied_retry_is_reported_for_two_seconds(self):
        # Guards against entries whose need for retries the others never see.
        ctx = self.entry(has_classes=True)
        self.assertEqual(0, build_load_report(ctx).sends[0].wanting)
        self.assertFalse(self.budget.try_spend("s"))
        self.assertEqual(1, build_load_report(ctx).sends[0].wanting)
        await self.clock.advance(2.1)
        self.assertEqual(0, build_load_report(ctx).sends[0].wanting)

    async def test_wanting_entries_lower_the_claim_of_the_others(self):
        # Guards against totals whose field is not applied.
        ctx = self.entry(has_classes=True)
        self.assertEqual(7, build_load_report(ctx).sends[0].further)
        apply_load_totals(ctx, self.totals(further=14, wanting=1))
        self.assertEqual(2, build_load_report(ctx).sends[0].further)
        # Control of an older version sends no such field.
        apply_load_totals(ctx, self.totals(further=14))
        self.assertEqual(7, build_load_report(ctx).sends[0].further)

    async def test_without_classes_retries_are_reported(self):
        # Guards against another report for a service without traffic classes.
        ctx = self.entry(has_classes=False)
        while self.budget.try_spend("s"):
            pass
        apply_load_totals(ctx, self.totals(further=14, wanting=1))
        (sends,) = build_load_report(ctx).sends
        self.assertEqual((1, 7, 0), (sends.requests, sends.further, sends.wanting))
