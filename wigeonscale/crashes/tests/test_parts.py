"""Requests that have only one part of their prompts in common crash servers."""

import asyncio

from wigeonscale.crashes import (
    MAX_TRACKED_REQUESTS,
    TRIAL_INTERVAL_S,
    CrashReport,
    KnownCrashes,
    crash_refusal,
    prompt_part_key,
    refusal_s,
    report_crashes,
    wait_for_trial,
)
from wigeonscale.crashes.common_parts import MIN_DELAY_S, MIN_RUNS
from wigeonscale.crashes.proven import (
    MAX_PROVEN_PARTS,
    PROVEN_RETENTION_S,
    ProvenParts,
)
from wigeonscale.crashes.tests.test_tracker import CrashTrackerCase
from wigeonscale.crashes.tracker import CLEAN_TRIAL_S
from wigeonscale.crashes.trials import (
    ACCOMPANIED_EARLY_TRIAL_DELAY_S,
    EARLY_TRIAL_DELAY_S,
    MAX_EARLY_TRIALS,
)
from wigeonscale.errors import ErrorKind, RunState

SHARED = prompt_part_key("model", "shared")
PART = prompt_part_key("model", "part")


class PartCase(CrashTrackerCase):
    def crash_with_parts(self, name, *parts):
        self.tracker.note_aborted_start(b"request at %s" % name.encode(), name, parts)
        self.ended.add(name)
        self.tracker.confirm_crashes()

    def refused_s(self, part):
        return self.tracker.refusal_remaining_s(part)


class PartRefusalTest(PartCase):
    async def test_part_is_refused_after_three_crashes_of_different_requests(self):
        self.tracker.clear_suspect(b"sound", [SHARED])
        for name in ("s1", "s2", "s3"):
            self.assertEqual(0.0, self.refused_s(PART))
            self.crash_with_parts(name, SHARED, PART)
            await self.clock.advance(1.0)
        self.assertEqual(refusal_s(3) - 1.0, self.refused_s(PART))
        refusal = crash_refusal(self.tracker, b"new", parts=(SHARED, PART))
        self.assertEqual(ErrorKind.CRASHES_BACKENDS, refusal.kind)
        self.assertEqual(RunState.NOT_RUN, refusal.run_state)
        self.assertIn(PART.hex(), refusal.message)

    async def test_part_that_has_run_before_is_not_refused_with_it(self):
        """All requests of a route share their first part."""
        self.tracker.clear_suspect(b"sound", [SHARED])
        self.tracker.apply_records(
            [
                self.known_crashes("s1", "s2", "s3", fingerprint=part)
                for part in (SHARED, PART)
            ]
        )
        self.assertEqual(0.0, self.refused_s(SHARED))
        self.assertEqual(refusal_s(3), self.refused_s(PART))
        self.assertIsNone(crash_refusal(self.tracker, b"sound", parts=(SHARED,)))

    async def test_request_interrupted_by_the_crashes_of_a_part_is_not_refused(self):
        self.tracker.apply_records(
            [
                self.known_crashes("s1", "s2", "s3", fingerprint=b"unlucky"),
                self.known_crashes("s1", "s2", "s3", "s4", fingerprint=PART),
            ]
        )
        self.assertIsNone(crash_refusal(self.tracker, b"unlucky", parts=(SHARED,)))

    async def test_part_with_which_a_request_runs_is_cleared(self):
        self.tracker.apply_records(
            [self.known_crashes("s1", "s2", "s3", fingerprint=PART)]
        )
        self.tracker.clear_suspect(b"sound", [PART])
        self.assertEqual(0.0, self.refused_s(PART))
        self.assertEqual(CrashReport((), (PART,)), self.tracker.take_report())

    async def test_part_cleared_by_another_entry_has_run_before(self):
        self.tracker.apply_records([self.known_crashes(fingerprint=SHARED)])
        both = ("s1", "s2", "s3")
        self.tracker.apply_records(
            [self.known_crashes(*both, fingerprint=part) for part in (SHARED, PART)]
        )
        self.assertEqual(0.0, self.refused_s(SHARED))

    async def test_broken_connections_do_not_refuse_a_part_that_has_run_before(self):
        """A reset of connections breaks the popular parts off at all servers."""
        self.tracker.clear_suspect(b"sound", [SHARED])
        for number in range(1, 9):
            name = f"s{number}"
            self.tracker.note_aborted_start(name.encode(), name, (SHARED,))
        self.assertEqual(0.0, self.refused_s(SHARED))

    async def test_parts_of_hostile_requests_do_not_displace_refused_ones(self):
        self.tracker.apply_records(
            [self.known_crashes("s1", "s2", "s3", fingerprint=PART)]
        )
        for number in range(100):
            keys = [prompt_part_key("model", f"{number}-{n}") for n in range(32)]
            self.tracker.apply_records(
                [self.known_crashes("s4", fingerprint=key) for key in keys]
            )
        self.assertEqual(refusal_s(3), self.refused_s(PART))

    async def test_own_evidence_is_bounded(self):
        for number in range(2 * MAX_TRACKED_REQUESTS):
            part = prompt_part_key("model", str(number))
            self.tracker.note_aborted_start(b"one", "s1", (part,))
        known = [
            self.tracker.is_suspect(prompt_part_key("model", str(number)))
            for number in range(2 * MAX_TRACKED_REQUESTS)
        ]
        self.assertTrue(sum(known) <= MAX_TRACKED_REQUESTS)

    async def test_proven_parts_are_bounded(self):
        parts = ProvenParts(clock=self.clock)
        for number in range(2 * MAX_PROVEN_PARTS):
            parts.note(b"%d" % number)
        known = [b"%d" % number in parts for number in range(2 * MAX_PROVEN_PARTS)]
        self.assertEqual(MAX_PROVEN_PARTS, sum(known))
        self.assertTrue(known[-1])


class RestartedEntryTest(PartCase):
    """An entry knows the runs of before its start from control only."""

    def know_crashes(self, **fields):
        both = ("s1", "s2", "s3")
        shared = KnownCrashes(
            fingerprint=SHARED, backends=both, age_s=0.0, span_s=9.0, **fields
        )
        self.tracker.apply_records(
            [shared, self.known_crashes(*both, fingerprint=PART)]
        )

    async def test_part_that_ran_before_the_start_is_not_refused(self):
        self.know_crashes(ran_age_s=30.0)
        self.assertEqual(0.0, self.refused_s(SHARED))
        self.assertEqual(refusal_s(3), self.refused_s(PART))

    async def test_run_of_long_ago_proves_nothing(self):
        self.know_crashes(ran_age_s=PROVEN_RETENTION_S + 1.0)
        self.assertTrue(self.refused_s(SHARED) > 0)

    async def test_common_part_is_known_before_its_first_crash(self):
        record = KnownCrashes(
            fingerprint=SHARED, backends=(), age_s=30.0, span_s=0.0, ran_age_s=30.0
        )
        self.tracker.apply_records([record])
        self.know_crashes()
        self.assertEqual(0.0, self.refused_s(SHARED))

    async def test_common_part_is_reported_to_control(self):
        for _ in range(MIN_RUNS):
            self.tracker.clear_suspect(b"sound", [SHARED])
            await self.clock.advance(1.0)
        await self.tracker.wait_for_report()
        report = self.tracker.take_report()
        self.assertEqual(CrashReport((), (), ran=(SHARED,)), report)
        self.tracker.restore_report(report)
        await self.clock.advance(MIN_DELAY_S)
        self.assertEqual((SHARED,), self.tracker.take_report().ran)


class ControlUnreachableTest(PartCase):
    """Control cannot confirm that servers have ended."""

    async def prepare(self):
        self.is_connected = False
        await super().prepare()

    def new_tracker(self):
        return super().new_tracker(is_connected=lambda: self.is_connected)

    async def test_own_evidence_is_kept_until_control_is_reachable(self):
        for name in ("s1", "s2", "s3"):
            self.tracker.note_aborted_start(name.encode(), name, (PART,))
            await self.clock.advance(4.0)
        self.assertTrue(self.refused_s(PART) > 0)
        self.ended.update({"s1", "s2", "s3"})
        self.is_connected = True
        await self.clock.advance(1.0)
        self.tracker.confirm_crashes()
        report = self.tracker.take_report()
        reported = {backend for key, backend in report.crashes if key == PART}
        self.assertEqual({"s1", "s2", "s3"}, reported)

    async def test_part_that_has_run_before_is_tried_without_control(self):
        """Its crashes were noticed before control was lost, and not reported yet."""
        self.tracker.clear_suspect(b"sound", [SHARED])
        for name in ("s1", "s2", "s3"):
            self.crash_with_parts(name, SHARED)
        await self.clock.advance(1.5)
        self.assertTrue(self.refused_s(SHARED) > 0)
        await self.clock.advance(2.5)
        self.assertEqual(0.0, self.refused_s(SHARED))
        self.tracker.note_sent(b"one", [SHARED])
        self.assertTrue(self.refused_s(SHARED) > 0)

    async def test_servers_that_have_not_ended_are_dropped_afterwards(self):
        for name in ("s1", "s2", "s3"):
            self.tracker.note_aborted_start(name.encode(), name, (PART,))
        await self.clock.advance(60.0)
        self.tracker.confirm_crashes()
        self.is_connected = True
        await self.clock.advance(2.0)
        self.assertTrue(self.refused_s(PART) > 0)
        await self.clock.advance(2.0)
        self.assertEqual(0.0, self.refused_s(PART))


class HeldBackReportTest(PartCase):
    """Popular parts are involved in each crash, but run well elsewhere."""

    async def prepare(self):
        await super().prepare()
        self.tracker.clear_suspect(b"sound", [SHARED])

    def reported(self):
        return [key for key, _ in self.tracker.take_report().crashes]

    async def test_popular_part_that_runs_elsewhere_is_not_reported(self):
        self.crash_with_parts("s1", SHARED, PART)
        self.assertEqual([b"request at s1", PART], self.reported())
        self.tracker.clear_suspect(b"sound", [SHARED])
        await self.clock.advance(5.0)
        self.assertEqual([], self.reported())

    async def test_part_that_no_longer_runs_is_reported_after_a_delay(self):
        reports = []

        async def submit(report):
            reports.append(report)

        task = asyncio.create_task(
            report_crashes(self.tracker, submit=submit, clock=self.clock)
        )
        self.crash_with_parts("s1", SHARED)
        for _ in range(60):
            await self.clock.advance(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        crashes = [report.crashes for report in reports]
        self.assertEqual([((b"request at s1", "s1"),), ((SHARED, "s1"),)], crashes)


class EarlyTrialTest(PartCase):
    """A part that has never run may be the one that all requests share."""

    async def prepare(self):
        await super().prepare()
        self.apply_crashes()

    def apply_crashes(self, *, crashes=3, failed_trials=0, age_s=0.0, **fields):
        record = KnownCrashes(
            fingerprint=SHARED,
            backends=tuple(f"s{number}" for number in range(crashes)),
            age_s=age_s,
            span_s=9.0,
            failed_trials=failed_trials,
            **fields,
        )
        self.tracker.apply_records([record])

    def ask(self, *others):
        keys = (b"one", SHARED, *others)
        refused = self.tracker.refused_keys(keys)
        self.assertIn(SHARED, refused)
        self.tracker.ask_for_trials(refused, keys=keys)
        return self.tracker.take_report()

    def is_accepted(self, *others):
        return not self.tracker.refused_keys((b"one", SHARED, *others))

    async def test_tried_long_before_the_refusal_expires(self):
        self.assertEqual((), self.ask().trials)
        refusal = crash_refusal(self.tracker, b"one", parts=[SHARED])
        self.assertEqual(EARLY_TRIAL_DELAY_S, refusal.retry_after)
        await self.clock.advance(EARLY_TRIAL_DELAY_S)
        report = self.ask()
        self.assertEqual((SHARED,), report.trials)
        self.assertFalse(self.is_accepted())
        self.apply_crashes(age_s=EARLY_TRIAL_DELAY_S, trial=report.trial_id)
        self.assertTrue(self.is_accepted())
        self.tracker.note_sent(b"one", [SHARED])
        self.assertFalse(self.is_accepted())

    async def test_good_trial_ends_the_refusal(self):
        self.tracker.clear_suspect(b"one", [SHARED])
        self.assertTrue(self.is_accepted())
        self.assertEqual((SHARED,), self.tracker.take_report().cleared)

    async def test_trial_is_not_sent_twice(self):
        """An update that arrives later may say that the grant is younger."""
        await self.clock.advance(EARLY_TRIAL_DELAY_S)
        trial_id = self.ask().trial_id
        self.apply_crashes(age_s=EARLY_TRIAL_DELAY_S, trial=trial_id)
        self.tracker.note_sent(b"one", [SHARED])
        await self.clock.advance(0.5)
        self.apply_crashes(age_s=EARLY_TRIAL_DELAY_S, trial=trial_id)
        self.assertFalse(self.is_accepted())

    async def test_request_with_another_suspect_is_tried_later(self):
        """Its crash would look like one under the shared part."""
        self.tracker.apply_records([self.known_crashes("s1", fingerprint=PART)])
        await self.clock.advance(EARLY_TRIAL_DELAY_S)
        self.assertEqual((), self.ask(PART).trials)
        report = self.ask()
        self.assertEqual((SHARED,), report.trials)
        self.apply_crashes(age_s=EARLY_TRIAL_DELAY_S, trial=report.trial_id)
        self.assertFalse(self.is_accepted(PART))
        self.assertTrue(self.is_accepted())
        await self.clock.advance(CLEAN_TRIAL_S)
        self.assertTrue(self.is_accepted(PART))

    async def test_next_trial_is_later_and_their_number_is_limited(self):
        for failed in range(MAX_EARLY_TRIALS):
            delay_s = EARLY_TRIAL_DELAY_S * 4.0**failed
            self.apply_crashes(failed_trials=failed)
            await self.clock.advance(delay_s - 0.1)
            self.assertEqual((), self.ask().trials)
            await self.clock.advance(0.1)
            self.assertEqual((SHARED,), self.ask().trials)
        self.apply_crashes(failed_trials=MAX_EARLY_TRIALS)
        self.assertEqual(refusal_s(3), self.refused_s(SHARED))
        await self.clock.advance(100.0)
        self.assertEqual((), self.ask().trials)

    async def test_fewer_trials_beside_a_part_that_has_run(self):
        """The refused part is then not the one that all requests share."""
        self.tracker.clear_suspect(b"sound", [PART])
        for crashes, failed, is_asked in ((4, 1, True), (5, 2, False), (6, 1, False)):
            self.apply_crashes(crashes=crashes, failed_trials=failed, age_s=300.0)
            self.assertEqual(is_asked, bool(self.ask(PART).trials))

    async def test_later_trial_beside_a_part_that_has_run(self):
        """Each crash may interrupt all requests of a small site for seconds."""
        self.tracker.clear_suspect(b"sound", [PART])
        await self.clock.advance(ACCOMPANIED_EARLY_TRIAL_DELAY_S - 0.1)
        self.assertEqual((), self.ask(PART).trials)
        await self.clock.advance(0.1)
        self.assertEqual((SHARED,), self.ask(PART).trials)

    async def test_asked_again_after_a_crash_under_another_entry(self):
        await self.clock.advance(EARLY_TRIAL_DELAY_S)
        self.assertEqual((SHARED,), self.ask().trials)
        self.apply_crashes(crashes=4)
        await self.clock.advance(EARLY_TRIAL_DELAY_S)
        self.assertEqual((SHARED,), self.ask().trials)

    async def test_control_of_an_older_version_grants_none(self):
        self.apply_crashes(failed_trials=None, age_s=20.0)
        self.assertEqual((), self.ask().trials)
        self.assertEqual(refusal_s(3) - 20.0, self.refused_s(SHARED))

    async def test_own_crashes_of_before_a_good_run_elsewhere_are_dropped(self):
        for name in ("s4", "s5", "s6"):
            self.crash_with_parts(name, SHARED)
        self.tracker.take_report()
        self.tracker.apply_records([self.known_crashes(fingerprint=SHARED)])
        self.assertTrue(self.is_accepted())
        self.assertFalse(self.tracker.is_suspect(SHARED))


class TrialTest(PartCase):
    """The refusal of a part has expired."""

    async def prepare(self):
        await super().prepare()
        self.apply_crashes()

    def apply_crashes(self, **fields):
        age_s = refusal_s(3)
        record = KnownCrashes(
            fingerprint=PART,
            backends=("s1", "s2", "s3"),
            age_s=age_s,
            span_s=9.0,
            **fields,
        )
        self.tracker.apply_records([record])

    def ask(self, *others):
        self.assertTrue(self.refused_s(PART) > 0)
        self.tracker.ask_for_trials([PART, *others])
        return self.tracker.take_report()

    async def test_nothing_is_sent_before_control_grants_the_trial(self):
        report = self.ask()
        self.assertEqual((PART,), report.trials)
        self.assertTrue(self.refused_s(PART) > 0)
        # Asked once.
        self.assertEqual((), self.ask().trials)
        self.apply_crashes(trial=report.trial_id)
        self.assertEqual(0.0, self.refused_s(PART))

    async def test_one_request_is_sent_per_grant(self):
        self.apply_crashes(trial=self.ask().trial_id)
        self.tracker.note_sent(b"one", [PART])
        self.assertTrue(self.refused_s(PART) > 0)

    async def test_request_that_did_not_run_was_no_trial(self):
        self.apply_crashes(trial=self.ask().trial_id)
        self.tracker.note_sent(b"one", [PART])
        self.tracker.note_not_run([PART])
        self.assertEqual(0.0, self.refused_s(PART))

    async def test_trial_of_another_entry_is_awaited(self):
        self.apply_crashes(trial="other entry", trial_age_s=1.0)
        self.assertEqual((), self.ask().trials)
        await self.clock.advance(TRIAL_INTERVAL_S)
        self.assertEqual((PART,), self.ask().trials)

    async def test_request_with_one_refused_part_asks_first(self):
        """A trial with two refused parts does not show which is the cause."""
        self.assertEqual((), self.ask(SHARED).trials)
        await self.clock.advance(TRIAL_INTERVAL_S)
        self.assertEqual((PART,), self.ask(SHARED).trials)

    async def test_request_waits_for_the_answer_of_control(self):
        task = asyncio.create_task(wait_for_trial(self.tracker, b"one", [PART]))
        await self.tracker.wait_for_report()
        self.apply_crashes(trial=self.tracker.take_report().trial_id)
        await task
        self.assertIsNone(crash_refusal(self.tracker, b"one", parts=[PART]))

    async def test_request_refused_for_longer_does_not_wait(self):
        names = ("s1", "s2", "s3", "s4")
        self.tracker.apply_records([self.known_crashes(*names, fingerprint=PART)])
        await wait_for_trial(self.tracker, b"one", [PART])
        refusal = crash_refusal(self.tracker, b"one", parts=[PART])
        self.assertEqual(refusal_s(4), refusal.retry_after)

    async def test_grant_that_was_not_used_expires(self):
        self.apply_crashes(trial=self.ask().trial_id)
        await self.clock.advance(3.5)
        self.assertTrue(self.refused_s(PART) > 0)

    async def test_failed_question_is_asked_again(self):
        report = self.ask()
        self.tracker.restore_report(report)
        self.assertEqual(report, self.tracker.take_report())

    async def test_part_that_never_ran_stays_refused_without_a_grant(self):
        self.ask()
        for _ in range(20):
            await self.clock.advance(1.0)
            self.assertTrue(self.refused_s(PART) > 0)

    async def test_part_that_has_run_before_is_tried_without_a_grant(self):
        """Control of an older version grants no trials."""
        self.tracker.clear_suspect(b"sound", [PART])
        self.apply_crashes()
        self.ask()
        await self.clock.advance(1.0)
        self.assertTrue(self.refused_s(PART) > 0)
        await self.clock.advance(1.5)
        self.assertEqual(0.0, self.refused_s(PART))
        self.tracker.note_sent(b"one", [PART])
        self.assertTrue(self.refused_s(PART) > 0)
