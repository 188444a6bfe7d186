import asyncio
from types import SimpleNamespace

from wigeonscale.crashes import (
    MAX_TRACKED_REQUESTS,
    CrashReport,
    CrashTracker,
    KnownCrashes,
    next_to_evict,
    refusal_s,
    report_crashes,
)
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.testing import AsyncTestCase, ManualClock

IT = b"it"
OTHER = b"other"


class CrashTrackerCase(AsyncTestCase):
    async def prepare(self):
        self.clock = ManualClock()
        self.serving = {f"s{n}" for n in range(9)}
        self.ended = set()
        self.tracker = self.new_tracker()

    def new_tracker(self):
        return CrashTracker(
            clock=self.clock,
            is_serving=self.serving.__contains__,
            has_ended=self.ended.__contains__,
            rng=SimpleNamespace(random=lambda: 0.0),
        )

    def crash(self, *names, fingerprint=IT):
        for name in names:
            self.tracker.note_lost(fingerprint, name)
        self.ended.update(names)
        self.tracker.confirm_crashes()

    def told(self, *names, fingerprint=IT, age_s=0.0, span_s=9.0):
        return KnownCrashes(
            fingerprint=fingerprint, backends=names, age_s=age_s, span_s=span_s
        )


class RefusalTest(CrashTrackerCase):
    async def test_two_crashes_make_a_suspect_and_the_third_refuses(self):
        self.crash("s1", "s2")
        self.assertTrue(self.tracker.is_suspect(IT))
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))
        await self.clock.advance(1.0)
        self.crash("s3")
        self.assertEqual(refusal_s(3), self.tracker.refusal_remaining_s(IT))
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))

    async def test_servers_that_end_at_once_may_have_ended_by_one_cause(self):
        """A request that many ask for runs on all servers of a rack without power."""
        self.crash("s1", "s2", "s3")
        self.assertEqual(5.0, self.tracker.refusal_remaining_s(IT))
        await self.clock.advance(5.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))
        self.crash("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(IT))

    async def test_the_same_by_word_of_control(self):
        self.tracker.take([self.told("s1", "s2", "s3", span_s=0.2)])
        self.assertEqual(5.0, self.tracker.refusal_remaining_s(IT))

    async def test_one_server_counts_once(self):
        self.crash("s1", "s1", "s2", "s2")
        self.tracker.take([self.told("s1", "s2")])
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))

    async def test_what_others_saw_counts_with_what_this_entry_saw(self):
        self.tracker.take([self.told("s1", "s2")])
        self.crash("s3")
        self.assertEqual(refusal_s(3), self.tracker.refusal_remaining_s(IT))

    async def test_a_server_that_only_broke_off_does_not_count(self):
        for name in ("s1", "s2", "s3"):
            self.tracker.note_lost(IT, name)
        # For a moment it is not known whether they ended.
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(IT))
        await self.clock.advance(3.1)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))
        self.assertFalse(self.tracker.is_suspect(IT))

    async def test_a_server_that_leaves_ends_by_intent(self):
        self.serving.clear()
        self.crash("s1", "s2", "s3")
        self.assertFalse(self.tracker.is_suspect(IT))

    async def test_it_is_tried_again_when_its_time_is_over(self):
        self.tracker.take([self.told("s1", "s2", "s3", age_s=refusal_s(3) - 1.0)])
        self.assertAlmostEqual(1.0, self.tracker.refusal_remaining_s(IT))
        await self.clock.advance(1.5)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))
        self.crash("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(IT))

    async def test_a_run_that_went_well_clears(self):
        self.tracker.take([self.told("s1", "s2")])
        self.crash("s3")
        self.tracker.note_ran(IT)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))
        self.assertEqual(CrashReport((), (IT,)), self.tracker.take_report())

    async def test_cleared_by_another_entry(self):
        self.tracker.take([self.told("s1", "s2", "s3")])
        self.tracker.take([self.told()])
        self.assertFalse(self.tracker.is_suspect(IT))


class TriedAgainTest(CrashTrackerCase):
    """The time of a refusal is over, and the request still crashes servers."""

    async def prepare(self):
        await super().prepare()
        self.tracker.take([self.told("s1", "s2", "s3", span_s=0.2, age_s=5.0)])
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))

    async def test_one_send_at_a_time(self):
        self.tracker.note_sent(IT)
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(IT))
        await self.clock.advance(3.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))

    async def test_not_sent_again_before_its_fate_is_known(self):
        self.tracker.note_lost(IT, "s4")
        self.assertEqual(3.0, self.tracker.refusal_remaining_s(IT))
        self.ended.add("s4")
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(IT))

    async def test_free_once_it_ran_well(self):
        self.tracker.note_sent(IT)
        self.tracker.note_ran(IT)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(IT))

    async def test_others_are_sent_as_often_as_they_like(self):
        self.tracker.note_sent(OTHER)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))


class TieTest(CrashTrackerCase):
    """Another request came each time together with the one that crashes servers."""

    async def prepare(self):
        await super().prepare()
        both = ("s1", "s2", "s3")
        self.tracker.take([self.told(*both), self.told(*both, fingerprint=OTHER)])

    async def test_both_are_held_for_a_moment_only(self):
        for fingerprint in (IT, OTHER):
            self.assertEqual(5.0, self.tracker.refusal_remaining_s(fingerprint))
        await self.clock.advance(5.0)
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))

    async def test_the_next_crash_tells_them_apart(self):
        self.tracker.take([self.told("s1", "s2", "s3", "s4")])
        self.assertEqual(0.0, self.tracker.refusal_remaining_s(OTHER))
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(IT))

    async def test_other_crashes_count_on(self):
        self.tracker.take([self.told("s1", "s2", "s3", "s4")])
        names = ("s3", "s5", "s6", "s7")
        self.tracker.take([self.told(*names, fingerprint=OTHER)])
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(OTHER))
        self.assertEqual(refusal_s(4), self.tracker.refusal_remaining_s(IT))


class TellingTest(CrashTrackerCase):
    async def test_ended_servers_are_told_once(self):
        self.tracker.note_lost(IT, "s1")
        self.crash("s2")
        self.assertEqual(CrashReport(((IT, "s2"),), ()), self.tracker.take_report())
        self.assertEqual(CrashReport((), ()), self.tracker.take_report())

    async def test_what_control_did_not_take_is_told_again(self):
        told = []

        async def submit(report):
            told.append(report)
            if len(told) == 1:
                raise WigeonscaleError(ErrorKind.NO_QUORUM, "nobody leads")

        task = asyncio.create_task(
            report_crashes(self.tracker, submit=submit, clock=self.clock)
        )
        self.crash("s1")
        for _ in range(200):
            await self.clock.advance(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual([CrashReport(((IT, "s1"),), ())] * 2, told)


class BoundTest(CrashTrackerCase):
    async def test_many_that_are_suspected_once_do_not_wash_out_the_refused(self):
        self.tracker.take([self.told("s1", "s2", "s3")])
        many = [
            self.told("s1", fingerprint=b"%d" % n)
            for n in range(2 * MAX_TRACKED_REQUESTS)
        ]
        self.tracker.take(many)
        self.assertTrue(self.tracker.refusal_remaining_s(IT) > 0)
        known = sum(self.tracker.is_suspect(each.fingerprint) for each in many)
        self.assertEqual(MAX_TRACKED_REQUESTS - 1, known)

    async def test_own_losses_are_bounded_too(self):
        for number in range(2 * MAX_TRACKED_REQUESTS):
            self.tracker.note_lost(b"%d" % number, "s1")
        known = [
            self.tracker.is_suspect(b"%d" % n) for n in range(2 * MAX_TRACKED_REQUESTS)
        ]
        self.assertEqual(MAX_TRACKED_REQUESTS, sum(known))

    async def test_the_oldest_goes_where_all_are_refused(self):
        self.assertEqual(b"a", next_to_evict({b"a": 3, b"b": 4}))
        self.assertEqual(b"b", next_to_evict({b"a": 3, b"b": 2}))
