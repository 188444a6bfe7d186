"""Tells control what an entry found of requests under which servers crash."""

__all__ = ["report_crashes"]

import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.book import CrashTracker
from wigeonscale.crashes.records import CrashReport
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock

# Crashes become known for several requests at once, in one change of the members.
GATHER_S = 0.02
# Control gave no answer for three seconds already.
AGAIN_S = 0.5

logger = logging.getLogger(__name__)


async def report_crashes(
    book: CrashTracker,
    *,
    submit: Callable[[CrashReport], Awaitable[None]],
    clock: Clock,
) -> None:
    """Tell control what is found until cancelled.

    Args:
        book: What this entry knows.
        submit: Commits a report at control; raises :class:`WigeonscaleError` if that
            fails.
        clock: Clock port.
    """
    while True:
        await book.until_due()
        await clock.sleep(GATHER_S)
        report = book.due()
        if not report.crashes and not report.cleared:
            continue
        try:
            await submit(report)
        except WigeonscaleError as exc:
            logger.warning(
                "crashes not told to control: %s",
                exc.message,
                extra=log_fields(kind=exc.kind, crashes=len(report.crashes)),
            )
            book.not_told(report)
            await clock.sleep(AGAIN_S)
