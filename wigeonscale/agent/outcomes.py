"""Reports outcomes of non-idempotent work to control until they are committed."""

__all__ = ["OutcomeReporter"]

import asyncio
import logging
from collections.abc import Awaitable, Callable

from wigeonscale.errors import ERROR_RESPONSES, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 1.0
"""Delay before a failed submission is repeated."""

MAX_CONCURRENT_SUBMITS = 32
"""Maximum number of concurrent submissions to control."""


class OutcomeReporter:
    """Submits outcomes and retries while control has no quorum.

    Args:
        submit: Submits a command to control.
        clock: Clock port.
        on_reported: Called with the dispatch id when its outcome is committed.
    """

    def __init__(
        self,
        *,
        submit: Callable[[wire.Command], Awaitable[wire.CommandResult]],
        clock: Clock,
        on_reported: Callable[[str], None],
    ):
        self._submit = submit
        self._clock = clock
        self._on_reported = on_reported
        self._tasks: set[asyncio.Task] = set()
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_SUBMITS)

    def report(self, outcome: wire.Outcome) -> None:
        """Report an outcome in the background."""
        task = asyncio.create_task(self._report(outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def flush(self) -> None:
        """Wait until no submission is pending."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel pending submissions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _report(self, outcome: wire.Outcome) -> None:
        while True:
            try:
                async with self._semaphore:
                    await self._submit(wire.Command(outcome=outcome))
                break
            except WigeonscaleError as exc:
                logger.warning(
                    "submitting the outcome of dispatch %s failed: %s",
                    outcome.dispatch_id,
                    exc.message,
                )
                if not ERROR_RESPONSES[exc.kind].retryable:
                    return
                await self._clock.sleep(RETRY_INTERVAL_S)
        self._on_reported(outcome.dispatch_id)
