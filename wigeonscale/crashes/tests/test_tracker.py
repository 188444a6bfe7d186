import asyncio
from types import SimpleNamespace

from wigeonscale.crashes import (
    MAX_TRACKED_REQUESTS,
    CrashReport,
    CrashTracker,
    KnownCrashes,
    next_to_evict,
    prompt_part_key,
    refusal_s,
    report_crashes,
)
from wigeonscale.crashes.trials import GRANT_TIMEOUT_S
from wigeonscale.crashes.withdrawals import BACK_FOR_S
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.testing import AsyncTestCase, ManualClock

FINGERPRINT = b"it"
OTHER = b"other"


class CrashTrackerCase(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.serving = {f"s{n}" for n in range(9)}
        self.ended = set()
        self.tracker = self.new_tracker()

    def new_tracker(self, **fields):
        return CrashTracker(
            clock=self.clock,
            is_serving=self.serving.__contains__,
            has_ended=self.ended.__contains__,
            rng=SimpleNamespace(random=lambda: 0.0),
            **fields,
        )

    def crash(self, *names, fingerprint=FINGERPRINT):
        for name in names:
            self.tracker.note_aborted_start(fingerprint, name)
        self.ended.update(names)
        self.tracker.confirm_crashes()

    def known_crashes(self, *names, fingerprint=FINGERPRINT, age_s=0.0, span_s=9.0):
        return KnownCrashes(
            fingerprint=fingerprint, backends=names, age_s=age_s, span_s=span_s
        )


class RefusalTest(CrashTrackerCase):
    async def test_suspect_after_two_crashes_and_refused_after_three(self):
        self.crash("s1", "s2")
        self.assertTrue(self.tracker.is_suspect(FINGERPRINT))
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        await self.clock.advance(1.0)
        self.crash("s3")
        self.assertEqual(refusal_s(3), self.tracker.refusal_remaining_s(FINGERPRINT))
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))

    async def test_simultaneous_crashes_may_have_a_common_cause(self):
        """Copies of a popular request run on all servers of a rack that loses power."""
        self.crash("s1", "s2", "s3")
        self.assertEqual(5.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        await self.clock.advance(5.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.crash("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_simultaneous_crashes_in_an_update_from_control(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2", "s3", span_s=0.2)])
        self.assertEqual(5.0, self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_one_server_counts_once(self):
        self.crash("s1", "s1", "s2", "s2")
        self.tracker.apply_records([self.known_crashes("s1", "s2")])
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_crashes_seen_by_other_entries_are_added(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2")])
        self.crash("s3")
        self.assertEqual(refusal_s(3), self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_an_abort_without_a_crash_does_not_count(self):
        for name in ("s1", "s2", "s3"):
            self.tracker.note_aborted_start(FINGERPRINT, name)
        # At first it is not known whether they have ended.
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        await self.clock.advance(3.1)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.assertFalse(self.tracker.is_suspect(FINGERPRINT))

    async def test_a_leaving_server_does_not_count(self):
        self.serving.clear()
        self.crash("s1", "s2", "s3")
        self.assertFalse(self.tracker.is_suspect(FINGERPRINT))

    async def test_retried_when_the_refusal_has_expired(self):
        self.tracker.apply_records(
            [self.known_crashes("s1", "s2", "s3", age_s=refusal_s(3) - 1.0)]
        )
        self.assertAlmostEqual(1.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        await self.clock.advance(1.5)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.crash("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_a_completed_run_clears_the_request(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2")])
        self.crash("s3")
        self.tracker.clear_suspect(FINGERPRINT)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.assertEqual(CrashReport((), (FINGERPRINT,)), self.tracker.take_report())

    async def test_cleared_by_another_entry(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2", "s3")])
        self.tracker.apply_records([self.known_crashes()])
        self.assertFalse(self.tracker.is_suspect(FINGERPRINT))


class RetryTest(CrashTrackerCase):
    """A refusal has expired, and the request still crashes servers."""

    async def prepare(self):
        await super().prepare()
        self.tracker.apply_records(
            [self.known_crashes("s1", "s2", "s3", span_s=0.2, age_s=5.0)]
        )
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_retries_are_sent_singly(self):
        self.tracker.note_sent(FINGERPRINT)
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        await self.clock.advance(3.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_not_sent_again_before_the_outcome_is_known(self):
        self.tracker.note_aborted_start(FINGERPRINT, "s4")
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.ended.add("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_allowed_after_a_completed_run(self):
        self.tracker.note_sent(FINGERPRINT)
        self.tracker.clear_suspect(FINGERPRINT)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_other_requests_are_not_limited(self):
        self.tracker.note_sent(OTHER)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))


class RequestTrialTest(CrashTrackerCase):
    """Many entries have the request when its refusal expires."""

    async def prepare(self):
        await super().prepare()
        self.apply_crashes()

    def apply_crashes(self, **fields):
        record = KnownCrashes(
            fingerprint=FINGERPRINT,
            backends=("s1", "s2", "s3"),
            age_s=5.0,
            span_s=0.2,
            failed_trials=0,
            **fields,
        )
        self.tracker.apply_records([record])

    def is_refused(self):
        return self.tracker.refusal_remaining_s(FINGERPRINT) > 0

    async def test_one_entry_tries_it(self):
        self.assertTrue(self.is_refused())
        self.assertTrue(self.tracker.ask_for_trials([FINGERPRINT]))
        report = self.tracker.take_report()
        self.assertEqual((FINGERPRINT,), report.trials)
        self.apply_crashes(trial=report.trial_id)
        self.assertFalse(self.is_refused())
        self.tracker.note_sent(FINGERPRINT)
        self.assertTrue(self.is_refused())

    async def test_trial_of_another_entry_is_awaited(self):
        self.apply_crashes(trial="other entry")
        self.assertTrue(self.is_refused())
        self.assertFalse(self.tracker.ask_for_trials([FINGERPRINT]))

    async def test_tried_alone_if_control_does_not_answer(self):
        self.assertTrue(self.is_refused())
        await self.clock.advance(GRANT_TIMEOUT_S + 0.1)
        self.assertFalse(self.is_refused())
        self.tracker.note_sent(FINGERPRINT)
        self.assertTrue(self.is_refused())


class TieTest(CrashTrackerCase):
    """Another request was sent each time together with the one that crashes servers."""

    async def prepare(self):
        await super().prepare()
        both = ("s1", "s2", "s3")
        self.tracker.apply_records(
            [self.known_crashes(*both), self.known_crashes(*both, fingerprint=OTHER)]
        )

    async def test_both_are_refused_for_a_short_time_only(self):
        for fingerprint in (FINGERPRINT, OTHER):
            self.assertEqual(5.0, self.tracker.refusal_remaining_s(fingerprint))
        await self.clock.advance(5.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))

    async def test_the_next_crash_identifies_the_cause(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2", "s3", "s4")])
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(FINGERPRINT))

    async def test_crashes_not_shared_still_count(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2", "s3", "s4")])
        names = ("s3", "s5", "s6", "s7")
        self.tracker.apply_records([self.known_crashes(*names, fingerprint=OTHER)])
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(OTHER))
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(FINGERPRINT))


class ReportTest(CrashTrackerCase):
    async def test_crashes_are_reported_once(self):
        self.tracker.note_aborted_start(FINGERPRINT, "s1")
        self.crash("s2")
        self.assertEqual(
            CrashReport(((FINGERPRINT, "s2"),), ()), self.tracker.take_report()
        )
        self.assertEqual(CrashReport((), ()), self.tracker.take_report())

    async def test_a_failed_report_is_submitted_again(self):
        submitted = []

        async def submit(report):
            submitted.append(report)
            if len(submitted) == 1:
                raise WigeonscaleError(ErrorKind.NO_QUORUM, "nobody leads")

        task = asyncio.create_task(
            report_crashes(self.tracker, submit=submit, clock=self.clock)
        )
        self.crash("s1")
        for _ in range(200):
            await self.clock.advance(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual([CrashReport(((FINGERPRINT, "s1"),), ())] * 2, submitted)


class WithdrawalTest(CrashTrackerCase):
    """A server falls silent for some seconds, which is no crash."""

    async def prepare(self):
        await super().prepare()
        self.crash("s1", "s2", "s3")

    def return_all(self):
        self.ended.clear()
        self.tracker.confirm_crashes()

    async def test_returned_servers_refuse_nothing(self):
        self.assertTrue(self.tracker.refusal_remaining_s(FINGERPRINT) > 0)
        self.return_all()
        await self.clock.advance(3.1)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(FINGERPRINT))
        self.assertTrue(self.tracker.take_report().is_empty)

    async def test_reported_crashes_are_withdrawn_at_control(self):
        self.tracker.take_report()
        self.return_all()
        await self.clock.advance(BACK_FOR_S)
        report = self.tracker.take_report()
        self.assertEqual({"s1", "s2", "s3"}, set(report.withdrawn))
        self.tracker.restore_report(report)
        self.tracker.take_report()
        await self.clock.advance(BACK_FOR_S)
        self.assertEqual(3, len(self.tracker.take_report().withdrawn))
        self.assertTrue(self.tracker.take_report().is_empty)

    async def test_late_heartbeat_of_an_ended_server_withdraws_nothing(self):
        self.tracker.take_report()
        self.return_all()
        await self.clock.advance(BACK_FOR_S / 2)
        self.ended.update(("s1", "s2", "s3"))
        self.tracker.confirm_crashes()
        self.return_all()
        await self.clock.advance(BACK_FOR_S / 2)
        self.assertEqual((), self.tracker.take_report().withdrawn)

    async def test_record_without_crashes_is_no_good_run(self):
        part = prompt_part_key("model", "part")
        withdrawn = KnownCrashes(
            fingerprint=part, backends=(), age_s=0.0, span_s=0.0, failed_trials=0
        )
        self.tracker.apply_records([withdrawn])
        others = ("s4", "s5", "s6")
        self.tracker.apply_records([self.known_crashes(*others, fingerprint=part)])
        self.assertEqual(refusal_s(3), self.tracker.refusal_remaining_s(part))

    async def test_withdrawal_is_reported_without_another_event(self):
        reports = []

        async def submit(report):
            reports.append(report)

        task = asyncio.create_task(
            report_crashes(self.tracker, submit=submit, clock=self.clock)
        )
        await self.clock.advance(0.1)
        self.return_all()
        for _ in range(30):
            await self.clock.advance(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual([0, 3], [len(report.withdrawn) for report in reports])


class BoundTest(CrashTrackerCase):
    async def test_many_suspects_do_not_displace_refused_requests(self):
        self.tracker.apply_records([self.known_crashes("s1", "s2", "s3")])
        many = [
            self.known_crashes("s1", fingerprint=b"%d" % n)
            for n in range(2 * MAX_TRACKED_REQUESTS)
        ]
        self.tracker.apply_records(many)
        self.assertTrue(self.tracker.refusal_remaining_s(FINGERPRINT) > 0)
        known = sum(self.tracker.is_suspect(each.fingerprint) for each in many)
        self.assertEqual(MAX_TRACKED_REQUESTS - 1, known)

    async def test_own_suspicions_are_bounded(self):
        for number in range(2 * MAX_TRACKED_REQUESTS):
            self.tracker.note_aborted_start(b"%d" % number, "s1")
        known = [
            self.tracker.is_suspect(b"%d" % n) for n in range(2 * MAX_TRACKED_REQUESTS)
        ]
        self.assertEqual(MAX_TRACKED_REQUESTS, sum(known))

    async def test_the_oldest_is_dropped_if_all_are_refused(self):
        self.assertEqual(b"a", next_to_evict({b"a": 3, b"b": 4}))
        self.assertEqual(b"b", next_to_evict({b"a": 3, b"b": 2}))
