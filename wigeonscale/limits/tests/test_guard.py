from wigeonscale.limits import ConcurrencyGuard
from wigeonscale.testing import AsyncTestCase

HIGH = 32


class SteppedClock:
    """A clock that is advanced manually and does not support sleeping."""

    def __init__(self):
        self._now = 0.0

    def now(self):
        return self._now

    def advance(self, seconds):
        self._now += seconds


def collapsing(running):
    """Seconds per request of a server that is best at 16 concurrent requests."""
    return 1.0 if running <= 16 else (running / 16) ** 2


def healthy(running):
    """Seconds per request of a server whose speed does not depend on concurrency."""
    return 1.0


class ConcurrencyGuardTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.clock = SteppedClock()
        self.guard = ConcurrencyGuard(clock=self.clock, high=HIGH)

    def run_requests(self, count, service_s, *, running=None):
        for _ in range(count):
            now_running = running or self.guard.limit
            self.clock.advance(service_s(now_running) / now_running)
            self.guard.finished(now_running, service_s(now_running))

    def test_limits_a_collapsing_server_to_its_best_concurrency(self):
        self.run_requests(2500, collapsing)
        self.assertIn(self.guard.limit, (13, 18))

    def test_healthy_server_keeps_its_slots(self):
        self.run_requests(2500, healthy)
        self.assertEqual(HIGH, self.guard.limit)

    def test_recovered_server_regains_its_slots(self):
        self.run_requests(2500, collapsing)
        self.run_requests(20_000, healthy)
        self.assertEqual(HIGH, self.guard.limit)

    def test_idle_server_keeps_its_limit(self):
        self.run_requests(2500, healthy, running=3)
        self.assertEqual(HIGH, self.guard.limit)
