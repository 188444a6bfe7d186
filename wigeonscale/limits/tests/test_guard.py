from wigeonscale.limits import ConcurrencyGuard
from wigeonscale.testing import AsyncTestCase, ManualClock


def throughput(running):
    """A backend server that is best at 20 requests at once."""
    return running if running <= 20 else max(1.0, 40.0 - running)


class ConcurrencyGuardTest(AsyncTestCase):
    async def run_windows(self, guard, clock, count, *, running=None):
        limits = []
        for _ in range(count):
            now_running = running or guard.limit
            guard.started(now_running)
            await clock.advance(1.0)
            for _ in range(20):
                guard.finished(throughput(now_running) / 20)
            limits.append(guard.limit)
        return limits

    async def test_climbs_to_the_best_throughput(self):
        clock = ManualClock()
        guard = ConcurrencyGuard(clock=clock, high=36)
        limits = await self.run_windows(guard, clock, 60)
        settled = limits[20:]
        self.assertTrue(all(14 <= limit <= 26 for limit in settled), settled)

    async def test_idle_server_keeps_its_limit(self):
        clock = ManualClock()
        guard = ConcurrencyGuard(clock=clock, high=36)
        limits = await self.run_windows(guard, clock, 10, running=3)
        self.assertEqual({36}, set(limits))
