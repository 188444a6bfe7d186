"""Reports an entry's findings about crashing requests to control."""

__all__ = ["report_crashes"]

import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.records import CrashReport
from wigeonscale.crashes.tracker import CrashTracker
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock

# One change of the membership confirms the crashes of several requests; the delay
# collects them into one report.
BATCH_DELAY_S = 0.02
# A crash that is held back is looked at again after this time.
HELD_BACK_INTERVAL_S = 0.1
# Short, since a failed submission has already taken three seconds.
RETRY_DELAY_S = 0.5

logger = logging.getLogger(__name__)


async def report_crashes(
    tracker: CrashTracker,
    *,
    submit: Callable[[CrashReport], Awaitable[None]],
    clock: Clock,
) -> None:
    """Report crashes to control until cancelled.

    Args:
        tracker: Crash records of this entry.
        submit: Commits a report at control; raises :class:`WigeonscaleError` if that
            fails.
        clock: Clock port.
    """
    while True:
        await tracker.wait_for_report()
        await clock.sleep(BATCH_DELAY_S)
        report = tracker.take_report()
        if report.is_empty:
            await clock.sleep(HELD_BACK_INTERVAL_S)
            continue
        try:
            await submit(report)
        except WigeonscaleError as exc:
            logger.warning(
                "could not report crashes to control, will retry: %s",
                exc.message,
                extra=log_fields(kind=exc.kind, crashes=len(report.crashes)),
            )
            tracker.restore_report(report)
            await clock.sleep(RETRY_DELAY_S)
