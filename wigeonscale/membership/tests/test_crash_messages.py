from wigeonscale.crashes import CrashReport, KnownCrashes
from wigeonscale.membership import known_crashes, record_crashes_command
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class CrashMessagesTest(AsyncTestCase):
    def test_age_is_relative_to_the_state_machine_time(self):
        record = wire.CrashRecord(
            fingerprint=b"a", backends=["s1"], first_ms=700, wall_ms=1500
        )
        later = wire.CrashRecord(fingerprint=b"b", first_ms=9000, wall_ms=9000)
        update = wire.CrashUpdate(now_ms=4000, records=[record, later])
        self.assertEqual(
            [
                KnownCrashes(fingerprint=b"a", backends=("s1",), age_s=2.5, span_s=0.8),
                KnownCrashes(fingerprint=b"b", backends=(), age_s=0.0, span_s=0.0),
            ],
            known_crashes(update),
        )

    def test_last_good_run(self):
        record = wire.CrashRecord(fingerprint=b"a", wall_ms=1500, ran_ms=1500)
        update = wire.CrashUpdate(now_ms=4000, records=[record])
        (known,) = known_crashes(update)
        self.assertEqual(2.5, known.ran_age_s)

    def test_failed_trials_are_unknown_from_an_older_control(self):
        records = [
            wire.CrashRecord(fingerprint=b"a", backends=["s1"]),
            wire.CrashRecord(fingerprint=b"b", backends=["s1"], failed_trials=0),
        ]
        known = known_crashes(wire.CrashUpdate(records=records))
        self.assertEqual([None, 0], [each.failed_trials for each in known])

    def test_common_parts_are_reported(self):
        command = record_crashes_command(CrashReport((), (), ran=(b"a",)))
        self.assertEqual([b"a"], list(command.record_crashes.ran))

    def test_withdrawn_crashes_are_reported(self):
        command = record_crashes_command(CrashReport((), (), withdrawn=("s1",)))
        self.assertEqual(["s1"], list(command.record_crashes.withdrawn))

    def test_report_is_converted_to_a_command(self):
        command = record_crashes_command(CrashReport(((b"a", "s1"),), (b"b",)))
        self.assertEqual([b"b"], list(command.record_crashes.cleared))
        (crash,) = command.record_crashes.crashes
        self.assertEqual((b"a", "s1"), (crash.fingerprint, crash.backend))
