"""Retries that control reserves for this entry beyond its guaranteed part."""

__all__ = ["MAX_UNUSED_RESERVATION_S", "ReserveRetries", "ReservedRetries"]

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock

# Reservations that were not used by this time after the request are dropped. Control
# counts each of them for this time in addition to the window.
MAX_UNUSED_RESERVATION_S = 2.0
# A loss interrupts many streams in the same instant; one request covers them all.
GATHER_S = 0.005
# Pause after an answer that reserved less than was asked for.
PAUSE_S = 0.3
# Control of an older version knows no reservations and may be replaced meanwhile.
UNSUPPORTED_PAUSE_S = 30.0
# A request waits this long for the answer of control. A commit takes some milliseconds,
# and a caller on whom a stream pauses for longer is better served by a rejection.
MAX_WAIT_S = 0.25

# Reserves retries: service, wanted retries, and how many all entries may have reserved
# at a time. Returns the number of reserved retries.
ReserveRetries = Callable[[str, int, int], Awaitable[int]]

logger = logging.getLogger(__name__)


class _Reservation(NamedTuple):
    """Unused retries.

    Attributes:
        count: Number of retries.
        expires_at: Local time, in seconds.
    """

    count: int
    expires_at: float


@dataclass(slots=True, kw_only=True)
class _ServiceReservations:
    """Reservations of one service.

    Attributes:
        unused: Unused reservations, oldest first.
        wanted: Retries to ask for.
        limit: How many all entries may have reserved.
        task: Request in flight; None if there is none.
        paused_until: Local time until which nothing is asked, in seconds.
    """

    unused: deque[_Reservation] = field(default_factory=deque)
    wanted: int = 0
    limit: int = 0
    task: asyncio.Task | None = None
    paused_until: float = float("-inf")


class ReservedRetries:
    """Reserves retries at control and hands them out.

    Args:
        clock: Clock port.
        reserve: Reserves retries at control.
    """

    def __init__(self, *, clock: Clock, reserve: ReserveRetries):
        self._clock = clock
        self._reserve = reserve
        self._services: dict[str, _ServiceReservations] = {}
        self._unsupported_until = float("-inf")

    @property
    def is_supported(self) -> bool:
        """Whether control is not known to lack reservations."""
        return self._clock.now() >= self._unsupported_until

    def take(self, service: str) -> bool:
        """Take one reserved retry; return whether there was one.

        Args:
            service: Service of the request.
        """
        unused = self._of(service).unused
        now = self._clock.now()
        while unused and unused[0].expires_at <= now:
            unused.popleft()
        if not unused:
            return False
        count, expires_at = unused.popleft()
        if count > 1:
            unused.appendleft(_Reservation(count - 1, expires_at))
        return True

    def ask(self, service: str, *, limit: int, max_count: int) -> None:
        """Ask control for one more retry; does not wait for the answer.

        Args:
            service: Service of the request.
            limit: How many retries all entries may have reserved at a time.
            max_count: Maximum number of retries in one request.
        """
        reservations = self._of(service)
        if limit < 1 or self._clock.now() < reservations.paused_until:
            return
        reservations.wanted = min(reservations.wanted + 1, max(1, max_count))
        reservations.limit = max(reservations.limit, limit)
        if reservations.task is None:
            reservations.task = asyncio.create_task(self._request(service))

    async def wait(self, service: str) -> bool:
        """Wait for the answer to a request in flight; return whether there was one.

        Args:
            service: Service of the request.
        """
        task = self._of(service).task
        if task is None:
            return False
        await asyncio.wait([task], timeout=MAX_WAIT_S)
        return True

    async def close(self) -> None:
        """Cancel the requests in flight."""
        tasks = [each.task for each in self._services.values() if each.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _of(self, service: str) -> _ServiceReservations:
        return self._services.setdefault(service, _ServiceReservations())

    async def _request(self, service: str) -> None:
        reservations = self._of(service)
        try:
            await self._clock.sleep(GATHER_S)
            asked_at = self._clock.now()
            wanted, limit = reservations.wanted, reservations.limit
            reservations.wanted = reservations.limit = 0
            count, outcome = 0, "reserved"
            try:
                count = await self._reserve(service, wanted, limit)
            except WigeonscaleError as exc:
                outcome = exc.kind.value
                if exc.kind is ErrorKind.BAD_REQUEST:
                    self._unsupported_until = asked_at + UNSUPPORTED_PAUSE_S
            if count < wanted:
                reservations.paused_until = self._clock.now() + PAUSE_S
            if count:
                expires_at = asked_at + MAX_UNUSED_RESERVATION_S
                reservations.unused.append(_Reservation(count, expires_at))
            METRICS.reserved_retries.add(count)
            logger.info(
                "retries reserved",
                extra=log_fields(
                    service=service,
                    wanted=wanted,
                    reserved=count,
                    limit=limit,
                    outcome=outcome,
                    duration_s=round(self._clock.now() - asked_at, 3),
                ),
            )
        finally:
            reservations.task = None
