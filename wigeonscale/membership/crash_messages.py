"""Converts crash records between control messages and an entry's data types."""

__all__ = ["known_crashes", "record_crashes_command"]

from wigeonscale.crashes import CrashReport, KnownCrashes
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000


def known_crashes(update: wire.CrashUpdate) -> list[KnownCrashes]:
    """Convert the records of an update, in its order.

    Args:
        update: The update; ages are relative to the time of control's state machine.
    """
    return [
        KnownCrashes(
            fingerprint=record.fingerprint,
            backends=tuple(record.backends),
            age_s=max(0, update.now_ms - record.wall_ms) / MS_PER_S,
            span_s=(record.wall_ms - record.first_ms) / MS_PER_S,
            trial=record.trial,
            trial_age_s=(
                max(0, update.now_ms - record.trial_ms) / MS_PER_S
                if record.trial
                else 0.0
            ),
            ran_age_s=(
                max(0, update.now_ms - record.ran_ms) / MS_PER_S
                if record.ran_ms
                else None
            ),
            failed_trials=(
                record.failed_trials if record.HasField("failed_trials") else None
            ),
        )
        for record in update.records
    ]


def record_crashes_command(report: CrashReport) -> wire.Command:
    """Return the command that replicates a report to all entries.

    Args:
        report: Findings of one entry.
    """
    crashes = [
        wire.Crash(fingerprint=fingerprint, backend=backend_id)
        for fingerprint, backend_id in report.crashes
    ]
    found = wire.RecordCrashes(
        crashes=crashes,
        cleared=report.cleared,
        trials=report.trials,
        trial_id=report.trial_id,
        ran=report.ran,
        withdrawn=report.withdrawn,
    )
    return wire.Command(record_crashes=found)
