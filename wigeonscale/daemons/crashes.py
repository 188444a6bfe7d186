"""Connects the crash tracker of an entry to control."""

__all__ = ["report_crashes_to_control", "crash_update_handler"]

from collections.abc import Callable

from wigeonscale.adapters import METRICS
from wigeonscale.crashes import CrashReport, CrashTracker, report_crashes
from wigeonscale.membership import ControlClient, known_crashes, record_crashes_command
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


def crash_update_handler(tracker: CrashTracker) -> Callable[[wire.CrashUpdate], None]:
    """Return a callback that applies control's crash records and updates the metric.

    Args:
        tracker: Crash tracker of this entry.
    """

    def handle(update: wire.CrashUpdate) -> None:
        tracker.apply_records(known_crashes(update))
        METRICS.crashing_requests.set(tracker.count_refused())
        METRICS.crashing_prompt_parts.set(tracker.count_refused(parts=True))

    return handle


async def report_crashes_to_control(
    tracker: CrashTracker, *, control: ControlClient, clock: Clock
) -> None:
    """Report the crashes that this entry observes to control, until cancelled.

    Args:
        tracker: Crash tracker of this entry.
        control: Client of control.
        clock: Clock port.
    """

    async def submit(report: CrashReport) -> None:
        await control.submit(record_crashes_command(report))

    with control.changes.subscribe(lambda change: tracker.confirm_crashes()):
        await report_crashes(tracker, submit=submit, clock=clock)
