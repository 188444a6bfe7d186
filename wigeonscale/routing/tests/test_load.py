from types import SimpleNamespace

from wigeonscale.routing import LoadTable
from wigeonscale.testing import AsyncTestCase, ManualClock


def load_word(*, running=0, queued=0, slots=4, wait_s=0.0, leaving=False):
    return SimpleNamespace(
        running=running, queued=queued, slots=slots, wait_s=wait_s, leaving=leaving
    )


class LoadTableTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.table = LoadTable(clock=self.clock)

    def test_unknown_agent_has_no_wait(self):
        self.assertEqual(0.0, self.table.estimated_wait_s("a"))

    def test_own_requests_count_without_a_load_word(self):
        for _ in range(3):
            self.table.started("a")
        self.table.finished("a")
        self.assertEqual(2, self.table.in_flight("a"))
        self.assertEqual(2, self.table.backlog("a"))

    def test_requests_are_counted_by_organisation(self):
        self.table.started("a", "org")
        self.table.started("a", "other")
        self.table.finished("a", "other")
        self.assertEqual(1, self.table.in_flight_of("a", "org"))
        self.assertEqual(0, self.table.in_flight_of("a", "other"))

    def test_load_word_covers_all_entries(self):
        self.table.update_load("a", load_word(running=4, queued=4, wait_s=2.0))
        self.assertEqual(8, self.table.backlog("a"))
        self.assertAlmostEqual(2.5, self.table.estimated_wait_s("a"))

    def test_starts_since_the_load_word_are_added(self):
        self.table.started("a")
        self.table.update_load("a", load_word(running=3))
        self.table.started("a")
        self.assertEqual(4, self.table.backlog("a"))
        self.table.finished("a")
        self.table.finished("a")
        self.assertEqual(2, self.table.backlog("a"))

    async def test_late_load_word_is_compared_with_the_own_load_at_its_time(self):
        self.table.started("a")
        await self.clock.advance(1.0)
        self.table.started("a")
        self.table.update_load("a", load_word(running=5), age_s=0.5)
        others = self.table.backlog("a") - self.table.in_flight("a")
        # The load word reported 4 from other entries. With 4 per own request, the
        # estimate from the ratio is 8 by now.
        self.assertTrue(4 < others < 8, others)

    async def test_old_load_word_is_replaced_by_own_load_times_mean_ratio(self):
        self.table.started("a")
        self.table.update_load("a", load_word(running=4))
        await self.clock.advance(60.0)
        self.assertAlmostEqual(4.0, self.table.backlog("a"), places=3)
        self.table.finished("a")
        self.assertAlmostEqual(0.0, self.table.backlog("a"), places=3)

    async def test_load_word_older_than_the_last_one_is_ignored(self):
        self.table.update_load("a", load_word(running=3))
        self.table.update_load("a", load_word(running=9), age_s=2.0)
        self.assertEqual(3, self.table.backlog("a"))

    async def test_failures_decay_with_time_and_success(self):
        for _ in range(3):
            self.table.failed("a")
        self.assertAlmostEqual(3.0, self.table.failures("a"))
        await self.clock.advance(30.0)
        self.assertLess(self.table.failures("a"), 0.1)
        for _ in range(3):
            self.table.failed("a")
        for _ in range(20):
            self.table.succeeded("a")
        self.assertLess(self.table.failures("a"), 0.1)

    async def test_leaving_expires(self):
        # A restarted agent sends a new load word only after it has been used again.
        self.table.update_load("a", load_word(leaving=True))
        await self.clock.advance(5.0)
        self.assertTrue(self.table.leaving("a"))
        await self.clock.advance(6.0)
        self.assertFalse(self.table.leaving("a"))

    def test_leaving_and_forget(self):
        self.table.update_load("a", load_word(leaving=True))
        self.assertTrue(self.table.leaving("a"))
        self.table.forget("a")
        self.assertFalse(self.table.leaving("a"))
