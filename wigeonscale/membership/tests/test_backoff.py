import random

from wigeonscale.membership import Backoff
from wigeonscale.testing import AsyncTestCase

WATCHERS = 9000


class BackoffTest(AsyncTestCase):
    def test_retries_of_many_watchers_are_spread_evenly(self):
        backoffs = [Backoff(rng=random.Random(seed)) for seed in range(WATCHERS)]
        for each in backoffs:
            for _ in range(6):
                each.next_wait()
        waits = [each.next_wait() for each in backoffs]
        tenths = [0] * 10
        for wait_s in waits:
            tenths[int(wait_s / 5.0 * 10)] += 1
        self.assertLess(max(tenths), WATCHERS * 0.12)
        self.assertGreater(min(tenths), WATCHERS * 0.08)

    def test_bound_doubles_up_to_the_cap_and_is_reset(self):
        rng = random.Random(0)
        rng.uniform = lambda low, high: high
        backoff = Backoff(rng=rng, base_s=0.1, cap_s=0.5)
        waits = [backoff.next_wait() for _ in range(4)]
        self.assertEqual([0.1, 0.2, 0.4, 0.5], waits)
        backoff.reset()
        self.assertEqual(0.1, backoff.next_wait())

    def test_many_failures_do_not_overflow(self):
        backoff = Backoff(rng=random.Random(0), cap_s=5.0)
        self.assertLessEqual(max(backoff.next_wait() for _ in range(5000)), 5.0)
