import testscenarios

from wigeonscale.pipelines.cost import IterationCost
from wigeonscale.testing import AsyncTestCase


class IterationCostTest(testscenarios.WithScenarios, AsyncTestCase):
    scenarios = [
        ("flat", {"flat_s": 0.02, "each_s": 0.0, "share": 1.0}),
        ("by size", {"flat_s": 0.0, "each_s": 0.001, "share": 0.0}),
        ("mixed", {"flat_s": 0.016, "each_s": 0.001, "share": 0.5}),
    ]

    def test_share_is_learnt_from_two_sizes(self):
        cost = IterationCost()
        self.assertEqual(0.0, cost.flat_share(16))
        for size in (1, 5, 16, 17, 16, 1):
            cost.observe(size, self.flat_s + self.each_s * size)
        self.assertAlmostEqual(self.share, cost.flat_share(16), places=6)


class LearningTest(AsyncTestCase):
    def test_one_size_says_nothing(self):
        cost = IterationCost()
        cost.observe(8, 1.0)
        cost.observe(9, 1.0)
        self.assertEqual(0.0, cost.flat_share(8))

    def test_later_times_replace_earlier_ones(self):
        cost = IterationCost()
        for size in (1, 16):
            cost.observe(size, 0.02)
        for _ in range(200):
            cost.observe(16, 0.32)
            cost.observe(1, 0.02)
        self.assertAlmostEqual(0.0, cost.flat_share(16), places=3)
