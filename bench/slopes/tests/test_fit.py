from bench.slopes.fit import fit
from wigeonscale.testing import AsyncTestCase


class FitTest(AsyncTestCase):
    def test_points_on_a_line_have_no_residual(self):
        slope = fit("x", "watcher", "us", [(0, 5.0), (10, 25.0), (30, 65.0)])
        self.assertAlmostEqual(2.0, slope.slope)
        self.assertAlmostEqual(5.0, slope.intercept)
        self.assertAlmostEqual(0.0, slope.residual)

    def test_residual_is_the_root_mean_square_distance(self):
        slope = fit("x", "watcher", "us", [(0, 1.0), (1, -2.0), (2, 1.0)])
        self.assertAlmostEqual(0.0, slope.slope)
        self.assertAlmostEqual(2.0**0.5, slope.residual)
