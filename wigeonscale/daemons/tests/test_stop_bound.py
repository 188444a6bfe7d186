from wigeonscale.config.tests.test_load import load
from wigeonscale.daemons.runtime import CUT_GRACE_S, cut_bound_s, stop_bound_s
from wigeonscale.testing import AsyncTestCase

ENTRY = """
[node]
name = e
domain = a

[direct-entry]
listen = 127.0.0.1:1
http = 127.0.0.1:2
seeds = 127.0.0.1:3
internal_port = 4
killed_after_s = {killed_after_s}
"""


class StopBoundTest(AsyncTestCase):
    """The bound of a stop follows what the platform says, not a figure of one sheet."""

    def test_half_and_double_the_time_move_the_bound(self):
        bounds = []
        for killed_after_s in (4, 8, 16):
            text = ENTRY.format(killed_after_s=killed_after_s)
            cfg = load(self, text, "direct-entry")
            bounds.append(stop_bound_s(cfg.killed_after_s, cfg.stop_timeout_s))
        self.assertEqual([3.6, 7.2, 14.4], [round(bound, 6) for bound in bounds])

    def test_not_known(self):
        self.assertEqual(30.0, stop_bound_s(0.0, 30.0))

    def test_what_is_done_after_the_bound_ends_before_the_process_is_killed(self):
        for killed_after_s in (4.0, 8.0, 16.0):
            bound_s = stop_bound_s(killed_after_s, 30.0)
            left_s = killed_after_s - bound_s
            self.assertTrue(cut_bound_s(killed_after_s) <= left_s / 2)
        self.assertEqual(CUT_GRACE_S, cut_bound_s(0.0))
