from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import OrganisationLimits
from wigeonscale.testing import AsyncTestCase, ManualClock


class OrganisationLimitsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.entry_count = 2
        self.limits = OrganisationLimits(
            clock=self.clock, entry_count=lambda: self.entry_count
        )

    def refused(self, **kwargs):
        exc = self.assertRaises(WigeonscaleError, self.limits.acquire, "org", **kwargs)
        self.assertEqual(ErrorKind.LIMIT_EXCEEDED, exc.kind)
        return exc

    def test_concurrency_is_divided_among_entries(self):
        permits = [self.limits.acquire("org", concurrency=4) for _ in range(2)]
        self.assertGreater(self.refused(concurrency=4).retry_after, 0.0)
        permits[0].release()
        self.limits.acquire("org", concurrency=4)

    def test_share_follows_count_of_entries(self):
        for _ in range(2):
            self.limits.acquire("org", concurrency=4)
        self.entry_count = 1
        self.limits.acquire("org", concurrency=4)

    def test_limit_below_entries_still_admits_one(self):
        self.entry_count = 5
        self.limits.acquire("org", concurrency=2)
        self.refused(concurrency=2)

    def test_release_counts_once(self):
        permit = self.limits.acquire("org", concurrency=2)
        permit.release()
        permit.release()
        self.assertEqual(0, self.limits.in_progress("org"))

    async def test_rate_is_enforced_and_retry_after_is_exact(self):
        for _ in range(2):
            self.limits.acquire("org", rate=4.0).release()
        exc = self.refused(rate=4.0)
        await self.clock.advance(exc.retry_after)
        self.limits.acquire("org", rate=4.0)

    async def test_rate_is_enforced_over_time(self):
        taken = 0
        for _ in range(400):
            await self.clock.advance(0.05)
            try:
                self.limits.acquire("org", rate=4.0).release()
                taken += 1
            except WigeonscaleError:
                pass
        self.assertIn(taken, range(40, 43))

    def test_organisations_are_independent(self):
        self.limits.acquire("org", concurrency=2)
        self.limits.acquire("other", concurrency=2)
        self.refused(concurrency=2)

    async def test_idle_organisations_are_dropped(self):
        kept = self.limits.acquire("kept", concurrency=2)
        for number in range(2000):
            self.limits.acquire(f"org{number}", rate=4.0).release()
            await self.clock.advance(0.1)
        self.assertLess(len(self.limits), 200)
        self.assertEqual(1, self.limits.in_progress("kept"))
        kept.release()
