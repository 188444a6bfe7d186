from wigeonscale.config.tests.test_load import load
from wigeonscale.daemons.runtime import (
    LATE_STEP_TIMEOUT_S,
    late_step_timeout_s,
    shutdown_timeout_s,
)
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


class ShutdownTimeoutTest(AsyncTestCase):
    """Guards against a fixed shutdown timeout that ignores the platform's kill time."""

    def test_timeout_follows_half_and_double_the_kill_time(self):
        timeouts = []
        for killed_after_s in (4, 8, 16):
            text = ENTRY.format(killed_after_s=killed_after_s)
            cfg = load(self, text, "direct-entry")
            timeouts.append(shutdown_timeout_s(cfg.killed_after_s, cfg.stop_timeout_s))
        self.assertEqual([3.6, 7.2, 14.4], [round(timeout, 6) for timeout in timeouts])

    def test_unknown_kill_time(self):
        self.assertEqual(30.0, shutdown_timeout_s(0.0, 30.0))

    def test_late_steps_end_before_the_process_is_killed(self):
        for killed_after_s in (4.0, 8.0, 16.0):
            timeout_s = shutdown_timeout_s(killed_after_s, 30.0)
            left_s = killed_after_s - timeout_s
            self.assertTrue(late_step_timeout_s(killed_after_s) <= left_s / 2)
        self.assertEqual(LATE_STEP_TIMEOUT_S, late_step_timeout_s(0.0))
