from bench.queues import CapacityServer, PrefixCache, VirtualClock, percentile
from wigeonscale.testing import AsyncTestCase


class QueuesTest(AsyncTestCase):
    def test_clock_runs_due_actions_in_order(self):
        clock, done = VirtualClock(), []
        clock.call_at(2.0, lambda: done.append(("late", clock.now())))
        clock.call_later(1.0, lambda: done.append(("early", clock.now())))
        clock.run(1.5)
        self.assertEqual([("early", 1.0)], done)
        clock.run(3.0)
        self.assertEqual([("early", 1.0), ("late", 2.0)], done)

    def test_server_limits_concurrency_and_reports_past_load(self):
        clock, ended = VirtualClock(), []
        server = CapacityServer(
            clock=clock,
            slots=2,
            service_s=lambda item: 1.0,
            done=lambda item: ended.append((item, clock.now())),
        )
        for item in "abc":
            server.put(item)
        clock.run(1.5)
        self.assertEqual([("a", 1.0), ("b", 1.0)], ended)
        then, now = server.load(1.0), server.load(0.0)
        self.assertEqual((2, 1), (then.running, then.queued))
        self.assertEqual((1, 0), (now.running, now.queued))

    def test_cache_evicts_the_least_recently_used(self):
        cache = PrefixCache(size=2)
        self.assertEqual((False, None), cache.access(b"x"))
        self.assertEqual((False, None), cache.access(b"y"))
        self.assertEqual((True, None), cache.access(b"x"))
        self.assertEqual((False, b"y"), cache.access(b"z"))

    def test_percentile(self):
        values = [float(value) for value in range(100)]
        self.assertEqual(95.0, percentile(values, 0.95))
        self.assertEqual(0.0, percentile([], 0.5))
