from wigeonscale.direct import BackendRateLimits, NamedLimit
from wigeonscale.direct.rate_limits import MAX_DEMAND_SAMPLES
from wigeonscale.testing import AsyncTestCase, ManualClock

REPORT_INTERVAL_S = 0.5


def word(per_s, *, age_s=0.0, demands=None):
    return NamedLimit(backend_id="i", per_s=per_s, age_s=age_s, demands=demands or {})


def alike(*names):
    return {name: 8 for name in names}


class SendLimitsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.limits = self.new("one")

    def new(self, name, *, entries=4):
        return BackendRateLimits(name=name, clock=self.clock, entries=lambda: entries)

    def named(self, per_s):
        self.limits.note("i", per_s, sent_at=self.clock.now())

    async def sent_in(self, seconds, *, demands=None, step_s=0.05):
        """Return how many requests go out where there is always one."""
        sent = 0
        for step in range(round(seconds / step_s)):
            if demands is not None and step % round(REPORT_INTERVAL_S / step_s) == 0:
                self.limits.apply_reports(
                    [word(None, age_s=None, demands=demands)], tellers=4
                )
            if self.limits.may_send("i"):
                self.limits.note_sent("i")
                sent += 1
            await self.clock.advance(step_s)
        return sent

    async def test_without_a_limit_all_goes(self):
        self.assertTrue(self.limits.may_send("i"))
        self.limits.note_sent("i")
        self.assertTrue(self.limits.may_send("i"))
        self.assertEqual([], self.limits.report())

    async def test_one_that_is_alone_uses_most_of_it(self):
        self.named(10.0)
        sent = await self.sent_in(10.0, demands=alike("one"))
        self.assertTrue(70 <= sent <= 100, sent)

    async def test_requests_that_come_together_go_together(self):
        self.named(20.0)
        await self.sent_in(1.0, demands=alike("one"))
        await self.clock.advance(1.0)
        self.limits.apply_reports(
            [word(None, age_s=None, demands=alike("one"))], tellers=4
        )
        for _ in range(5):
            self.assertTrue(self.limits.may_send("i"))
            self.limits.note_sent("i")

    async def test_those_that_want_it_share_it(self):
        self.named(10.0)
        sent = await self.sent_in(10.0, demands=alike("one", "two", "three", "four"))
        self.assertTrue(15 <= sent <= 25, sent)

    async def test_where_too_many_want_it_a_few_have_it(self):
        names = tuple(f"e{number:02d}" for number in range(40))
        owners = 0
        for name in names:
            limits = self.new(name)
            limits.apply_reports([word(1.0, demands=alike(*names))], tellers=4)
            owners += limits.send_delay_s("i") < 100.0
        self.assertEqual(2, owners)

    async def test_who_has_the_most_requests_gets_the_most(self):
        self.named(10.0)
        sent = await self.sent_in(10.0, demands={"one": 30, "two": 3, "three": 2})
        self.assertTrue(60 <= sent <= 80, sent)

    async def test_a_larger_share_is_not_waited_for_as_long_as_a_small_one(self):
        self.named(2.0)
        self.limits.apply_reports([word(2.0, demands={"one": 1, "two": 63})], tellers=4)
        self.assertTrue(self.limits.send_delay_s("i") > 20.0)
        self.limits.apply_reports([word(2.0, demands={"one": 64, "two": 1})], tellers=4)
        self.assertTrue(self.limits.send_delay_s("i") < 1.0)

    async def test_without_word_from_control_each_takes_an_equal_part(self):
        self.named(2.0)
        sent = await self.sent_in(20.0)
        self.assertTrue(7 <= sent <= 10, sent)

    async def test_control_is_lost_in_between(self):
        # Those that do not share it now would all begin at once.
        self.named(2.0)
        self.limits.apply_reports([word(2.0, demands=alike("two"))], tellers=4)
        self.assertEqual(0, await self.sent_in(2.5))
        await self.clock.advance(0.1)
        self.assertEqual(0, await self.sent_in(2.0))
        self.assertTrue(await self.sent_in(10.0) > 0)

    async def test_word_of_some_entries_changes_no_share(self):
        self.named(2.0)
        everybody = alike("one", "two", "three", "four")
        self.limits.apply_reports([word(2.0, demands=everybody)], tellers=4)
        before_s = self.limits.send_delay_s("i")
        self.limits.apply_reports([word(2.0, demands=alike("one"))], tellers=3)
        self.assertEqual(before_s, self.limits.send_delay_s("i"))
        await self.clock.advance(3.0)
        self.limits.apply_reports([word(2.0, demands=alike("one"))], tellers=3)
        # By then it takes what each would get if all sent.
        self.assertTrue(self.limits.send_delay_s("i") >= 1.9)

    async def test_who_begins_to_share_it_waits_its_turn(self):
        self.named(2.0)
        self.limits.apply_reports([word(2.0, demands=alike("two", "three"))], tellers=4)
        await self.clock.advance(1.0)
        self.assertFalse(self.limits.may_send("i"))
        self.limits.apply_reports(
            [word(2.0, demands=alike("one", "two", "three"))], tellers=4
        )
        self.assertFalse(self.limits.may_send("i"))
        self.assertTrue(1.8 <= self.limits.send_delay_s("i") <= 1.9)

    async def test_it_ends_with_an_answer_that_names_none(self):
        self.named(1.0)
        self.named(None)
        self.assertTrue(self.limits.may_send("i"))
        (told,) = self.limits.report()
        self.assertIsNone(told.per_s)
        await self.clock.advance(60.0)
        self.assertEqual([], self.limits.report())

    async def test_an_answer_from_before_does_not_end_it(self):
        sent_at = self.clock.now()
        await self.clock.advance(0.1)
        self.named(1.0)
        self.limits.note("i", None, sent_at=sent_at)
        self.assertFalse(self.limits.may_send("i"))

    async def test_others_tell_that_it_began_and_ended(self):
        self.limits.apply_reports([word(1.0, age_s=0.3)], tellers=4)
        self.assertFalse(self.limits.may_send("i"))
        # It has nothing of its own to tell, but that it has work for the server.
        self.assertEqual([], self.limits.report())
        self.limits.note_demand("i")
        (told,) = self.limits.report()
        self.assertEqual((None, {"one": 1}), (told.age_s, told.demands))
        await self.clock.advance(1.0)
        self.limits.apply_reports([word(None, age_s=0.1)], tellers=4)
        self.assertTrue(self.limits.may_send("i"))

    async def test_older_word_changes_nothing(self):
        self.named(None)
        self.limits.apply_reports([word(None, age_s=0.1)], tellers=4)
        self.named(1.0)
        await self.clock.advance(1.0)
        self.limits.apply_reports([word(None, age_s=5.0)], tellers=4)
        self.assertFalse(self.limits.may_send("i"))

    async def test_nothing_at_all_is_asked_now_and_then(self):
        self.named(0.0)
        sent = await self.sent_in(60.0, demands=alike("one"))
        self.assertTrue(1 <= sent <= 12, sent)

    async def test_it_is_wanted_for_some_seconds(self):
        self.named(1.0)
        self.assertEqual({}, self.limits.report()[0].demands)
        self.limits.note_demand("i")
        self.limits.note_sent("i")
        self.assertEqual({"one": 2}, self.limits.report()[0].demands)
        await self.clock.advance(6.0)
        self.assertEqual({}, self.limits.report()[0].demands)

    def test_what_is_wanted_is_counted_up_to_a_bound(self):
        # An entry that is cut off from control tells nobody and forgets nothing.
        self.named(1.0)
        for _ in range(3 * MAX_DEMAND_SAMPLES):
            self.limits.note_demand("i")
        self.assertEqual({"one": MAX_DEMAND_SAMPLES}, self.limits.report()[0].demands)

    async def test_those_that_are_gone_are_forgotten(self):
        self.named(1.0)
        self.limits.keep_only([])
        self.assertTrue(self.limits.may_send("i"))
