from wigeonscale.crashes import (
    MAX_COMMON_PARTS,
    MAX_CRASHES_PER_REQUEST,
    MAX_TRACKED_REQUESTS,
    TRIAL_INTERVAL_S,
    retention_s,
)
from wigeonscale.state import ControlState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


def crash(fingerprint, backend):
    return wire.Crash(fingerprint=fingerprint, backend=backend)


class RecordsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.state = ControlState()
        self.changes = []
        self.state.changes.subscribe(self.changes.append)
        self.wall_ms = 1_000_000

    def record(self, *crashes, **fields):
        found = wire.RecordCrashes(crashes=crashes, **fields)
        command = wire.Command(wall_ms=self.wall_ms, record_crashes=found)
        self.state.apply(self.state.index + 1, 1, command.SerializeToString())

    def known(self, index=0):
        records = self.state.crashes.after(index)
        return {record.fingerprint: list(record.backends) for record in records}

    def test_crashes_of_one_request_are_collected(self):
        self.record(crash(b"a", "s1"), crash(b"b", "s1"))
        self.record(crash(b"a", "s2"))
        self.assertEqual({b"a": ["s1", "s2"], b"b": ["s1"]}, self.known())
        # A watcher gets only the records that changed after its index.
        self.assertEqual({b"a": ["s1", "s2"]}, self.known(index=1))
        self.assertEqual([True, True], [change.crashes for change in self.changes])

    def test_times_of_the_first_and_the_last_crash(self):
        self.record(crash(b"a", "s1"))
        self.wall_ms += 2500
        self.record(crash(b"a", "s2"))
        (record,) = self.state.crashes.after(0)
        self.assertEqual(2500, record.wall_ms - record.first_ms)
        self.record(cleared=[b"a"])
        self.wall_ms += 100
        self.record(crash(b"a", "s3"))
        (record,) = self.state.crashes.after(0)
        self.assertEqual(
            (["s3"], 0), (record.backends, record.wall_ms - record.first_ms)
        )

    def test_crash_reported_again_changes_nothing(self):
        self.record(crash(b"a", "s1"))
        self.record(crash(b"a", "s1"))
        self.assertEqual(1, self.state.crashes.index)
        self.assertEqual(1, len(self.changes))

    def test_cleared_record_is_kept_without_backends(self):
        self.record(crash(b"a", "s1"))
        self.record(cleared=[b"a", b"unknown"])
        self.assertEqual({b"a": []}, self.known(index=1))
        self.record(cleared=[b"a"])
        self.assertEqual(2, self.state.crashes.index)

    def test_snapshot_keeps_the_records(self):
        self.record(crash(b"a", "s1"), crash(b"b", "s2"))
        self.record(crash(b"a", "s3"))
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), other.snapshot())
        self.assertEqual(2, other.crashes.index)
        self.assertEqual([b"a"], [r.fingerprint for r in other.crashes.after(1)])

    def trial(self, key=b"a"):
        (record,) = [r for r in self.state.crashes.after(0) if r.fingerprint == key]
        return record.trial

    def test_one_entry_at_a_time_may_try_a_part(self):
        self.record(crash(b"a", "s1"))
        self.record(trials=[b"a"], trial_id="e1")
        self.assertEqual("e1", self.trial())
        self.record(trials=[b"a"], trial_id="e2")
        self.assertEqual("e1", self.trial())
        self.assertEqual([True, True], [change.crashes for change in self.changes])
        self.wall_ms += int(1000 * TRIAL_INTERVAL_S)
        self.record(trials=[b"a"], trial_id="e2")
        self.assertEqual("e2", self.trial())

    def test_trial_ends_with_the_next_crash(self):
        self.record(crash(b"a", "s1"))
        self.record(trials=[b"a"], trial_id="e1")
        self.record(crash(b"a", "s2"))
        self.assertEqual("", self.trial())

    def failed_trials(self, key=b"a"):
        (record,) = [r for r in self.state.crashes.after(0) if r.fingerprint == key]
        return record.failed_trials

    def test_crash_during_a_trial_is_counted_until_the_next_good_run(self):
        self.record(crash(b"a", "s1"))
        self.assertEqual(0, self.failed_trials())
        self.record(trials=[b"a"], trial_id="e1")
        self.record(crash(b"a", "s2"))
        self.assertEqual(1, self.failed_trials())
        # The first crash has ended the trial.
        self.record(crash(b"a", "s3"))
        self.assertEqual(1, self.failed_trials())
        self.record(cleared=[b"a"])
        self.record(crash(b"a", "s4"))
        self.assertEqual(0, self.failed_trials())

    def test_crash_after_a_trial_is_not_counted(self):
        self.record(crash(b"a", "s1"))
        self.record(trials=[b"a"], trial_id="e1")
        self.wall_ms += int(1000 * TRIAL_INTERVAL_S)
        self.record(crash(b"a", "s2"))
        self.assertEqual(0, self.failed_trials())

    def test_snapshot_keeps_the_failed_trials(self):
        self.record(crash(b"a", "s1"))
        self.record(trials=[b"a"], trial_id="e1")
        self.record(crash(b"a", "s2"))
        other = ControlState()
        other.restore(self.state.snapshot())
        (record,) = other.crashes.after(0)
        self.assertEqual(1, record.failed_trials)

    def test_trial_of_an_unknown_or_cleared_part_is_not_granted(self):
        self.record(crash(b"a", "s1"))
        self.record(cleared=[b"a"])
        self.record(trials=[b"a", b"unknown"], trial_id="e1")
        self.assertEqual("", self.trial())
        self.assertEqual({b"a": []}, self.known())

    def test_snapshot_keeps_the_trial(self):
        self.record(crash(b"a", "s1"), crash(b"b", "s1"))
        self.record(trials=[b"a"], trial_id="e1")
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), other.snapshot())
        self.assertEqual([b"a"], [r.fingerprint for r in other.crashes.after(1)])

    def ran_ms(self, key=b"a"):
        (record,) = [r for r in self.state.crashes.after(0) if r.fingerprint == key]
        return record.ran_ms

    def test_good_run_is_kept_through_later_crashes(self):
        """An entry that starts knows then that it is not the cause."""
        self.record(crash(b"a", "s1"))
        self.assertEqual(0, self.ran_ms())
        self.record(cleared=[b"a"])
        cleared_ms = self.wall_ms
        self.wall_ms += 1000
        self.record(crash(b"a", "s2"), crash(b"a", "s3"))
        self.assertEqual({b"a": ["s2", "s3"]}, self.known())
        self.assertEqual(cleared_ms, self.ran_ms())

    def test_common_part_is_kept_without_a_crash(self):
        self.record(ran=[b"a", b""])
        self.assertEqual({b"a": []}, self.known())
        self.assertEqual(self.wall_ms, self.ran_ms())
        ran_ms = self.wall_ms
        self.wall_ms += 1000
        self.record(crash(b"a", "s1"))
        self.assertEqual(ran_ms, self.ran_ms())

    def test_report_of_a_common_part_keeps_its_crashes(self):
        """The runs may have been before the crashes."""
        self.record(crash(b"a", "s1"))
        self.record(ran=[b"a"])
        self.assertEqual({b"a": ["s1"]}, self.known(index=1))
        self.assertEqual(self.wall_ms, self.ran_ms())

    def test_common_parts_are_bounded(self):
        parts = [b"%d" % number for number in range(2 * MAX_COMMON_PARTS)]
        self.record(ran=parts)
        self.assertEqual(set(parts[:MAX_COMMON_PARTS]), set(self.known()))
        # There is room again once they have expired.
        self.wall_ms += int(1000 * retention_s(0)) + 1
        self.record(crash(b"c", "s1"))
        self.record(ran=[parts[-1]])
        self.assertEqual({b"c", parts[-1]}, set(self.known()))

    def test_many_suspects_do_not_displace_a_common_part(self):
        self.record(ran=[b"a"])
        self.record(*[crash(b"%d" % n, "s1") for n in range(2 * MAX_TRACKED_REQUESTS)])
        self.assertEqual(MAX_TRACKED_REQUESTS, len(self.state.crashes))
        self.assertIn(b"a", self.known())

    def test_snapshot_keeps_the_good_runs(self):
        self.record(crash(b"a", "s1"))
        self.record(cleared=[b"a"], ran=[b"b"])
        other = ControlState()
        other.restore(self.state.snapshot())
        self.assertEqual(self.state.snapshot(), other.snapshot())
        runs = {r.fingerprint: r.ran_ms for r in other.crashes.after(0)}
        self.assertEqual(dict.fromkeys((b"a", b"b"), self.wall_ms), runs)

    def test_server_that_has_not_crashed_is_removed_from_all_records(self):
        self.record(crash(b"a", "s1"), crash(b"b", "s1"), crash(b"b", "s2"))
        self.record(withdrawn=["s1", "unknown"])
        self.assertEqual({b"a": [], b"b": ["s2"]}, self.known(index=1))
        # It has not run well, either.
        self.assertEqual(0, self.ran_ms())
        self.record(withdrawn=["s1"])
        self.assertEqual(2, self.state.crashes.index)

    def test_records_expire_by_age(self):
        self.record(crash(b"a", "s1"))
        self.record(*[crash(b"c", f"s{n}") for n in range(3)])
        self.wall_ms += int(1000 * retention_s(1)) + 1
        self.record(crash(b"b", "s2"))
        self.assertEqual({b"b", b"c"}, set(self.known()))

    def test_requests_and_backends_are_bounded(self):
        self.record(*[crash(b"c", f"s{n}") for n in range(2 * MAX_CRASHES_PER_REQUEST)])
        self.record(*[crash(b"%d" % n, "s1") for n in range(2 * MAX_TRACKED_REQUESTS)])
        self.assertEqual(MAX_TRACKED_REQUESTS, len(self.state.crashes))
        self.assertEqual(MAX_CRASHES_PER_REQUEST, len(self.known()[b"c"]))

    def test_crash_without_a_fingerprint_is_ignored(self):
        self.record(crash(b"", "s1"))
        self.assertEqual(0, len(self.state.crashes))
