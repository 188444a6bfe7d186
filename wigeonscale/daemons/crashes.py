"""The book of crashes of an entry, wired to control."""

__all__ = ["report_to_control", "take_from_control"]

from collections.abc import Callable

from wigeonscale.adapters import METRICS
from wigeonscale.crashes import CrashReport, CrashTracker, report_crashes
from wigeonscale.membership import ControlClient, known_crashes, record_crashes_command
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


def take_from_control(book: CrashTracker) -> Callable[[wire.CrashUpdate], None]:
    """Return what takes control's records in, and counts what is refused by them.

    Args:
        book: What this entry knows.
    """

    def take(update: wire.CrashUpdate) -> None:
        book.apply_records(known_crashes(update))
        METRICS.crashing_requests.set(book.refused)

    return take


async def report_to_control(
    book: CrashTracker, *, control: ControlClient, clock: Clock
) -> None:
    """Tell control what this entry finds, until cancelled.

    Args:
        book: What this entry knows.
        control: Link to control.
        clock: Clock port.
    """

    async def submit(report: CrashReport) -> None:
        await control.submit(record_crashes_command(report))

    with control.changes.subscribe(lambda change: book.confirm_crashes()):
        await report_crashes(book, submit=submit, clock=clock)
