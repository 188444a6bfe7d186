from wigeonscale.direct import BackendRateLimits, NamedLimit
from wigeonscale.direct.rate_limits import MAX_DEMAND_SAMPLES
from wigeonscale.testing import AsyncTestCase, ManualClock

REPORT_INTERVAL_S = 0.5


def report(per_s, *, age_s=0.0, demands=None):
    return NamedLimit(backend_id="i", per_s=per_s, age_s=age_s, demands=demands or {})


def equal_demands(*names):
    return {name: 8 for name in names}


class RateLimitsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limits = self.new("one")

    def new(self, name, *, entry_count=4):
        return BackendRateLimits(
            name=name, clock=self.clock, entry_count=lambda: entry_count
        )

    def receive_limit(self, per_s):
        self.limits.note("i", per_s, sent_at=self.clock.now())

    async def sent_in(self, seconds, *, demands=None, step_s=0.05):
        """Return how many requests are sent if there is always one to send."""
        sent = 0
        for step in range(round(seconds / step_s)):
            if demands is not None and step % round(REPORT_INTERVAL_S / step_s) == 0:
                self.limits.apply_reports(
                    [report(None, age_s=None, demands=demands)], reporting_entries=4
                )
            if self.limits.may_send("i"):
                self.limits.note_sent("i")
                sent += 1
            await self.clock.advance(step_s)
        return sent

    async def test_no_limit(self):
        self.assertTrue(self.limits.may_send("i"))
        self.limits.note_sent("i")
        self.assertTrue(self.limits.may_send("i"))
        self.assertEqual([], self.limits.report())

    async def test_single_entry_uses_most_of_the_limit(self):
        self.receive_limit(10.0)
        sent = await self.sent_in(10.0, demands=equal_demands("one"))
        self.assertTrue(70 <= sent <= 100, sent)

    async def test_burst(self):
        self.receive_limit(20.0)
        await self.sent_in(1.0, demands=equal_demands("one"))
        await self.clock.advance(1.0)
        self.limits.apply_reports(
            [report(None, age_s=None, demands=equal_demands("one"))],
            reporting_entries=4,
        )
        for _ in range(5):
            self.assertTrue(self.limits.may_send("i"))
            self.limits.note_sent("i")

    async def test_equal_demands_share_the_limit(self):
        self.receive_limit(10.0)
        sent = await self.sent_in(
            10.0, demands=equal_demands("one", "two", "three", "four")
        )
        self.assertTrue(15 <= sent <= 25, sent)

    async def test_few_entries_share_a_small_limit(self):
        names = tuple(f"e{number:02d}" for number in range(40))
        owners = 0
        for name in names:
            limits = self.new(name)
            limits.apply_reports(
                [report(1.0, demands=equal_demands(*names))], reporting_entries=4
            )
            owners += limits.send_delay_s("i") < 100.0
        self.assertEqual(2, owners)

    async def test_share_follows_demand(self):
        self.receive_limit(10.0)
        sent = await self.sent_in(10.0, demands={"one": 30, "two": 3, "three": 2})
        self.assertTrue(60 <= sent <= 80, sent)

    async def test_larger_share_shortens_the_wait(self):
        self.receive_limit(2.0)
        self.limits.apply_reports(
            [report(2.0, demands={"one": 1, "two": 63})], reporting_entries=4
        )
        self.assertTrue(self.limits.send_delay_s("i") > 20.0)
        self.limits.apply_reports(
            [report(2.0, demands={"one": 64, "two": 1})], reporting_entries=4
        )
        self.assertTrue(self.limits.send_delay_s("i") < 1.0)

    async def test_equal_share_without_reports(self):
        self.receive_limit(2.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(7 <= sent <= 10, sent)

    async def test_reports_become_stale(self):
        # Entries without a share must not all start to send at once.
        self.receive_limit(2.0)
        self.limits.apply_reports(
            [report(2.0, demands=equal_demands("two"))], reporting_entries=4
        )
        self.assertEqual(0, await self.sent_in(2.5))
        await self.clock.advance(0.1)
        self.assertEqual(0, await self.sent_in(2.0))
        self.assertTrue(await self.sent_in(10.0) > 0)

    async def test_incomplete_reports_do_not_change_shares(self):
        self.receive_limit(2.0)
        everybody = equal_demands("one", "two", "three", "four")
        self.limits.apply_reports([report(2.0, demands=everybody)], reporting_entries=4)
        before_s = self.limits.send_delay_s("i")
        self.limits.apply_reports(
            [report(2.0, demands=equal_demands("one"))], reporting_entries=3
        )
        self.assertEqual(before_s, self.limits.send_delay_s("i"))
        await self.clock.advance(3.0)
        self.limits.apply_reports(
            [report(2.0, demands=equal_demands("one"))], reporting_entries=3
        )
        # By then it uses an equal share among all entries.
        self.assertTrue(self.limits.send_delay_s("i") >= 1.9)

    async def test_new_sharer_waits_one_interval(self):
        self.receive_limit(2.0)
        self.limits.apply_reports(
            [report(2.0, demands=equal_demands("two", "three"))], reporting_entries=4
        )
        await self.clock.advance(1.0)
        self.assertFalse(self.limits.may_send("i"))
        self.limits.apply_reports(
            [report(2.0, demands=equal_demands("one", "two", "three"))],
            reporting_entries=4,
        )
        self.assertFalse(self.limits.may_send("i"))
        self.assertTrue(1.8 <= self.limits.send_delay_s("i") <= 1.9)

    async def test_response_without_limit_ends_it(self):
        self.receive_limit(1.0)
        self.receive_limit(None)
        self.assertTrue(self.limits.may_send("i"))
        (reported,) = self.limits.report()
        self.assertIsNone(reported.per_s)
        await self.clock.advance(60.0)
        self.assertEqual([], self.limits.report())

    async def test_earlier_response_does_not_end_it(self):
        sent_at = self.clock.now()
        await self.clock.advance(0.1)
        self.receive_limit(1.0)
        self.limits.note("i", None, sent_at=sent_at)
        self.assertFalse(self.limits.may_send("i"))

    async def test_reports_start_and_end_a_limit(self):
        self.limits.apply_reports([report(1.0, age_s=0.3)], reporting_entries=4)
        self.assertFalse(self.limits.may_send("i"))
        # It has no response of its own to report, only its demand.
        self.assertEqual([], self.limits.report())
        self.limits.note_demand("i")
        (reported,) = self.limits.report()
        self.assertEqual((None, {"one": 1}), (reported.age_s, reported.demands))
        await self.clock.advance(1.0)
        self.limits.apply_reports([report(None, age_s=0.1)], reporting_entries=4)
        self.assertTrue(self.limits.may_send("i"))

    async def test_older_report_is_ignored(self):
        self.receive_limit(None)
        self.limits.apply_reports([report(None, age_s=0.1)], reporting_entries=4)
        self.receive_limit(1.0)
        await self.clock.advance(1.0)
        self.limits.apply_reports([report(None, age_s=5.0)], reporting_entries=4)
        self.assertFalse(self.limits.may_send("i"))

    async def test_limit_of_zero_is_probed(self):
        self.receive_limit(0.0)
        sent = await self.sent_in(60.0, demands=equal_demands("one"))
        self.assertTrue(1 <= sent <= 12, sent)

    async def test_demand_expires(self):
        self.receive_limit(1.0)
        self.assertEqual({}, self.limits.report()[0].demands)
        self.limits.note_demand("i")
        self.limits.note_sent("i")
        self.assertEqual({"one": 2}, self.limits.report()[0].demands)
        await self.clock.advance(6.0)
        self.assertEqual({}, self.limits.report()[0].demands)

    def test_demand_count_is_bounded(self):
        # An entry that is cut off from control does not report, so nothing expires.
        self.receive_limit(1.0)
        for _ in range(3 * MAX_DEMAND_SAMPLES):
            self.limits.note_demand("i")
        self.assertEqual({"one": MAX_DEMAND_SAMPLES}, self.limits.report()[0].demands)

    async def test_servers_that_are_gone_are_dropped(self):
        self.receive_limit(1.0)
        self.limits.keep_only([])
        self.assertTrue(self.limits.may_send("i"))
