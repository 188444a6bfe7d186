"""Runs the check of a case, and ends what it started on every way out."""

__all__ = ["BROKEN", "CANNOT_RUN", "HELD", "has_trouble", "run_case"]

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable

from review.standins2.deployment import Deployment
from review.standins2.engines import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Return whether the disruption of the case is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    check: Callable[[Deployment, Record], Awaitable[int]],
    *,
    script: str,
    entries: int = 1,
    heartbeat_ms: int = 1200,
    waits: bool = True,
) -> None:
    """Run a case and exit with its status.

    Args:
        check: Plays the case; returns ``HELD`` or ``BROKEN``.
        script: Path of the script; the record is written beside it.
        entries: Number of entries.
        heartbeat_ms: Interval of heartbeats of backend servers.
        waits: Whether the case begins once control is ready.
    """
    record = Record()
    try:
        status = asyncio.run(_run(check, record, entries, heartbeat_ms, waits))
    except (Exception, asyncio.CancelledError):
        record.add(f"the case could not run: {traceback.format_exc()}")
        traceback.print_exc()
        status = CANNOT_RUN
    record.add(f"exit status {status}")
    record.write(pathlib.Path(script).with_name("record.txt"))
    sys.exit(status)


async def _run(
    check, record: Record, entries: int, heartbeat_ms: int, waits: bool
) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(signum, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            folder=pathlib.Path(folder), entries=entries, heartbeat_ms=heartbeat_ms
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start_all()
                if waits:
                    await deployment.wait_until_ready()
                return await check(deployment, record)
        finally:
            kept = os.environ.get("KEEP_LOGS")
            await deployment.close()
            if kept:
                for node in [*deployment.controls, *deployment.entries]:
                    source = pathlib.Path(folder) / f"{node.name}.log"
                    target = pathlib.Path(kept) / source.name
                    target.write_bytes(source.read_bytes())
