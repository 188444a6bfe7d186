"""Checks of incomplete responses: violations, and each reason that excuses one."""

import signal

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.soak.deployment import SHUTDOWN_TIMEOUT_S, Start
from wigeonscale.testing.soak.responses import Request, ResponseChecker

DEADLINE_S = 6.0


class ResponseCase(AsyncTestCase):
    """One request, sent at 100 s to an entry process that was started at 50 s."""

    def setUp(self):
        super().setUp()
        self.checker = ResponseChecker()
        self.process = Start(number=1, started_at=50.0)

    def end(self, at, *, status=200, may_resume=False):
        """Return the violations if the connection ends at a time."""
        req = Request(
            request_id="r1",
            kind="stream",
            service="model",
            process=self.process,
            sent_at=100.0,
            deadline_s=DEADLINE_S,
            may_resume=may_resume,
            status=status,
            ended_at=at,
        )
        self.checker.incomplete[:] = [req]
        return self.checker.violations()

    def run_on(self, *servers, at=100.1):
        self.checker.arrived.add("r1")
        self.checker.record_run("r1", servers, at)


class EntryTest(ResponseCase):
    def test_neither_response_nor_reason(self):
        (line,) = self.end(101.0, status=None)
        self.assertEqual(
            "r1 (stream) got no response after 1.000 s, from start 1 at its age of"
            " 51.000 s; signals: none",
            line,
        )

    def test_begun_response_is_cut(self):
        (line,) = self.end(101.0)
        self.assertIn("got 200, cut after 1.000 s", line)

    def test_killed_entry(self):
        self.process.killed_at = 101.0
        self.assertEqual([], self.end(101.0))
        self.assertEqual(1, len(self.end(100.9)))

    def test_entry_that_ended_before_it_handled_signals(self):
        self.process.is_stopped = True
        self.process.stopped_at = 100.5
        self.checker.arrived.add("r1")
        self.assertEqual(1, len(self.end(101.0)))
        self.process.note_exit(-signal.SIGTERM)
        self.assertEqual([], self.end(101.0))

    def test_entry_that_ended_by_itself(self):
        self.process.note_exit(1)
        self.assertEqual([], self.end(self.process.killed_at + 0.1))
        self.assertEqual(1, len(self.end(self.process.killed_at - 0.1)))

    def test_graceful_exit_excuses_nothing(self):
        self.run_on("i")
        self.process.is_stopped = True
        self.process.stopped_at = 100.5
        self.process.note_exit(0)
        self.assertEqual(1, len(self.end(101.0)))

    def test_graceful_shutdown_has_time_for_each_request_until_it_times_out(self):
        self.run_on("i")
        self.process.stopped_at = 95.0
        self.assertEqual(1, len(self.end(95.0 + SHUTDOWN_TIMEOUT_S - 0.1)))
        self.assertEqual([], self.end(95.0 + SHUTDOWN_TIMEOUT_S))

    def test_unread_request_at_an_entry_that_stops(self):
        self.assertEqual(1, len(self.end(100.2, status=None)))
        self.process.stopped_at = 99.0
        self.assertEqual([], self.end(100.2, status=None))
        self.assertEqual(1, len(self.end(100.2, status=200)))
        self.assertEqual(1, len(self.end(102.5, status=None)))
        self.checker.arrived.add("r1")
        self.assertEqual(1, len(self.end(100.2, status=None)))

    def test_unread_request_at_an_entry_that_stops_after_a_pause(self):
        self.process.stopped_at = 99.0
        for start, end in ((99.0, 100.1), (100.0, 100.4)):
            self.process.pauses[:] = [(start, end)]
            self.assertEqual(1, len(self.end(102.5, status=None)))
        self.process.pauses[:] = [(99.5, 100.6)]
        self.assertEqual([], self.end(102.5, status=None))

    def test_hangup_and_pause_excuse_nothing(self):
        for signum in (signal.SIGHUP, signal.SIGSTOP, signal.SIGCONT):
            self.process.note_signal(signum)
        self.process.pauses[:] = [(100.2, 100.9)]
        for status in (200, None):
            self.assertEqual(1, len(self.end(101.0, status=status)))

    def test_signals_set_the_times_of_stop_and_kill(self):
        self.process.note_signal(signal.SIGTERM)
        stopped_at = self.process.stopped_at
        self.process.note_signal(signal.SIGTERM)
        self.process.note_signal(signal.SIGKILL)
        self.assertEqual(stopped_at, self.process.stopped_at)
        self.assertTrue(stopped_at <= self.process.killed_at < float("inf"))


class DeadlineTest(ResponseCase):
    def test_connection_ends_at_the_deadline(self):
        for status in (200, None):
            self.assertEqual([], self.end(105.98, status=status))
            self.assertEqual(1, len(self.end(105.9, status=status)))

    def test_connection_does_not_end(self):
        (line,) = self.end(107.0, status=None)
        self.assertIn("got no end after 7.000 s", line)

    def test_connection_of_a_paused_entry_does_not_end(self):
        for start, end in ((99.0, 99.9), (107.5, 108.0), (99.5, 100.1)):
            self.process.pauses[:] = [(start, end)]
            self.assertEqual(1, len(self.end(107.2)))
        for start, end in ((99.0, 100.5), (105.0, 106.0)):
            self.process.pauses[:] = [(start, end)]
            self.assertEqual([], self.end(107.2))


class ServerTest(ResponseCase):
    def test_any_server_of_the_path_is_lost(self):
        self.run_on("i", "j")
        self.checker.record_loss("model", "other", 100.5)
        self.assertEqual(1, len(self.end(101.0)))
        self.checker.record_loss("model", "j", 100.5)
        self.assertEqual([], self.end(101.0))
        self.assertEqual(1, len(self.end(100.4)))

    def test_server_was_lost_before_the_run(self):
        self.run_on("i")
        self.checker.record_loss("model", "i", 100.0)
        self.assertEqual(1, len(self.end(100.5)))

    def test_entry_must_refuse_before_it_has_begun_to_respond(self):
        self.run_on("i")
        self.checker.record_loss("model", "i", 100.5)
        self.assertEqual(1, len(self.end(101.0, status=None)))
        self.assertEqual(1, len(self.end(101.0, status=502)))

    def test_connections_of_the_first_server_are_reset(self):
        self.run_on("i", "j")
        self.checker.record_link_fault("model", "j", 100.5, 100.5)
        self.assertEqual(1, len(self.end(100.6)))
        self.checker.record_link_fault("model", "i", 100.5, 100.5)
        self.assertEqual([], self.end(100.6))
        self.assertEqual(1, len(self.end(100.4)))
        self.assertEqual(1, len(self.end(101.6)))

    def test_link_was_blocked_before_the_run(self):
        self.run_on("i")
        self.checker.record_link_fault("model", "i", 99.0, 100.0)
        self.assertEqual(1, len(self.end(100.5)))
        self.checker.record_link_fault("model", "i", 99.0, 100.2)
        self.assertEqual([], self.end(100.5))

    def test_resumable_stream_survives_the_loss_of_one_server(self):
        self.run_on("i")
        self.checker.record_loss("model", "i", 100.5)
        self.checker.record_loss("plain", "p", 100.5)
        self.assertEqual(1, len(self.end(101.0, may_resume=True)))
        self.checker.record_loss("model", "j", 97.9)
        self.assertEqual(1, len(self.end(101.0, may_resume=True)))
        self.checker.record_link_fault("model", "k", 100.9, 102.0)
        self.assertEqual([], self.end(101.0, may_resume=True))

    def test_resumable_stream_finds_no_other_server(self):
        self.run_on("i")
        self.checker.record_link_fault("model", "i", 100.2, 100.2)
        self.checker.record_loss("model", "j", 100.2)
        self.assertEqual([], self.end(103.1, may_resume=True))
        self.assertEqual(1, len(self.end(103.1)))
        self.assertEqual(1, len(self.end(103.3, may_resume=True)))

    def test_resumable_stream_whose_servers_are_all_there(self):
        self.run_on("i")
        for name in ("j", "k"):
            self.checker.record_loss("model", name, 100.5)
        self.assertEqual(1, len(self.end(101.0, may_resume=True)))
