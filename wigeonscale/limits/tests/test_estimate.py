import random

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits import WaitEstimator, check_deadline
from wigeonscale.testing import AsyncTestCase, ManualClock


class WaitEstimatorTest(AsyncTestCase):
    def test_wait_is_queue_over_rate(self):
        estimator = WaitEstimator(clock=ManualClock())
        for _ in range(10):
            estimator.finished(2.0)
        self.assertAlmostEqual(5.0, estimator.wait(10, 4))
        self.assertEqual(0.0, estimator.wait(0, 4))

    def test_follows_a_change(self):
        estimator = WaitEstimator(clock=ManualClock(), initial_s=50.0)
        estimator.finished(1.0)
        self.assertAlmostEqual(1.0, estimator.service_s)
        for _ in range(200):
            estimator.finished(3.0)
        self.assertAlmostEqual(3.0, estimator.service_s, places=2)

    def test_assumed_service_time_grows_with_deviation(self):
        even, uneven = (WaitEstimator(clock=ManualClock()) for _ in range(2))
        for number in range(200):
            even.finished(2.0)
            uneven.finished(1.0 if number % 2 else 3.0)
        self.assertAlmostEqual(2.0, even.admission_service_s(60.0), places=1)
        self.assertAlmostEqual(5.0, uneven.admission_service_s(60.0), delta=0.3)
        self.assertAlmostEqual(4.0, uneven.start_service_s(60.0), delta=0.3)

    def test_short_deadline_is_not_refused_for_deviation_alone(self):
        estimator = WaitEstimator(clock=ManualClock())
        for number in range(200):
            estimator.finished(1.0 if number % 2 else 3.0)
        self.assertAlmostEqual(2.5, estimator.admission_service_s(5.0))


class CheckDeadlineTest(AsyncTestCase):
    def test_request_within_its_deadline_is_admitted(self):
        check_deadline(wait_s=1.0, service_s=1.0, deadline_s=2.0)
        check_deadline(wait_s=100.0, service_s=1.0, deadline_s=None)

    def refusal(self, **kwargs):
        exc = self.assertRaises(WigeonscaleError, check_deadline, **kwargs)
        self.assertEqual(ErrorKind.OVERLOADED, exc.kind)
        self.assertEqual("not-run", exc.run_state)
        return exc

    def test_retry_after_is_when_the_backlog_has_drained(self):
        exc = self.refusal(wait_s=10.0, service_s=1.0, deadline_s=4.0)
        self.assertAlmostEqual(7.0, exc.retry_after)

    def test_retry_after_does_not_exceed_the_wait(self):
        exc = self.refusal(wait_s=2.0, service_s=30.0, deadline_s=4.0)
        self.assertAlmostEqual(2.0, exc.retry_after)

    def test_retry_after_has_jitter(self):
        rng = random.Random(1)
        times = {
            round(
                self.refusal(
                    wait_s=9.0, service_s=1.0, deadline_s=4.0, rng=rng
                ).retry_after,
                3,
            )
            for _ in range(20)
        }
        self.assertGreater(len(times), 10)
        self.assertTrue(all(6.0 <= seconds <= 12.0 for seconds in times))
