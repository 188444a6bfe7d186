import testscenarios

from wigeonscale.pipelines.constants import (
    INITIAL_PREFILL_POSITIONS,
    MIN_PREFILL_POSITIONS,
)
from wigeonscale.pipelines.cost import MAX_EXTRAPOLATION_FACTOR, IterationCost
from wigeonscale.testing import AsyncTestCase


class IterationCostTest(testscenarios.WithScenarios, AsyncTestCase):
    scenarios = [
        ("flat", {"flat_s": 0.02, "each_s": 0.0, "share": 1.0}),
        ("by size", {"flat_s": 0.0, "each_s": 0.001, "share": 0.0}),
        ("mixed", {"flat_s": 0.016, "each_s": 0.001, "share": 0.5}),
    ]

    def test_fixed_share_is_estimated_from_two_sizes(self):
        cost = IterationCost()
        self.assertEqual(0.0, cost.fixed_cost_share(16))
        for size in (1, 5, 16, 17, 16, 1):
            cost.observe(size, self.flat_s + self.each_s * size)
        self.assertAlmostEqual(self.share, cost.fixed_cost_share(16), places=6)


class EstimateTest(AsyncTestCase):
    def test_one_size_class_gives_no_estimate(self):
        cost = IterationCost()
        cost.observe(8, 1.0)
        cost.observe(9, 1.0)
        self.assertEqual(0.0, cost.fixed_cost_share(8))

    def test_position_limit_grows_with_observed_sizes(self):
        cost = IterationCost()
        self.assertEqual(INITIAL_PREFILL_POSITIONS, cost.positions_within(0.01))
        # On a busy machine, small sizes may suggest that positions cost nothing.
        for size in (1, 8):
            cost.observe(size, 0.002)
        self.assertEqual(INITIAL_PREFILL_POSITIONS, cost.positions_within(0.01))
        cost.observe(INITIAL_PREFILL_POSITIONS, 0.002)
        self.assertEqual(
            MAX_EXTRAPOLATION_FACTOR * INITIAL_PREFILL_POSITIONS,
            cost.positions_within(0.01),
        )
        cost.observe(1001, 0.102)
        self.assertEqual(100, cost.positions_within(0.01))
        self.assertEqual(MIN_PREFILL_POSITIONS, cost.positions_within(0.0001))

    def test_later_times_replace_earlier_ones(self):
        cost = IterationCost()
        for size in (1, 16):
            cost.observe(size, 0.02)
        for _ in range(200):
            cost.observe(16, 0.32)
            cost.observe(1, 0.02)
        self.assertAlmostEqual(0.0, cost.fixed_cost_share(16), places=3)
