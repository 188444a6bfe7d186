from wigeonscale.limits import NEW_REPORT, add_ages, count_newer, older_by
from wigeonscale.testing import AsyncTestCase


class ReportAgesTest(AsyncTestCase):
    """Guards against reports that count as newer than they are."""

    async def test_ages_are_rounded_up_at_each_hop(self):
        ages = older_by(older_by(NEW_REPORT, 0.21), 0.05)
        self.assertEqual([0, 0, 0, 0, 1], ages)
        self.assertEqual(0, count_newer(ages, 0.26))
        self.assertEqual(1, count_newer(ages, 0.41))

    async def test_exact_steps_are_not_rounded_up(self):
        self.assertEqual([0, 0, 0, 1], older_by(NEW_REPORT, 0.1 + 0.2))

    async def test_sum_of_lists_of_different_length(self):
        self.assertEqual([1, 2, 1], add_ages([1], add_ages([0, 2, 1], [])))

    async def test_very_old_reports_are_left_out(self):
        self.assertEqual(0, sum(older_by(NEW_REPORT, 60.0)))

    async def test_clock_that_goes_back(self):
        self.assertEqual([1], older_by(NEW_REPORT, -1.0))
